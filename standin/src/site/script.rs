//! What a replica sends of a stream, and how the stream ends.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng as _;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::replica::Lost;
use super::socket::Reset;

/// How a replica marks the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a last chunk.
    Chunks,
    /// By its length.
    Length,
    /// By closing the connection.
    Connection,
}

impl Framing {
    /// Every framing.
    pub const ALL: [Self; 3] = [Self::Chunks, Self::Length, Self::Connection];
}

/// How a stream breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Between two events, with a reset.
    Reset,
    /// Inside an event, with a reset.
    ResetInsideEvent,
    /// Inside an event, with the end that the framing asks for.
    InsideEvent,
    /// Before its first event, with the end that the framing asks for.
    NoEvent,
    /// Between two events, with the end that the framing asks for. Only the end of its process
    /// tells this from a whole stream that ends with its connection.
    BetweenEvents,
    /// After [`FOREIGN_EVENT`], with a reset.
    ForeignEvent,
    /// After an event and [`FOREIGN_EVENT`] in one piece, with a reset.
    ForeignEventInPiece,
}

/// Bytes of a faulty replica that have the form of an event and belong to no request. They are
/// shorter than an event, so that no length is reached with them.
const FOREIGN_EVENT: &str = "data: fault\n\n";
/// Time in which bytes reach the other side before a reset.
const FLUSH_TIME: Duration = Duration::from_millis(10);

impl Cut {
    /// Every way that the stream itself shows.
    pub const ALL: [Self; 6] = [
        Self::Reset,
        Self::ResetInsideEvent,
        Self::InsideEvent,
        Self::NoEvent,
        Self::ForeignEvent,
        Self::ForeignEventInPiece,
    ];
}

/// How a replica frames its streams and breaks them off; drawn for each stream if `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Style {
    /// How it marks their end.
    pub framing: Option<Framing>,
    /// How they break off.
    pub cut: Option<Cut>,
}

/// The events of one stream, and where it breaks off.
#[derive(Clone, Debug)]
pub struct Script {
    /// How its end is marked.
    pub framing: Framing,
    events: Vec<String>,
    cut: Cut,
    /// Index of the event at which it breaks off; `None` for a whole stream.
    cut_at: Option<usize>,
}

impl Script {
    /// Draws a stream of `events` that breaks off at `break_rate`. An empty stream that continues
    /// another one may be whole, so none is broken off in that way.
    pub fn draw(style: Style, break_rate: f64, events: Vec<String>, is_continued: bool) -> Self {
        let mut random = rand::rng();
        let framing = Framing::ALL[random.random_range(0..Framing::ALL.len())];
        let cut = Cut::ALL[random.random_range(0..Cut::ALL.len())];
        let cut = style.cut.unwrap_or(cut);
        let is_cut = random.random_bool(break_rate) && !events.is_empty();
        let cut_at = match cut {
            Cut::NoEvent if is_continued => None,
            Cut::NoEvent => Some(0),
            _ if events.is_empty() => None,
            _ => Some(random.random_range(0..events.len())),
        };
        Self {
            framing: style.framing.unwrap_or(framing),
            events,
            cut,
            cut_at: cut_at.filter(|_| is_cut),
        }
    }

    /// Returns the length to declare. A stream that ends as its framing asks for has the length of
    /// what is sent.
    pub fn length(&self) -> usize {
        let whole = |events: &[String]| events.iter().map(String::len).sum();
        match (self.cut, self.cut_at) {
            (Cut::NoEvent, Some(_)) => 0,
            (Cut::InsideEvent, Some(at)) => {
                whole(&self.events[..at]) + half(&self.events[at]).len()
            }
            (Cut::BetweenEvents, Some(at)) => whole(&self.events[..at]),
            (
                Cut::Reset | Cut::ResetInsideEvent | Cut::ForeignEvent | Cut::ForeignEventInPiece,
                Some(_),
            )
            | (_, None) => whole(&self.events),
        }
    }

    /// Sends an event each `step`, until the stream ends or `crashed` is true.
    pub async fn send(
        self,
        chunks: Chunks,
        reset: Reset,
        step: Duration,
        mut crashed: watch::Receiver<bool>,
    ) {
        for (at, event) in self.events.into_iter().enumerate() {
            let has_crashed = tokio::select! {
                biased;
                // An error means that the replica is gone.
                _ = crashed.wait_for(|has_crashed| *has_crashed) => true,
                () = sleep(step) => false,
            };
            if has_crashed || self.cut_at == Some(at) {
                let cut = match self.cut {
                    // It has sent events.
                    Cut::NoEvent if has_crashed => Cut::Reset,
                    cut => cut,
                };
                return break_off(&chunks, &event, cut, &reset).await;
            }
            if chunks.send(Ok(Bytes::from(event))).await.is_err() {
                return;
            }
        }
    }
}

/// Sends the parts of a stream to its connection.
pub type Chunks = mpsc::Sender<Result<Bytes, Lost>>;

/// The first half of an event.
fn half(event: &str) -> &str {
    &event[..event.len() / 2]
}

/// Breaks a stream off before, inside or after `event`.
async fn break_off(chunks: &Chunks, event: &str, cut: Cut, reset: &Reset) {
    let (last, is_reset) = match cut {
        Cut::Reset => (String::new(), true),
        Cut::ResetInsideEvent => (half(event).to_owned(), true),
        Cut::InsideEvent => (half(event).to_owned(), false),
        Cut::ForeignEvent => (FOREIGN_EVENT.to_owned(), true),
        Cut::ForeignEventInPiece => (event.to_owned() + FOREIGN_EVENT, true),
        Cut::NoEvent | Cut::BetweenEvents => return,
    };
    if !last.is_empty() {
        // An error means that the client has disconnected.
        let _ = chunks.send(Ok(Bytes::from(last))).await;
    }
    if is_reset {
        // What was sent may be lost on the way if the reset follows at once.
        sleep(FLUSH_TIME).await;
        reset.arm();
        let _ = chunks.send(Err(Lost)).await;
    }
}
