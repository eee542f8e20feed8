//! This instance's session, its duty as a witness, takeovers of other sessions, and named leases.

mod calls;
mod leases;
mod peers;
mod plugin;
mod service;
mod takeovers;

pub use calls::{PeerRpcClient, RpcError};
pub use peers::{Peer, Peers};
pub use service::Sessions;
pub use takeovers::EndOutcome;
