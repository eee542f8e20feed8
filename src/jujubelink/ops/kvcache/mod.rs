//! Follows the contents of the KV cache stores and decides how requests use them.

mod plugin;
mod watch;

pub use watch::{CacheStores, StoreUsage};
