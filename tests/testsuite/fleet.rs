//! State of the fleet at one instance: configuration versions, freshness proofs, targets and
//! weights.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jujubelink::core::fleet::{
    Announcement, FleetPolicy, FleetState, Freshness, FreshnessProof, InstancePosition,
    MessageSchedule, StoreContact, TargetRecord, WeightsBounds,
};
use jujubelink::core::ids::{InstanceId, ModelId, TargetId};
use jujubelink::ops::kernel::Timers;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn policy(version: u64) -> FleetPolicy {
    FleetPolicy {
        version,
        routes: HashMap::new(),
        services: BTreeMap::new(),
        workspaces: BTreeMap::new(),
        shared_cache_namespace: String::new(),
        keys: HashMap::new(),
        max_header_bytes: 8192,
        max_body_bytes: 1024,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn record(id: &str, incarnation: u64, is_leaving: bool) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 4,
        is_leaving,
        weights: vec![("m".into(), 1)],
        incarnation,
        version: "".into(),
    }
}

fn announced_at(at: Duration) -> Announcement {
    Announcement {
        at,
        is_assumed: false,
    }
}

/// Guards against a return to an older configuration that a late response of the store or a slow
/// peer delivers.
#[test]
fn keeps_the_newest_configuration() {
    let mut state = FleetState::new();
    assert!(state.apply_policy(policy(7)));
    assert!(!state.apply_policy(policy(5)));
    assert!(!state.apply_policy(policy(7)));
    assert_eq!(state.config_version(), 7);
}

/// Guards against a revoked key that is accepted: a freshness proof of an older version says
/// nothing about the active one, which may have revoked the key.
#[test]
fn a_proof_counts_for_its_own_version_only() {
    let mut freshness = Freshness::default();
    let proof = |version, at| FreshnessProof {
        version,
        digest: None,
        requested_at: secs(at),
    };
    freshness.on_proof(proof(4, 10), 5);
    assert_eq!(freshness.age(5, secs(11)), None);
    freshness.on_proof(proof(5, 10), 5);
    freshness.on_proof(proof(5, 8), 5);
    assert_eq!(freshness.age(5, secs(11)), Some(secs(1)));
    assert_eq!(freshness.age(6, secs(11)), None);
}

/// Guards against an entry read late that restores a removed target, or that puts a target back
/// into service after the same incarnation has announced its shutdown.
#[test]
fn old_entries_do_not_restore_targets() {
    let mut state = FleetState::new();
    let id: TargetId = "t".into();
    state.on_target(5, record("t", 1, true));
    state.on_target(4, record("t", 1, false));
    assert!(state.is_leaving(state.target("t").unwrap()));
    state.on_target(6, record("t", 1, false));
    assert!(state.is_leaving(state.target("t").unwrap()));
    assert!(state.serving_targets("llm").is_empty());
    state.on_target_removed(&id, 8, secs(1));
    state.on_target(7, record("t", 1, false));
    assert!(state.target("t").is_none());
    state.on_target(9, record("t", 2, false));
    assert_eq!(state.serving_targets("llm"), [id]);
}

/// Guards against requests to a leaving target whose entry is removed and appears once more.
#[test]
fn an_announced_shutdown_outlasts_the_entry() {
    let mut state = FleetState::new();
    let id: TargetId = "t".into();
    state.on_target(1, record("t", 1, false));
    assert!(!state.set_leaving(&id, 0));
    assert!(state.set_leaving(&id, 1));
    assert!(!state.set_leaving(&id, 1));
    state.on_target_removed(&id, 2, secs(1));
    state.on_target(3, record("t", 1, false));
    assert!(state.serving_targets("llm").is_empty());
    state.on_target(4, record("t", 2, false));
    assert_eq!(state.serving_targets("llm"), [id]);
}

/// Guards against live targets that are dropped because their entries expired during an outage of
/// the store, and against lost targets that are kept forever. Live targets write their entries
/// again soon after the outage.
#[test]
fn entries_that_expired_in_an_outage_have_time_to_reappear() {
    let mut state = FleetState::new();
    state.on_target(1, record("back", 1, false));
    state.on_target(2, record("gone", 1, false));
    state.on_store_recovered(secs(10));
    state.on_target_list(20, Vec::new(), secs(10) + ms(50));
    assert_eq!(state.serving_targets("llm").len(), 2);
    state.on_target(21, record("back", 1, false));
    assert!(state.expire_lapsed(secs(12)).is_empty());
    let removed = state.expire_lapsed(secs(12) + ms(200));
    assert_eq!(removed, [TargetId::from("gone")]);
    assert_eq!(state.serving_targets("llm"), [TargetId::from("back")]);
}

/// Guards against the removal of a target that is missing from a list only because its entry was
/// written after the list was made.
#[test]
fn a_list_removes_only_entries_older_than_itself() {
    let mut state = FleetState::new();
    state.on_target(5, record("old", 1, false));
    state.on_target(30, record("new", 1, false));
    state.on_target_list(20, Vec::new(), secs(1));
    assert_eq!(state.serving_targets("llm"), [TargetId::from("new")]);
}

/// Guards against a return to older weights: a target's entry may be older than a response in which
/// newer weights were observed.
#[test]
fn weights_only_increase_within_an_incarnation() {
    let mut state = FleetState::new();
    let model: ModelId = "m".into();
    let id: TargetId = "t".into();
    state.on_target(1, record("t", 1, false));
    state.on_observed_weights(&id, &model, 3);
    state.on_target(2, record("t", 1, false));
    let weights = state.weights_of(state.target("t").unwrap(), "m");
    assert_eq!(weights, Some(3));
    state.on_target(3, record("t", 2, false));
    let weights = state.weights_of(state.target("t").unwrap(), "m");
    assert_eq!(weights, Some(1));
}

/// Guards against outdated weights that are used for too long. Their age counts from the
/// announcement of the next version, not of the newest one: when announcements follow each other
/// quickly, the weights in use would otherwise always seem to have been replaced just now.
#[test]
fn weights_are_superseded_by_the_next_version() {
    let mut state = FleetState::new();
    let model: ModelId = "m".into();
    assert!(state.on_weights_announced(&model, 1, announced_at(secs(0))));
    assert_eq!(state.superseded_at("m", 1), None);
    assert!(state.on_weights_announced(&model, 2, announced_at(secs(2))));
    assert!(state.on_weights_announced(&model, 3, announced_at(secs(7))));
    assert!(!state.on_weights_announced(&model, 2, announced_at(secs(9))));
    assert_eq!(state.superseded_at("m", 1), Some(secs(2)));
    assert_eq!(state.superseded_at("m", 2), Some(secs(7)));
    assert_eq!(state.announced_weights("m"), Some(3));
}

/// Guards against old weights that are used again after a restart: a second read of the same version
/// must not replace the assumed time of its announcement by the time of that read.
#[test]
fn a_repeated_read_does_not_date_an_announcement() {
    let mut state = FleetState::new();
    let model: ModelId = "m".into();
    let assumed = Announcement {
        at: secs(90),
        is_assumed: true,
    };
    assert!(state.on_weights_read(&model, 2, assumed));
    assert!(!state.on_weights_read(&model, 2, announced_at(secs(101))));
    assert_eq!(state.superseded_at("m", 1), Some(secs(90)));
    assert_eq!(state.announcements().next(), Some((&model, 2, None)));
    assert!(state.on_weights_read(&model, 3, announced_at(secs(102))));
    assert_eq!(state.superseded_at("m", 2), Some(secs(102)));
}

/// Guards against outdated weights that are used for too long after a restart: the process did not
/// see the announcement and can only assume its time. Times reported by peers replace assumed ones.
#[test]
fn peers_restore_announcement_times_after_a_restart() {
    let mut state = FleetState::new();
    let model: ModelId = "m".into();
    let assumed = Announcement {
        at: secs(100),
        is_assumed: true,
    };
    assert!(state.on_weights_announced(&model, 2, assumed));
    assert_eq!(state.announcements().next().unwrap().2, None);
    state.on_weights_announced(&model, 2, announced_at(secs(95)));
    state.on_weights_announced(&model, 2, assumed);
    state.on_weights_announced(&model, 2, announced_at(secs(97)));
    assert_eq!(state.superseded_at("m", 1), Some(secs(95)));
}

/// Guards against requests that a restarted engine refuses with 421: it reports older weights than
/// its previous incarnation had, and its report must replace the observed weights.
#[test]
fn a_report_of_a_later_incarnation_replaces_the_entry() {
    let mut state = FleetState::new();
    let model: ModelId = "m".into();
    let id: TargetId = "t".into();
    state.on_target(1, record("t", 5, false));
    state.on_observed_weights(&id, &model, 3);
    state.on_report(&id, 4, &[(model.clone(), 9)]);
    let weights = |state: &FleetState| state.weights_of(state.target("t").unwrap(), "m");
    assert_eq!(weights(&state), Some(3));
    state.on_report(&id, 6, &[(model.clone(), 2)]);
    assert_eq!(weights(&state), Some(2));
    assert_eq!(state.target("t").unwrap().incarnation, 6);
    state.on_report(&id, 6, &[(model.clone(), 4)]);
    assert_eq!(weights(&state), Some(4));
}

/// Guards against requests to the address of a target that no longer exists, at an instance that
/// the store refuses, so that its list of targets gets old.
#[test]
fn a_replaced_target_is_out_of_service_until_it_writes_a_new_entry() {
    let mut state = FleetState::new();
    let id: TargetId = "t".into();
    state.on_target(3, record("t", 1, false));
    assert!(state.on_replaced(&id, secs(1)));
    assert!(!state.on_replaced(&id, secs(1)));
    state.on_target(3, record("t", 1, false));
    assert!(state.serving_targets("llm").is_empty());
    state.on_target(4, record("t", 2, false));
    assert_eq!(state.serving_targets("llm"), [id]);
}

/// Guards against outdated weights that are used for too long after a start of all instances: no
/// instance has seen when the newest weights were announced, and each would assume the time at
/// which another instance reported them. In a larger deployment, instances receive announcements
/// from each other first.
#[test]
fn an_unknown_announcement_time_is_the_last_time_without_the_weights() {
    let (assumed, absent_until, received_at) = (ms(1_000), ms(5_000), ms(9_000));
    // A process that has just started has not seen a time before the announcement.
    let received = Announcement::received(None, received_at, None, assumed);
    assert_eq!((received.at, received.is_assumed), (assumed, true));
    // A process that has run for longer has confirmed until when the weights were not announced.
    let received = Announcement::received(None, received_at, Some(absent_until), assumed);
    assert_eq!((received.at, received.is_assumed), (absent_until, true));
    let received =
        Announcement::received(Some(ms(2_000)), received_at, Some(absent_until), assumed);
    assert_eq!((received.at, received.is_assumed), (ms(7_000), false));
    // A later report does not move the announcement to a later time.
    let model: ModelId = "llm/m".into();
    let mut state = FleetState::default();
    state.on_weights_announced(
        &model,
        2,
        Announcement::received(None, received_at, None, assumed),
    );
    state.on_weights_announced(
        &model,
        2,
        Announcement::received(None, received_at, Some(absent_until), assumed),
    );
    assert_eq!(state.superseded_at(&model, 1), Some(assumed));
}

/// Guards against engines that are withdrawn too early: weights that appear after another instance has
/// confirmed their absence were announced just now, also if this instance reads the store for the first
/// time.
#[test]
fn a_read_dates_weights_that_were_confirmed_absent_before() {
    let (read_at, assumed) = (ms(9_000), ms(1_000));
    assert_eq!(
        Announcement::read(read_at, Some(ms(8_000)), None, assumed),
        announced_at(read_at)
    );
    let unknown = Announcement::read(read_at, None, None, assumed);
    assert_eq!((unknown.at, unknown.is_assumed), (assumed, true));
}

/// Guards against old weights that are used for longer than the bound after all instances were
/// suspended: none of them has seen when the new weights were announced, and the bound counts
/// meanwhile. After an outage of the store, the bound counts from its end only, and old weights must
/// remain usable.
#[test]
fn a_read_after_a_suspension_does_not_date_an_announcement() {
    let bounds = WeightsBounds {
        adoption: secs(12),
        contact: secs(3),
    };
    let (absent_until, assumed) = (secs(100), secs(1));
    for suspended in [2, 5, 12, 60] {
        let read_at = absent_until + secs(suspended);
        let read = |failed_at| Announcement::read(read_at, Some(absent_until), failed_at, assumed);
        for failed_at in [None, Some(secs(99))] {
            // The weights were announced just after the last read before the suspension.
            let age = absent_until + bounds.adoption - read(failed_at).at;
            assert!(!bounds.may_use(age), "suspended for {suspended} s");
            assert!(read(failed_at).is_assumed);
        }
        let outage_end = read_at - ms(300);
        assert_eq!(read(Some(outage_end)), announced_at(read_at));
    }
}

/// Guards against an announcement whose time moves back with each relay between instances, so that old
/// weights are withdrawn too early.
#[test]
fn relayed_announcements_do_not_move_back() {
    const TRANSIT: Duration = Duration::from_millis(20);
    let model: ModelId = "m".into();
    let mut states = [FleetState::new(), FleetState::new()];
    states[0].on_weights_announced(&model, 2, announced_at(secs(10)));
    let mut now = secs(11);
    for relay in 0..1_000 {
        let sender = relay % 2;
        let (_, version, at) = states[sender].announcements().next().unwrap();
        let age = at.map(|at| now - at);
        now += TRANSIT;
        let announcement = Announcement::received(age, now, None, ms(0));
        states[1 - sender].on_weights_announced(&model, version, announcement);
    }
    assert_eq!(states[0].superseded_at("m", 1), Some(secs(10)));
    assert!(states[1].superseded_at("m", 1) <= Some(secs(10) + TRANSIT));
}

/// Guards against old weights that are used by an instance that has been up for the contact time, and
/// against engines that are refused immediately when all instances start together.
#[test]
fn old_weights_are_refused_before_the_contact_time_ends() {
    for (contact_ms, adoption_ms) in [(3_000, 12_000), (4_000, 15_000), (1_000, 60_000)] {
        let bounds = WeightsBounds {
            adoption: ms(adoption_ms),
            contact: ms(contact_ms),
        };
        let started_at = secs(100);
        let announced_at = bounds.assumed_announced_at(started_at);
        let may_use = |uptime| bounds.may_use(started_at + uptime - announced_at);
        assert!(may_use(ms(contact_ms / 2)));
        assert!(!may_use(ms(contact_ms * 3 / 4)));
    }
}

/// Guards against an old report that looks recent on a machine that has just booted, because a time
/// before the boot is clamped to it. A withdrawn key would be accepted by such a freshness proof.
#[test]
fn times_before_the_boot_can_be_expressed() {
    let timers = Timers::new();
    let age = timers.since_boot() + secs(3_600);
    let now = timers.boot_now();
    assert_eq!(now.checked_sub(age).map(|at| now - at), Some(age));
}

/// Guards against suspects and observed weights that reach only some of the instances, because they
/// are included in messages for less time than a large fleet needs to send one to each.
#[test]
fn observations_reach_all_instances_of_a_fleet_of_any_size() {
    for peers in [1, 6, 29, 83, 379] {
        let schedule = MessageSchedule::new(peers);
        let duration = schedule.rebroadcast_duration;
        assert!(
            duration >= schedule.send_interval * 2,
            "{peers} peers: {duration:?} of {:?}",
            schedule.send_interval
        );
    }
}

/// Guards against an order of instances that is not total: no instance or several would then be first,
/// and any number of them would watch the store.
#[test]
fn every_instance_has_a_rank_of_its_own() {
    for (count, unregistered) in [(14, 0), (14, 5), (79, 79), (380, 100)] {
        let names: Vec<InstanceId> = (0..count)
            .map(|index| format!("m{:03}", index * 149 % count).into())
            .collect();
        let positions: Vec<InstancePosition<'_>> = (0..count)
            .zip(&names)
            .map(|(index, name)| {
                let is_registered = index >= unregistered;
                InstancePosition::new(name, if is_registered { 9_000 + index } else { 0 })
            })
            .collect();
        let rank = |local: &InstancePosition<'_>| {
            let preceding = positions.iter().filter(|position| *position < local);
            preceding.count() as u64
        };
        let mut ranks: Vec<u64> = positions.iter().map(rank).collect();
        ranks.sort_unstable();
        let expected: Vec<u64> = (0..count).collect();
        assert_eq!(
            ranks, expected,
            "{count} instances, {unregistered} not registered"
        );
    }
}

/// Guards against the loss of the instances that come first to a stop of the instances one after the
/// other, and against an instance that comes first although it has not reached the store.
#[test]
fn instances_that_registered_last_come_first() {
    let names: [InstanceId; 4] = ["a", "b", "c", "d"].map(InstanceId::from);
    let position = |index: usize, revision| InstancePosition::new(&names[index], revision);
    let expected = [
        position(2, 9_000),
        position(0, 5_900),
        position(3, 5_100),
        position(1, 0),
    ];
    let mut sorted = expected;
    sorted.reverse();
    sorted.sort_unstable();
    assert_eq!(sorted, expected);
}

/// Time between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Guards against a peer that dies, relays late or has lost the store, and is taken for an outage of the
/// store: targets whose entries were removed would be kept for longer than they may get requests.
#[test]
fn a_silent_or_late_peer_is_no_outage_of_the_store() {
    let mut contact = StoreContact::new(ms(9_000), HEARTBEAT);
    assert_eq!(contact.on_answer(ms(10_000), ms(10_000)), None);
    assert_eq!(contact.on_answer(ms(12_400), ms(12_410)), None);
    // Other instances report answers while this one gets none for a minute.
    for second in 13..70 {
        assert_eq!(contact.on_peer_answer(secs(second)), None);
    }
    assert_eq!(contact.on_peer_answer(secs(40)), None);
    assert_eq!(contact.on_answer(ms(71_000), ms(71_005)), None);
    assert_eq!(contact.own_answer_at(), Some(ms(71_005)));
}

/// Guards against a watch that is held open and is taken for an outage of the store.
#[test]
fn a_long_watch_is_no_outage_of_the_store() {
    let mut contact = StoreContact::new(ms(0), HEARTBEAT);
    assert_eq!(contact.on_answer(ms(10), ms(3_000)), None);
    assert_eq!(contact.on_answer(ms(3_010), ms(6_000)), None);
}

/// Guards against live targets that are dropped after an outage because their entries have expired, at an
/// instance that learns from a peer, or by its own call, that the store is back.
#[test]
fn silence_of_the_store_towards_all_instances_is_an_outage() {
    let mut contact = StoreContact::new(ms(0), HEARTBEAT);
    assert_eq!(contact.on_peer_answer(ms(2_500)), Some(ms(2_500)));
    assert_eq!(contact.on_peer_answer(ms(2_600)), None);
    assert_eq!(contact.on_answer(ms(5_100), ms(5_110)), Some(ms(2_500)));
    assert_eq!(contact.unanswered(ms(6_110)), secs(1));
}

/// Guards against an outage threshold that fits the heartbeat of one kind of deployment only.
#[test]
fn the_shortest_outage_follows_the_heartbeat_of_the_targets() {
    for (heartbeat_ms, shortest_ms) in [(300, 1_500), (1_200, 2_400), (5_000, 10_000)] {
        let contact = StoreContact::new(ms(0), ms(heartbeat_ms));
        assert_eq!({ contact }.on_peer_answer(ms(shortest_ms)), None);
        let outage = ms(shortest_ms + 1);
        assert_eq!({ contact }.on_peer_answer(outage), Some(outage));
        let mut changed = contact.with_heartbeat(ms(5_001));
        assert_eq!(changed.on_peer_answer(outage), None);
    }
}
