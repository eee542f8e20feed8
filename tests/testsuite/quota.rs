//! Limits and resends over all instances.

use std::time::Duration;

use jujubelink::core::ids::InstanceId;
use jujubelink::core::quota::{
    PeerUsage, ResendBudget, ResendPolicy, SharedBucket, contact_digest,
};
use proptest::prelude::*;

use crate::support::property_config;

const RATE: f64 = 1_000.0;
const BURST: f64 = 500.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(index: usize) -> InstanceId {
    format!("i{index}").into()
}

/// Instances that each want more than the whole limit, and tell each other every `period_ms` what
/// they used, except over cut pairs.
struct Fleet {
    buckets: Vec<SharedBucket>,
    /// Pairs that do not hear each other, in one direction.
    cut: Vec<(usize, usize)>,
    admitted: Vec<(u64, u64)>,
}

impl Fleet {
    fn new(size: usize, cut: Vec<(usize, usize)>) -> Self {
        let buckets = (0..size).map(|_| SharedBucket::new(RATE, BURST, 0.0, ms(0)));
        let mut fleet = Self {
            buckets: buckets.collect(),
            cut,
            admitted: Vec::new(),
        };
        fleet.tell(0);
        fleet
    }

    fn hears(&self, listener: usize, speaker: usize) -> bool {
        !self.cut.contains(&(listener, speaker))
    }

    /// Instances that `own` hears and that hear it, itself included.
    fn contacts(&self, own: usize) -> Vec<InstanceId> {
        (0..self.buckets.len())
            .filter(|peer| self.hears(own, *peer) && self.hears(*peer, own))
            .map(name)
            .collect()
    }

    /// A message names whom its sender hears and bears the digest of its contacts.
    fn tell(&mut self, now_ms: u64) {
        let totals: Vec<u64> = self.buckets.iter().map(SharedBucket::total).collect();
        let contacts: Vec<_> = (0..totals.len()).map(|own| self.contacts(own)).collect();
        let digests: Vec<u64> = contacts
            .iter()
            .map(|set| contact_digest(set.iter()))
            .collect();
        for own in 0..self.buckets.len() {
            let peers: Vec<(InstanceId, bool)> = (0..totals.len())
                .filter(|peer| *peer != own)
                .map(|peer| {
                    let is_in_contact = contacts[own].contains(&name(peer));
                    (name(peer), is_in_contact && digests[own] == digests[peer])
                })
                .collect();
            let heard: Vec<usize> = (0..totals.len())
                .filter(|peer| *peer != own && self.hears(own, *peer))
                .collect();
            let bucket = &mut self.buckets[own];
            bucket.set_peers(peers.iter().map(|(id, is_in)| (id, *is_in)), ms(now_ms));
            for peer in heard {
                let used = PeerUsage {
                    incarnation: 1,
                    total: totals[peer],
                };
                bucket.on_report(&name(peer), used, ms(now_ms));
            }
        }
    }

    fn ask(&mut self, own: usize, units: u64, now_ms: u64) {
        if self.buckets[own].charge(units, ms(now_ms)).is_ok() {
            self.admitted.push((now_ms, units));
        }
    }

    /// Units admitted in the busiest window.
    fn busiest(&self, window_ms: u64) -> u64 {
        let (mut first, mut inside, mut busiest) = (0, 0, 0);
        for (at, units) in &self.admitted {
            inside += units;
            while self.admitted[first].0 + window_ms <= *at {
                inside -= self.admitted[first].1;
                first += 1;
            }
            busiest = busiest.max(inside);
        }
        busiest
    }
}

fn play(size: usize, cut: Vec<(usize, usize)>, units: u64, period_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(size, cut);
    for now_ms in 0..20_000 {
        if now_ms % period_ms == 0 {
            fleet.tell(now_ms);
        }
        // Together the instances ask for ten times the rate.
        if now_ms % (units * 1_000 * size as u64 / (10 * RATE as u64)).max(1) == 0 {
            for own in 0..size {
                fleet.ask(own, units, now_ms);
            }
        }
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..property_config() })]

    /// Guards against a workspace that gets more than its rate and burst over all instances together,
    /// whichever of them cannot hear each other, in one direction or both.
    #[test]
    fn all_instances_together_keep_to_the_limit(
        size in 2usize..8,
        cut in proptest::collection::vec((0usize..8, 0usize..8), 0..12),
        units in 1u64..60,
    ) {
        let cut = cut.into_iter().filter(|(a, b)| a != b && *a < size && *b < size).collect();
        let fleet = play(size, cut, units, 200);
        let window_s = 8;
        // What is used between two messages is not known to the others: ten times the rate.
        let unknown = 10.0 * RATE * 0.2 + (size as f64) * units as f64;
        let limit = RATE * f64::from(window_s) + BURST + unknown;
        prop_assert!((fleet.busiest(8_000) as f64) <= limit, "{} of {limit}", fleet.busiest(8_000));
    }
}

/// Guards against the same where two instances do not hear each other and a third one hears both:
/// each of the two takes the share that the third does not use. Found by the property above.
#[test]
fn cuts_between_some_instances_keep_to_the_limit() {
    let fleet = play(5, vec![(4, 2), (1, 0), (2, 4)], 1, 200);
    let limit = RATE * 8.0 + BURST + 10.0 * RATE * 0.2 + 5.0;
    let busiest = fleet.busiest(8_000) as f64;
    assert!(busiest <= limit, "{busiest} of {limit}");
}

/// Guards against the same while cuts begin, change and heal.
#[test]
fn changing_cuts_keep_to_the_limit() {
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
            fleet.tell(now_ms);
        }
        if now_ms % 5 == 0 {
            for own in 0..5 {
                fleet.ask(own, 10, now_ms);
            }
        }
    }
    let limit = RATE * 8.0 + BURST + 10.0 * RATE * 0.2 + 50.0;
    let busiest = fleet.busiest(8_000) as f64;
    assert!(busiest <= limit, "{busiest} of {limit}");
}

/// Guards against an instance that refuses for seconds after a cut heals, since it counts both the
/// fair shares that it set aside and what a peer used of them.
#[test]
fn an_instance_serves_its_share_during_a_cut_and_all_after_it() {
    let mut fleet = Fleet::new(5, vec![(0, 4), (4, 0)]);
    let mut admitted = [0u64; 2];
    for now_ms in 0..12_000u64 {
        if now_ms == 10_000 {
            fleet.cut.clear();
        }
        if now_ms % 200 == 0 {
            fleet.tell(now_ms);
        }
        if now_ms % 10 == 0 {
            // One of the three that hear everybody uses all that they share.
            fleet.ask(1, 10, now_ms);
        }
        if now_ms % 50 == 0 {
            let before = fleet.buckets[0].total();
            fleet.ask(0, 10, now_ms);
            admitted[usize::from(now_ms >= 10_000)] += fleet.buckets[0].total() - before;
        }
    }
    // Its fair share is 200 a second, which is what it asks for.
    assert!(admitted[0] >= 1_900, "{} of 2,000 units", admitted[0]);
    // After the cut it competes with an instance that asks for all of the limit.
    assert!(admitted[1] >= 60, "{} units in 2 s", admitted[1]);
}

/// Guards against refusals within the limit: one instance may use all of it while the others use
/// nothing and say so.
#[test]
fn one_instance_gets_the_whole_rate_of_idle_peers() {
    let mut fleet = Fleet::new(7, Vec::new());
    for now_ms in 0..10_000 {
        if now_ms % 200 == 0 {
            fleet.tell(now_ms);
        }
        if now_ms % 10 == 0 {
            fleet.ask(0, 10, now_ms);
        }
    }
    let admitted: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    assert!(admitted >= 9_900, "{admitted} of 10,000 units");
}

/// Guards against an instance that was suspended and takes the accrual of the whole fleet for its
/// own when it wakes.
#[test]
fn a_suspended_instance_accrues_its_own_share() {
    let mut bucket = SharedBucket::new(RATE, 100_000.0, 0.0, ms(0));
    let peers: Vec<InstanceId> = (1..10).map(name).collect();
    bucket.set_peers(peers.iter().map(|id| (id, true)), ms(0));
    assert!(bucket.level(ms(5_000)) <= RATE * 5.0 / 10.0);
}

/// Guards against a request that is larger than the burst and would be refused for ever.
#[test]
fn a_request_above_the_burst_waits_for_a_full_bucket() {
    let mut bucket = SharedBucket::new(RATE, BURST, 0.0, ms(0));
    let refusal = bucket.charge(2_000, ms(100)).unwrap_err();
    assert_eq!(refusal.retry_after, ms(400));
    assert!(bucket.charge(2_000, ms(500)).is_ok());
    assert!(bucket.charge(1, ms(1_900)).is_err());
    assert!(bucket.charge(1, ms(2_100)).is_ok());
}

/// Guards against resends that all instances together may not make: each keeps to its own part.
#[test]
fn resends_of_all_instances_keep_to_the_budget() {
    let policy = ResendPolicy {
        ratio: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let instances = 7;
    let mut resends = 0;
    for own in 0..instances {
        let mut budget = ResendBudget::new(policy);
        for request in 0..100u64 {
            budget.on_request(ms(request * 90 + own));
            for _ in 0..3 {
                let taken = budget.try_acquire(instances as usize, ms(request * 90 + own));
                resends += u64::from(taken);
            }
        }
    }
    assert!(resends as f64 <= 0.2 * 700.0 + 54.0, "{resends} resends");
    assert!(resends > 100, "{resends} resends");
}
