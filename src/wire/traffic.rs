//! Frames that carry requests from a gateway to a dispatcher and answers back.

use serde::{Deserialize, Serialize};

use crate::dispatch::Load;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::request::{Answer, Piece, Request};
use crate::wire::query::{Query, Reply};

/// A frame on a traffic connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The handshake, the first frame in each direction.
    Hello {
        /// The sender's protocol version.
        version: u16,
        /// The sender's name.
        node: Name,
    },
    /// Submits a request for an endpoint that the receiver dispatches for.
    Submit {
        /// The sender's id of the request, unique on this connection.
        id: u64,
        /// The endpoint to run it at.
        endpoint: Name,
        /// The request.
        request: Box<Request>,
    },
    /// Cancels a request whose caller has disconnected.
    Cancel {
        /// The id of the request.
        id: u64,
    },
    /// A part of an answer.
    Piece {
        /// The id of the request.
        id: u64,
        /// The part of the answer, with its offset.
        piece: Piece,
        /// The endpoint's load, with the first piece of a run.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// A query to the receiver's control thread.
    Query {
        /// The sender's id of the query, unique on this connection.
        id: u64,
        /// The query.
        query: Query,
    },
    /// The reply to a query.
    Reply {
        /// The id of the query.
        id: u64,
        /// The reply.
        reply: Reply,
    },
    /// The end of a request.
    End {
        /// The id of the request.
        id: u64,
        /// Its outcome.
        outcome: Outcome<Answer>,
        /// The endpoint's current load.
        load: Load,
    },
}
