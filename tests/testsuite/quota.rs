//! Rate limits that instances share without a central counter, and budgets for resends.

use std::time::Duration;

use jujubelink::core::fleet::{MIN_SEND_INTERVAL, MessageSchedule};
use jujubelink::core::ids::InstanceId;
use jujubelink::core::quota::{
    PeerUsage, ResendBudget, ResendPolicy, SharedBucket, contact_digest,
};
use jujubelink::util::hash::stable_hash;
use proptest::prelude::*;

use crate::support::property_config;

const RATE_PER_S: f64 = 1_000.0;
const BURST: f64 = 500.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(index: usize) -> InstanceId {
    format!("i{index}").into()
}

/// Instances that share one limit and report their usage to each other, except over cut links.
struct Fleet {
    buckets: Vec<SharedBucket>,
    /// Links without reports, as pairs of receiver and sender. Each pair is one direction.
    cut: Vec<(usize, usize)>,
    /// Admitted requests: time in ms and units.
    admitted: Vec<(u64, u64)>,
}

impl Fleet {
    fn new(size: usize, cut: Vec<(usize, usize)>) -> Self {
        let buckets = (0..size).map(|_| SharedBucket::new(RATE_PER_S, BURST, 0.0, ms(0)));
        let mut fleet = Self {
            buckets: buckets.collect(),
            cut,
            admitted: Vec::new(),
        };
        fleet.exchange_reports(0);
        fleet
    }

    fn receives(&self, receiver: usize, sender: usize) -> bool {
        !self.cut.contains(&(receiver, sender))
    }

    /// Instances linked with `local` in both directions, including itself.
    fn contacts(&self, local: usize) -> Vec<InstanceId> {
        (0..self.buckets.len())
            .filter(|peer| self.receives(local, *peer) && self.receives(*peer, local))
            .map(name)
            .collect()
    }

    /// All instances report their total usage to each other. A limit is shared with a peer only if
    /// both receive each other's reports and have the same contacts, which they compare by digest.
    fn exchange_reports(&mut self, now_ms: u64) {
        let totals: Vec<u64> = self.buckets.iter().map(SharedBucket::total).collect();
        let contacts: Vec<_> = (0..totals.len())
            .map(|local| self.contacts(local))
            .collect();
        let digests: Vec<u64> = contacts
            .iter()
            .map(|contacts| contact_digest(contacts.iter()))
            .collect();
        for local in 0..self.buckets.len() {
            let peers: Vec<(InstanceId, bool)> = (0..totals.len())
                .filter(|peer| *peer != local)
                .map(|peer| {
                    let is_in_contact = contacts[local].contains(&name(peer));
                    (name(peer), is_in_contact && digests[local] == digests[peer])
                })
                .collect();
            let senders: Vec<usize> = (0..totals.len())
                .filter(|peer| *peer != local && self.receives(local, *peer))
                .collect();
            let bucket = &mut self.buckets[local];
            bucket.set_peers(
                peers.iter().map(|(id, is_shared)| (id, *is_shared)),
                ms(now_ms),
            );
            for peer in senders {
                let usage = PeerUsage {
                    incarnation: 1,
                    total: totals[peer],
                };
                bucket.on_report(&name(peer), usage, ms(now_ms));
            }
        }
    }

    /// Requests units at an instance and records them if they are admitted.
    fn request(&mut self, local: usize, units: u64, now_ms: u64) {
        if self.buckets[local].charge(units, ms(now_ms)).is_ok() {
            self.admitted.push((now_ms, units));
        }
    }

    /// Units admitted in the window with the most.
    fn max_units_in_window(&self, window_ms: u64) -> u64 {
        max_units_in_window(&self.admitted, window_ms)
    }
}

/// Units of the window with the most. The requests are times in ms and units, in order.
fn max_units_in_window(requests: &[(u64, u64)], window_ms: u64) -> u64 {
    let (mut first, mut in_window, mut max_units) = (0, 0, 0);
    for (at, units) in requests {
        in_window += units;
        while requests[first].0 + window_ms <= *at {
            in_window -= requests[first].1;
            first += 1;
        }
        max_units = max_units.max(in_window);
    }
    max_units
}

/// Simulates 20 s during which the instances together request ten times the rate, in requests of
/// `units`, and exchange reports every `period_ms`.
fn simulate(size: usize, cut: Vec<(usize, usize)>, units: u64, period_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(size, cut);
    for now_ms in 0..20_000 {
        if now_ms % period_ms == 0 {
            fleet.exchange_reports(now_ms);
        }
        // The interval at which the instances together request ten times the rate.
        if now_ms % (units * 1_000 * size as u64 / (10 * RATE_PER_S as u64)).max(1) == 0 {
            for local in 0..size {
                fleet.request(local, units, now_ms);
            }
        }
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..property_config() })]

    /// Guards against a workspace that gets more than its rate and burst at all instances together,
    /// whichever links between them are cut, in one direction or both.
    #[test]
    fn all_instances_together_keep_the_limit(
        size in 2usize..8,
        cut in proptest::collection::vec((0usize..8, 0usize..8), 0..12),
        units in 1u64..60,
    ) {
        let cut = cut.into_iter().filter(|(a, b)| a != b && *a < size && *b < size).collect();
        let fleet = simulate(size, cut, units, 200);
        let window_s = 8;
        // Usage since the last report is unknown to the peers: ten times the rate for 200 ms.
        let unreported = 10.0 * RATE_PER_S * 0.2 + (size as f64) * units as f64;
        let limit = RATE_PER_S * f64::from(window_s) + BURST + unreported;
        prop_assert!((fleet.max_units_in_window(8_000) as f64) <= limit, "{} of {limit}", fleet.max_units_in_window(8_000));
    }
}

/// Guards against a workspace that gets more than its limit when two instances have no link to each
/// other but both have one to a third: both would use the share that the third leaves unused. The
/// property test above found this case.
#[test]
fn cuts_between_some_instances_keep_the_limit() {
    let fleet = simulate(5, vec![(4, 2), (1, 0), (2, 4)], 1, 200);
    let limit = RATE_PER_S * 8.0 + BURST + 10.0 * RATE_PER_S * 0.2 + 5.0;
    let max_units = fleet.max_units_in_window(8_000) as f64;
    assert!(max_units <= limit, "{max_units} of {limit}");
}

/// Guards against a workspace that gets more than its limit while links are cut and restored.
#[test]
fn changing_cuts_keep_the_limit() {
    let cuts = [
        vec![],
        vec![(4, 2), (1, 0), (2, 4)],
        vec![(0, 3), (3, 0), (1, 3)],
        vec![],
    ];
    let mut fleet = Fleet::new(5, Vec::new());
    for now_ms in 0..40_000u64 {
        if now_ms % 200 == 0 {
            fleet
                .cut
                .clone_from(&cuts[now_ms as usize / 3_000 % cuts.len()]);
            fleet.exchange_reports(now_ms);
        }
        if now_ms % 5 == 0 {
            for local in 0..5 {
                fleet.request(local, 10, now_ms);
            }
        }
    }
    let limit = RATE_PER_S * 8.0 + BURST + 10.0 * RATE_PER_S * 0.2 + 50.0;
    let max_units = fleet.max_units_in_window(8_000) as f64;
    assert!(max_units <= limit, "{max_units} of {limit}");
}

/// Guards against an instance that refuses requests for seconds after a cut heals because it
/// deducts twice: the fair share that it set aside for the peer, and the usage that the peer then
/// reports.
#[test]
fn an_instance_admits_its_share_during_a_cut_and_more_after_it() {
    let mut fleet = Fleet::new(5, vec![(0, 4), (4, 0)]);
    let mut admitted = [0u64; 2];
    for now_ms in 0..12_000u64 {
        if now_ms == 10_000 {
            fleet.cut.clear();
        }
        if now_ms % 200 == 0 {
            fleet.exchange_reports(now_ms);
        }
        if now_ms % 10 == 0 {
            // One of the three instances with all links uses everything that the three share.
            fleet.request(1, 10, now_ms);
        }
        if now_ms % 50 == 0 {
            let total_before = fleet.buckets[0].total();
            fleet.request(0, 10, now_ms);
            admitted[usize::from(now_ms >= 10_000)] += fleet.buckets[0].total() - total_before;
        }
    }
    // It requests its fair share, 200 units/s.
    assert!(admitted[0] >= 1_900, "{} of 2,000 units", admitted[0]);
    // After the cut it competes with an instance that requests the whole rate.
    assert!(admitted[1] >= 60, "{} units in 2 s", admitted[1]);
}

/// Guards against refusals within the limit: one instance may use all of it while the others report
/// that they use nothing.
#[test]
fn one_instance_gets_the_whole_rate_of_idle_peers() {
    let mut fleet = Fleet::new(7, Vec::new());
    for now_ms in 0..10_000 {
        if now_ms % 200 == 0 {
            fleet.exchange_reports(now_ms);
        }
        if now_ms % 10 == 0 {
            fleet.request(0, 10, now_ms);
        }
    }
    let admitted: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    assert!(admitted >= 9_900, "{admitted} of 10,000 units");
}

/// Guards against an instance that resumes after a suspension and credits itself with what the
/// whole fleet accrued in the meantime.
#[test]
fn a_suspended_instance_accrues_only_its_share() {
    let mut bucket = SharedBucket::new(RATE_PER_S, 100_000.0, 0.0, ms(0));
    let peers: Vec<InstanceId> = (1..10).map(name).collect();
    bucket.set_peers(peers.iter().map(|id| (id, true)), ms(0));
    assert!(bucket.level(ms(5_000)) <= RATE_PER_S * 5.0 / 10.0);
}

/// Guards against a limit that depends on how its bucket learns of a change: a change of some peers has to have
/// the same effect as a new list of all of them, which costs a large fleet most of its processor time.
#[test]
fn a_change_of_some_peers_equals_a_new_list_of_all() {
    const PEERS: usize = 12;
    let changes = proptest::collection::vec((0..PEERS, any::<bool>(), 0..400u64, 0..60u64), 1..60);
    proptest!(property_config(), |(changes in changes)| {
        let mut sharing: Vec<_> = (0..PEERS).map(|index| (name(index), index % 2 == 0)).collect();
        let all = |sharing: &[(InstanceId, bool)], bucket: &mut SharedBucket, now| {
            bucket.set_peers(sharing.iter().map(|(id, is_sharing)| (id, *is_sharing)), now);
        };
        let mut listed = SharedBucket::new(RATE_PER_S, BURST, BURST, ms(0));
        let mut changed = listed.clone();
        all(&sharing, &mut listed, ms(0));
        all(&sharing, &mut changed, ms(0));
        let mut now = ms(0);
        for (index, is_sharing, pause_ms, units) in changes {
            now += ms(pause_ms);
            let usage = PeerUsage { incarnation: 1, total: now.as_millis() as u64 };
            for bucket in [&mut listed, &mut changed] {
                bucket.on_report(&name(index), usage, now);
            }
            prop_assert_eq!(listed.charge(units, now), changed.charge(units, now));
            sharing[index].1 = is_sharing;
            all(&sharing, &mut listed, now);
            changed.set_sharing([(&sharing[index].0, is_sharing)].into_iter(), now);
            prop_assert_eq!(listed.status(now), changed.status(now));
        }
    });
}

/// Guards against a request that is larger than the burst and is therefore refused forever.
#[test]
fn a_request_above_the_burst_waits_for_a_full_bucket() {
    let mut bucket = SharedBucket::new(RATE_PER_S, BURST, 0.0, ms(0));
    let refusal = bucket.charge(2_000, ms(100)).unwrap_err();
    assert_eq!(refusal.retry_after, ms(400));
    assert!(bucket.charge(2_000, ms(500)).is_ok());
    assert!(bucket.charge(1, ms(1_900)).is_err());
    assert!(bucket.charge(1, ms(2_100)).is_ok());
}

/// Guards against more resends than the budget of all instances together: each may use only its
/// part.
#[test]
fn resends_of_all_instances_stay_within_the_budget() {
    let policy = ResendPolicy {
        ratio: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let instances = 7;
    let mut resends = 0;
    for local in 0..instances {
        let mut budget = ResendBudget::new(policy);
        for request in 0..100u64 {
            budget.on_request(ms(request * 90 + local));
            for _ in 0..3 {
                let is_allowed = budget.try_acquire(instances as usize, ms(request * 90 + local));
                resends += u64::from(is_allowed);
            }
        }
    }
    assert!(resends as f64 <= 0.2 * 700.0 + 54.0, "{resends} resends");
    assert!(resends > 100, "{resends} resends");
}

/// Guards against a budget that stays used up although its window has passed or requests have arrived.
#[test]
fn a_used_resend_budget_refills_with_time_and_requests() {
    let policy = ResendPolicy {
        ratio: 0.2,
        slack: 2.0,
        window: Duration::from_secs(10),
    };
    let mut budget = ResendBudget::new(policy);
    assert!(budget.try_acquire(1, ms(0)));
    assert!(!budget.try_acquire(1, ms(9_000)));
    assert!(budget.try_acquire(1, ms(10_600)));
    assert!(!budget.try_acquire(1, ms(10_700)));
    for request in 0..10 {
        budget.on_request(ms(10_800 + request));
    }
    assert!(budget.try_acquire(1, ms(10_900)));
    assert!(budget.try_acquire(1, ms(10_900)));
    assert!(!budget.try_acquire(1, ms(10_900)));
}

/// Guards against a changed limit that applies only to the resends after it.
#[test]
fn a_changed_resend_policy_counts_earlier_resends() {
    let policy = |slack| ResendPolicy {
        ratio: 0.0,
        slack,
        window: Duration::from_secs(10),
    };
    let mut budget = ResendBudget::new(policy(2.0));
    assert!(budget.try_acquire(1, ms(0)));
    budget.set_policy(policy(3.0));
    assert!(budget.try_acquire(1, ms(100)));
    assert!(!budget.try_acquire(1, ms(200)));
    budget.set_policy(policy(0.0));
    assert!(!budget.try_acquire(1, ms(20_000)));
}

/// Limits of the users' rules: what all instances together may admit in a window.
const QUOTA_WINDOW_MS: u64 = 8_000;
const QUOTA_OVERAGE: f64 = 0.1;
const QUOTA_SLACK: f64 = 110_000.0;

/// Rate limit of a large workspace in tokens, and the tokens of one of its requests.
const LARGE_RATE_PER_S: f64 = 540_000.0;
const LARGE_BURST: f64 = 1_080_000.0;
const REQUEST_TOKENS: u64 = 9_000;

/// Times of the simulated load and cuts, in ms.
const CUT_FROM_MS: u64 = 6_000;
const CUT_UNTIL_MS: u64 = 12_000;
const BUSY_FROM_MS: u64 = 6_500;
const BUSY_UNTIL_MS: u64 = 15_500;
const END_MS: u64 = 18_000;

/// Part of the rate that the workspace requests outside the busy period.
const CALM_DEMAND: f64 = 0.55;

/// One in this number of datagrams is lost.
const LOSS_ONE_IN: u64 = 100;

/// Which links are cut from [`CUT_FROM_MS`] to [`CUT_UNTIL_MS`].
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    None,
    /// Each fifth instance is cut off from all others.
    IsolatedFifth,
    /// Each fourth instance is in a zone that is cut off from the others.
    Zone,
}

impl Cut {
    fn separates(self, first: usize, second: usize) -> bool {
        match self {
            Self::None => false,
            Self::IsolatedFifth => first.is_multiple_of(5) || second.is_multiple_of(5),
            Self::Zone => first.is_multiple_of(4) != second.is_multiple_of(4),
        }
    }
}

/// What an instance of a [`LargeFleet`] knows of a peer.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    received_at_ms: Option<u64>,
    echoed_at_ms: Option<u64>,
    agreed_at_ms: Option<u64>,
}

/// A fleet whose instances exchange messages on the schedule of their number, as `ops::share` does.
struct LargeFleet {
    names: Vec<InstanceId>,
    buckets: Vec<SharedBucket>,
    /// By receiver and sender.
    links: Vec<Vec<Link>>,
    sharing: Vec<Vec<bool>>,
    schedule: MessageSchedule,
    cut: Cut,
    random: u64,
    /// Admitted requests: time in ms and units.
    admitted: Vec<(u64, u64)>,
    refusals: u64,
}

impl LargeFleet {
    fn new(size: usize, cut: Cut) -> Self {
        let bucket = SharedBucket::new(LARGE_RATE_PER_S, LARGE_BURST, LARGE_BURST, ms(0));
        Self {
            names: (0..size)
                .map(|index| format!("i{index:03}").into())
                .collect(),
            buckets: vec![bucket; size],
            links: vec![vec![Link::default(); size]; size],
            sharing: vec![Vec::new(); size],
            schedule: MessageSchedule::new(size - 1),
            cut,
            random: 20_261_204,
            admitted: Vec::new(),
            refusals: 0,
        }
    }

    fn size(&self) -> usize {
        self.names.len()
    }

    fn next_random(&mut self, limit: u64) -> u64 {
        self.random = stable_hash(self.random, b"next");
        self.random % limit
    }

    fn is_in_contact(&self, local: usize, peer: usize, now_ms: u64) -> bool {
        let timeout_ms = self.schedule.contact_timeout.as_millis() as u64;
        let link = self.links[local][peer];
        [link.received_at_ms, link.echoed_at_ms]
            .iter()
            .all(|at_ms| at_ms.is_some_and(|at_ms| now_ms - at_ms < timeout_ms))
    }

    fn digest(&self, local: usize, now_ms: u64) -> u64 {
        let contacts = (0..self.size())
            .filter(|peer| *peer == local || self.is_in_contact(local, *peer, now_ms));
        contact_digest(contacts.map(|peer| &self.names[peer]))
    }

    fn refresh_contacts(&mut self, local: usize, now_ms: u64) {
        let timeout_ms = self.schedule.agreement_timeout.as_millis() as u64;
        let sharing: Vec<bool> = (0..self.size())
            .map(|peer| {
                let agreed_at_ms = self.links[local][peer].agreed_at_ms;
                agreed_at_ms.is_some_and(|at_ms| now_ms - at_ms < timeout_ms)
                    && self.is_in_contact(local, peer, now_ms)
            })
            .collect();
        if sharing == self.sharing[local] {
            return;
        }
        let peers = self.names.iter().zip(sharing.iter().copied());
        let peers = (0..)
            .zip(peers)
            .filter(|(peer, _)| *peer != local)
            .map(|(_, peer)| peer);
        self.buckets[local].set_peers(peers, ms(now_ms));
        self.sharing[local] = sharing;
    }

    /// Whether a datagram arrives.
    fn arrives(&mut self, from: usize, to: usize, now_ms: u64) -> bool {
        let is_cut = (CUT_FROM_MS..CUT_UNTIL_MS).contains(&now_ms) && self.cut.separates(from, to);
        !is_cut && self.next_random(LOSS_ONE_IN) > 0
    }

    fn report(&mut self, from: usize, to: usize, now_ms: u64) {
        let usage = PeerUsage {
            incarnation: 1,
            total: self.buckets[from].total(),
        };
        self.buckets[to].on_report(&self.names[from], usage, ms(now_ms));
    }

    /// Sends the messages and short reports of one round of an instance.
    fn send_round(&mut self, local: usize, round: u64, now_ms: u64) {
        let digest = self.digest(local, now_ms);
        let offset = stable_hash(0, self.names[local].as_bytes());
        let needs_usage_report = self.buckets[local].needs_usage_report(ms(now_ms));
        let intervals = (
            self.schedule.send_interval,
            self.schedule.usage_report_interval,
        );
        let peers = (0..self.size()).filter(|peer| *peer != local);
        for (index, peer) in (0..).zip(peers) {
            let is_message = MessageSchedule::is_due(intervals.0, round, index, offset);
            let is_report =
                needs_usage_report && MessageSchedule::is_due(intervals.1, round, index, offset);
            if !(is_message || is_report) || !self.arrives(local, peer, now_ms) {
                continue;
            }
            if is_message {
                let echoed_at_ms = self.links[local][peer].received_at_ms;
                let link = &mut self.links[peer][local];
                link.received_at_ms = Some(now_ms);
                link.echoed_at_ms = link.echoed_at_ms.max(echoed_at_ms);
                if digest == self.digest(peer, now_ms) {
                    self.links[peer][local].agreed_at_ms = Some(now_ms);
                }
                self.refresh_contacts(peer, now_ms);
            }
            self.report(local, peer, now_ms);
        }
        self.refresh_contacts(local, now_ms);
    }

    /// Simulates a workspace that requests `busy_demand` times its rate in the busy period, each
    /// request at a random instance.
    fn simulate(size: usize, cut: Cut, busy_demand: f64) -> Self {
        let mut fleet = Self::new(size, cut);
        let round_ms = MIN_SEND_INTERVAL.as_millis() as u64;
        let starts_ms: Vec<u64> = (0..size).map(|_| fleet.next_random(round_ms)).collect();
        let mut requested = 0.0;
        for now_ms in 0..END_MS {
            for (local, start_ms) in starts_ms.iter().enumerate() {
                if now_ms % round_ms == *start_ms {
                    fleet.send_round(local, now_ms / round_ms, now_ms);
                }
            }
            let is_busy = (BUSY_FROM_MS..BUSY_UNTIL_MS).contains(&now_ms);
            let demand = if is_busy { busy_demand } else { CALM_DEMAND };
            requested += demand * LARGE_RATE_PER_S / 1_000.0;
            while requested >= REQUEST_TOKENS as f64 {
                requested -= REQUEST_TOKENS as f64;
                let local = fleet.next_random(size as u64) as usize;
                match fleet.buckets[local].charge(REQUEST_TOKENS, ms(now_ms)) {
                    Ok(()) => fleet.admitted.push((now_ms, REQUEST_TOKENS)),
                    Err(_) => fleet.refusals += 1,
                }
            }
        }
        fleet
    }

    /// Asserts that the workspace kept its limit in each window.
    fn assert_limit_is_kept(&self, case: &str) {
        let window_s = QUOTA_WINDOW_MS as f64 / 1_000.0;
        let limit =
            (LARGE_RATE_PER_S * window_s + LARGE_BURST) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK;
        let units = max_units_in_window(&self.admitted, QUOTA_WINDOW_MS) as f64;
        assert!(units <= limit, "{case}: {units} of {limit}");
    }
}

/// Guards against a workspace that gets more than its limit at a large fleet, whose instances send
/// regular messages to each other only every two seconds, because each one admits requests up to a
/// level that the others have used up meanwhile.
#[test]
fn a_large_fleet_keeps_the_limit_of_a_busy_workspace() {
    for demand in [4.0, 10.0] {
        let fleet = LargeFleet::simulate(84, Cut::None, demand);
        fleet.assert_limit_is_kept(&format!("demand {demand}"));
        // Requests within the limit are admitted.
        let busy_s = (BUSY_UNTIL_MS - BUSY_FROM_MS) as f64 / 1_000.0;
        let admitted: u64 = fleet
            .admitted
            .iter()
            .filter(|(at_ms, _)| (BUSY_FROM_MS..BUSY_UNTIL_MS).contains(at_ms))
            .map(|(_, units)| units)
            .sum();
        let allowed = LARGE_RATE_PER_S * busy_s + LARGE_BURST;
        assert!(admitted as f64 >= 0.8 * allowed, "{admitted} of {allowed}");
    }
}

/// Guards against a workspace that gets more than its limit at a large fleet while instances are
/// cut off for less than the contact timeout: both sides would use the whole limit.
#[test]
fn a_large_fleet_keeps_the_limit_while_instances_are_cut_off() {
    for cut in [Cut::IsolatedFifth, Cut::Zone] {
        for demand in [2.6, 4.0] {
            let fleet = LargeFleet::simulate(84, cut, demand);
            fleet.assert_limit_is_kept(&format!("{cut:?}, demand {demand}"));
        }
    }
}

/// Guards against refusals within the limit at a large fleet: because messages arrive seldom, an
/// instance would take itself for suspended, or a peer whose datagram was lost for cut off.
#[test]
fn a_large_fleet_admits_a_workspace_within_its_rate() {
    let fleet = LargeFleet::simulate(84, Cut::None, CALM_DEMAND);
    assert_eq!(fleet.refusals, 0);
}

/// Guards against a workspace that asks for ten times its rate and gets more than its limit while a part
/// of a large fleet is cut off.
#[test]
fn a_large_fleet_keeps_the_limit_of_a_flooding_workspace_during_a_cut() {
    for cut in [Cut::IsolatedFifth, Cut::Zone] {
        let fleet = LargeFleet::simulate(84, cut, 10.0);
        fleet.assert_limit_is_kept(&format!("{cut:?}"));
    }
}

/// Guards against limits that hold for a fleet of 84 instances only: with 380, messages arrive seldom.
#[test]
fn a_fleet_of_380_instances_keeps_the_limit_of_a_busy_workspace() {
    let fleet = LargeFleet::simulate(380, Cut::None, 4.0);
    fleet.assert_limit_is_kept("380 instances");
}
