//! Stored plan for one target.

use serde::{Deserialize, Serialize};

use crate::core::ids::{Epoch, ModelId, TargetId, WeightsVersion};

/// Kind of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load weights, replacing the loaded ones.
    Load,
    /// Unload the weights.
    Unload,
}

/// Stage of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The target gets no new requests, and its running ones finish.
    Drain,
    /// The order has been sent or is about to be.
    Order,
}

/// Value of the platform object `orders/plan/<target>`. It is written before each step, so that the
/// next holder of the lease can continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderPlan {
    /// Target.
    pub target: TargetId,
    /// Identifier of the order; an engine executes each order once.
    pub order_id: String,
    /// Fencing number of the lease holder that last wrote the plan.
    pub epoch: Epoch,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Model.
    pub model: ModelId,
    /// Version of the weights.
    pub weights_version: WeightsVersion,
    /// Current stage.
    pub stage: Stage,
    /// Nonce of the last write. After a lost response, the writer reads the object back and
    /// compares it.
    pub nonce: String,
}
