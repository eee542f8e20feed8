//! State that the instances of a fleet exchange directly: usage of rate limits, versions and
//! freshness of the configuration, announced and observed weights, and requests that crash targets.
//!
//! Each instance sends a small UDP datagram to every other one several times a second. There are
//! neither acknowledgements nor consensus. Each message echoes the timestamp of the last message
//! received from each peer. From the echo, the receiver derives an upper bound on the age of the
//! reported state and detects whether messages arrive in both directions.
//!
//! Only part of deployments with [`PluginScope::FleetStore`]. With `PluginScope::Standalone`, the
//! modules `members`, `spread` and `limits` provide the same services.
//!
//! [`PluginScope::FleetStore`]: crate::ops::kernel::PluginScope::FleetStore

mod cache_update;
mod exchange;
mod limits;
mod message;
mod peers;
mod plugin;
mod updates;

pub use cache_update::{decode_store_changes, encode_store_changes};
pub use peers::Peers;
pub use updates::UpdateError;
