//! Work of the lease's holder.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};

use super::engines::{EngineClient, OrderAnswer};
use super::plans::PlanStore;
use crate::core::config::{ConfigSnapshot, TargetKind};
use crate::core::ids::{TargetId, Timestamp};
use crate::core::orders::{OrderEffect, OrderPlan, Planner, Stage};
use crate::ops::kernel::Context;
use crate::ops::platform::PlatformClient;
use crate::ops::services::{ConfigService, HeldLease, LeaseService, MemberService};

/// Time between passes.
const PASS_PERIOD: Duration = Duration::from_secs(1);

/// Reports read in one pass. 20 a second of about 450 bytes are 9 KB/s; at 1,300 targets each one
/// is read about once a minute, and those with plans in each pass.
const VIEWS_PER_PASS: usize = 20;

/// Shortest time between two reads of one engine without a plan.
const VIEW_PERIOD: Duration = Duration::from_secs(2);

/// Reasons to end the work as holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    Done,
    LeaseLost,
}

/// Gives orders while the lease is held.
pub struct OrderDispatcher {
    context: Context,
    leases: Rc<dyn LeaseService>,
    lease: HeldLease,
    engines: EngineClient,
    plans: PlanStore,
    planner: Planner,
    asked_at: BTreeMap<TargetId, Timestamp>,
}

impl OrderDispatcher {
    /// A holder that has just taken the lease. Services are looked up in `context`.
    pub fn new(context: &Context, leases: Rc<dyn LeaseService>, lease: HeldLease) -> Self {
        let platform = (*context.service::<PlatformClient>()).clone();
        let planner = Planner::new(lease.epoch, context.timers().now());
        Self {
            context: context.clone(),
            leases,
            lease,
            engines: EngineClient::new(),
            plans: PlanStore::new(platform),
            planner,
            asked_at: BTreeMap::new(),
        }
    }

    /// Takes up stored plans, then works until the lease is lost or the planned stop begins.
    /// Returns the lease if it is still held.
    pub async fn run(mut self) -> Option<HeldLease> {
        let timers = *self.context.timers();
        let mut has_plans = false;
        loop {
            if !self.leases.is_held(&self.lease) {
                return None;
            }
            if self.context.shutdown().lifecycle() != crate::ops::kernel::Lifecycle::Running {
                return Some(self.lease);
            }
            let pass = match has_plans {
                true => self.pass().await,
                false => self.take_up().await,
            };
            match pass {
                Ok(Pass::Done) => has_plans = true,
                Ok(Pass::LeaseLost) => return None,
                Err(error) => {
                    self.context.metrics().count("orders.errors", 1);
                    slog::debug!(self.context.log(), "orders cannot be given now";
                        "error" => format!("{error:#}"));
                }
            }
            timers.sleep(PASS_PERIOD).await;
        }
    }

    async fn take_up(&mut self) -> Result<Pass> {
        let members = self.context.service::<dyn MemberService>();
        for plan in self.plans.read_all().await? {
            members.set_target_leaving(&plan.target, true);
            self.planner.on_plan(plan);
        }
        Ok(Pass::Done)
    }

    async fn pass(&mut self) -> Result<Pass> {
        let config = self.context.service::<dyn ConfigService>().current();
        let config = config.context("no configuration is in force")?;
        self.read_views(&config).await;
        let members = self.context.service::<dyn MemberService>();
        for target in self.planner.planned_targets() {
            // The mark may have been lifted by the target's own report, or be about to expire.
            members.set_target_leaving(target, true);
        }
        let now = self.context.timers().now();
        for effect in self.planner.next(&config, now) {
            if self.carry_out(&config, effect).await? == Pass::LeaseLost {
                return Ok(Pass::LeaseLost);
            }
        }
        Ok(Pass::Done)
    }

    async fn read_views(&mut self, config: &ConfigSnapshot) {
        let now = self.context.timers().now();
        let targets = self.targets_to_ask(config, now);
        let reads = targets.iter().map(|id| {
            let target = &config.fleet.targets[id];
            self.engines.view(target)
        });
        let views = futures_util::future::join_all(reads).await;
        let now = self.context.timers().now();
        for (id, view) in targets.iter().zip(views) {
            self.asked_at.insert(id.clone(), now);
            self.planner.on_view(id, view.ok(), now);
        }
    }

    /// Engines with plans, then those that were not asked for longest.
    fn targets_to_ask(&mut self, config: &ConfigSnapshot, now: Timestamp) -> Vec<TargetId> {
        let targets = &config.fleet.targets;
        self.asked_at.retain(|id, _| targets.contains_key(id));
        let mut due: Vec<_> = targets
            .iter()
            .filter(|(_, target)| target.kind == TargetKind::Engine)
            .map(|(id, _)| (self.planner.plan(id).is_none(), self.asked_at.get(id), id))
            .filter(|(is_unplanned, asked_at, _)| {
                !is_unplanned || asked_at.is_none_or(|at| now >= *at + VIEW_PERIOD)
            })
            .collect();
        due.sort();
        due.into_iter()
            .take(VIEWS_PER_PASS)
            .map(|(_, _, id)| id.clone())
            .collect()
    }

    async fn carry_out(&mut self, config: &ConfigSnapshot, effect: OrderEffect) -> Result<Pass> {
        if !self.leases.is_held(&self.lease) {
            return Ok(Pass::LeaseLost);
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
        Ok(Pass::Done)
    }

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

    async fn send(&mut self, config: &ConfigSnapshot, target: &TargetId) -> Result<Pass> {
        let Some(settings) = config.fleet.targets.get(target) else {
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
        // The last step before the effect: the write above may have taken long.
        if !self.leases.is_held(&self.lease) {
            return Ok(Pass::LeaseLost);
        }
        self.planner.on_sent(target, self.context.timers().now());
        let answer = self.engines.order(settings, &plan, self.lease.epoch).await;
        self.context.metrics().count("orders.sent", 1);
        match answer {
            Ok(OrderAnswer::Accepted) => Ok(Pass::Done),
            Ok(OrderAnswer::StaleFence) => {
                slog::warn!(self.context.log(), "an engine has seen a later holder";
                    "target" => &**target, "epoch" => self.lease.epoch);
                Ok(Pass::LeaseLost)
            }
            Err(error) => {
                slog::warn!(self.context.log(), "the outcome of an order is unknown";
                    "target" => &**target, "error" => format!("{error:#}"));
                Ok(Pass::Done)
            }
        }
    }

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
