//! What follows when a run of a request has failed.

use std::sync::Arc;

use super::Relay;
use crate::attempt::{Failure, Next};
use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::permit::Permit;
use crate::pool::message::End;
use crate::quarantine::detector::Run;
use crate::quarantine::loss::Finding;

impl Relay {
    /// Returns the permit of a run that has failed, and what to do with the request. A crash of the
    /// endpoint is found out before the request may run again.
    pub(super) async fn failed(
        &mut self,
        permit: Permit,
        began: Time,
        failure: Failure,
        end: End,
        why: &'static str,
    ) -> Next {
        let end = match failure {
            Failure::Lost => self.find_cause(&permit.endpoint, began, why).await,
            Failure::NotRun | Failure::Answered => end,
        };
        permit.finish(end);
        let next = self.attempt.failed(self.node.clock.now(), failure);
        self.mark_spent(!self.attempt.is_not_run());
        if end == End::Crashed && next != Next::Again {
            self.node.detector.give_up(self.call.subject.request);
        }
        next
    }

    /// Determines whether this run crashed the endpoint, which must be established before the
    /// request is retried.
    async fn find_cause(&self, endpoint: &Arc<Endpoint>, began: Time, why: &'static str) -> End {
        let run = Run {
            id: &self.call.forward.id,
            subject: Some(&self.call.subject),
            written: self.written,
            ran: self.node.clock.now().since(began),
            why,
        };
        match self.node.detector.investigate(endpoint, run).await {
            Finding::Crashed => End::Crashed,
            Finding::NotCrashed | Finding::Undecided => End::Error,
        }
    }
}
