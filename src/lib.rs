//! Auburnspoke serves online requests and batch jobs for language models on one shared fleet.
//! docs/ARCHITECTURE.md shows how the modules fit together.
//!
//! Modules with decision logic (`dispatch`, `route`, `limit`, `retry`, `member`, `lease`, `job`,
//! ...) take the current time as an argument and use no socket, clock, random source or log. The
//! modules that carry out their decisions contain no decision logic.

pub mod answer;
pub mod attempt;
pub mod batch;
pub mod catalog;
pub mod cli;
pub mod clock;
pub mod config;
pub mod connect;
pub mod digest;
pub mod dispatch;
pub mod edge;
pub mod embedded;
pub mod endpoint;
pub mod event;
pub mod feed;
pub mod gateway;
pub mod http;
pub mod identity;
pub mod job;
pub mod kernel;
pub mod key;
pub mod lease;
pub mod leave;
pub mod limit;
pub mod link;
pub mod locate;
pub mod logger;
pub mod member;
pub mod metric;
pub mod name;
pub mod node;
pub mod once;
pub mod order;
pub mod origin;
pub mod outcome;
pub mod permit;
pub mod placement;
pub mod platform;
pub mod pool;
pub mod quarantine;
pub mod request;
pub mod retry;
pub mod route;
pub mod rpc;
pub mod settings;
pub mod site;
pub mod snapshot;
pub mod split;
pub mod table;
pub mod wire;
