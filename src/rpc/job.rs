//! Conversion between the schema's batch-job messages and [`job::Jobs`].

use std::time::Duration;

use super::v1;
use crate::job::{self, End, Id, Listing, Reply, Results, State, Status, Submission};
use crate::name;
use crate::outcome::{Reason, Refusal};
use crate::settings::Limits;

/// Validates a job and converts it to a submission.
///
/// # Errors
/// A refusal that names the field and what to send instead.
pub fn submission(job: v1::SubmitJobRequest, limits: Limits) -> Result<Submission, Refusal> {
    for (field, text) in [
        ("service", &job.service),
        ("organisation", &job.organisation),
    ] {
        if !name::is_valid(text) {
            let message = format!("{field}: send a name of letters, digits and -_.:");
            return Err(Refusal::new(Reason::Invalid).with_message(message));
        }
    }
    let max_items = limits.job_items;
    if job.items.len() > max_items {
        return Err(Refusal::new(Reason::TooLarge).with_message(format!(
            "the job has {} items; send at most {max_items}, as several jobs",
            job.items.len()
        )));
    }
    let is_too_long = |item: &v1::Item| item.prompt.len() > limits.prompt_bytes;
    if let Some(number) = job.items.iter().position(is_too_long) {
        let max_bytes = limits.prompt_bytes;
        let message = format!("items[{number}].prompt: send at most {max_bytes} bytes");
        return Err(Refusal::new(Reason::TooLarge).with_message(message));
    }
    if let Some(number) = job.items.iter().position(|item| item.prompt.is_empty()) {
        let message = format!("items[{number}].prompt: send a prompt; it is empty");
        return Err(Refusal::new(Reason::Invalid).with_message(message));
    }
    let items = job.items.into_iter().map(|item| job::Item {
        key: item.key.into(),
        prompt: item.prompt.into(),
        max_tokens: item.max_tokens,
    });
    Ok(Submission {
        service: job.service.into(),
        organisation: job.organisation.into(),
        key: job.key.into(),
        items: items.collect(),
        due: Duration::from_millis(job.due_ms),
        once: job.once,
    })
}

/// Parses a job id.
///
/// # Errors
/// A refusal if the text is not a valid job id.
pub fn id(text: &str) -> Result<Id, Refusal> {
    Id::parse(text).ok_or_else(|| {
        Refusal::new(Reason::UnknownJob).with_message(format!(
            "`{text}` is not a job id; list jobs with `auburnspoke job list`"
        ))
    })
}

/// Converts a status to its schema message.
pub fn status(status: &Status) -> v1::JobStatusResponse {
    v1::JobStatusResponse {
        job: status.id.to_string(),
        state: state(status.job.state).into(),
        items: status.job.items,
        done: status.counts.done,
        failed: status.counts.failed,
        unknown: status.counts.unknown,
        service: status.job.service.to_string(),
        organisation: status.job.organisation.to_string(),
        accepted_at_ms: status.job.accepted_at_ms,
        due_at_ms: status.job.due_at_ms,
    }
}

/// Converts a page of results to its schema message.
pub fn results(results: Results) -> v1::JobResultsResponse {
    v1::JobResultsResponse {
        results: results.replies.into_iter().map(reply).collect(),
        next_page: results
            .next
            .map_or_else(String::new, |next| next.to_string()),
        state: state(results.state).into(),
    }
}

/// Converts a page of jobs to its schema message.
pub fn listing(listing: &Listing) -> v1::ListJobsResponse {
    v1::ListJobsResponse {
        jobs: listing.jobs.iter().map(status).collect(),
        next_page: listing.next.clone(),
    }
}

/// Converts one result to its schema message.
pub fn reply(reply: Reply) -> v1::ItemResult {
    let state = match reply.end {
        End::Done => v1::ItemState::Done,
        End::Failed => v1::ItemState::Failed,
        End::MayHaveRun => v1::ItemState::MayHaveRun,
        End::Cancelled => v1::ItemState::Cancelled,
    };
    v1::ItemResult {
        number: reply.number,
        key: reply.key.to_string(),
        state: state.into(),
        text: reply.text,
        tokens: reply.tokens,
        attempts: reply.attempts,
    }
}

/// Converts a job's state to its schema value.
pub const fn state(state: State) -> v1::JobState {
    match state {
        State::Active => v1::JobState::Active,
        State::Ended => v1::JobState::Ended,
        State::Cancelled => v1::JobState::Cancelled,
    }
}
