//! Choice of the engine that gets the next order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::{Incarnation, ModelId, TargetId, Timestamp};

/// An engine as the holder sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Name.
    pub id: TargetId,
    /// Run.
    pub incarnation: Incarnation,
    /// Weights that it is believed to have.
    pub version: u64,
}

/// Limits of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutParams {
    /// Engines that may load at the same time.
    pub max_loading: usize,
    /// Time after an accepted order at which the engine is asked for its state.
    pub first_check_delay: Duration,
    /// Time between further questions.
    pub check_period: Duration,
    /// Time after which an order without an effect is given again. Orders may be carried out
    /// seconds late.
    pub resend_after: Duration,
    /// Pause before an engine that refused an order or did not answer gets another.
    pub failure_backoff: Duration,
}

/// What to do next.
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
    /// Ask an engine for its state.
    Check {
        /// Engine.
        target: TargetId,
    },
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carries the order out.
    Accepted,
    /// The engine had the version already.
    Holds,
    /// Another order is under way, or the engine accepted more orders than expected.
    Busy,
    /// The engine refused, or did not answer: the order may be carried out later.
    Failed,
}

#[derive(Debug, Clone)]
struct Pending {
    incarnation: Incarnation,
    version: u64,
    ordered_at: Timestamp,
    next_check: Timestamp,
    is_check_pending: bool,
}

/// Orders of one model under way.
#[derive(Debug)]
pub struct Rollout {
    model: ModelId,
    params: RolloutParams,
    pending: BTreeMap<TargetId, Pending>,
    backoffs: BTreeMap<TargetId, Timestamp>,
}

impl Rollout {
    /// A rollout without orders under way.
    pub fn new(model: ModelId, params: RolloutParams) -> Self {
        Self {
            model,
            params,
            pending: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// Engines with an order under way, by their run.
    pub fn loading(&self) -> impl Iterator<Item = (TargetId, Incarnation)> + '_ {
        let pending = self.pending.iter();
        pending.map(|(id, pending)| (id.clone(), pending.incarnation))
    }

    /// What to do to bring `engines` to `newest`. Each action must be reported back.
    pub fn next(&mut self, newest: u64, engines: &[Engine], now: Timestamp) -> Vec<RolloutAction> {
        let engines_by_id: BTreeMap<&TargetId, &Engine> =
            engines.iter().map(|engine| (&engine.id, engine)).collect();
        let params = self.params;
        self.pending.retain(|id, pending| {
            engines_by_id.get(id).is_some_and(|engine| {
                engine.incarnation == pending.incarnation
                    && engine.version < pending.version
                    && now < pending.ordered_at + params.resend_after
            })
        });
        self.backoffs.retain(|_, until| now < *until);
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
            .filter(|engine| !self.backoffs.contains_key(&engine.id))
            .collect();
        // The oldest weights are worth least.
        waiting.sort_by_key(|engine| (engine.version, engine.id.clone()));
        let free = self.params.max_loading.saturating_sub(self.pending.len());
        for engine in waiting.into_iter().take(free) {
            self.pending.insert(
                engine.id.clone(),
                Pending {
                    incarnation: engine.incarnation,
                    version: newest,
                    ordered_at: now,
                    next_check: now + self.params.first_check_delay,
                    is_check_pending: false,
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

    /// Notes how an order ended.
    pub fn on_order(&mut self, target: &TargetId, result: OrderResult, now: Timestamp) {
        match result {
            OrderResult::Accepted => {}
            OrderResult::Holds => drop(self.pending.remove(target)),
            OrderResult::Busy | OrderResult::Failed => {
                self.pending.remove(target);
                let until = now + self.params.failure_backoff;
                self.backoffs.insert(target.clone(), until);
            }
        }
    }

    /// Notes that an engine answered a question, or that it could not be asked. `is_busy` tells
    /// whether an order is in progress there.
    pub fn on_checked(&mut self, target: &TargetId, is_busy: Option<bool>, now: Timestamp) {
        let Some(pending) = self.pending.get_mut(target) else {
            return;
        };
        pending.is_check_pending = false;
        pending.next_check = now + self.params.check_period;
        let is_lost =
            is_busy == Some(false) && now >= pending.ordered_at + self.params.first_check_delay;
        if is_lost {
            // The state is some hundred milliseconds old; an order that has neither begun nor ended
            // by now was lost.
            self.pending.remove(target);
        }
    }
}
