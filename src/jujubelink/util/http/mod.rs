//! HTTP helpers: body types, the executor for hyper and a pooled client.

mod body;
mod call;
mod client;
mod executor;
mod server;
pub mod sse;

pub use body::{Body, BodyError, collect_limited, discard, empty, full, hold};
pub use call::CallError;
pub use client::{Client, ClientError, ConnectionMark, RequestOptions, SendFailure};
pub use executor::LocalExecutor;
pub use server::{Handler, ServerOptions, serve_connection, serve_listener};
