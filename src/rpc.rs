//! The RPC schema's types, and its server and client.
//!
//! They implement the Connect protocol: a unary call is one POST with a JSON or a protobuf
//! body, a server stream is one POST answered by enveloped messages. docs/design/rpc.md gives
//! the reasons.

pub mod caller;
pub mod client;
pub mod codec;
pub mod error;
pub mod job;
pub mod method;
pub mod operator;
pub mod server;

/// Types generated from proto/auburnspoke/v1 by `cargo run -p schema`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod v1 {
    include!("rpc/generated/auburnspoke.v1.rs");
    include!("rpc/generated/auburnspoke.v1.serde.rs");
}
