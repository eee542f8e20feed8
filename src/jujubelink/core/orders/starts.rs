//! Start of new plans.

use std::collections::{BTreeMap, BTreeSet};

use super::choice::{choose_target, needs};
use super::plan::OrderKind;
use super::planner::{OrderEffect, Planner};
use super::status::EngineState;
use super::supply;
use crate::core::config::ConfigSnapshot;
use crate::core::ids::{ModelId, TargetId, WeightsVersion};

/// Largest number of concurrent plans; further targets wait.
const MAX_PLANS: usize = 256;

impl Planner {
    /// Starts plans for the needs of the models, up to the number of concurrent loads.
    pub(super) fn start_plans(&mut self, config: &ConfigSnapshot, effects: &mut Vec<OrderEffect>) {
        let mut planned: BTreeSet<TargetId> = self.plans.keys().cloned().collect();
        let mut loads = self.expected_loads();
        // Draining a target before it can load would only lose capacity.
        let max_plans = (config.fleet.orders.loads_at_a_time as usize).min(MAX_PLANS);
        while planned.len() < max_plans {
            let Some((target, model)) = self.next_load(config, &planned, &loads) else {
                break;
            };
            let Some(settings) = config.fleet.models.get(&model) else {
                break;
            };
            planned.insert(target.clone());
            *loads.entry(model.clone()).or_default() += 1;
            effects.push(OrderEffect::Start {
                target,
                kind: OrderKind::Load,
                weights_version: settings.weights_version.clone(),
                model,
            });
        }
        if planned.len() < max_plans
            && let Some((target, model, weights_version)) = self.next_unload(config, &planned)
        {
            effects.push(OrderEffect::Start {
                target,
                kind: OrderKind::Unload,
                model,
                weights_version,
            });
        }
    }

    /// Returns the number of planned and running loads by model.
    fn expected_loads(&self) -> BTreeMap<ModelId, u32> {
        let mut loads = BTreeMap::new();
        let plans = self.plans.values().map(|state| &state.plan);
        for plan in plans.filter(|plan| plan.kind == OrderKind::Load) {
            *loads.entry(plan.model.clone()).or_default() += 1;
        }
        let loading = self.engines.iter().filter(|(id, engine)| {
            engine.status.state == EngineState::Loading && !self.plans.contains_key(*id)
        });
        for model in loading.filter_map(|(_, engine)| engine.status.loaded_model()) {
            *loads.entry(model.clone()).or_default() += 1;
        }
        loads
    }

    fn next_load(
        &self,
        config: &ConfigSnapshot,
        planned: &BTreeSet<TargetId>,
        loads: &BTreeMap<ModelId, u32>,
    ) -> Option<(TargetId, ModelId)> {
        let statuses = || self.engines.iter().map(|(id, engine)| (id, &engine.status));
        let mut supplies = supply::count(config, statuses(), |id| planned.contains(id));
        // Without the expected loads: a target that is not ready yet must not let a model give up a
        // ready one.
        let ready = supplies.clone();
        for (model, count) in loads {
            if let Some(supply) = supplies.get_mut(model) {
                supply.current += count;
                supply.capacity += self.typical_capacity(model) * count;
            }
        }
        needs(config, &supplies).iter().find_map(|(need, model)| {
            let free = statuses()
                .filter(|(id, _)| !planned.contains(*id) && !self.cooldowns.contains_key(*id));
            let target = choose_target(config, &ready, (*need, model), free)?;
            Some((target, model.clone()))
        })
    }

    /// Returns the largest capacity that any ready target of the model reports.
    fn typical_capacity(&self, model: &str) -> u32 {
        let statuses = self.engines.values().map(|engine| &engine.status);
        let capacities = statuses.filter(|status| status.is_ready_for(model));
        capacities
            .map(|status| status.max_running)
            .max()
            .unwrap_or(1)
    }

    /// Returns a target that may no longer serve its loaded model.
    fn next_unload(
        &self,
        config: &ConfigSnapshot,
        planned: &BTreeSet<TargetId>,
    ) -> Option<(TargetId, ModelId, WeightsVersion)> {
        let statuses = || self.engines.iter().map(|(id, engine)| (id, &engine.status));
        let supplies = supply::count(config, statuses(), |id| planned.contains(id));
        statuses()
            .filter(|(id, status)| status.state == EngineState::Ready && !planned.contains(*id))
            .find_map(|(id, status)| {
                let target = config.fleet.targets.get(id)?;
                let model = status.loaded_model()?;
                let is_allowed = target.models.is_empty() || target.models.contains(model);
                let is_last = supplies.get(model).is_some_and(|supply| supply.ready <= 1);
                if is_allowed || is_last || target.is_draining {
                    return None;
                }
                let version = status.weights_version.clone().unwrap_or_else(|| "".into());
                Some((id.clone(), model.clone(), version))
            })
    }
}
