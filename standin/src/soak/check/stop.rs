//! Checks that planned stops cut no request short.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Attempt, Report};
use crate::site::replica::{History, Run};

/// Grace period that the nodes are started with.
pub const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// How long after a signal the requests of its node are checked.
const CHECKED: Duration = Duration::from_secs(9);
/// A disruption that ended at most this long before a request still excuses it.
const RECOVERY: Duration = Duration::from_secs(3);
/// Longest delay until the driver notes that a killer crashed a replica.
const NOTICE_DELAY: Duration = Duration::from_millis(50);
/// Deadline of every caller, which the node may enforce a little early.
const DEADLINE: Duration = Duration::from_millis(4_900);
/// A request sent up to this long after the signal may be cut if its replica is still at work in
/// the last sixth of the grace period.
const EARLY: Duration = Duration::from_secs(3);

/// What a disruption affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A node, by its index.
    Node(usize),
    /// A replica, by its id.
    Replica(String),
}

#[derive(Clone, Debug)]
struct Disruption {
    target: Target,
    began: Instant,
    /// `None` while it lasts.
    ended: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Signal {
    node: usize,
    at: Instant,
    is_stop: bool,
}

/// The planned signals and the unplanned disruptions of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    planned: Vec<Signal>,
    disruptions: Vec<Disruption>,
}

impl Ledger {
    /// Records that a node is asked to stop. Later requests to the same process change nothing.
    pub fn record_stop(&mut self, node: usize, now: Instant) {
        self.record(node, now, true);
    }

    /// Records that a node is asked to read its settings again.
    pub fn record_reload(&mut self, node: usize, now: Instant) {
        self.record(node, now, false);
    }

    fn record(&mut self, node: usize, now: Instant, is_stop: bool) {
        self.planned.push(Signal {
            node,
            at: now,
            is_stop,
        });
    }

    /// Records that a disruption begins. Returns its index for [`Self::end`].
    pub fn begin(&mut self, target: Target, now: Instant) -> usize {
        self.disruptions.push(Disruption {
            target,
            began: now,
            ended: None,
        });
        self.disruptions.len() - 1
    }

    /// Records that a disruption has ended.
    pub fn end(&mut self, index: usize, now: Instant) {
        if let Some(disruption) = self.disruptions.get_mut(index) {
            disruption.ended = Some(now);
        }
    }

    /// Returns true if the node was disrupted since `since`.
    pub fn is_node_disrupted(&self, node: usize, since: Instant) -> bool {
        self.disruptions
            .iter()
            .any(|it| it.target == Target::Node(node) && it.ended.is_none_or(|end| end >= since))
    }

    /// Returns the last signal to the node of this request that it may have been cut by, a stop
    /// before a reload.
    fn signal(&self, request: &Attempt) -> Option<Signal> {
        let near = |signal: &&Signal| {
            signal.node == request.node
                && request.ended >= signal.at
                && request.began <= signal.at + CHECKED
        };
        let near = self.planned.iter().filter(near);
        near.max_by_key(|signal| (signal.is_stop, signal.at))
            .copied()
    }

    fn is_disrupted(&self, request: &Attempt, runs: &[Run]) -> bool {
        let concerns = |target: &Target| match target {
            Target::Node(node) => *node == request.node,
            Target::Replica(id) => runs.iter().any(|run| run.replica == *id),
        };
        self.disruptions.iter().any(|it| {
            concerns(&it.target)
                && it.began <= request.ended + NOTICE_DELAY
                && it.ended.is_none_or(|end| end + RECOVERY >= request.began)
        })
    }
}

/// Ids that the nodes' logs name on a line that shows that a node read the request.
fn logged(logs: &[String]) -> BTreeSet<&str> {
    const READ: [&str; 5] = [" E301 ", " E520 ", " E521 ", " E524 ", " E529 "];
    let lines = logs.iter().flat_map(|log| log.lines());
    lines
        .filter(|line| READ.iter().any(|code| line.contains(code)))
        .filter_map(|line| line.split(" id=").nth(1)?.split(' ').next())
        .collect()
}

/// Why a request that a node read may end without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// Its deadline had passed.
    Deadline,
    /// Its node or a replica that ran it was disrupted.
    Disrupted,
    /// It was sent early in the stop and its replica was at work until near the end.
    Long,
}

fn excuse(request: &Attempt, runs: &[Run], ledger: &Ledger, signal: Signal) -> Option<Excuse> {
    if ledger.is_disrupted(request, runs) {
        return Some(Excuse::Disrupted);
    }
    if may_be_cut(request, runs, signal) {
        return Some(Excuse::Long);
    }
    (request.ended - request.began >= DEADLINE).then_some(Excuse::Deadline)
}

/// Returns true if the replica was at work in the last sixth of the grace period on a request
/// that was sent early in the stop.
fn may_be_cut(request: &Attempt, runs: &[Run], signal: Signal) -> bool {
    let last_sixth = signal.at + GRACE_PERIOD * 5 / 6;
    signal.is_stop
        && request.began <= signal.at + EARLY
        && runs
            .iter()
            .any(|run| run.ended.is_none_or(|end| end >= last_sixth))
}

fn describe(request: &Attempt, runs: &[Run], signal: Signal) -> String {
    let after = |from: Instant, to: Instant| {
        // A request may be older than the signal.
        to.checked_duration_since(from)
            .map_or(0, |it| it.as_millis())
    };
    let runs: Vec<String> = runs
        .iter()
        .map(|run| {
            let ended = run.ended.map_or(0, |ended| after(request.began, ended));
            let began = after(request.began, run.began);
            format!("{} from {began} to {ended} ms", run.replica)
        })
        .collect();
    format!(
        "{} was read by node {} and got no complete answer: sent {} ms after a planned signal, cut \
         after {} ms, run by {runs:?}",
        request.id,
        request.node,
        after(signal.at, request.began),
        after(request.began, request.ended),
    )
}

impl Report {
    /// Checks that every request that a node read around a planned signal got a complete answer.
    /// Not checked are requests whose node or replica was disrupted, whose deadline had passed, or
    /// that no node is known to have read: a caller can't tell whether one that crosses the close
    /// of its connection was read.
    pub fn check_stops(
        &mut self,
        attempts: &[Attempt],
        ledger: &Ledger,
        history: &History,
        logs: &[String],
    ) {
        let history = history.borrow();
        let logged = logged(logs);
        for request in attempts {
            let Some(signal) = ledger.signal(request) else {
                continue;
            };
            let runs = history.get(&request.id).map_or(&[][..], Vec::as_slice);
            if runs.is_empty() && !logged.contains(&*request.id) {
                continue;
            }
            self.stopping += usize::from(request.began >= signal.at);
            if request.is_answered {
                continue;
            }
            if let Some(excuse) = excuse(request, runs, ledger, signal) {
                log::info!("excused, {excuse:?}: {}", describe(request, runs, signal));
                *self.excused.entry(excuse).or_default() += 1;
                continue;
            }
            self.record_violation(describe(request, runs, signal));
        }
    }
}
