//! Discrete-event simulation: the routing and scheduling code of several instances runs against a
//! simple time model of engines.

mod baseline;
mod engine;
mod fleet_config;
mod metrics;
mod simulation;
mod token_bucket;

pub use baseline::Baseline;
pub use engine::Engine;
pub use fleet_config::build_config;
pub use metrics::{FirstTokenBreakdown, RunMetrics, quantile};
pub use simulation::{Policy, run};
