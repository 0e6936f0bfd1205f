//! Refusals as errors of the Connect protocol.

use std::time::Duration;

use actix_http::StatusCode;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use prost::Message as _;
use serde::{Deserialize, Serialize};

use super::v1;
use crate::outcome::{Reason, Refusal};

/// Type name of the detail that carries the refusal.
const REFUSAL_TYPE: &str = "auburnspoke.v1.Refusal";

/// The body of an error answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// The Connect code, in snake case.
    pub code: String,
    /// Describes the error and what to do.
    pub message: String,
    /// The typed refusal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<Detail>,
}

/// A typed detail of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    /// Name of the message type.
    #[serde(rename = "type")]
    pub kind: String,
    /// The message as base64-encoded protobuf.
    pub value: String,
    /// The message as readable JSON.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub debug: Option<v1::Refusal>,
}

/// Returns the Connect code and the HTTP status of a reason.
pub const fn code(reason: Reason) -> (&'static str, StatusCode) {
    match reason {
        Reason::Invalid => ("invalid_argument", StatusCode::BAD_REQUEST),
        Reason::TooLarge => ("out_of_range", StatusCode::BAD_REQUEST),
        Reason::UnknownService | Reason::UnknownJob => ("not_found", StatusCode::NOT_FOUND),
        Reason::Conflict => ("already_exists", StatusCode::CONFLICT),
        Reason::AlreadyRun => ("failed_precondition", StatusCode::BAD_REQUEST),
        Reason::Deadline => ("deadline_exceeded", StatusCode::GATEWAY_TIMEOUT),
        Reason::Overloaded | Reason::Limited => {
            ("resource_exhausted", StatusCode::TOO_MANY_REQUESTS)
        }
        Reason::NoEndpoint
        | Reason::Platform
        | Reason::NotReady
        | Reason::EndpointFailed
        | Reason::LinkFailed => ("unavailable", StatusCode::SERVICE_UNAVAILABLE),
        // Connect's status for a cancelled call; HTTP defines none.
        Reason::Cancelled => ("canceled", StatusCode::REQUEST_TIMEOUT),
        Reason::Internal => ("internal", StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Converts a refusal to its schema message.
pub fn refusal(not_run: bool, refusal: &Refusal) -> v1::Refusal {
    let message = if refusal.message.is_empty() {
        refusal.reason.advice()
    } else {
        &refusal.message
    };
    v1::Refusal {
        not_run,
        reason: reason(refusal.reason).into(),
        message: message.to_owned(),
        retry_after_ms: refusal
            .retry_after
            .map(|wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
    }
}

/// Builds the error body of a refusal.
pub fn body(not_run: bool, refused: &Refusal) -> Body {
    let typed = refusal(not_run, refused);
    Body {
        code: code(refused.reason).0.to_owned(),
        message: typed.message.clone(),
        details: vec![Detail {
            kind: REFUSAL_TYPE.to_owned(),
            value: STANDARD_NO_PAD.encode(typed.encode_to_vec()),
            debug: Some(typed),
        }],
    }
}

/// Returns the typed refusal of an error body, if it has one.
pub fn typed_refusal(body: &Body) -> Option<v1::Refusal> {
    let detail = body
        .details
        .iter()
        .find(|detail| detail.kind == REFUSAL_TYPE)?;
    let bytes = STANDARD_NO_PAD
        .decode(detail.value.trim_end_matches('='))
        .ok()?;
    v1::Refusal::decode(bytes.as_slice()).ok()
}

/// Returns a wait as whole seconds for the `Retry-After` header, rounded up so that no caller
/// retries too early.
pub fn retry_seconds(wait: Duration) -> u64 {
    wait.as_millis()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u64::MAX)
}

const fn reason(reason: Reason) -> v1::Reason {
    match reason {
        Reason::Invalid => v1::Reason::Invalid,
        Reason::UnknownService => v1::Reason::UnknownService,
        Reason::UnknownJob => v1::Reason::UnknownJob,
        Reason::Conflict => v1::Reason::Conflict,
        Reason::TooLarge => v1::Reason::TooLarge,
        Reason::Deadline => v1::Reason::Deadline,
        Reason::Overloaded => v1::Reason::Overloaded,
        Reason::Limited => v1::Reason::Limited,
        Reason::NoEndpoint => v1::Reason::NoEndpoint,
        Reason::Platform => v1::Reason::Platform,
        Reason::NotReady => v1::Reason::NotReady,
        Reason::Cancelled => v1::Reason::Cancelled,
        Reason::EndpointFailed => v1::Reason::EndpointFailed,
        Reason::AlreadyRun => v1::Reason::AlreadyRun,
        Reason::LinkFailed => v1::Reason::LinkFailed,
        Reason::Internal => v1::Reason::Internal,
    }
}
