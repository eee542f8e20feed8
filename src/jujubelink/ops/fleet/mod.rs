//! This instance's view of the fleet: configuration, targets and announced weights.
//!
//! Each instance watches the target list. It polls the configuration instead of watching it: a read
//! proves that the active version is the newest one, whereas a watch may hang or lag. Instances
//! relay the results of reads together with their age, so usually only one instance reads from the
//! store.

mod plugin;
mod state;
mod sync;

pub use state::{Fleet, TargetListUpdate};
