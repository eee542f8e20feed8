//! Acquires the lease and sends engines the orders to load weights.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Either, Fuse, FusedFuture, LocalBoxFuture, select};

use crate::core::ids::{ModelId, ObjectVersion, TargetId, Timestamp};
use crate::core::rollout::{
    Engine, LeaseAction, LeaseRecord, LeaseRole, OrderLease, OrderLeaseTiming, OrderResult,
    Rollout, RolloutAction, RolloutParams,
};
use crate::ops::canary::Canary;
use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Lifecycle};
use crate::ops::settings::FleetSettings;
use crate::ops::share::Peers;
use crate::ops::store::{StoreError, StoredLease};
use crate::platform::{EngineReport, WeightsOrder, read_report, send_weights_order};
use crate::util::duration::ms;
use crate::util::http::Client;

/// Term of the lease. It is short so that another instance can take over quickly. A renewal takes
/// 4 ms, or 250 ms while the store is slow.
const LEASE_TERM: Duration = Duration::from_millis(1_500);

/// Age of the last renewal at which the holder renews the lease.
const RENEW_AGE: Duration = Duration::from_millis(500);

/// Added to the configured pause between holders, to allow for clock drift and for orders in flight
/// at the end of a term.
const HOLDER_MARGIN: Duration = Duration::from_millis(900);

/// Added to the same pause after a lease was released, to allow for orders in flight at that time.
const RELEASE_MARGIN: Duration = Duration::from_millis(500);

/// Remaining term of the lease that is required to send an order, because the order must arrive
/// before the term ends.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// Interval between checks for outdated engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of live instances, first in the order of [`Peers::rank`], that may take over the lease.
/// More would only add calls to the store.
const MAX_CANDIDATES: u32 = 3;

/// Additional takeover delay per rank, so that candidates do not compete.
const CANDIDATE_DELAY_STEP: Duration = Duration::from_millis(400);

/// Additional takeover delay while the holder is reachable, so that it can renew the lease itself
/// when there is new work.
const LIVE_HOLDER_DELAY: Duration = Duration::from_millis(1_000);

/// Service and model that a rollout is for.
type RolloutKey = (String, ModelId);

/// A model with announced weights and the engines that run it.
struct ModelEngines {
    key: RolloutKey,
    /// Newest announced weights version.
    newest: u64,
    /// Engines with the weights versions that they presumably have.
    engines: Vec<Engine>,
}

impl ModelEngines {
    fn has_outdated(&self) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.version < self.newest)
    }
}

/// Returns the times of the lease for the present settings.
fn lease_timing(settings: &FleetSettings) -> OrderLeaseTiming {
    let holder_pause = Duration::from_millis(settings.holder_pause_ms);
    OrderLeaseTiming {
        term: LEASE_TERM,
        renew_after: RENEW_AGE,
        takeover_after: LEASE_TERM + holder_pause + HOLDER_MARGIN,
        takeover_after_release: holder_pause + RELEASE_MARGIN,
    }
}

/// Coordinates rollouts while this instance holds the lease.
pub(super) struct Coordinator {
    context: Context,
    fleet: Rc<Fleet>,
    peers: Rc<Peers>,
    /// Roll-outs by version, whose steps the holder of the lease decides too.
    canary: Rc<Canary>,
    client: Client,
    lease: RefCell<OrderLease>,
    /// Rollouts by service and model.
    rollouts: RefCell<BTreeMap<RolloutKey, Rollout>>,
    /// Number of orders that each engine has accepted, by target and incarnation.
    accepted_by_engine: RefCell<BTreeMap<(TargetId, u64), u64>>,
    /// Time since which there have been engines with outdated weights.
    work_since: RefCell<Option<Timestamp>>,
    /// Whether the store states an era, and the restores that have been applied to the lease.
    lease_era: Cell<(bool, u64)>,
}

impl Coordinator {
    pub(super) fn new(context: &Context) -> Self {
        let fleet = context.service::<Fleet>();
        let peers = context.service::<Peers>();
        let timing = lease_timing(&fleet.settings());
        Self {
            context: context.clone(),
            lease: RefCell::new(OrderLease::new(peers.name().clone(), timing)),
            fleet,
            peers,
            canary: context.service(),
            client: Client::new(),
            rollouts: RefCell::default(),
            accepted_by_engine: RefCell::default(),
            work_since: RefCell::default(),
            lease_era: Cell::default(),
        }
    }

    /// Applies a change of the store's era to the lease, if there was one. Called after each call to the store,
    /// before its result is applied.
    fn note_era(&self) {
        let eras = self.fleet.eras();
        let Some(era) = eras.current() else {
            return;
        };
        let (has_era, restores) = self.lease_era.replace((true, eras.restores()));
        let mut lease = self.lease.borrow_mut();
        if !has_era {
            lease.on_era_known(era, self.now());
        }
        if eras.restores() != restores {
            // Reports of engines state fencing numbers that the store may have lost.
            self.accepted_by_engine.borrow_mut().clear();
            let noticed_at = eras.restored_at().unwrap_or(self.now());
            lease.on_restored(era, noticed_at);
            slog::info!(self.context.log(), "lease for orders may be lost; it is read again";
                "era" => era, "epoch" => lease.highest_epoch(),
                "is_held" => lease.epoch(self.now()).is_some());
        }
    }

    fn now(&self) -> Timestamp {
        self.context.timers().boot_now()
    }

    /// Maintains the lease and sends orders until shutdown.
    pub(super) async fn run(self: Rc<Self>) {
        // At most one call for the lease is in flight. Orders are given meanwhile: a store that
        // responds late must not stop a holder whose term has not ended.
        let mut lease_call: Fuse<LocalBoxFuture<'_, ()>> = Fuse::terminated();
        loop {
            let tick = Box::pin(self.context.timers().sleep(CHECK_INTERVAL));
            if let Either::Right(((), tick)) = select(tick, &mut lease_call).await {
                self.update_orders();
                tick.await;
            }
            if self.context.shutdown().lifecycle() != Lifecycle::Running {
                // The release names the version that an outstanding write creates.
                if !lease_call.is_terminated() {
                    lease_call.await;
                }
                return self.release().await;
            }
            let since = self.update_orders();
            if lease_call.is_terminated()
                && let Some(call) = self.next_lease_call(since)
            {
                lease_call = call.fuse();
            }
        }
    }

    /// Ends the orders that are complete or lost, gives new ones while the lease is held, and reports the
    /// engines that load to the peers. Returns the time since which there have been engines with
    /// outdated weights.
    fn update_orders(self: &Rc<Self>) -> Option<Timestamp> {
        let since = self.update_weights_orders();
        let epoch = self.lease.borrow().epoch(self.now() + ORDER_MARGIN);
        self.canary.drive(epoch);
        let rollout_since = self.canary.work_since();
        since.into_iter().chain(rollout_since).min()
    }

    /// [`Self::update_orders`] for weights.
    fn update_weights_orders(self: &Rc<Self>) -> Option<Timestamp> {
        let models = self.models();
        self.remove_obsolete_rollouts(&models);
        let since = self.track_work(&models);
        // An order that could not be sent in the term would count as a failure of its engine.
        let lasts_until = self.now() + ORDER_MARGIN;
        if since.is_some() && self.lease.borrow().epoch(lasts_until).is_some() {
            self.issue_orders(&models);
        } else {
            self.end_orders(&models);
        }
        // A former holder reports these too, until their orders are complete or lost.
        let rollouts = self.rollouts.borrow();
        let loading = rollouts.values().flat_map(Rollout::loading);
        self.peers.set_loading_engines(loading);
        since
    }

    /// Releases the lease so that another instance can take over before the end of the term.
    async fn release(&self) {
        self.peers.set_loading_engines(std::iter::empty());
        let Some((version, record)) = self.lease.borrow_mut().release(rand::random()) else {
            return;
        };
        let written = self.fleet.store().write_lease(version, record).await;
        slog::info!(self.context.log(), "lease for orders released"; "version" => version,
            "error" => written.err().map(|error| error.to_string()));
    }

    /// Returns the models with announced weights.
    fn models(&self) -> Vec<ModelEngines> {
        let state = self.fleet.state();
        let Some(policy) = state.policy() else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (service, service_config) in &policy.services {
            for model in service_config
                .engine
                .iter()
                .flat_map(|engine| &engine.models)
            {
                let Some(newest) = state.announced_weights(model) else {
                    continue;
                };
                let engines = state
                    .targets()
                    .filter(|record| record.service == *service && !state.is_leaving(record))
                    .filter_map(|record| {
                        Some(Engine {
                            id: record.id.clone(),
                            incarnation: record.incarnation,
                            version: state.weights_of(record, model)?,
                        })
                    })
                    .collect();
                found.push(ModelEngines {
                    key: (service.to_string(), model.clone()),
                    newest,
                    engines,
                });
            }
        }
        found
    }

    /// Records whether any engine has outdated weights. Returns since when that has been so.
    fn track_work(&self, models: &[ModelEngines]) -> Option<Timestamp> {
        let mut since = self.work_since.borrow_mut();
        *since = match models.iter().any(ModelEngines::has_outdated) {
            true => since.or(Some(self.now())),
            false => None,
        };
        *since
    }

    /// Returns the role of this instance with respect to the lease.
    fn role(&self, work_since: Option<Timestamp>) -> LeaseRole {
        let lease = self.lease.borrow();
        let is_holder_live = lease
            .holder()
            .is_some_and(|name| self.peers.is_reachable(name));
        let rank = self.peers.rank();
        let holder_delay = match is_holder_live {
            true => LIVE_HOLDER_DELAY,
            false => Duration::ZERO,
        };
        LeaseRole {
            work_since,
            is_candidate: rank < MAX_CANDIDATES,
            takeover_delay: holder_delay + CANDIDATE_DELAY_STEP * rank,
        }
    }

    /// Returns the call to the store that reads, acquires or renews the lease, if one is due.
    fn next_lease_call(&self, work_since: Option<Timestamp>) -> Option<LocalBoxFuture<'_, ()>> {
        self.note_era();
        let now = self.now();
        let role = self.role(work_since);
        let timing = lease_timing(&self.fleet.settings());
        self.lease.borrow_mut().set_timing(timing);
        let action = self.lease.borrow().next(role, rand::random(), now);
        match action {
            LeaseAction::Wait => None,
            LeaseAction::Read => Some(self.read_lease().boxed_local()),
            LeaseAction::Write { if_version, record } => {
                self.lease.borrow_mut().on_write_sent(record.nonce, now);
                Some(self.write_lease(if_version, record).boxed_local())
            }
        }
    }

    async fn write_lease(&self, if_version: ObjectVersion, record: LeaseRecord) {
        let is_takeover = self.lease.borrow().holder() != Some(&record.holder);
        let written = self.fleet.store().write_lease(if_version, record.clone());
        let written = written.await;
        self.note_era();
        match written {
            Ok(version) => {
                if is_takeover {
                    slog::info!(self.context.log(), "lease for orders taken";
                        "epoch" => record.epoch, "version" => version);
                }
                let now = self.now();
                self.lease.borrow_mut().on_written(version, record, now);
            }
            Err(error) => self.record_lease_failure("write", &error),
        }
    }

    async fn read_lease(&self) {
        let requested_at = self.now();
        let found = self.fleet.store().read_lease().await;
        self.note_era();
        match found {
            Ok(found) => {
                let (version, record) = match found {
                    Some(StoredLease { version, record }) => (version, Some(record)),
                    None => (0, None),
                };
                let record = match record.transpose() {
                    Ok(record) => record,
                    Err(fault) => {
                        self.fleet.log_entry_faults(&[fault]);
                        None
                    }
                };
                let now = self.now();
                let mut lease = self.lease.borrow_mut();
                lease.on_read(version, record, requested_at, now);
            }
            Err(error) => self.record_lease_failure("read", &error),
        }
    }

    fn record_lease_failure(&self, call: &str, error: &StoreError) {
        let is_conflict = matches!(error, StoreError::Conflict);
        slog::info!(self.context.log(), "lease for orders not changed"; "call" => call,
            "error" => %error);
        let now = self.now();
        self.lease.borrow_mut().on_failed(is_conflict, now);
    }

    /// Ends the orders that are complete or lost, while none may be given or there is no further work.
    fn end_orders(&self, models: &[ModelEngines]) {
        let now = self.now();
        for model in models {
            let mut rollouts = self.rollouts.borrow_mut();
            let Some(rollout) = rollouts.get_mut(&model.key) else {
                continue;
            };
            rollout.observe(&model.engines, now);
            self.log_completed_loads(rollout, model);
        }
    }

    /// Removes the rollouts of models that the configuration no longer contains. Nothing would end
    /// their orders, and their engines would count as loading.
    fn remove_obsolete_rollouts(&self, models: &[ModelEngines]) {
        let is_configured = |key: &RolloutKey| models.iter().any(|model| model.key == *key);
        self.rollouts
            .borrow_mut()
            .retain(|key, _| is_configured(key));
    }

    /// Starts the next orders and checks of all rollouts.
    fn issue_orders(self: &Rc<Self>, models: &[ModelEngines]) {
        let now = self.now();
        let weights_bound = Duration::from_millis(self.fleet.settings().weights_ms);
        let params = RolloutParams::for_bound(weights_bound);
        for model in models {
            let mut rollouts = self.rollouts.borrow_mut();
            let rollout = rollouts
                .entry(model.key.clone())
                .or_insert_with(|| Rollout::new(model.key.1.clone(), params));
            let actions = rollout.next(model.newest, &model.engines, now);
            self.log_completed_loads(rollout, model);
            drop(rollouts);
            for action in actions {
                self.start_action(&model.key, action);
            }
        }
    }

    fn start_action(self: &Rc<Self>, key: &RolloutKey, action: RolloutAction) {
        let (coordinator, key) = (Rc::clone(self), key.clone());
        let task = async move {
            match action {
                RolloutAction::Order {
                    target,
                    model,
                    version,
                } => coordinator.send_order(&key, target, model, version).await,
                RolloutAction::Check { target } => coordinator.check_engine(&key, target).await,
            }
        };
        compio::runtime::spawn(task).detach();
    }

    /// Sends an order to load a weights version, if the lease is held for long enough.
    async fn send_order(&self, key: &RolloutKey, target: TargetId, model: ModelId, version: u64) {
        let Some(record) = self.fleet.state().target(&target).cloned() else {
            self.fail_order(key, &target, version, "the engine was removed");
            return;
        };
        let engine = (target.clone(), record.incarnation);
        let Some(accepted_orders) = self.accepted_orders(&engine).await else {
            self.fail_order(
                key,
                &target,
                version,
                "the engine does not report its state",
            );
            return;
        };
        // Checked immediately before sending. The order must also arrive before the term ends.
        let Some(epoch) = self.lease.borrow().epoch(self.now() + ORDER_MARGIN) else {
            self.fail_order(key, &target, version, "the lease ends too soon");
            return;
        };
        let order = WeightsOrder {
            target: target.clone(),
            address: record.address,
            model: model.clone(),
            version,
            holder: self.peers.name().to_string(),
            epoch,
            accepted_orders,
        };
        let result = send_weights_order(&self.client, &order).await;
        slog::info!(self.context.log(), "order given"; "target" => &*target,
            "incarnation" => record.incarnation, "model" => &*model, "version" => version,
            "epoch" => epoch, "accepted_orders" => accepted_orders,
            "outcome" => format!("{result:?}"));
        self.context.metrics().count("rollout.orders", 1);
        match result {
            OrderResult::Accepted => {
                self.accepted_by_engine
                    .borrow_mut()
                    .insert(engine, accepted_orders.saturating_add(1));
            }
            OrderResult::Holds => self.record_weights(&target, record.incarnation, &model, version),
            OrderResult::Busy | OrderResult::Failed => {
                self.client.close_address(record.address);
                self.poll_engine(&target).await;
            }
        }
        self.record_order_result(key, &target, result);
    }

    /// Returns the number of orders that an engine has accepted. Polls the engine if the number is
    /// not cached, because an earlier lease holder may have sent orders.
    async fn accepted_orders(&self, engine: &(TargetId, u64)) -> Option<u64> {
        if let Some(accepted) = self.accepted_by_engine.borrow().get(engine) {
            return Some(*accepted);
        }
        let report = self.poll_engine(&engine.0).await?;
        Some(report.accepted_orders)
    }

    /// Records an order that was not sent.
    fn fail_order(&self, key: &RolloutKey, target: &TargetId, version: u64, reason: &str) {
        slog::info!(self.context.log(), "order not given"; "target" => &**target,
            "model" => &*key.1, "version" => version, "reason" => reason);
        self.context.metrics().count("rollout.orders_not_given", 1);
        self.record_order_result(key, target, OrderResult::Failed);
    }

    /// Logs the loads that have been observed to be complete since the last call.
    fn log_completed_loads(&self, rollout: &mut Rollout, model: &ModelEngines) {
        let completed = rollout.take_completed();
        if completed.is_empty() {
            return;
        }
        let progress = rollout.progress(model.newest, &model.engines);
        for load in completed {
            slog::info!(self.context.log(), "weights loaded"; "target" => &*load.target,
                "version" => load.version, "took_ms" => ms(load.duration),
                "outdated" => progress.outdated, "loading" => progress.loading,
                "max_loading" => progress.max_loading);
            self.context.metrics().time("rollout.loads", load.duration);
        }
    }

    fn record_order_result(&self, key: &RolloutKey, target: &TargetId, result: OrderResult) {
        let now = self.now();
        if let Some(rollout) = self.rollouts.borrow_mut().get_mut(key) {
            rollout.on_order(target, result, now);
        }
    }

    /// Checks whether an engine is still busy with its order.
    async fn check_engine(&self, key: &RolloutKey, target: TargetId) {
        let is_busy = self.poll_engine(&target).await.map(|report| report.is_busy);
        let now = self.now();
        if let Some(rollout) = self.rollouts.borrow_mut().get_mut(key) {
            rollout.on_checked(&target, is_busy, now);
        }
    }

    /// Polls an engine for its report and applies it to the fleet state. Returns `None` if the
    /// engine does not respond or has restarted.
    async fn poll_engine(&self, target: &TargetId) -> Option<EngineReport> {
        let record = self.fleet.state().target(target).cloned()?;
        let report = read_report(&self.client, record.address).await?;
        self.lease.borrow_mut().on_epoch_seen(report.highest_epoch);
        self.fleet
            .on_report(target, report.incarnation, &report.weights);
        if report.incarnation != record.incarnation {
            return None;
        }
        let engine = (target.clone(), record.incarnation);
        self.accepted_by_engine
            .borrow_mut()
            .insert(engine, report.accepted_orders);
        for (model, version) in &report.weights {
            self.record_weights(target, record.incarnation, model, *version);
        }
        Some(report)
    }

    /// Records that an engine has a weights version, and publishes it if it is newer.
    fn record_weights(&self, target: &TargetId, incarnation: u64, model: &ModelId, version: u64) {
        let before = {
            let state = self.fleet.state();
            let record = state.target(target);
            record.and_then(|record| state.weights_of(record, model))
        };
        if before.is_some_and(|before| before < version) {
            self.fleet.on_observed_weights(target, model, version);
            self.peers
                .publish_observed_weights(target, incarnation, model, version);
        }
    }
}
