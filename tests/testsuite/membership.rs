//! Membership: the failure detector in a simulated network, and the encoding of datagrams.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubelink::core::ids::{InstanceId, Timestamp};
use jujubelink::core::membership::{
    ConfigSummary, Detector, Effect, Health, Identity, MemberRecord, Message, MessageKind,
};
use jujubelink::ops::members::{DatagramCodec, MAX_DATAGRAM_BYTES};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const SEED: u64 = 7;
/// Interval between the ticks of a detector.
const STEP: Duration = Duration::from_millis(100);

fn name(index: usize) -> InstanceId {
    format!("127.0.0.1:{}", 7000 + index).into()
}

/// Failure detectors in a simulated network without packet loss. Tests can split the network and
/// pause detectors.
struct Fleet {
    nodes: BTreeMap<InstanceId, Detector>,
    paused: Vec<InstanceId>,
    /// Half of a split network, by instance. Messages pass only within a half.
    partition: BTreeMap<InstanceId, u8>,
    now: Timestamp,
    rng: ChaCha8Rng,
    /// All delivered messages with their receivers.
    delivered: Vec<(InstanceId, Message)>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        println!("seed {SEED}");
        let mut fleet = Self {
            nodes: BTreeMap::new(),
            paused: Vec::new(),
            partition: BTreeMap::new(),
            now: Timestamp::ZERO,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            delivered: Vec::new(),
        };
        for index in 0..size {
            fleet.start(index, 1 + index as u64);
        }
        fleet
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let identity = Identity {
            instance: name(index),
            incarnation,
            failure_domain: "a".into(),
            region: "r".into(),
        };
        let mut detector = Detector::new(identity, self.now);
        detector.add_seeds([name(0), name(1)]);
        self.nodes.insert(name(index), detector);
    }

    /// Advances the time and ticks all detectors that are not paused.
    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            let names: Vec<_> = self.nodes.keys().cloned().collect();
            for node in names {
                if !self.paused.contains(&node) {
                    let detector = self.nodes.get_mut(&node).unwrap();
                    let effects = detector.on_tick(self.now, &mut self.rng);
                    self.deliver(&node, effects);
                }
            }
        }
    }

    /// Delivers the messages among the effects of a detector, and all replies to them.
    fn deliver(&mut self, from: &InstanceId, effects: Vec<Effect>) {
        let mut queue: Vec<_> = effects.into_iter().map(|e| (from.clone(), e)).collect();
        while let Some((from, effect)) = queue.pop() {
            let (to, message) = match effect {
                Effect::Send { to, message } => (to, message),
                Effect::FetchMembers { from: other } => {
                    self.fetch_members(&from, &other);
                    continue;
                }
                _ => continue,
            };
            let is_cut = self.partition.get(&from) != self.partition.get(&to);
            if is_cut || self.paused.contains(&to) {
                continue;
            }
            self.delivered.push((to.clone(), message.clone()));
            if let Some(node) = self.nodes.get_mut(&to) {
                let replies = node.on_message(message, self.now, &mut self.rng);
                queue.extend(replies.into_iter().map(|reply| (to.clone(), reply)));
            }
        }
    }

    fn fetch_members(&mut self, to: &InstanceId, from: &InstanceId) {
        let is_cut = self.partition.get(from) != self.partition.get(to);
        if let Some(source) = self.nodes.get(from).filter(|_| !is_cut) {
            let (members, targets) = source.export();
            let node = self.nodes.get_mut(to).unwrap();
            node.import(members, targets, self.now);
        }
    }

    /// Incarnation, health and leaving flag of a member, according to each other live instance.
    fn views_of(&self, member: &InstanceId) -> Vec<(u64, Health, bool)> {
        let others = self.nodes.values();
        others
            .filter(|node| node.local().instance != *member && node.local().health != Health::Dead)
            .filter_map(|node| node.members().find(|e| e.record.instance == *member))
            .map(|e| (e.record.incarnation, e.record.health, e.record.is_leaving))
            .collect()
    }

    fn assert_all_alive(&self) {
        for node in self.nodes.values() {
            let views = self.views_of(&node.local().instance);
            assert_eq!(views.len(), self.nodes.len() - 1);
            let expected = (node.local().incarnation, Health::Alive, false);
            assert!(views.iter().all(|view| *view == expected), "{views:?}");
        }
    }
}

/// Guards against instances that never discover each other. At the start, each has only two seeds.
#[test]
fn instances_discover_all_others_through_seeds() {
    let mut fleet = Fleet::new(16);
    fleet.run(Duration::from_secs(30));
    fleet.assert_all_alive();
}

/// Guards against a simultaneous start of all instances after which their member lists are complete
/// only after minutes, because they exchange single changes instead of whole lists.
#[test]
fn a_fleet_that_starts_at_once_is_complete_within_seconds() {
    let mut fleet = Fleet::new(120);
    fleet.run(Duration::from_secs(12));
    fleet.assert_all_alive();
}

/// Guards against a crash that is not detected, and against an instance restarted at the same
/// address that is taken for its earlier incarnation or stays dead.
#[test]
fn a_crash_is_detected_and_a_restart_replaces_the_earlier_incarnation() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(20));
    fleet.nodes.remove(&name(5));
    fleet.run(Duration::from_secs(30));
    let views = fleet.views_of(&name(5));
    assert!(views.iter().all(|view| view.1 == Health::Dead), "{views:?}");
    fleet.start(5, 100);
    fleet.run(Duration::from_secs(20));
    fleet.assert_all_alive();
    // A restart before the crash is detected.
    fleet.start(6, 101);
    fleet.run(Duration::from_secs(20));
    fleet.assert_all_alive();
}

/// Guards against a paused instance that stays dead after it resumes, and against a resumed
/// instance that suspects others because they sent nothing during its own pause.
#[test]
fn a_paused_instance_returns_and_suspects_nobody() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(20));
    fleet.paused = vec![name(3)];
    fleet.run(Duration::from_secs(40));
    assert!(fleet.views_of(&name(3)).iter().all(|v| v.1 == Health::Dead));
    fleet.paused.clear();
    fleet.run(STEP);
    let resumed = &fleet.nodes[&name(3)];
    assert!(resumed.members().all(|e| e.record.health == Health::Alive));
    fleet.run(Duration::from_secs(30));
    fleet.assert_all_alive();
}

/// Guards against two halves of a network partition that stay separate after it has healed.
#[test]
fn halves_of_a_partition_rejoin_after_it_heals() {
    let mut fleet = Fleet::new(12);
    fleet.run(Duration::from_secs(30));
    for index in 0..12 {
        fleet.partition.insert(name(index), (index % 2) as u8);
    }
    fleet.run(Duration::from_secs(300));
    for node in fleet.nodes.values() {
        assert_eq!(node.live_count(), 5);
    }
    fleet.partition.clear();
    fleet.run(Duration::from_secs(60));
    fleet.assert_all_alive();
}

/// Guards against a planned stop that members take for a crash or do not receive, and against a
/// member that has left and is still probed for an hour.
#[test]
fn a_leaving_member_is_announced_to_all_and_removed_soon() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(20));
    let node = fleet.nodes.get_mut(&name(2)).unwrap();
    let effects = node.announce_leaving(&mut fleet.rng);
    fleet.deliver(&name(2), effects);
    fleet.run(Duration::from_secs(5));
    let views = fleet.views_of(&name(2));
    assert!(
        views.iter().all(|v| v.2 && v.1 == Health::Alive),
        "{views:?}"
    );
    let node = fleet.nodes.get_mut(&name(2)).unwrap();
    let effects = node.announce_departure(&mut fleet.rng);
    fleet.deliver(&name(2), effects);
    fleet.nodes.remove(&name(2));
    fleet.run(Duration::from_secs(5));
    assert!(fleet.views_of(&name(2)).iter().all(|v| v.1 == Health::Dead));
    fleet.run(Duration::from_secs(70));
    assert!(fleet.views_of(&name(2)).is_empty());
}

/// Guards against replayed datagrams that restore an earlier incarnation or an old state.
#[test]
fn replayed_datagrams_change_nothing() {
    let mut fleet = Fleet::new(6);
    fleet.run(Duration::from_secs(20));
    fleet.nodes.remove(&name(4));
    fleet.run(Duration::from_secs(30));
    fleet.start(4, 100);
    fleet.run(Duration::from_secs(20));
    fleet.assert_all_alive();
    for (to, message) in std::mem::take(&mut fleet.delivered) {
        let from = message.sender.instance.clone();
        fleet.deliver(&from, vec![Effect::Send { to, message }]);
    }
    fleet.assert_all_alive();
}

/// Guards against a target's state that does not reach all instances, or that an older observation
/// replaces.
#[test]
fn target_states_reach_all_instances_and_the_last_change_wins() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(20));
    let target = "e1".into();
    for is_leaving in [true, false, true] {
        let node = fleet.nodes.get_mut(&name(1)).unwrap();
        node.set_target_leaving(&target, is_leaving, fleet.now);
        fleet.run(Duration::from_secs(6));
        let mut nodes = fleet.nodes.values();
        assert!(nodes.all(|node| node.leaving_targets().contains(&target) == is_leaving));
    }
}

/// Guards against a target that stays out of service forever because no instance reports its
/// return, and against one that gets work although an instance still reports it as leaving.
#[test]
fn the_leaving_state_expires_unless_it_is_renewed() {
    let mut fleet = Fleet::new(4);
    fleet.run(Duration::from_secs(10));
    let (leaving, returned) = ("e1".into(), "e2".into());
    for _ in 0..20 {
        let now = fleet.now;
        let node = fleet.nodes.get_mut(&name(1)).unwrap();
        node.set_target_leaving(&leaving, true, now);
        if now < Duration::from_secs(60) {
            node.set_target_leaving(&returned, true, now);
        }
        fleet.run(Duration::from_secs(45));
        let mut nodes = fleet.nodes.values();
        assert!(nodes.all(|node| node.leaving_targets().contains(&leaving)));
    }
    let mut nodes = fleet.nodes.values();
    assert!(nodes.all(|node| !node.leaving_targets().contains(&returned)));
}

/// A ping with member records of the largest size.
fn message(members: usize) -> Message {
    let record = |index| MemberRecord {
        instance: name(index),
        incarnation: u64::MAX,
        refutation: u32::MAX,
        health: Health::Suspect,
        is_leaving: true,
        failure_domain: "x".repeat(200).into(),
        region: "nordeste".into(),
    };
    Message {
        kind: MessageKind::Ping { sequence: 9 },
        sender: record(0),
        summary: ConfigSummary {
            config_version: 3,
            revocations_hash: 4,
        },
        members_hash: 5,
        members: (1..=members).map(record).collect(),
        targets: Vec::new(),
    }
}

/// Guards against datagrams that are accepted although another cluster sent them, they were meant
/// for another instance, or they were changed in transit.
#[test]
fn only_unchanged_datagrams_of_the_cluster_are_accepted() {
    let codec = DatagramCodec::new("a cluster key");
    let sent = message(1);
    let datagram = codec.encode("127.0.0.1:1", sent.clone());
    assert_eq!(codec.decode("127.0.0.1:1", &datagram), Some(sent));
    assert_eq!(codec.decode("127.0.0.1:2", &datagram), None);
    let other = DatagramCodec::new("another key");
    assert_eq!(other.decode("127.0.0.1:1", &datagram), None);
    for index in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[index] ^= 1;
        assert_eq!(codec.decode("127.0.0.1:1", &changed), None);
        assert_eq!(codec.decode("127.0.0.1:1", &datagram[..index]), None);
    }
}

/// Guards against datagrams that are larger than a packet and would be fragmented.
#[test]
fn datagrams_stay_within_one_packet() {
    let codec = DatagramCodec::new("a cluster key");
    let datagram = codec.encode("127.0.0.1:1", message(8));
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    let decoded = codec.decode("127.0.0.1:1", &datagram).unwrap();
    assert!(!decoded.members.is_empty());
}
