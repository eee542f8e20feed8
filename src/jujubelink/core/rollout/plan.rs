//! Choice of the engine that gets the next order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::{Incarnation, ModelId, TargetId, Timestamp};

/// An engine as last observed by the holder of the lease.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Name.
    pub id: TargetId,
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Version of the weights that it was last observed with.
    pub version: u64,
}

/// Limits and delays of a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutParams {
    /// Time within which all engines are to get a new version. The number of engines that load at
    /// the same time follows from it, from the number of engines, and from the duration of loads.
    pub target_duration: Duration,
    /// Largest fraction of the engines that load at the same time. They take no requests meanwhile.
    pub max_loading_ratio: f64,
    /// Assumed duration of a load until one has been observed.
    pub initial_load_duration: Duration,
    /// Time after an order at which the engine is first polled for its state.
    pub first_check_delay: Duration,
    /// Time after an order from which a report that the engine executes none means that the order was lost.
    pub max_start_delay: Duration,
    /// Time between further polls.
    pub check_period: Duration,
    /// Time after which an order without a visible effect is given again, counted from the last report
    /// that the engine executes one. Orders may be executed seconds late.
    pub resend_after: Duration,
    /// Time before an engine that refused an order or did not respond gets another. It doubles with
    /// each consecutive failure up to `max_failure_backoff`.
    pub failure_backoff: Duration,
    /// Upper limit of `failure_backoff`.
    pub max_failure_backoff: Duration,
}

impl RolloutParams {
    /// Creates the parameters for a platform on which requests must run on newly announced weights
    /// within `weights_bound`.
    pub fn for_bound(weights_bound: Duration) -> Self {
        Self {
            target_duration: weights_bound.mul_f64(TARGET_DURATION_RATIO),
            max_loading_ratio: MAX_LOADING_RATIO,
            initial_load_duration: INITIAL_LOAD_DURATION,
            first_check_delay: FIRST_CHECK_DELAY,
            max_start_delay: MAX_START_DELAY,
            check_period: CHECK_PERIOD,
            resend_after: RESEND_AFTER,
            failure_backoff: FAILURE_BACKOFF,
            max_failure_backoff: MAX_FAILURE_BACKOFF,
        }
    }
}

/// Fraction of the bound on adopting new weights within which a rollout is to be complete. The rest
/// covers a change of the lease holder and orders that are lost.
const TARGET_DURATION_RATIO: f64 = 0.6;

/// Fraction of the engines that may load at the same time. With 7 of 18 engines, the others could
/// not serve even a light load.
const MAX_LOADING_RATIO: f64 = 0.3;

/// A load takes 1.3 s and starts after the running requests have finished.
const INITIAL_LOAD_DURATION: Duration = Duration::from_millis(2_000);

/// Loads take 0.4 to 1.3 s, depending on the deployment. An engine gets no requests until its load is known to be
/// complete. With 1,350 ms, engines that load within 0.57 s got none for more than twice as long, and the number of
/// engines that load at once, which follows from the observed duration, was twice as high.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(400);

/// The reported state is a few hundred milliseconds old, and an engine finishes its running requests first.
const MAX_START_DELAY: Duration = Duration::from_millis(1_350);

const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Engines may execute an order up to 12 s late, or lose it.
const RESEND_AFTER: Duration = Duration::from_secs(6);

/// Time after which an order counts as lost although its engine reports that it executes one: that may
/// be another order, or the engine hangs.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(20);

const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// An engine that is down for seconds stays in the list until its entry expires.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// Weight of the newest load in the moving average of their duration. Loads that start together end
/// together; with 0.2, the last batch alone decided the number of engines in the next one.
const LOAD_DURATION_WEIGHT: f64 = 0.05;

/// Next action of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutAction {
    /// Order an engine to load.
    Order {
        /// Engine.
        target: TargetId,
        /// Model.
        model: ModelId,
        /// Version to load.
        version: u64,
    },
    /// Poll an engine for its state.
    Check {
        /// Engine.
        target: TargetId,
    },
}

/// An engine that has the weights it was ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedLoad {
    /// Engine.
    pub target: TargetId,
    /// Version that the order named.
    pub version: u64,
    /// Time from the order until the weights were observed.
    pub duration: Duration,
}

/// Number of engines in each stage of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Engines with outdated weights, including those that are loading.
    pub outdated: usize,
    /// Engines with an outstanding order.
    pub loading: usize,
    /// Largest number of engines that may have an outstanding order.
    pub max_loading: usize,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine executes the order.
    Accepted,
    /// The engine already had the version.
    Holds,
    /// The engine is executing another order, or has accepted more orders than expected.
    Busy,
    /// The engine refused the order or did not respond; in the latter case it may execute the order
    /// later.
    Failed,
}

#[derive(Debug, Clone)]
struct Pending {
    incarnation: Incarnation,
    version: u64,
    ordered_at: Timestamp,
    /// When the engine was last known to execute the order, or got it.
    active_at: Timestamp,
    next_check: Timestamp,
    is_check_pending: bool,
    /// Whether the engine reported that it executes no order. The report may also mean that it has the
    /// weights already.
    is_idle: bool,
}

/// Consecutive orders that an engine refused or did not answer.
#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    /// Time before which the engine gets no order.
    backoff_until: Timestamp,
}

/// Outstanding orders for one model.
#[derive(Debug)]
pub struct Rollout {
    model: ModelId,
    params: RolloutParams,
    pending: BTreeMap<TargetId, Pending>,
    /// Failed orders by engine, since its last successful one.
    failures: BTreeMap<TargetId, Failures>,
    /// Moving average of the time from an order until the weights were observed.
    load_duration: Duration,
    completed: Vec<CompletedLoad>,
}

impl Rollout {
    /// Creates a rollout without outstanding orders.
    pub fn new(model: ModelId, params: RolloutParams) -> Self {
        Self {
            model,
            params,
            pending: BTreeMap::new(),
            failures: BTreeMap::new(),
            load_duration: params.initial_load_duration,
            completed: Vec::new(),
        }
    }

    /// Returns the engines with an outstanding order, with their runs.
    pub fn loading(&self) -> impl Iterator<Item = (TargetId, Incarnation)> + '_ {
        let pending = self.pending.iter();
        pending.map(|(id, pending)| (id.clone(), pending.incarnation))
    }

    /// Returns the progress towards `newest`.
    pub fn progress(&self, newest: u64, engines: &[Engine]) -> RolloutProgress {
        let outdated = engines.iter().filter(|engine| engine.version < newest);
        RolloutProgress {
            outdated: outdated.count(),
            loading: self.pending.len(),
            max_loading: self.max_loading(engines.len()),
        }
    }

    /// Returns the number of engines that may load at the same time: as many as bring all engines to
    /// a new version within the target duration, but at most a fraction of them, and at least one.
    fn max_loading(&self, engine_count: usize) -> usize {
        let engine_count = engine_count as f64;
        let rounds = self.params.target_duration.as_secs_f64() / self.load_duration.as_secs_f64();
        let needed = engine_count / rounds;
        let allowed = engine_count * self.params.max_loading_ratio;
        needed.min(allowed).ceil().max(1.0) as usize
    }

    /// Removes and returns the loads that have been observed to be complete.
    pub fn take_completed(&mut self) -> Vec<CompletedLoad> {
        std::mem::take(&mut self.completed)
    }

    /// Moves the orders whose engine has the ordered weights to the completed loads.
    fn complete_loads(&mut self, engines: &BTreeMap<&TargetId, &Engine>, now: Timestamp) {
        for (id, pending) in &self.pending {
            let is_complete = engines.get(id).is_some_and(|engine| {
                engine.incarnation == pending.incarnation && engine.version >= pending.version
            });
            if is_complete {
                let duration = now.saturating_sub(pending.ordered_at);
                self.load_duration = self.load_duration.mul_f64(1.0 - LOAD_DURATION_WEIGHT)
                    + duration.mul_f64(LOAD_DURATION_WEIGHT);
                self.completed.push(CompletedLoad {
                    target: id.clone(),
                    version: pending.version,
                    duration,
                });
            }
        }
    }

    /// Ends the orders that are complete or lost, as `engines` show, without giving new ones.
    pub fn observe(&mut self, engines: &[Engine], now: Timestamp) {
        let engines_by_id: BTreeMap<&TargetId, &Engine> =
            engines.iter().map(|engine| (&engine.id, engine)).collect();
        let params = self.params;
        self.pending.retain(|_, pending| {
            now < pending.active_at + params.resend_after
                && now < pending.ordered_at + MAX_LOAD_DURATION
        });
        self.complete_loads(&engines_by_id, now);
        self.pending.retain(|id, pending| {
            engines_by_id.get(id).is_some_and(|engine| {
                engine.incarnation == pending.incarnation
                    && engine.version < pending.version
                    && !pending.is_idle
            })
        });
        self.failures.retain(|id, _| engines_by_id.contains_key(id));
    }

    /// Returns the actions that bring `engines` to `newest`. The result of each action must be
    /// reported back.
    pub fn next(&mut self, newest: u64, engines: &[Engine], now: Timestamp) -> Vec<RolloutAction> {
        self.observe(engines, now);
        let mut actions = Vec::new();
        for (id, pending) in &mut self.pending {
            if !pending.is_check_pending && now >= pending.next_check {
                pending.is_check_pending = true;
                actions.push(RolloutAction::Check { target: id.clone() });
            }
        }
        let mut waiting: Vec<&Engine> = engines
            .iter()
            .filter(|engine| engine.version < newest)
            .filter(|engine| !self.pending.contains_key(&engine.id))
            .filter(|engine| {
                let failures = self.failures.get(&engine.id);
                failures.is_none_or(|failures| now >= failures.backoff_until)
            })
            .collect();
        // Those with the oldest weights are updated first, because old weights are worth least. Among
        // engines with the same weights, those that do not answer must not hold the places of others.
        // If they came after all others, they would never have a turn while versions keep coming.
        waiting.sort_by_key(|engine| {
            let has_failed = self.failures.contains_key(&engine.id);
            (engine.version, has_failed, engine.id.clone())
        });
        let max_loading = self.max_loading(engines.len());
        let free = max_loading.saturating_sub(self.pending.len());
        for engine in waiting.into_iter().take(free) {
            self.pending.insert(
                engine.id.clone(),
                Pending {
                    incarnation: engine.incarnation,
                    version: newest,
                    ordered_at: now,
                    active_at: now,
                    next_check: now + self.params.first_check_delay,
                    is_check_pending: false,
                    is_idle: false,
                },
            );
            actions.push(RolloutAction::Order {
                target: engine.id.clone(),
                model: self.model.clone(),
                version: newest,
            });
        }
        actions
    }

    /// Records the result of an order.
    pub fn on_order(&mut self, target: &TargetId, result: OrderResult, now: Timestamp) {
        match result {
            OrderResult::Accepted => drop(self.failures.remove(target)),
            OrderResult::Holds => {
                self.failures.remove(target);
                self.pending.remove(target);
            }
            OrderResult::Busy | OrderResult::Failed => {
                self.pending.remove(target);
                let count = self
                    .failures
                    .get(target)
                    .map_or(0, |failures| failures.count);
                let backoff = self.params.failure_backoff * 2u32.saturating_pow(count);
                let failures = Failures {
                    count: count.saturating_add(1),
                    backoff_until: now + backoff.min(self.params.max_failure_backoff),
                };
                self.failures.insert(target.clone(), failures);
            }
        }
    }

    /// Records the response to a poll; `None` if the poll failed. `is_busy` is whether the engine
    /// is executing an order.
    pub fn on_checked(&mut self, target: &TargetId, is_busy: Option<bool>, now: Timestamp) {
        let Some(pending) = self.pending.get_mut(target) else {
            return;
        };
        pending.is_check_pending = false;
        pending.next_check = now + self.params.check_period;
        if is_busy == Some(true) {
            pending.active_at = now;
        }
        // An order that has neither started nor finished by now was lost.
        pending.is_idle =
            is_busy == Some(false) && now >= pending.ordered_at + self.params.max_start_delay;
    }
}
