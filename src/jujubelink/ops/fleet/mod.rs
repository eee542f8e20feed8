//! Keeps this instance's view of the fleet: configuration, targets and named weights.
//!
//! Each instance watches the list of targets. The configuration is read, not watched: a reading
//! proves that the version in force is the newest, and a watch may hang or be late. Readings are
//! relayed between instances with their age, so that mostly one instance asks.

mod plugin;
mod state;
mod sync;

pub use state::{Fleet, TargetListUpdate};
