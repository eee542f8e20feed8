//! This instance's view of the fleet: configuration, targets and announced weights.
//!
//! Each instance watches the target list. It polls the configuration instead of watching it: a read
//! proves that the active version is the newest one, whereas a watch may hang or lag. Instances
//! relay the results of reads together with their age, so usually only one instance reads from the
//! store.
//!
//! Announced weights are the versions of model weights that the store announces for the engines to
//! load. After an announcement, requests may still run on older versions for a bounded time.
//!
//! Only part of deployments with [`PluginScope::FleetStore`].
//!
//! [`PluginScope::FleetStore`]: crate::ops::kernel::PluginScope::FleetStore

mod faults;
mod plugin;
mod state;
mod sync;

pub use state::{Fleet, TargetListUpdate};
