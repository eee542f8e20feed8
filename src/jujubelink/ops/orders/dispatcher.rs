//! Plans and sends orders while this instance holds the order lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};

use super::engine_client::{EngineControlClient, OrderResponse};
use super::plans::PlanStore;
use crate::core::config::{ConfigSnapshot, TargetKind};
use crate::core::ids::{TargetId, Timestamp};
use crate::core::orders::{OrderEffect, OrderPlan, Planner, Stage};
use crate::ops::kernel::Context;
use crate::ops::platform::PlatformClient;
use crate::ops::services::{ConfigService, HeldLease, LeaseService, MemberService};

/// Interval between passes. In each pass, engines are polled and orders are sent.
const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of engines polled in one pass. 20 status responses/s of about 450 bytes each take
/// 9 KB/s. With 1,300 targets, each engine is polled about once a minute; engines with a plan are
/// polled in each pass.
const MAX_POLLS_PER_PASS: usize = 20;

/// Minimum interval between two polls of the same engine if it has no plan.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Outcome of a pass that did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PassOutcome {
    Done,
    LeaseLost,
}

/// Issues orders to engines while the order lease is held.
pub struct OrderDispatcher {
    context: Context,
    leases: Rc<dyn LeaseService>,
    lease: HeldLease,
    engines: EngineControlClient,
    plans: PlanStore,
    planner: Planner,
    /// Time of the last poll of each engine.
    polled_at: BTreeMap<TargetId, Timestamp>,
}

impl OrderDispatcher {
    /// Creates a dispatcher for a lease that was just acquired.
    pub fn new(context: &Context, leases: Rc<dyn LeaseService>, lease: HeldLease) -> Self {
        let platform = (*context.service::<PlatformClient>()).clone();
        let planner = Planner::new(lease.epoch, context.timers().now());
        Self {
            context: context.clone(),
            leases,
            lease,
            engines: EngineControlClient::new(),
            plans: PlanStore::new(platform),
            planner,
            polled_at: BTreeMap::new(),
        }
    }

    /// Loads the stored plans, then runs passes until the lease is lost or a graceful shutdown
    /// begins. Returns the lease if it is still held.
    pub async fn run(mut self) -> Option<HeldLease> {
        let timers = *self.context.timers();
        let mut plans_loaded = false;
        loop {
            if !self.leases.is_held(&self.lease) {
                return None;
            }
            if self.context.shutdown().lifecycle() != crate::ops::kernel::Lifecycle::Running {
                return Some(self.lease);
            }
            let outcome = match plans_loaded {
                true => self.run_pass().await,
                false => self.load_plans().await,
            };
            match outcome {
                Ok(PassOutcome::Done) => plans_loaded = true,
                Ok(PassOutcome::LeaseLost) => return None,
                Err(error) => {
                    self.context.metrics().count("orders.errors", 1);
                    slog::debug!(self.context.log(), "order pass failed";
                        "error" => format!("{error:#}"));
                }
            }
            timers.sleep(PASS_INTERVAL).await;
        }
    }

    /// Loads the stored plans, possibly of an earlier lease holder, and marks their targets as
    /// leaving.
    async fn load_plans(&mut self) -> Result<PassOutcome> {
        let members = self.context.service::<dyn MemberService>();
        for plan in self.plans.read_all().await? {
            members.set_target_leaving(&plan.target, true);
            self.planner.on_plan(plan);
        }
        Ok(PassOutcome::Done)
    }

    /// Polls engines and carries out the steps that the planner decides on.
    async fn run_pass(&mut self) -> Result<PassOutcome> {
        let config = self.context.service::<dyn ConfigService>().current();
        let config = config.context("there is no active configuration")?;
        self.poll_engines(&config).await;
        let members = self.context.service::<dyn MemberService>();
        for target in self.planner.planned_targets() {
            // The mark may have been cleared by the target's own report, or be about to expire.
            members.set_target_leaving(target, true);
        }
        let now = self.context.timers().now();
        for effect in self.planner.next(&config, now) {
            if self.apply_effect(&config, effect).await? == PassOutcome::LeaseLost {
                return Ok(PassOutcome::LeaseLost);
            }
        }
        Ok(PassOutcome::Done)
    }

    async fn poll_engines(&mut self, config: &ConfigSnapshot) {
        let now = self.context.timers().now();
        let targets = self.targets_to_poll(config, now);
        let reads = targets.iter().map(|id| {
            let target = &config.fleet.targets[id];
            self.engines.read_status(target)
        });
        let statuses = futures_util::future::join_all(reads).await;
        let now = self.context.timers().now();
        for (id, status) in targets.iter().zip(statuses) {
            self.polled_at.insert(id.clone(), now);
            self.planner.on_status(id, status.ok(), now);
        }
    }

    /// Returns the engines to poll in this pass: those with a plan first, then the least recently
    /// polled ones.
    fn targets_to_poll(&mut self, config: &ConfigSnapshot, now: Timestamp) -> Vec<TargetId> {
        let targets = &config.fleet.targets;
        self.polled_at.retain(|id, _| targets.contains_key(id));
        let mut due: Vec<_> = targets
            .iter()
            .filter(|(_, target)| target.kind == TargetKind::Engine)
            .map(|(id, _)| (self.planner.plan(id).is_none(), self.polled_at.get(id), id))
            .filter(|(is_unplanned, polled_at, _)| {
                !is_unplanned || polled_at.is_none_or(|at| now >= *at + MIN_POLL_INTERVAL)
            })
            .collect();
        due.sort();
        due.into_iter()
            .take(MAX_POLLS_PER_PASS)
            .map(|(_, _, id)| id.clone())
            .collect()
    }

    async fn apply_effect(
        &mut self,
        config: &ConfigSnapshot,
        effect: OrderEffect,
    ) -> Result<PassOutcome> {
        if !self.leases.is_held(&self.lease) {
            return Ok(PassOutcome::LeaseLost);
        }
        match effect {
            OrderEffect::Start {
                target,
                kind,
                model,
                weights_version,
            } => {
                let plan = OrderPlan {
                    target,
                    order_id: random_id(),
                    epoch: self.lease.epoch,
                    kind,
                    model,
                    weights_version,
                    stage: Stage::Drain,
                    nonce: random_id(),
                };
                self.start(plan).await?;
            }
            OrderEffect::Send { target } => return self.send(config, &target).await,
            OrderEffect::Finish { target } => self.finish(&target).await?,
        }
        Ok(PassOutcome::Done)
    }

    /// Stores a new plan and marks its target as leaving.
    async fn start(&mut self, plan: OrderPlan) -> Result<()> {
        self.plans.write(&plan).await?;
        let members = self.context.service::<dyn MemberService>();
        members.set_target_leaving(&plan.target, true);
        slog::info!(self.context.log(), "order planned"; "target" => &*plan.target,
            "kind" => ?plan.kind, "model" => &*plan.model,
            "weights_version" => &*plan.weights_version);
        self.planner.on_plan(plan);
        Ok(())
    }

    /// Stores that the order is being sent, then sends it to the engine.
    async fn send(&mut self, config: &ConfigSnapshot, target: &TargetId) -> Result<PassOutcome> {
        let Some(target_config) = config.fleet.targets.get(target) else {
            bail!("target {target} is not configured");
        };
        let Some(mut plan) = self.planner.plan(target).cloned() else {
            bail!("target {target} has no plan");
        };
        plan.stage = Stage::Order;
        plan.epoch = self.lease.epoch;
        plan.nonce = random_id();
        self.plans.write(&plan).await?;
        self.planner.on_plan(plan.clone());
        // Check again immediately before sending, because the write above may have been slow.
        if !self.leases.is_held(&self.lease) {
            return Ok(PassOutcome::LeaseLost);
        }
        self.planner.on_sent(target, self.context.timers().now());
        let response = self
            .engines
            .send_order(target_config, &plan, self.lease.epoch)
            .await;
        self.context.metrics().count("orders.sent", 1);
        match response {
            Ok(OrderResponse::Accepted) => Ok(PassOutcome::Done),
            Ok(OrderResponse::StaleFence) => {
                slog::warn!(self.context.log(), "engine rejected an order with a stale fence";
                    "target" => &**target, "epoch" => self.lease.epoch);
                Ok(PassOutcome::LeaseLost)
            }
            Err(error) => {
                slog::warn!(self.context.log(), "outcome of an order is unknown";
                    "target" => &**target, "error" => format!("{error:#}"));
                Ok(PassOutcome::Done)
            }
        }
    }

    /// Deletes a completed plan and clears the leaving mark of its target.
    async fn finish(&mut self, target: &TargetId) -> Result<()> {
        self.plans.delete(target).await?;
        self.planner.on_finished(target);
        if !self.planner.is_leaving(target) {
            let members = self.context.service::<dyn MemberService>();
            members.set_target_leaving(target, false);
        }
        slog::info!(self.context.log(), "order finished"; "target" => &**target);
        Ok(())
    }
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
