//! Roll-outs of this instance: choice of versions, evidence, and the steps of the lease holder.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::core::canary::{
    ExposureBounds, InstanceRollouts, ListedVersion, Phase, PlanStep, RolloutNews, RolloutRecord,
    RolloutState, RolloutStatus, Share, ShareRoutes, StopCause, VersionChoice, VersionId,
    VersionResponse, VersionedTarget,
};
use crate::core::fleet::TargetRecord;
use crate::core::ids::{Epoch, InstanceId, RequestId, Timestamp};
use crate::ops::fleet::Fleet;
use crate::ops::kernel::Context;
use crate::ops::settings::FleetSettings;
use crate::ops::share::Peers;
use crate::util::duration::ms;
use crate::util::hash::stable_hash;

/// Length of a share. It spans several messages, as single ones may be lost, and is short against the time
/// within which a bad version must not get requests.
const SHARE_TERM: Duration = Duration::from_millis(1_500);

/// Rounds in which an instance that stops a version tells the others at once, as single messages may be lost.
const STOP_ROUNDS: u32 = 2;

/// Number of message intervals that a share lasts at least.
const SHARE_INTERVALS: u32 = 3;

/// Longest share as a part of `rollback_ms`. The rest is for the evidence and the stop to arrive.
const MAX_TERM_RATIO: f64 = 0.6;

/// Seed of the hash that distributes requests over the versions. It differs from that of the services of a
/// route, so that the two choices are independent.
const VERSION_SEED: u64 = 0x7665_7273;

/// Delay before a failed write of a status is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Ends the count of a request at a version when it is dropped.
pub struct VersionUse {
    canary: Rc<Canary>,
    service: Arc<str>,
    version: VersionId,
}

impl Drop for VersionUse {
    fn drop(&mut self) {
        let mut state = self.canary.state.borrow_mut();
        state.on_ended(&self.service, &self.version);
    }
}

/// The roll-outs of this instance.
pub struct Canary {
    pub(super) context: Context,
    pub(super) fleet: Rc<Fleet>,
    pub(super) peers: Rc<Peers>,
    pub(super) state: RefCell<InstanceRollouts>,
    /// Generation of the fleet that the targets were taken from.
    fleet_generation: Cell<u64>,
    /// When any instance last read the orders from the store.
    read_at: Cell<Option<Timestamp>>,
    /// Steps that this instance gives shares for, with its fencing number.
    pub(super) steps: RefCell<BTreeMap<Arc<str>, (Epoch, Phase)>>,
    /// Steps that were logged last.
    logged_steps: RefCell<BTreeMap<Arc<str>, String>>,
    /// Holder of the order lease that gave the last share, with its fencing number.
    pub(super) holder: RefCell<Option<(Epoch, InstanceId)>>,
    /// Instances that asked for a share in the last round.
    pub(super) asking: RefCell<BTreeSet<SocketAddr>>,
    /// How often this instance had no share when it asked for one.
    pub(super) missed_shares: Cell<u64>,
    /// Services whose status is being written.
    writing: RefCell<BTreeSet<Arc<str>>>,
    pub(super) work_since: Cell<Option<Timestamp>>,
    /// Rounds in which all instances are still to be told that a version was stopped.
    pub(super) stop_rounds: Cell<u32>,
}

fn bounds(settings: &FleetSettings) -> ExposureBounds {
    ExposureBounds {
        share: settings.expose_share,
        slack: settings.expose_slack,
    }
}

impl Canary {
    pub(super) fn new(context: &Context) -> Self {
        let fleet = context.service::<Fleet>();
        let bounds = bounds(&fleet.settings());
        Self {
            context: context.clone(),
            fleet,
            peers: context.service(),
            state: RefCell::new(InstanceRollouts::new(bounds)),
            fleet_generation: Cell::new(u64::MAX),
            read_at: Cell::new(None),
            steps: RefCell::default(),
            logged_steps: RefCell::default(),
            holder: RefCell::default(),
            asking: RefCell::default(),
            missed_shares: Cell::new(0),
            writing: RefCell::default(),
            work_since: Cell::new(None),
            stop_rounds: Cell::new(0),
        }
    }

    /// Whether the deployment asks for roll-outs by version.
    pub fn is_enabled(&self) -> bool {
        self.fleet.settings().has_version_rollout()
    }

    pub(super) fn now(&self) -> Timestamp {
        self.context.timers().boot_now()
    }

    pub(super) fn read_age(&self) -> Option<Duration> {
        let read_at = self.read_at.get()?;
        Some(self.now().saturating_sub(read_at))
    }

    pub(super) fn record_read(&self, at: Timestamp) {
        self.read_at.set(self.read_at.get().max(Some(at)));
    }

    /// Applies the orders that the store held after `requested_at`.
    pub(super) fn on_stored_orders(&self, records: Vec<RolloutRecord>, requested_at: Timestamp) {
        let now = self.now();
        for record in records {
            let mut state = self.state.borrow_mut();
            state.on_record(record, Duration::ZERO, now);
        }
        self.record_read(requested_at);
        self.log_news();
    }

    /// Applies changes of the targets.
    fn refresh(&self) {
        let fleet_state = self.fleet.state();
        if fleet_state.generation() == self.fleet_generation.get() {
            return;
        }
        self.fleet_generation.set(fleet_state.generation());
        let mut targets: BTreeMap<Arc<str>, Vec<VersionedTarget>> = BTreeMap::new();
        for record in fleet_state
            .targets()
            .filter(|record| !fleet_state.is_leaving(record))
        {
            let target = VersionedTarget {
                id: record.id.clone(),
                listed: ListedVersion {
                    version: record.version.clone(),
                    born_ms: record.incarnation,
                },
            };
            let service = Arc::clone(&record.service);
            targets.entry(service).or_default().push(target);
        }
        drop(fleet_state);
        self.state.borrow_mut().on_targets(targets);
        self.log_news();
    }

    /// Chooses the version of a request. `is_first` tells whether it was not sent before.
    pub fn choose(&self, service: &str, request: &RequestId, is_first: bool) -> VersionChoice {
        if !self.is_enabled() {
            return VersionChoice::Any;
        }
        self.refresh();
        let hash = stable_hash(VERSION_SEED, request.as_bytes());
        let fraction = hash as f64 / u64::MAX as f64;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.choose(service, fraction, is_first, now)
    }

    /// Returns the old version for a request that found no place at the new one.
    pub fn other_choice(&self, service: &str, choice: &VersionChoice) -> Option<VersionChoice> {
        let now = self.now();
        self.state.borrow().other_choice(service, choice, now)
    }

    /// Whether a request may be sent to a target now.
    pub fn may_send(&self, record: &TargetRecord) -> bool {
        if !self.is_enabled() {
            return true;
        }
        self.refresh();
        let now = self.now();
        let state = self.state.borrow();
        state.may_send(&record.service, &record.version, now)
    }

    /// Records that a request is sent to a target. The result counts it as open until it is dropped.
    pub fn begin(self: &Rc<Self>, record: &TargetRecord) -> Option<VersionUse> {
        if !self.is_enabled() || record.version.is_empty() {
            return None;
        }
        let mut state = self.state.borrow_mut();
        state.on_sent(&record.service, &record.version);
        Some(VersionUse {
            canary: Rc::clone(self),
            service: Arc::clone(&record.service),
            version: record.version.clone(),
        })
    }

    /// Records a response of a target on a route, or that it failed.
    pub fn on_response(&self, record: &TargetRecord, route: &str, is_failed: bool, took: Duration) {
        if !self.is_enabled() || record.version.is_empty() {
            return;
        }
        let response = VersionResponse {
            target: &record.id,
            version: &record.version,
            // Zero stands for all routes.
            route: (stable_hash(0, route.as_bytes()) as u32).max(1),
            is_failed,
            took,
        };
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.on_response(&record.service, &response, now);
        drop(state);
        self.log_news();
    }

    /// Time since which there has been an order without a decision, for the lease.
    pub fn work_since(&self) -> Option<Timestamp> {
        let has_work = self.is_enabled() && !self.state.borrow().open_services().is_empty();
        let since = has_work.then(|| self.work_since.get().unwrap_or_else(|| self.now()));
        self.work_since.set(since);
        since
    }

    /// Decides the next steps if this instance holds the lease for orders, by its fencing number.
    pub fn drive(self: &Rc<Self>, epoch: Option<Epoch>) {
        if !self.is_enabled() {
            return;
        }
        self.refresh();
        let now = self.now();
        let size = self.peers.fleet_size();
        let bounds = bounds(&self.fleet.settings());
        let rank = self.peers.rank();
        self.state.borrow_mut().set_fleet(bounds, size, rank);
        self.steps.borrow_mut().clear();
        let Some(epoch) = epoch else { return };
        let services = self.state.borrow().open_services();
        let in_contact = self.peers.names_in_contact();
        let step_time = self.routes().step_time();
        for service in services {
            let decided = {
                let mut state = self.state.borrow_mut();
                state.decide(&service, &in_contact, step_time, now)
            };
            let Some((step, record)) = decided else {
                continue;
            };
            let phase = match step {
                PlanStep::Share(phase) => Some(phase),
                PlanStep::Complete => Some(Phase::Commit),
                PlanStep::RollBack(_) => None,
            };
            if let Some(phase) = phase {
                let share = Share {
                    epoch,
                    phase,
                    until: now + self.share_term(),
                };
                let target = &record.order.target;
                let mut state = self.state.borrow_mut();
                state.on_share(&service, target, share, now);
                drop(state);
                let mut steps = self.steps.borrow_mut();
                steps.insert(Arc::clone(&service), (epoch, phase));
            }
            self.log_step(&service, &record, step, epoch);
            let state = match (step.final_state(), record.state()) {
                (Some(state), _) => Some(state),
                (None, None) => Some(RolloutState::Running),
                (None, Some(_)) => None,
            };
            if let Some(state) = state {
                self.start_write(record, state);
            }
        }
        self.log_news();
    }

    /// Starts to write a status, unless a write for the service is in flight.
    fn start_write(self: &Rc<Self>, record: RolloutRecord, state: RolloutState) {
        let service = Arc::clone(&record.order.service);
        if !self.writing.borrow_mut().insert(Arc::clone(&service)) {
            return;
        }
        let canary = Rc::clone(self);
        compio::runtime::spawn(async move {
            canary.write_status(record, state).await;
            canary.writing.borrow_mut().remove(&service);
        })
        .detach();
    }

    async fn write_status(&self, record: RolloutRecord, state: RolloutState) {
        let requested_at = self.now();
        let written = self
            .fleet
            .store()
            .write_rollout_status(&record, state)
            .await;
        let service = record.order.service.to_string();
        slog::info!(self.context.log(), "status of the roll-out written"; "service" => service,
            "version" => &*record.order.target, "state" => state.to_string(),
            "revision" => record.revision, "error" => written.as_ref().err().map(ToString::to_string));
        self.context.metrics().count("canary.status_writes", 1);
        match written {
            Ok(revision) if revision > 0 => {
                self.fleet.on_store_answer(requested_at);
                let status = RolloutStatus {
                    state,
                    target: record.order.target.clone(),
                };
                let record = RolloutRecord {
                    revision,
                    status: Some(status),
                    ..record
                };
                let now = self.now();
                self.state
                    .borrow_mut()
                    .on_record(record, Duration::ZERO, now);
            }
            // The write may have taken effect: the object is read before the next attempt.
            _ => {
                let read_at = self.now();
                match self.fleet.store().list_rollouts().await {
                    Ok(listed) => self.on_stored_orders(listed.entries, read_at),
                    Err(error) => slog::warn!(self.context.log(),
                        "cannot read the orders of roll-outs"; "error" => %error),
                }
                self.context.timers().sleep(WRITE_RETRY_DELAY).await;
            }
        }
        self.log_news();
    }

    /// Routes of the shares to the present number of instances.
    pub(super) fn routes(&self) -> ShareRoutes {
        ShareRoutes::new(self.peers.fleet_size())
    }

    pub(super) fn share_term(&self) -> Duration {
        let rollback = Duration::from_millis(self.fleet.settings().rollback_ms);
        let term = SHARE_TERM.max(self.routes().interval() * SHARE_INTERVALS);
        term.min(rollback.mul_f64(MAX_TERM_RATIO))
    }

    fn log_step(&self, service: &Arc<str>, record: &RolloutRecord, step: PlanStep, epoch: Epoch) {
        let (name, reason) = match step {
            PlanStep::Share(phase) => (phase.to_string(), None),
            PlanStep::Complete => ("complete".to_owned(), None),
            PlanStep::RollBack(reason) => ("roll back".to_owned(), Some(reason.to_string())),
        };
        let mut logged = self.logged_steps.borrow_mut();
        let entry = format!("{}/{name}", record.order.target);
        if logged.get(service) == Some(&entry) {
            return;
        }
        let counts = self.state.borrow().counts(service).unwrap_or_default();
        let (exposed, forwarded, open_old) = counts;
        slog::info!(self.context.log(), "step of the roll-out"; "service" => &**service,
            "version" => &*record.order.target, "step" => &name, "reason" => reason,
            "epoch" => epoch, "exposed" => exposed, "forwarded" => forwarded,
            "open_old" => open_old);
        self.context.metrics().count("canary.steps", 1);
        logged.insert(Arc::clone(service), entry);
    }

    pub(super) fn log_news(&self) {
        let news = self.state.borrow_mut().take_news();
        let log = self.context.log();
        for item in news {
            match item {
                RolloutNews::Order(record) => {
                    slog::info!(log, "order of a roll-out"; "service" => &*record.order.service,
                        "version" => &*record.order.target, "revision" => record.revision,
                        "duration_ms" => ms(record.order.duration),
                        "state" => record.state().map(|state| state.to_string()));
                }
                RolloutNews::InForce { service, version } => {
                    slog::info!(log, "version in force"; "service" => &*service,
                        "version" => version.as_deref());
                }
                RolloutNews::Stopped {
                    service,
                    cause,
                    evidence,
                    exposed: [exposed, forwarded],
                } => {
                    let (route, sums, old, new) = evidence.unwrap_or_default();
                    // A peer that has stopped it tells the others itself.
                    if cause != StopCause::Peer {
                        self.stop_rounds.set(STOP_ROUNDS);
                    }
                    slog::warn!(log, "version stopped on this instance"; "service" => &*service,
                        "cause" => cause.to_string(), "route" => format!("{route:08x}"),
                        "sums" => format!("{sums:.1?}"), "old_responses" => old,
                        "new_responses" => new, "exposed" => exposed, "forwarded" => forwarded);
                    self.context.metrics().count("canary.stops", 1);
                }
            }
        }
    }
}
