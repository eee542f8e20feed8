//! Which engine should load which weights.
//!
//! [`Planner`] is the state of one holder of the order lease: views of engines and stored plans in,
//! [`OrderEffect`]s out. It never takes a model's last ready target out of service, and keeps to the
//! number of concurrent loads and the rate of the weight store.

mod choice;
mod plan;
mod planner;
mod starts;
mod status;
mod supply;

pub use plan::{OrderKind, OrderPlan, Stage};
pub use planner::{IN_FLIGHT_ORDER_TIMEOUT, ORDER_TIMEOUT, OrderEffect, Planner, RESEND_AFTER};
pub use status::{EngineState, EngineStatus};
