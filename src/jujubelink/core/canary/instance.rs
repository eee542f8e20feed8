//! What one instance knows of the roll-outs, and where it sends requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::slowness::Slowness;
use super::{
    Arm, CellCounts, CellKey, Exposure, ExposureBounds, InForce, ListedVersion, Phase, Plan,
    PlanInput, PlanStep, RolloutRecord, Share, Verdict, VersionId, VersionTest,
};
use crate::core::ids::{Incarnation, InstanceId, TargetId, Timestamp};

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
    /// Whether the version was stopped by the instance's own evidence.
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
        /// Whether the evidence of this instance alone was enough.
        is_own_evidence: bool,
        /// Strongest evidence: hash of the route, sums of both groups, responses of the old and of the new
        /// version.
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
    is_stopped_by_own: bool,
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
            is_stopped_by_own: false,
            peers: BTreeMap::new(),
            plan: Plan::new(),
        }
    }
}

#[derive(Default)]
struct ServiceState {
    record: Option<RolloutRecord>,
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
        self.new_targets.len().clamp(1, 2)
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
        let groups = self.groups();
        let run = self.run.as_mut()?;
        let is_own_evidence = run.own_test.verdict(groups) == Verdict::Bad;
        run.is_stopped_by_own |= is_own_evidence;
        if !is_own_evidence && run.merged_test.verdict(groups) != Verdict::Bad {
            return None;
        }
        let test = if is_own_evidence {
            &run.own_test
        } else {
            &run.merged_test
        };
        let evidence = test.strongest();
        run.exposure.stop().then(|| RolloutNews::Stopped {
            service: Arc::clone(service),
            is_own_evidence,
            evidence,
            exposed: [run.exposure.exposed(), run.exposure.forwarded()],
        })
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
            if current.order == record.order {
                state.known_at = state.known_at.min(known_at);
            }
            return;
        }
        let is_same = current.is_some_and(|current| {
            current.order.target == record.order.target && (current.is_open() || !record.is_open())
        });
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
                match place.unwrap_or(0) % 2 {
                    0 => Arm::NewEven,
                    _ => Arm::NewOdd,
                }
            }
            _ => Arm::Old,
        };
        let Some(run) = &mut state.run else { return };
        let slowness = run.slowness.entry(response.route).or_default();
        let is_bad = response.is_failed || slowness.is_slow(response.took);
        if arm == Arm::Old && !response.is_failed {
            slowness.on_old(response.took);
        }
        let counts = CellCounts {
            responses: 1,
            bad: u64::from(is_bad),
        };
        let key = (response.route, arm);
        if run.cells.contains_key(&key) || run.cells.len() < super::MAX_CELLS {
            let cell = run.cells.entry(key).or_default();
            cell.responses += counts.responses;
            cell.bad += counts.bad;
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
            is_stopped: run.is_stopped_by_own,
        })
    }

    /// Applies the report of another instance on the order of `service` for `target`.
    pub fn on_report(
        &mut self,
        service: &str,
        target: &str,
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
        if state.ordered().map(|ordered| &**ordered) != Some(target) {
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
        let state_of_peer = PeerState {
            incarnation,
            at: now,
            report,
        };
        run.peers.insert(peer.clone(), state_of_peer);
        self.news.extend(state.check_evidence(name));
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
    /// instances that can be reached.
    pub fn decide(
        &mut self,
        service: &str,
        in_contact: &[InstanceId],
        now: Timestamp,
    ) -> Option<(PlanStep, RolloutRecord)> {
        let state = self.services.get_mut(service)?;
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
            verdict: run.merged_test.verdict(groups),
            has_targets: !state.new_targets.is_empty(),
            has_old_targets: state.targets.len() > state.new_targets.len(),
            share: self.bounds.share,
            is_stopped: run.is_stopped_by_own
                || run.peers.values().any(|peer| peer.report.is_stopped),
            is_old_idle: is_committed && open_old == 0 && in_contact.iter().all(is_idle),
        };
        let step = run.plan.next(input, now);
        if matches!(step, PlanStep::RollBack(_)) {
            run.exposure.stop();
        }
        Some((step, record))
    }

    /// Describes an order for the log: requests chosen for the new version, sent to any version, and open at
    /// the old one.
    pub fn counts(&self, service: &str) -> Option<(u64, u64, u32)> {
        let state = self.services.get(service)?;
        let exposure = &state.run.as_ref()?.exposure;
        Some((exposure.exposed(), exposure.forwarded(), state.open_old()))
    }
}
