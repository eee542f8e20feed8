//! Ready targets and demand per model.

use std::collections::BTreeMap;

use super::status::{EngineState, EngineStatus};
use crate::core::config::{ConfigSnapshot, Target, TargetKind};
use crate::core::ids::{ModelId, TargetId};

/// Utilization of a model's capacity above which the model needs another target.
const HIGH_UTILIZATION: f64 = 0.8;

/// Utilization of the remaining capacity below which a model can spare one of its targets.
const LOW_UTILIZATION: f64 = 0.5;

/// Targets and demand of one model.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Supply {
    /// Targets that can run the model's requests, with any version of the weights.
    pub(super) ready: u32,
    /// Targets that have the configured version or are loading it.
    pub(super) current: u32,
    /// Requests that are running or waiting.
    pub(super) requests: u32,
    /// Requests that are waiting.
    pub(super) waiting: u32,
    /// Requests that can run concurrently.
    pub(super) capacity: u32,
}

impl Supply {
    /// Whether demand requires another target.
    pub(super) fn needs_capacity(&self) -> bool {
        self.capacity > 0 && f64::from(self.requests) > HIGH_UTILIZATION * f64::from(self.capacity)
    }

    /// Whether demand can be met without a target of `capacity`.
    pub(super) fn can_spare(&self, capacity: u32) -> bool {
        let left = self.capacity.saturating_sub(capacity);
        f64::from(self.requests) < LOW_UTILIZATION * f64::from(left)
    }

    /// Returns the ratio of requests to capacity, in thousandths.
    pub(super) fn utilization_permille(&self) -> u32 {
        self.requests.saturating_mul(1_000) / self.capacity.max(1)
    }
}

/// Whether a target can receive orders and counts towards capacity.
pub(super) fn is_in_service(target: &Target, status: &EngineStatus) -> bool {
    target.kind == TargetKind::Engine && !target.is_draining && status.state != EngineState::Leaving
}

/// Counts the targets and demand of each configured model. Targets for which `is_changing` returns
/// true are about to change and do not count as ready.
pub(super) fn count<'a>(
    config: &ConfigSnapshot,
    statuses: impl Iterator<Item = (&'a TargetId, &'a EngineStatus)>,
    is_changing: impl Fn(&TargetId) -> bool,
) -> BTreeMap<ModelId, Supply> {
    let mut supplies: BTreeMap<ModelId, Supply> = config
        .fleet
        .models
        .keys()
        .map(|model| (model.clone(), Supply::default()))
        .collect();
    for (id, status) in statuses {
        let Some(target) = config.fleet.targets.get(id) else {
            continue;
        };
        let Some(supply) = status
            .loaded_model()
            .and_then(|model| supplies.get_mut(model))
        else {
            continue;
        };
        supply.requests += status.running + status.waiting;
        supply.waiting += status.waiting;
        if status.state != EngineState::Ready || !is_in_service(target, status) || is_changing(id) {
            continue;
        }
        supply.ready += 1;
        supply.capacity += status.max_running;
        let model = status
            .loaded_model()
            .and_then(|model| config.fleet.models.get(model));
        let wanted = model.map(|model| &model.weights_version);
        if wanted.is_some() && status.weights_version.as_ref() == wanted {
            supply.current += 1;
        }
    }
    supplies
}
