//! The schema's types, and the server and client that speak it.

pub mod client;
pub mod envelope;
pub mod method;

/// Types generated from proto/auburnspoke/v1 by `cargo run -p schema`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod v1 {
    include!("rpc/generated/auburnspoke.v1.rs");
    include!("rpc/generated/auburnspoke.v1.serde.rs");
}
