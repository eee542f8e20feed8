//! Plans and engine states at the holder of the order lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::plan::{OrderKind, OrderPlan, Stage};
use super::status::{EngineState, EngineStatus};
use super::supply;
use crate::core::config::{ConfigSnapshot, TargetKind};
use crate::core::ids::{Epoch, ModelId, TargetId, Timestamp, WeightsVersion};

/// Time within which an engine must accept an order. The connection is then closed, so that no
/// later part of the order can arrive.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after taking the lease by which an order of an earlier holder, sent just before its session
/// ended, has arrived or is lost: its connection is closed [`ORDER_TIMEOUT`] after the send, and
/// the kernel drops unacknowledged data after 8 s. Targets that ignore fencing numbers get no order
/// before.
pub const IN_FLIGHT_ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an order without a visible effect is sent again, with the same id.
pub const RESEND_AFTER: Duration = Duration::from_secs(10);

/// Age above which the state of an engine is discarded.
const MAX_STATUS_AGE: Duration = Duration::from_secs(180);

/// Time without a response of an engine after which its plan is abandoned, so that it does not
/// delay other loads.
const ENGINE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of sends of one order without a visible effect after which its plan is abandoned.
const MAX_SEND_ATTEMPTS: u32 = 5;

/// Time for which a target gets no new plan after its plan was abandoned.
const ABANDONED_PLAN_COOLDOWN: Duration = Duration::from_secs(300);

/// Action that the process has to carry out. Each effect first writes the plan, and an order is
/// sent only while the lease is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect {
    /// Store a new plan and stop sending new requests to its target.
    Start {
        /// Target.
        target: TargetId,
        /// Kind of the order.
        kind: OrderKind,
        /// Model.
        model: ModelId,
        /// Version of the weights.
        weights_version: WeightsVersion,
    },
    /// Store the plan with stage [`Stage::Order`], then send the order.
    Send {
        /// Target.
        target: TargetId,
    },
    /// Delete the plan and let the target take requests again.
    Finish {
        /// Target.
        target: TargetId,
    },
}

#[derive(Debug)]
pub(super) struct PlanState {
    pub(super) plan: OrderPlan,
    sent_at: Option<Timestamp>,
    send_attempts: u32,
    /// Since when the engine has not responded.
    unresponsive_since: Option<Timestamp>,
}

#[derive(Debug)]
pub(super) struct PolledEngine {
    pub(super) status: EngineStatus,
    polled_at: Timestamp,
}

/// Plans and engine states of one holder of the order lease.
#[derive(Debug)]
pub struct Planner {
    acquired_at: Timestamp,
    epoch: Epoch,
    pub(super) plans: BTreeMap<TargetId, PlanState>,
    pub(super) engines: BTreeMap<TargetId, PolledEngine>,
    /// Targets that were polled at least once, with or without success.
    polled: BTreeSet<TargetId>,
    /// Targets whose plans were abandoned, with the time until which they get no new plan.
    pub(super) cooldowns: BTreeMap<TargetId, Timestamp>,
    load_budget: f64,
    refilled_at: Timestamp,
}

impl Planner {
    /// Creates the state of a holder that has just taken the lease.
    pub fn new(epoch: Epoch, now: Timestamp) -> Self {
        Self {
            acquired_at: now,
            epoch,
            plans: BTreeMap::new(),
            engines: BTreeMap::new(),
            polled: BTreeSet::new(),
            cooldowns: BTreeMap::new(),
            load_budget: 1.0,
            refilled_at: now,
        }
    }

    /// Returns the fencing number of the lease.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Records a stored plan, written by an earlier holder or by this one.
    pub fn on_plan(&mut self, plan: OrderPlan) {
        match self.plans.get_mut(&plan.target) {
            Some(existing) => existing.plan = plan,
            None => {
                let state = PlanState {
                    plan,
                    sent_at: None,
                    send_attempts: 0,
                    unresponsive_since: None,
                };
                self.plans.insert(state.plan.target.clone(), state);
            }
        }
    }

    /// Records that an order is sent now.
    pub fn on_sent(&mut self, target: &TargetId, now: Timestamp) {
        if let Some(state) = self.plans.get_mut(target) {
            state.sent_at = Some(now);
            state.send_attempts += 1;
        }
    }

    /// Records that a plan was deleted.
    pub fn on_finished(&mut self, target: &TargetId) {
        self.plans.remove(target);
    }

    /// Records the state that an engine returned to a poll; `None` if the poll failed.
    pub fn on_status(&mut self, target: &TargetId, status: Option<EngineStatus>, now: Timestamp) {
        self.polled.insert(target.clone());
        if let Some(state) = self.plans.get_mut(target) {
            state.unresponsive_since = match &status {
                Some(_) => None,
                None => state.unresponsive_since.or(Some(now)),
            };
        }
        match status {
            Some(status) => {
                self.engines.insert(
                    target.clone(),
                    PolledEngine {
                        status,
                        polled_at: now,
                    },
                );
            }
            None => {
                self.engines.remove(target);
            }
        }
    }

    /// Returns the active plan of a target.
    pub fn plan(&self, target: &TargetId) -> Option<&OrderPlan> {
        self.plans.get(target).map(|state| &state.plan)
    }

    /// Whether an engine reports that it is stopping.
    pub fn is_leaving(&self, target: &TargetId) -> bool {
        let engine = self.engines.get(target);
        engine.is_some_and(|engine| engine.status.state == EngineState::Leaving)
    }

    /// Returns the targets with active plans.
    pub fn planned_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.plans.keys()
    }

    /// Returns the next effects to carry out.
    pub fn next(&mut self, config: &ConfigSnapshot, now: Timestamp) -> Vec<OrderEffect> {
        self.remove_outdated(config, now);
        self.refill(config, now);
        let mut effects = self.advance_plans(config, now);
        let engines = config.fleet.targets.iter();
        let mut engines = engines.filter(|(_, target)| target.kind == TargetKind::Engine);
        // Ready targets that were not polled yet would be counted as missing.
        if engines.all(|(id, _)| self.polled.contains(id)) {
            self.start_plans(config, &mut effects);
        }
        effects
    }

    fn remove_outdated(&mut self, config: &ConfigSnapshot, now: Timestamp) {
        let targets = &config.fleet.targets;
        self.engines.retain(|id, engine| {
            targets.contains_key(id) && now < engine.polled_at + MAX_STATUS_AGE
        });
        self.polled.retain(|id| targets.contains_key(id));
        self.cooldowns.retain(|_, until| now < *until);
    }

    fn refill(&mut self, config: &ConfigSnapshot, now: Timestamp) {
        let settings = &config.fleet.orders;
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let per_s = f64::from(settings.weight_store_loads_per_min) / 60.0;
        let max_budget = f64::from(settings.loads_at_a_time.max(1));
        self.load_budget = (self.load_budget + elapsed * per_s).min(max_budget);
        self.refilled_at = now;
    }

    fn advance_plans(&mut self, config: &ConfigSnapshot, now: Timestamp) -> Vec<OrderEffect> {
        let mut effects = Vec::new();
        let targets: Vec<TargetId> = self.plans.keys().cloned().collect();
        for target in targets {
            if self.is_complete_or_obsolete(config, &target)
                || self.is_last_ready_target(config, &target, now)
            {
                effects.push(OrderEffect::Finish { target });
            } else if self.should_abandon(&target, now) {
                self.cooldowns
                    .insert(target.clone(), now + ABANDONED_PLAN_COOLDOWN);
                effects.push(OrderEffect::Finish { target });
            } else if self.should_send(config, &target, now)
                && self.try_reserve_load(config, &target)
            {
                effects.push(OrderEffect::Send { target });
            }
        }
        effects
    }

    /// Whether the goal of the plan is reached or no longer wanted.
    fn is_complete_or_obsolete(&self, config: &ConfigSnapshot, target: &TargetId) -> bool {
        let plan = &self.plans[target].plan;
        let Some(settings) = config.fleet.targets.get(target) else {
            return true;
        };
        let wanted = config.fleet.models.get(&plan.model);
        let is_wanted = match plan.kind {
            OrderKind::Unload => true,
            OrderKind::Load => {
                settings.models.contains(&plan.model)
                    && wanted.is_some_and(|model| model.weights_version == plan.weights_version)
            }
        };
        // An order that was sent is awaited, even if it is no longer wanted.
        if !is_wanted && plan.stage == Stage::Drain {
            return true;
        }
        let Some(engine) = self.engines.get(target) else {
            return false;
        };
        match plan.kind {
            OrderKind::Load => engine.status.has(&plan.model, &plan.weights_version),
            OrderKind::Unload => {
                engine.status.state != EngineState::Loading
                    && engine.status.loaded_model().is_none()
            }
        }
    }

    /// Whether the target has become its model's last ready one since the plan was created.
    fn is_last_ready_target(
        &self,
        config: &ConfigSnapshot,
        target: &TargetId,
        now: Timestamp,
    ) -> bool {
        let state = &self.plans[target];
        let may_be_in_flight =
            state.plan.stage == Stage::Order && now < self.acquired_at + IN_FLIGHT_ORDER_TIMEOUT;
        let Some(engine) = self.engines.get(target) else {
            return false;
        };
        if state.sent_at.is_some() || may_be_in_flight || engine.status.state != EngineState::Ready
        {
            return false;
        }
        let statuses = self.engines.iter().map(|(id, engine)| (id, &engine.status));
        let supplies = supply::count(config, statuses, |id| self.plans.contains_key(id));
        let model = engine.status.loaded_model();
        let supply = model.and_then(|model| supplies.get(model));
        supply.is_some_and(|supply| supply.ready == 0)
    }

    /// Whether the engine has stopped responding or ignores the order.
    fn should_abandon(&self, target: &TargetId, now: Timestamp) -> bool {
        let state = &self.plans[target];
        let is_unresponsive = state
            .unresponsive_since
            .is_some_and(|since| now >= since + ENGINE_RESPONSE_TIMEOUT);
        let is_ignored = state.send_attempts >= MAX_SEND_ATTEMPTS
            && state.sent_at.is_some_and(|at| now >= at + RESEND_AFTER)
            && self
                .engines
                .get(target)
                .is_some_and(|engine| engine.status.state != EngineState::Loading);
        is_unresponsive || is_ignored
    }

    fn should_send(&self, config: &ConfigSnapshot, target: &TargetId, now: Timestamp) -> bool {
        let state = &self.plans[target];
        let Some(engine) = self.engines.get(target) else {
            return false;
        };
        if engine.status.state == EngineState::Loading {
            return false;
        }
        let checks_fencing = config.fleet.targets[target].checks_fencing;
        if !checks_fencing && now < self.acquired_at + IN_FLIGHT_ORDER_TIMEOUT {
            return false;
        }
        match state.sent_at {
            None => engine.status.running == 0 && engine.status.waiting == 0,
            // The state must be newer than the order, otherwise it shows the engine before the
            // order.
            Some(at) => now >= at + RESEND_AFTER && engine.polled_at > at + ORDER_TIMEOUT,
        }
    }

    /// Reserves a load within the limits on loads, if the order needs one. Returns `false` if a
    /// limit is reached. An order that is sent again counts once.
    fn try_reserve_load(&mut self, config: &ConfigSnapshot, target: &TargetId) -> bool {
        let state = &self.plans[target];
        if state.plan.kind == OrderKind::Unload || state.sent_at.is_some() {
            return true;
        }
        let loads = self.loads_in_progress(target);
        if loads >= config.fleet.orders.loads_at_a_time || self.load_budget < 1.0 {
            return false;
        }
        self.load_budget -= 1.0;
        // Counted immediately, so that a single pass does not exceed the limit.
        if let Some(state) = self.plans.get_mut(target) {
            state.sent_at = Some(self.refilled_at);
        }
        true
    }

    /// Returns the number of loads that are or may be in progress at targets other than `target`.
    fn loads_in_progress(&self, target: &TargetId) -> u32 {
        let ordered = self.plans.values().filter(|state| {
            let is_ordered = state.sent_at.is_some() || state.plan.stage == Stage::Order;
            is_ordered && state.plan.kind == OrderKind::Load && state.plan.target != *target
        });
        let unplanned = self.engines.iter().filter(|(id, engine)| {
            engine.status.state == EngineState::Loading
                && *id != target
                && !self.plans.contains_key(*id)
        });
        (ordered.count() + unplanned.count()) as u32
    }
}
