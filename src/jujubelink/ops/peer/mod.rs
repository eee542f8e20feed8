//! RPC between instances: tonic services over HTTP/2 on the event loop.
//!
//! A plug-in that serves RPCs adds its generated server to [`PeerServices`] in `register`. A
//! plug-in that makes calls takes a [`PeerChannel`] from [`PeerChannels`] and sets a deadline for
//! each call. After a call without a response or a missed heartbeat, the next call opens a new
//! connection.

mod auth;
mod channel;
mod server;

pub use auth::PeerToken;
pub use channel::{PeerChannel, PeerChannels, PeerError};
pub use server::PeerServices;
