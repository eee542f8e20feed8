//! This instance's session, its duty as a witness, takeovers of other sessions, and named leases.

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
