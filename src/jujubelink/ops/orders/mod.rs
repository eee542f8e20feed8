//! Orders to engines to load or unload model weights, issued by the holder of the order lease.

mod dispatcher;
mod engine_client;
mod plans;
mod plugin;

pub use dispatcher::OrderDispatcher;
pub use engine_client::EngineControlClient;
pub use plans::PLAN_PREFIX;
pub use plugin::ORDER_LEASE;
