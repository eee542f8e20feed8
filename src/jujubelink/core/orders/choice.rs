//! Choice of the next weights to load, and of the target to load them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::status::{EngineState, EngineStatus};
use super::supply::{Supply, is_in_service};
use crate::core::config::{ConfigSnapshot, Model, Target};
use crate::core::ids::{ModelId, TargetId};

/// Why a model needs a target, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Need {
    /// No target can run its requests, and no load of the model is planned or running.
    NoneReady,
    /// Fewer targets than configured have the right version.
    BelowMinimum,
    /// Demand is close to the capacity.
    HighDemand,
    /// Some targets have another version.
    OldVersion,
}

/// Returns the models that need a target, most urgent first.
pub(super) fn needs(
    config: &ConfigSnapshot,
    supplies: &BTreeMap<ModelId, Supply>,
) -> Vec<(Need, ModelId)> {
    let mut needs: Vec<_> = supplies
        .iter()
        .filter_map(|(id, supply)| {
            let model = config.fleet.models.get(id)?;
            let need = need_of(model, supply)?;
            let order = (
                need,
                Reverse(supply.waiting),
                Reverse(supply.utilization_permille()),
            );
            Some((order, (need, id.clone())))
        })
        .collect();
    needs.sort();
    needs.into_iter().map(|(_, need)| need).collect()
}

fn need_of(model: &Model, supply: &Supply) -> Option<Need> {
    if supply.ready == 0 && supply.current == 0 {
        Some(Need::NoneReady)
    } else if supply.current < model.min_ready_targets {
        Some(Need::BelowMinimum)
    } else if supply.needs_capacity() {
        Some(Need::HighDemand)
    } else if supply.current < supply.ready {
        Some(Need::OldVersion)
    } else {
        None
    }
}

/// A target that may be chosen for a load.
struct Candidate<'a> {
    id: &'a TargetId,
    target: &'a Target,
    status: &'a EngineStatus,
}

/// Returns the best target for a model's weights: preferably an idle one, then one that serves only
/// a model that is no longer configured, then one with another version of the weights, then one
/// that another model can spare.
pub(super) fn choose_target<'a>(
    config: &'a ConfigSnapshot,
    supplies: &BTreeMap<ModelId, Supply>,
    (need, model): (Need, &ModelId),
    free: impl Iterator<Item = (&'a TargetId, &'a EngineStatus)>,
) -> Option<TargetId> {
    free.filter_map(|(id, status)| {
        let target = config.fleet.targets.get(id)?;
        Some(Candidate { id, target, status })
    })
    .filter(|candidate| is_in_service(candidate.target, candidate.status))
    .filter(|candidate| candidate.target.models.contains(model))
    .filter_map(|candidate| {
        let preference = preference(config, supplies, need, model, &candidate)?;
        Some((preference, candidate.status.running, candidate.id))
    })
    .min()
    .map(|(_, _, id)| id.clone())
}

/// Returns the preference for a candidate, where smaller is better, or `None` if it must not be
/// chosen.
fn preference(
    config: &ConfigSnapshot,
    supplies: &BTreeMap<ModelId, Supply>,
    need: Need,
    model: &ModelId,
    candidate: &Candidate<'_>,
) -> Option<u8> {
    let status = candidate.status;
    if status.state == EngineState::Loading {
        return None;
    }
    let Some(loaded) = status.loaded_model() else {
        return Some(0);
    };
    if status.state != EngineState::Ready {
        return Some(0);
    }
    let Some(loaded_supply) = supplies.get(loaded) else {
        // The loaded model is no longer configured.
        return Some(1);
    };
    if loaded == model {
        let wanted = &config.fleet.models.get(model)?.weights_version;
        let is_old = status.weights_version.as_ref() != Some(wanted);
        // A ready target may be out of service during its load, but not the last one.
        let is_allowed = is_old && loaded_supply.ready > 1;
        return is_allowed.then_some(2);
    }
    if need == Need::OldVersion {
        return None;
    }
    let min_ready = config.fleet.models.get(loaded)?.min_ready_targets.max(1);
    let can_spare = loaded_supply.ready > min_ready
        && (need < Need::HighDemand || loaded_supply.can_spare(status.max_running));
    can_spare.then_some(3)
}
