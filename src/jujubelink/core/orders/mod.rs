//! Decides which engine should load or unload which weights.
//!
//! [`Planner`] is the state of one holder of the order lease: it takes engine states and stored
//! plans, and returns [`OrderEffect`]s. It never takes a model's last ready target out of service,
//! and respects the limits on concurrent loads and on the load rate of the weight store.
//!
//! Used in standalone deployments; with a fleet store, [`rollout`](super::rollout) takes its place.

mod choice;
mod plan;
mod planner;
mod starts;
mod status;
mod supply;

pub use plan::{OrderKind, OrderPlan, Stage};
pub use planner::{IN_FLIGHT_ORDER_TIMEOUT, ORDER_TIMEOUT, OrderEffect, Planner, RESEND_AFTER};
pub use status::{EngineState, EngineStatus};
