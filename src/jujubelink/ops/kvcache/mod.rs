//! Follows the stores of KV cache and says how requests use them.

mod plugin;
mod watch;

pub use watch::{CacheStores, StoreUsage};
