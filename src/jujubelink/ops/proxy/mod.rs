//! Client-facing proxy: accepts connections, authenticates requests and forwards them to targets.

mod auth;
mod client_limits;
mod connections;
mod handler;
mod http2_memory;
mod key_revocation;
mod model;
mod plain;
mod plugin;
mod refusal;
mod relay;
mod request_body;
mod request_id;
mod request_log;
mod waits;

pub use refusal::{Outcome, Refusal, RefusalCode};
