//! What one instance knows of the roll-outs, and where it sends requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use super::slowness::Slowness;
use super::{
    Arm, CellCounts, CellKey, Exposure, ExposureBounds, GROUPS, InForce, ListedVersion, Phase,
    Plan, PlanInput, PlanStep, Proof, RolloutRecord, Share, VersionId, VersionTest,
};
use crate::core::ids::{Incarnation, InstanceId, ObjectVersion, TargetId, Timestamp};

/// Maximum number of services with an order; further orders are ignored.
pub const MAX_ORDERS: usize = 64;

/// Maximum number of instances whose reports are kept for an order.
const MAX_PEERS: usize = 1_024;

/// Age from which on the report of an instance says nothing about its open requests.
const REPORT_AGE: Duration = Duration::from_millis(2_500);

/// Versions that a request may be sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any version.
    #[default]
    Any,
    /// One version, and targets that state none.
    Only(VersionId),
}

impl VersionChoice {
    /// Whether a target with this version may get the request.
    pub fn permits(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version.is_empty() || **only == *version,
        }
    }
}

/// A target of a service that takes new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedTarget {
    /// Name.
    pub id: TargetId,
    /// Version and start time.
    pub listed: ListedVersion,
}

/// What one instance reports on an order that is not decided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceReport {
    /// Responses since the instance learned of the order.
    pub cells: Vec<(CellKey, CellCounts)>,
    /// Requests that are open at targets of other versions than the ordered one.
    pub open_old: u32,
    /// Whether all further requests go to the new version.
    pub is_committed: bool,
    /// Whether the version was stopped on the instance.
    pub is_stopped: bool,
}

/// A response of a target, or its failure.
#[derive(Debug, Clone)]
pub struct VersionResponse<'a> {
    /// Target.
    pub target: &'a TargetId,
    /// Version of the target.
    pub version: &'a VersionId,
    /// Hash of the route's name.
    pub route: u32,
    /// Whether the target failed.
    pub is_failed: bool,
    /// Time from the send to the first data.
    pub took: Duration,
}

/// Why an instance stops sending requests to a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopCause {
    /// The evidence of this instance alone.
    #[display("own evidence")]
    Own,
    /// The evidence of all instances that is known here.
    #[display("merged evidence")]
    Merged,
    /// The decision of this instance as the lease holder.
    #[display("roll-back")]
    RollBack,
    /// Another instance has stopped it.
    #[display("peer")]
    Peer,
}

/// What a caller has to log.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutNews {
    /// An order became known, or its state changed.
    Order(RolloutRecord),
    /// Another version serves without an order.
    InForce {
        /// Service.
        service: Arc<str>,
        /// Version.
        version: Option<VersionId>,
    },
    /// The new version was stopped on this instance.
    Stopped {
        /// Service.
        service: Arc<str>,
        /// What stopped it.
        cause: StopCause,
        /// Strongest evidence: hash of the route, sums for failures and for slow responses, responses of the old
        /// and of the new version.
        evidence: Option<(u32, [f64; 2], u64, u64)>,
        /// Requests that this instance chose for the new version, and those that it sent to any.
        exposed: [u64; 2],
    },
}

struct PeerState {
    incarnation: Incarnation,
    at: Timestamp,
    report: InstanceReport,
}

/// An order that is not decided.
struct Run {
    exposure: Exposure,
    slowness: BTreeMap<u32, Slowness>,
    cells: BTreeMap<CellKey, CellCounts>,
    own_test: VersionTest,
    /// Test over the responses of all instances.
    merged_test: VersionTest,
    peers: BTreeMap<InstanceId, PeerState>,
    plan: Plan,
}

impl Run {
    fn new(bounds: ExposureBounds, instances: usize) -> Self {
        Self {
            exposure: Exposure::new(bounds, instances),
            slowness: BTreeMap::new(),
            cells: BTreeMap::new(),
            own_test: VersionTest::new(),
            merged_test: VersionTest::new(),
            peers: BTreeMap::new(),
            plan: Plan::new(),
        }
    }
}

#[derive(Default)]
struct ServiceState {
    record: Option<RolloutRecord>,
    /// Newest revision that was decided, or had another target; 0 if none is known.
    decided_revision: ObjectVersion,
    /// When the order became known to any instance.
    known_at: Timestamp,
    in_force: InForce,
    targets: Vec<VersionedTarget>,
    /// Targets of the ordered version, sorted by name.
    new_targets: Vec<TargetId>,
    version_count: usize,
    run: Option<Run>,
    /// Open requests by version.
    open: BTreeMap<VersionId, u32>,
}

impl ServiceState {
    fn ordered(&self) -> Option<&VersionId> {
        Some(&self.record.as_ref()?.order.target)
    }

    /// Number of groups of the new version's targets that the test compares.
    fn groups(&self) -> usize {
        self.new_targets.len().clamp(1, GROUPS)
    }

    fn open_old(&self) -> u32 {
        let ordered = self.ordered();
        let others = self
            .open
            .iter()
            .filter(|(version, _)| Some(*version) != ordered);
        others.map(|(_, count)| *count).sum()
    }

    /// Applies changed targets or a changed order.
    fn refresh(&mut self) -> bool {
        let listed: Vec<_> = self
            .targets
            .iter()
            .map(|target| target.listed.clone())
            .collect();
        let versions: BTreeSet<_> = listed.iter().map(|target| &target.version).collect();
        self.version_count = versions.len();
        let ordered = self.ordered().cloned();
        let new = self
            .targets
            .iter()
            .filter(|target| Some(&target.listed.version) == ordered.as_ref());
        self.new_targets = new.map(|target| target.id.clone()).collect();
        self.new_targets.sort();
        self.in_force.update(&listed, self.record.as_ref())
    }

    /// Stops the new version if the evidence suffices.
    fn check_evidence(&mut self, service: &Arc<str>) -> Option<RolloutNews> {
        let run = self.run.as_ref()?;
        if run.own_test.is_bad() {
            self.stop(service, StopCause::Own)
        } else if run.merged_test.is_bad() {
            self.stop(service, StopCause::Merged)
        } else {
            None
        }
    }

    /// Stops the new version until the end of the order.
    fn stop(&mut self, service: &Arc<str>, cause: StopCause) -> Option<RolloutNews> {
        let groups = self.groups();
        let run = self.run.as_mut()?;
        let test = match cause {
            StopCause::Own => &run.own_test,
            _ => &run.merged_test,
        };
        let evidence = test.strongest(groups);
        run.exposure.stop().then(|| RolloutNews::Stopped {
            service: Arc::clone(service),
            cause,
            evidence,
            exposed: [run.exposure.exposed(), run.exposure.forwarded()],
        })
    }

    /// Whether a message about revision `revision` of the order for `target` is about the present order. One for
    /// the same version that was decided earlier is not.
    fn is_present_order(&self, target: &str, revision: ObjectVersion) -> bool {
        self.ordered().is_some_and(|ordered| **ordered == *target)
            && revision > self.decided_revision
    }
}

/// The roll-outs as seen by one instance.
pub struct InstanceRollouts {
    bounds: ExposureBounds,
    instances: usize,
    rank: u32,
    services: BTreeMap<Arc<str>, ServiceState>,
    news: Vec<RolloutNews>,
}

impl InstanceRollouts {
    /// Creates the state of an instance that knows neither targets nor orders.
    pub fn new(bounds: ExposureBounds) -> Self {
        Self {
            bounds,
            instances: 1,
            rank: u32::MAX,
            services: BTreeMap::new(),
            news: Vec::new(),
        }
    }

    /// Takes what is to be logged.
    pub fn take_news(&mut self) -> Vec<RolloutNews> {
        std::mem::take(&mut self.news)
    }

    /// Applies the bounds, the number of instances of the fleet, and the place of this one among them.
    pub fn set_fleet(&mut self, bounds: ExposureBounds, instances: usize, rank: u32) {
        self.bounds = bounds;
        self.instances = instances;
        self.rank = rank;
        for run in self
            .services
            .values_mut()
            .filter_map(|state| state.run.as_mut())
        {
            run.exposure.set_instances(instances, rank);
        }
    }

    /// Applies the targets of all services that take new work.
    pub fn on_targets(&mut self, mut targets: BTreeMap<Arc<str>, Vec<VersionedTarget>>) {
        for service in self.services.keys() {
            targets.entry(Arc::clone(service)).or_default();
        }
        for (service, targets) in targets {
            let state = self.services.entry(Arc::clone(&service)).or_default();
            if state.targets == targets {
                continue;
            }
            state.targets = targets;
            if state.refresh() {
                let version = state.in_force.version().cloned();
                self.news.push(RolloutNews::InForce { service, version });
            }
        }
    }

    /// Applies an order as read from the store or received from another instance, which became known `age`
    /// ago. Older revisions are ignored.
    pub fn on_record(&mut self, record: RolloutRecord, age: Duration, now: Timestamp) {
        let service = Arc::clone(&record.order.service);
        let orders = self
            .services
            .values()
            .filter(|state| state.record.is_some());
        if !self.services.contains_key(&service) && orders.count() >= MAX_ORDERS {
            return;
        }
        let state = self.services.entry(Arc::clone(&service)).or_default();
        let known_at = now.saturating_sub(age);
        let current = state.record.as_ref();
        if let Some(current) = current
            && current.revision >= record.revision
        {
            if current.order == record.order && record.revision > state.decided_revision {
                state.known_at = state.known_at.min(known_at);
            }
            return;
        }
        let is_same = current.is_some_and(|current| {
            current.order.target == record.order.target && (current.is_open() || !record.is_open())
        });
        if let Some(current) = current.filter(|_| !is_same) {
            state.decided_revision = current.revision;
        }
        state.known_at = match is_same {
            true => state.known_at.min(known_at),
            false => known_at,
        };
        let has_changed = current.map(|current| (&current.order, current.state()))
            != Some((&record.order, record.state()));
        if !is_same || !record.is_open() {
            state.run = None;
        }
        if record.is_open() && state.run.is_none() {
            let mut run = Run::new(self.bounds, self.instances);
            run.exposure.set_instances(self.instances, self.rank);
            state.run = Some(run);
        }
        state.record = Some(record.clone());
        if has_changed {
            self.news.push(RolloutNews::Order(record));
        }
        if state.refresh() {
            let version = state.in_force.version().cloned();
            self.news.push(RolloutNews::InForce { service, version });
        }
    }

    /// Returns the orders with the time since they became known.
    pub fn records(&self, now: Timestamp) -> impl Iterator<Item = (&RolloutRecord, Duration)> {
        self.services.values().filter_map(move |state| {
            Some((state.record.as_ref()?, now.saturating_sub(state.known_at)))
        })
    }

    /// Returns the services with an order that is not decided.
    pub fn open_services(&self) -> Vec<Arc<str>> {
        let open = self
            .services
            .iter()
            .filter(|(_, state)| state.run.is_some());
        open.map(|(service, _)| Arc::clone(service)).collect()
    }

    /// Chooses the version of a request. `fraction` is evenly distributed over the requests in 0..1. A request
    /// that is sent again goes to the old version, until all go to the new one.
    pub fn choose(
        &mut self,
        service: &str,
        fraction: f64,
        is_first: bool,
        now: Timestamp,
    ) -> VersionChoice {
        let Some(state) = self.services.get_mut(service) else {
            return VersionChoice::Any;
        };
        let Some(in_force) = state.in_force.version().filter(|_| state.version_count > 1) else {
            return VersionChoice::Any;
        };
        let ordered = state.record.as_ref().map(|record| &record.order.target);
        if let (Some(run), Some(ordered)) = (&mut state.run, ordered)
            && !state.new_targets.is_empty()
        {
            let is_chosen = match is_first || run.exposure.phase(now) == Phase::Commit {
                true => run.exposure.choose(fraction, now),
                false => false,
            };
            if is_chosen {
                return VersionChoice::Only(ordered.clone());
            }
        }
        VersionChoice::Only(in_force.clone())
    }

    /// Returns the old version for a request that found no place at the new one.
    pub fn other_choice(
        &self,
        service: &str,
        choice: &VersionChoice,
        now: Timestamp,
    ) -> Option<VersionChoice> {
        let state = self.services.get(service)?;
        let in_force = state.in_force.version()?;
        let is_old_open = state.run.as_ref()?.exposure.may_send_old(now);
        let VersionChoice::Only(chosen) = choice else {
            return None;
        };
        (is_old_open && chosen != in_force).then(|| VersionChoice::Only(in_force.clone()))
    }

    /// Whether a request may be sent to a target with this version now. Checked immediately before each send.
    pub fn may_send(&self, service: &str, version: &VersionId, now: Timestamp) -> bool {
        let Some(state) = self.services.get(service) else {
            return true;
        };
        let Some(in_force) = state.in_force.version() else {
            return true;
        };
        if version.is_empty() || state.version_count <= 1 {
            return true;
        }
        match &state.run {
            Some(run) if Some(version) == state.ordered() => {
                in_force == version || run.exposure.may_send_new(now)
            }
            Some(run) if in_force == version => {
                run.exposure.may_send_old(now) || state.new_targets.is_empty()
            }
            _ => in_force == version,
        }
    }

    /// Records that a request is sent to a target with this version. [`Self::on_ended`] has to follow.
    pub fn on_sent(&mut self, service: &str, version: &VersionId) {
        if let Some(state) = self.services.get_mut(service) {
            *state.open.entry(version.clone()).or_default() += 1;
            if let Some(run) = &mut state.run {
                run.exposure.on_forwarded();
            }
        }
    }

    /// Records that a request which was sent has ended.
    pub fn on_ended(&mut self, service: &str, version: &VersionId) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if let Some(count) = state.open.get_mut(version) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.open.remove(version);
            }
        }
    }

    /// Applies a response of a target.
    pub fn on_response(&mut self, service: &str, response: &VersionResponse<'_>, now: Timestamp) {
        let found = self
            .services
            .iter_mut()
            .find(|(name, _)| ***name == *service);
        let Some((service, state)) = found else {
            return;
        };
        let groups = state.groups();
        let arm = match state.ordered() {
            Some(ordered) if ordered == response.version => {
                let place = state.new_targets.binary_search(response.target);
                Arm::New((place.unwrap_or(0) % GROUPS) as u8)
            }
            _ => Arm::Old,
        };
        let Some(run) = &mut state.run else { return };
        let slowness = run.slowness.entry(response.route).or_default();
        let is_slow = !response.is_failed && slowness.is_slow(response.took);
        if arm == Arm::Old && !response.is_failed {
            slowness.on_old(response.took);
        }
        let counts = CellCounts {
            responses: 1,
            failed: u64::from(response.is_failed),
            slow: u64::from(is_slow),
        };
        let key = (response.route, arm);
        if run.cells.contains_key(&key) || run.cells.len() < super::MAX_CELLS {
            run.cells.entry(key).or_default().add(counts);
        }
        run.own_test.add(key, counts, groups, now);
        run.merged_test.add(key, counts, groups, now);
        self.news.extend(state.check_evidence(service));
    }

    /// Returns the report of this instance on an order.
    pub fn report(&self, service: &str, now: Timestamp) -> Option<InstanceReport> {
        let state = self.services.get(service)?;
        let run = state.run.as_ref()?;
        Some(InstanceReport {
            cells: run
                .cells
                .iter()
                .map(|(key, counts)| (*key, *counts))
                .collect(),
            open_old: state.open_old(),
            is_committed: run.exposure.phase(now) == Phase::Commit,
            is_stopped: run.exposure.is_stopped(),
        })
    }

    /// Applies that another instance has stopped the version, as stated with a revision of the order.
    pub fn on_stop(&mut self, service: &str, target: &str, revision: ObjectVersion) {
        let found = self
            .services
            .iter_mut()
            .find(|(name, _)| ***name == *service);
        if let Some((name, state)) = found
            && state.is_present_order(target, revision)
        {
            self.news.extend(state.stop(name, StopCause::Peer));
        }
    }

    /// Applies the report of another instance on the order of `service` for `target`, which knows `revision`.
    pub fn on_report(
        &mut self,
        service: &str,
        (target, revision): (&str, ObjectVersion),
        from: (&InstanceId, Incarnation),
        mut report: InstanceReport,
        now: Timestamp,
    ) {
        let Some((name, state)) = self
            .services
            .iter_mut()
            .find(|(name, _)| ***name == *service)
        else {
            return;
        };
        if !state.is_present_order(target, revision) {
            return;
        }
        let groups = state.groups();
        let Some(run) = &mut state.run else { return };
        let (peer, incarnation) = from;
        if !run.peers.contains_key(peer) && run.peers.len() >= MAX_PEERS {
            return;
        }
        report.cells.truncate(super::MAX_CELLS);
        let previous = run
            .peers
            .get(peer)
            .filter(|peer| peer.incarnation == incarnation);
        // The old version first, as the new one is compared with it.
        report.cells.sort_by_key(|((_, arm), _)| *arm);
        for (key, counts) in &report.cells {
            let earlier = previous.and_then(|peer| {
                let found = peer.report.cells.iter().find(|(known, _)| known == key);
                found.map(|(_, counts)| *counts)
            });
            let counts = counts.since(earlier.unwrap_or_default());
            run.merged_test.add(*key, counts, groups, now);
        }
        let is_stopped = report.is_stopped;
        let state_of_peer = PeerState {
            incarnation,
            at: now,
            report,
        };
        run.peers.insert(peer.clone(), state_of_peer);
        self.news.extend(state.check_evidence(name));
        if is_stopped {
            self.news.extend(state.stop(name, StopCause::Peer));
        }
    }

    /// Applies a share that the holder of the order lease gave to this instance.
    pub fn on_share(&mut self, service: &str, target: &str, share: Share, now: Timestamp) {
        if let Some(state) = self.services.get_mut(service)
            && state.ordered().is_some_and(|ordered| **ordered == *target)
            && let Some(run) = &mut state.run
        {
            run.exposure.on_share(share, now);
        }
    }

    /// Decides the next step of an order as the holder of the order lease. `in_contact` are the other
    /// instances that can be reached, `step_time` is the time in which a step reaches all and is confirmed.
    pub fn decide(
        &mut self,
        service: &str,
        in_contact: &[InstanceId],
        step_time: Duration,
        now: Timestamp,
    ) -> Option<(PlanStep, RolloutRecord)> {
        let found = self
            .services
            .iter_mut()
            .find(|(name, _)| ***name == *service);
        let (name, state) = found?;
        let (groups, open_old) = (state.groups(), state.open_old());
        let record = state.record.clone()?;
        let run = state.run.as_mut()?;
        let is_idle = |name: &InstanceId| {
            run.peers.get(name).is_some_and(|peer| {
                let report = &peer.report;
                let is_recent = now.saturating_sub(peer.at) < REPORT_AGE;
                is_recent && report.is_committed && report.open_old == 0
            })
        };
        let is_committed = run.exposure.phase(now) == Phase::Commit;
        let input = PlanInput {
            age: now.saturating_sub(state.known_at),
            duration: record.order.duration,
            step_time,
            verdict: run.merged_test.verdict(groups, Proof::FULL),
            late_verdict: run.merged_test.verdict(groups, Proof::LATE),
            has_targets: !state.new_targets.is_empty(),
            has_old_targets: state.targets.len() > state.new_targets.len(),
            is_stopped: run.exposure.is_stopped(),
            is_committed: is_committed || run.peers.values().any(|peer| peer.report.is_committed),
            is_old_idle: is_committed && open_old == 0 && in_contact.iter().all(is_idle),
        };
        let step = run.plan.next(input);
        if matches!(step, PlanStep::RollBack(_)) {
            self.news.extend(state.stop(name, StopCause::RollBack));
        }
        Some((step, record))
    }

    /// Returns the share of this instance, if it is valid.
    pub fn share(&self, service: &str, now: Timestamp) -> Option<Share> {
        let run = self.services.get(service)?.run.as_ref()?;
        run.exposure.share(now)
    }

    /// Whether the new version of a service is stopped here, while its order is not decided.
    pub fn is_stopped(&self, service: &str) -> bool {
        let run = self
            .services
            .get(service)
            .and_then(|state| state.run.as_ref());
        run.is_some_and(|run| run.exposure.is_stopped())
    }

    /// Describes an order for the log: requests chosen for the new version, sent to any version, and open at
    /// the old one.
    pub fn counts(&self, service: &str) -> Option<(u64, u64, u32)> {
        let state = self.services.get(service)?;
        let exposure = &state.run.as_ref()?.exposure;
        Some((exposure.exposed(), exposure.forwarded(), state.open_old()))
    }
}
