//! HTTP helpers: body types, the executor for hyper, a client with a connection pool, a server and a
//! parser of server-sent events.

mod body;
mod buffered_call;
mod client;
mod client_connection;
mod executor;
mod server;
pub mod sse;
mod unsent;

pub use body::{
    Body, BodyError, DEFAULT_SEND_TIME, UnreadBody, attach_guard, collect_limited, discard, empty,
    full, full_in_parts,
};
pub use buffered_call::CallError;
pub use client::{
    Client, ClientError, ConnectionReuse, ConnectionUse, NewConnectionReason, RequestOptions,
    SendFailure,
};
pub use client_connection::{ClientConnection, ConnectionLoss};
pub use executor::LocalExecutor;
pub use server::{
    ConnectionEnd, DEFAULT_WAIT_LIMITS, FREE_HEAD_BYTES, Handler, ServerOptions, serve_connection,
    serve_listener,
};
