//! Orders to engines by the holder of the order lease.

mod dispatcher;
mod engines;
mod plans;
mod plugin;

pub use dispatcher::OrderDispatcher;
pub use engines::EngineClient;
pub use plans::PLAN_PREFIX;
pub use plugin::ORDER_LEASE;
