//! Reports from the rest of the process about members that do not answer.

use std::net::IpAddr;

use tokio::sync::mpsc;

/// Capacity of the channel. Each member is reported once, when it becomes silent, and
/// membership reads the channel at once.
const CHANNEL_CAPACITY: usize = 64;

/// Reports members that do not answer to membership, which probes them next. It never blocks:
/// a report that does not fit into the channel is dropped, like a lost datagram.
#[derive(Clone, Debug, Default)]
pub struct Reporter(Option<mpsc::Sender<IpAddr>>);

impl Reporter {
    /// Creates a reporter, and the receiver of its reports.
    pub fn channel() -> (Self, mpsc::Receiver<IpAddr>) {
        let (sender, reports) = mpsc::channel(CHANNEL_CAPACITY);
        (Self(Some(sender)), reports)
    }

    /// Reports that the member at this address does not answer.
    pub fn silent(&self, address: IpAddr) {
        if let Some(sender) = &self.0 {
            // Without the report, the member is probed in its turn.
            let _ = sender.try_send(address);
        }
    }
}

impl PartialEq for Reporter {
    fn eq(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(one), Some(other)) => one.same_channel(other),
            (None, None) => true,
            _ => false,
        }
    }
}

impl Eq for Reporter {}
