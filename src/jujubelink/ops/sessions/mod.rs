//! Sessions and leases.
//!
//! An instance may use its leases and limit slots only while its session is valid: the session is
//! stored in the platform, and a quorum of other instances, its witnesses, regularly vouches for
//! it. This module maintains the session of this instance, acts as a witness for other sessions,
//! ends the sessions of failed instances by takeover, and holds named leases under the session. The
//! rules are in [`crate::core::lease`].

mod leases;
mod peers;
mod plugin;
mod rpc;
mod service;
mod takeovers;

pub use peers::{Peer, Peers};
pub use rpc::{PeerRpcClient, RpcError};
pub use service::Sessions;
pub use takeovers::EndOutcome;
