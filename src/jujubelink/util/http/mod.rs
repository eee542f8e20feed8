//! HTTP helpers: body types, the executor for hyper, a client with a connection pool, a server and a
//! parser of server-sent events.

mod body;
mod buffered_call;
mod client;
mod executor;
mod server;
pub mod sse;

pub use body::{
    Body, BodyError, attach_guard, collect_limited, collect_reserved, discard, empty, full,
};
pub use buffered_call::CallError;
pub use client::{Client, ClientError, ConnectionReuse, RequestOptions, SendFailure};
pub use executor::LocalExecutor;
pub use server::{Handler, ServerOptions, serve_connection, serve_listener};
