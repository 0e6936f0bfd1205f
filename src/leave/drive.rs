//! Carries out a graceful shutdown on a node.

use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

use super::{Action, Input, Leave, Phase, Summary, Work};
use crate::clock::Clock;
use crate::snapshot::Cell;

/// Interval between two counts of the outstanding work.
const POLL: Duration = Duration::from_millis(20);

/// What a shutdown needs of its node.
pub trait Host {
    /// Counts the outstanding work.
    fn work(&mut self) -> Work;

    /// Carries out an action. [`Action::Exit`] is returned by [`run`] instead.
    fn act(&mut self, action: Action);
}

/// Shuts a serving node down and returns the summary once its process may exit. `force` makes it
/// give every open request its final answer at once.
pub async fn run<H, F>(
    mut leave: Leave,
    clock: Clock,
    phase: &Cell<Phase>,
    host: &mut H,
    force: F,
) -> Summary
where
    H: Host,
    F: Future<Output = ()>,
{
    let mut force = pin!(force);
    let mut is_forced = false;
    let mut inputs = vec![Input::Started, Input::Stop];
    loop {
        let now = clock.now();
        inputs.push(Input::Tick(host.work()));
        for input in inputs.drain(..) {
            let actions = leave.step(now, input);
            if leave.phase() != Phase::Ended {
                // Published first, so that a thread that learns of the action finds the phase.
                phase.publish(leave.phase());
            }
            for action in actions {
                match action {
                    Action::Exit(summary) => return summary,
                    action => host.act(action),
                }
            }
        }
        tokio::select! {
            () = sleep(POLL) => {}
            () = &mut force, if !is_forced => {
                is_forced = true;
                inputs.push(Input::ForceStop);
            }
        }
    }
}
