//! Runs of requests after the end of a verdict on them. A trial is claimed in the store before it
//! begins, so that one node makes it, and a crash of it needs no other node to notice it.

use std::time::Duration;

use tokio::time::timeout;

use super::Detector;
use crate::event;
use crate::name::Name;
use crate::quarantine::Subject;
use crate::quarantine::evidence::{Trial, Verdict};
use crate::quarantine::record::{self, Key, Record, VerdictRow};
use crate::table::{Expect, Fault, Row, Table as _, Transaction};
use crate::wire;

/// Time limit of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// No verdict on it has ended.
    Free,
    /// It runs as a trial. The next verdict on it lasts already, and does not apply to this run.
    Trial,
    /// Another node makes the trial, or the store can not tell which one does.
    Denied,
}

impl Detector {
    /// Claims the trials that a run of the request is. A verdict that has ended would otherwise be
    /// taken by every node as leave to run the request, and by each node that starts.
    pub async fn clear_run(&self, id: &Name, subject: &Subject) -> Clearance {
        let trials = self.evidence.borrow().trials(self.now(), subject);
        if trials.is_empty() {
            return Clearance::Free;
        }
        for trial in trials {
            let claimed = timeout(CLAIM_TIMEOUT, self.claim(trial)).await;
            let is_claimed = matches!(claimed, Ok(Ok(true)));
            log::info!(
                "{} id={id} print={} times={} ended_ms={} term_s={} claimed={is_claimed} why={}",
                event::TRIAL_CLAIMED,
                trial.subject,
                trial.times,
                trial.ended.as_millis(),
                trial.term.as_secs(),
                match claimed {
                    Ok(Ok(true)) => "-",
                    Ok(Ok(false) | Err(Fault::Conflict { .. })) => "other_node",
                    Ok(Err(_)) | Err(_) => "store_away",
                },
            );
            if !is_claimed {
                return Clearance::Denied;
            }
            self.setup.count.record_trial();
        }
        Clearance::Trial
    }

    /// Puts the next verdict in the place of the one that has ended. Returns false if another node
    /// has done so.
    async fn claim(&self, trial: Trial) -> Result<bool, Fault> {
        let key = Key::Verdict(trial.subject);
        let row = self.setup.store.get_row(&key.row()).await?;
        let clock = self.storage.borrow().store_now(self.now());
        let Some(clock) = clock else {
            return Ok(false);
        };
        let known = row.as_ref().and_then(|row| decode(&key, row));
        if let Some(known) = known.as_ref().filter(|known| known.until > clock) {
            self.apply_verdict(clock, trial.subject, known);
            return Ok(false);
        }
        let next = VerdictRow {
            until: clock + u64::try_from(trial.term.as_millis()).unwrap_or(u64::MAX),
            times: trial.times,
            endpoints: known.map(|known| known.endpoints).unwrap_or_default(),
            is_doubtful: trial.is_doubtful,
        };
        let expected = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
        let claim = Transaction::default()
            .check(key.row(), expected)
            // Encoding plain data can't fail.
            .put(key.row(), wire::encode(&next).unwrap_or_default());
        self.setup.store.transact(claim).await?;
        let verdict = Verdict {
            until: self.now() + trial.term,
            times: trial.times,
            is_doubtful: trial.is_doubtful,
        };
        self.evidence.borrow_mut().condemn(trial.subject, verdict);
        self.storage.borrow_mut().add_row(key, next.until);
        Ok(true)
    }
}

fn decode(key: &Key, row: &Row) -> Option<VerdictRow> {
    match record::decode(&key.to_string(), &row.value) {
        Ok(Record::Verdict(_, row)) => Some(row),
        Ok(Record::Crash(..)) | Err(_) => None,
    }
}
