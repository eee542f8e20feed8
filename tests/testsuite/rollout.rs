//! The lease whose holder gives orders to engines, and the rollout of weights.

use std::sync::Arc;
use std::time::Duration;

use jujubelink::core::ids::TargetId;
use jujubelink::core::rollout::{
    Engine, LeaseAction, LeaseRecord, LeaseRole, OrderLease, OrderLeaseTiming, OrderResult,
    Rollout, RolloutAction, RolloutParams,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Required delay between orders of different holders.
const MIN_HOLDER_DELAY: Duration = Duration::from_millis(3_000);

const TIMING: OrderLeaseTiming = OrderLeaseTiming {
    term: Duration::from_millis(1_500),
    renew_after: Duration::from_millis(500),
    takeover_after: Duration::from_millis(5_400),
    takeover_after_release: Duration::from_millis(3_500),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The store with the lease object, which supports conditional writes.
#[derive(Default)]
struct Store {
    version: u64,
    record: Option<LeaseRecord>,
    /// Writes without a response that take effect later if their condition still holds: the time in
    /// ms, the expected version and the record.
    late_writes: Vec<(u64, u64, LeaseRecord)>,
}

impl Store {
    fn write(&mut self, if_version: u64, record: LeaseRecord) -> Option<u64> {
        if if_version != self.version {
            return None;
        }
        self.version += 1;
        self.record = Some(record);
        Some(self.version)
    }

    fn apply_late_writes(&mut self, now_ms: u64) {
        let late_writes = std::mem::take(&mut self.late_writes);
        for (at, if_version, record) in late_writes {
            if at <= now_ms {
                self.write(if_version, record);
            } else {
                self.late_writes.push((at, if_version, record));
            }
        }
    }
}

/// Simulates three instances that compete for the lease for 60 s, with lost and late responses,
/// instances that are cut off from the store or suspended, and planned stops. Another program may
/// overwrite the lease with each of the given records, or with contents that cannot be decoded.
/// Returns the orders: time in ms, index of the holder, and epoch of the lease.
fn simulate(seed: u64, foreign_records: &[Option<LeaseRecord>]) -> Vec<(u64, usize, u64)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let names = ["a", "b", "c"];
    let mut leases: Vec<OrderLease> = names
        .iter()
        .map(|name| OrderLease::new(Arc::from(*name), TIMING))
        .collect();
    let mut cut_until = [0; 3];
    let mut suspended_until = [0; 3];
    let mut orders = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        store.apply_late_writes(now_ms);
        if !foreign_records.is_empty() && random.next_u32() % 200 == 0 {
            let chosen = random.next_u32() as usize % foreign_records.len();
            store.version += 1;
            store.record = foreign_records[chosen].clone();
        }
        for local in 0..3 {
            if random.next_u32() % 400 == 0 {
                cut_until[local] = now_ms + u64::from(random.next_u32() % 8_000);
            }
            if random.next_u32() % 600 == 0 {
                suspended_until[local] = now_ms + u64::from(random.next_u32() % 8_000);
            }
            if now_ms < suspended_until[local] {
                continue;
            }
            step(
                &mut leases[local],
                &mut store,
                &mut random,
                now_ms,
                now_ms < cut_until[local],
                local,
            );
            if let Some(epoch) = leases[local].epoch(ms(now_ms)) {
                orders.push((now_ms, local, epoch));
            }
            // A planned stop releases the lease, with or without a response, and the instance
            // restarts.
            if random.next_u32() % 500 == 0 {
                if let Some((version, record)) = leases[local].release(random.next_u64()) {
                    match random.next_u32() % 3 {
                        0 => {}
                        1 => store.late_writes.push((now_ms + 2_000, version, record)),
                        _ => drop(store.write(version, record)),
                    }
                }
                leases[local] = OrderLease::new(Arc::from(names[local]), TIMING);
                suspended_until[local] = now_ms + u64::from(random.next_u32() % 4_000);
            }
        }
    }
    orders
}

/// Executes the next action of an instance's lease.
fn step(
    lease: &mut OrderLease,
    store: &mut Store,
    random: &mut ChaCha8Rng,
    now_ms: u64,
    is_cut: bool,
    local: usize,
) {
    let now = ms(now_ms);
    let role = LeaseRole {
        work_since: Some(Duration::ZERO),
        is_candidate: true,
        takeover_delay: ms(400) * local as u32,
    };
    match lease.next(role, random.next_u64(), now) {
        LeaseAction::Wait => {}
        LeaseAction::Read if is_cut => lease.on_failed(false, now),
        LeaseAction::Read => lease.on_read(store.version, store.record.clone(), now, now),
        LeaseAction::Write { if_version, record } => {
            lease.on_write_sent(record.nonce, now);
            match random.next_u32() % 10 {
                _ if is_cut => lease.on_failed(false, now),
                // The write takes effect at once or later, and its response is lost.
                0 => {
                    store.write(if_version, record);
                    lease.on_failed(false, now);
                }
                1 => {
                    let at = now_ms + u64::from(random.next_u32() % 6_000);
                    store.late_writes.push((at, if_version, record));
                    lease.on_failed(false, now);
                }
                _ => match store.write(if_version, record.clone()) {
                    Some(version) => lease.on_written(version, record, now),
                    None => lease.on_failed(true, now),
                },
            }
        }
    }
}

/// Guards against orders of two holders that follow each other too soon, and against an epoch that
/// two holders use or that decreases. Lost responses, late writes, and instances that are cut off
/// or suspended could cause these.
#[test]
fn orders_of_different_holders_are_far_enough_apart() {
    let total = check_orders(&[]);
    // The lease is held most of the time.
    assert!(total > 200 * 600, "{total} orders");
}

/// Guards against the same after another program has overwritten the lease, and against a lease that
/// no instance takes any more.
#[test]
fn orders_are_far_enough_apart_after_the_lease_was_overwritten() {
    let highest = LeaseRecord {
        holder: "x".to_owned(),
        epoch: u64::MAX,
        is_released: true,
        nonce: 1,
    };
    let total = check_orders(&[None, Some(highest)]);
    assert!(total > 200 * 100, "{total} orders");
}

/// Simulates with 200 seeds and checks the orders of each run. Returns their number.
fn check_orders(foreign_records: &[Option<LeaseRecord>]) -> usize {
    let mut total = 0;
    for seed in 0..200 {
        let orders = simulate(seed, foreign_records);
        total += orders.len();
        for pair in orders.windows(2) {
            let ((at, holder, epoch), (later, other, next)) = (pair[0], pair[1]);
            assert!(next >= epoch, "seed {seed}: {next} after {epoch}");
            if holder != other {
                assert!(next > epoch, "seed {seed}: {epoch} is used by two holders");
                let delay = ms(later - at);
                assert!(
                    delay > MIN_HOLDER_DELAY,
                    "seed {seed}: {delay:?} between holders at {at} ms"
                );
            }
        }
    }
    total
}

/// Guards against a term that starts with the response instead of before the request: the lease
/// would be valid for longer at its holder than the other instances wait for its end.
#[test]
fn a_late_response_does_not_extend_the_term() {
    let mut lease = OrderLease::new(Arc::from("a"), TIMING);
    let record = LeaseRecord {
        holder: "a".to_owned(),
        epoch: 1,
        is_released: false,
        nonce: 9,
    };
    lease.on_write_sent(9, ms(1_000));
    lease.on_failed(false, ms(2_000));
    lease.on_read(1, Some(record), ms(2_400), ms(2_400));
    assert_eq!(lease.epoch(ms(2_450)), Some(1));
    assert_eq!(lease.epoch(ms(2_500)), None);
}

/// Guards against a change of the pause between holders that applies only to leases read later, and
/// against a shorter pause that ends the wait for a holder which counts by the longer one.
#[test]
fn a_changed_pause_never_shortens_the_wait_for_an_observed_holder() {
    let longer = OrderLeaseTiming {
        takeover_after: ms(10_400),
        takeover_after_release: ms(8_500),
        ..TIMING
    };
    let role = LeaseRole {
        work_since: Some(Duration::ZERO),
        is_candidate: true,
        takeover_delay: Duration::ZERO,
    };
    for is_released in [false, true] {
        for (first, second) in [(TIMING, longer), (longer, TIMING)] {
            let mut lease = OrderLease::new(Arc::from("a"), first);
            let record = |nonce| LeaseRecord {
                holder: "b".to_owned(),
                epoch: 1,
                is_released,
                nonce,
            };
            let wait = |timing: OrderLeaseTiming| match is_released {
                true => timing.takeover_after_release,
                false => timing.takeover_after,
            };
            lease.on_read(1, Some(record(1)), ms(0), ms(0));
            lease.set_timing(second);
            let is_write = |lease: &OrderLease, at| {
                matches!(lease.next(role, 2, at), LeaseAction::Write { .. })
            };
            lease.on_read(1, Some(record(1)), ms(1_000), ms(1_000));
            assert!(!is_write(&lease, wait(longer) - ms(1)));
            assert!(is_write(&lease, wait(longer)));
            // A version that is written after the change counts by the new times only.
            lease.on_read(2, Some(record(3)), ms(2_000), ms(2_000));
            assert!(!is_write(&lease, ms(2_000) + wait(second) - ms(1)));
            assert!(is_write(&lease, ms(2_000) + wait(second)));
        }
    }
}

/// Two of three engines load at the same time.
const ROLLOUT: RolloutParams = RolloutParams {
    target_duration: Duration::from_millis(3_000),
    max_loading_ratio: 2.0 / 3.0,
    initial_load_duration: Duration::from_millis(2_000),
    first_check_delay: Duration::from_millis(1_300),
    max_start_delay: Duration::from_millis(1_300),
    check_period: Duration::from_millis(200),
    resend_after: Duration::from_secs(6),
    failure_backoff: Duration::from_millis(500),
    max_failure_backoff: Duration::from_millis(4_000),
};

fn engine(id: &str, version: u64) -> Engine {
    Engine {
        id: id.into(),
        incarnation: 1,
        version,
    }
}

/// Targets and versions of the orders among actions.
fn orders_in(actions: &[RolloutAction]) -> Vec<(TargetId, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        RolloutAction::Order {
            target, version, ..
        } => Some((target.clone(), *version)),
        RolloutAction::Check { .. } => None,
    });
    orders.collect()
}

/// Guards against too many engines out of service at a time, and against orders for a version that
/// is no longer the newest.
#[test]
fn engines_go_straight_to_the_newest_version() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    let engines = [engine("a", 1), engine("b", 1), engine("c", 1)];
    let actions = rollout.next(2, &engines, ms(0));
    assert_eq!(orders_in(&actions), [("a".into(), 2), ("b".into(), 2)]);
    let engines = [engine("a", 2), engine("b", 1), engine("c", 1)];
    let actions = rollout.next(3, &engines, ms(100));
    assert_eq!(orders_in(&actions), [("c".into(), 3)]);
}

/// Guards against an engine that keeps old weights because its order was lost, and against an order
/// that is repeated while the engine executes it.
#[test]
fn a_lost_order_is_repeated() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    let engines = [engine("a", 1)];
    let target: TargetId = "a".into();
    assert_eq!(orders_in(&rollout.next(2, &engines, ms(0))).len(), 1);
    rollout.on_order(&target, OrderResult::Accepted, ms(10));
    assert!(rollout.next(2, &engines, ms(1_200)).is_empty());
    let check = rollout.next(2, &engines, ms(1_300));
    assert_eq!(
        check,
        [RolloutAction::Check {
            target: target.clone()
        }]
    );
    rollout.on_checked(&target, Some(true), ms(1_310));
    assert!(rollout.next(2, &engines, ms(1_400)).is_empty());
    rollout.next(2, &engines, ms(1_600));
    rollout.on_checked(&target, Some(false), ms(1_610));
    assert_eq!(orders_in(&rollout.next(2, &engines, ms(1_650))).len(), 1);
    rollout.on_order(&target, OrderResult::Failed, ms(1_700));
    assert!(rollout.next(2, &engines, ms(2_000)).is_empty());
    assert_eq!(orders_in(&rollout.next(2, &engines, ms(2_300))).len(), 1);
}

/// Bound on adopting new weights in the simulated rollouts.
const WEIGHTS_BOUND: Duration = Duration::from_secs(15);

/// Simulates a rollout over `engine_count` engines. Each needs `load_ms` from an order until it has
/// the weights; every fourth one answers nothing if `with_dark` is set, which takes 800 ms to notice.
/// Returns the time at which all engines that answer have the weights, and the largest number of them
/// that loaded at the same time.
fn simulate_rollout(engine_count: usize, load_ms: u64, with_dark: bool) -> (Duration, usize) {
    let params = RolloutParams::for_bound(WEIGHTS_BOUND);
    let mut rollout = Rollout::new("m".into(), params);
    let mut engines: Vec<Engine> = (0..engine_count)
        .map(|index| engine(&format!("e{index:05}"), 1))
        .collect();
    let is_dark = |index: usize| with_dark && index.is_multiple_of(4);
    let mut loaded_at = vec![None; engine_count];
    let mut failed_at: Vec<Option<u64>> = vec![None; engine_count];
    let mut most_loading = 0;
    for now_ms in (0..600_000).step_by(100) {
        let now = ms(now_ms);
        for index in 0..engine_count {
            if loaded_at[index].is_some_and(|at| at <= now_ms) {
                engines[index].version = 2;
            }
            if failed_at[index].is_some_and(|at| at <= now_ms) {
                failed_at[index] = None;
                rollout.on_order(&engines[index].id, OrderResult::Failed, now);
            }
        }
        let is_complete = |(index, engine): (usize, &Engine)| engine.version == 2 || is_dark(index);
        if engines.iter().enumerate().all(is_complete) {
            return (now, most_loading);
        }
        for action in rollout.next(2, &engines, now) {
            let (RolloutAction::Order { target, .. } | RolloutAction::Check { target }) = &action;
            let index: usize = target[1..].parse().unwrap();
            match action {
                RolloutAction::Order { .. } if is_dark(index) => {
                    failed_at[index] = Some(now_ms + 800);
                }
                RolloutAction::Order { target, .. } => {
                    rollout.on_order(&target, OrderResult::Accepted, now);
                    loaded_at[index] = Some(now_ms + load_ms);
                }
                RolloutAction::Check { target } => rollout.on_checked(&target, Some(true), now),
            }
        }
        let loading = loaded_at.iter().flatten().filter(|at| **at > now_ms);
        most_loading = most_loading.max(loading.count());
    }
    panic!("{engine_count} engines: the rollout does not end");
}

const ENGINE_COUNTS: [usize; 7] = [1, 3, 12, 18, 90, 380, 1_300];

/// Guards against a rollout whose duration grows with the number of engines, past the bound on adopting
/// new weights.
#[test]
fn a_rollout_keeps_the_bound_for_any_number_of_engines() {
    for engine_count in ENGINE_COUNTS {
        for with_dark in [false, true] {
            let (duration, _) = simulate_rollout(engine_count, 3_200, with_dark);
            assert!(
                duration < WEIGHTS_BOUND,
                "{engine_count} engines, dark {with_dark}: {duration:?}"
            );
        }
    }
}

/// Guards against a rollout that takes most engines out of service at the same time.
#[test]
fn a_rollout_leaves_most_engines_in_service() {
    for engine_count in ENGINE_COUNTS {
        // The second duration is longer than the time after which a lost order is repeated.
        for load_ms in [3_200, 9_000] {
            let (_, most_loading) = simulate_rollout(engine_count, load_ms, false);
            let allowed = engine_count.div_ceil(3);
            assert!(
                most_loading <= allowed,
                "{most_loading} of {engine_count} engines load at the same time, for {load_ms} ms each"
            );
        }
    }
}

/// Guards against engines that are never ordered again after one failure while versions keep coming.
#[test]
fn an_engine_that_failed_once_is_not_left_behind_by_new_versions() {
    const ENGINE_COUNT: usize = 90;
    const LOAD_MS: u64 = 3_200;
    const ANSWER_TIMEOUT_MS: u64 = 800;
    for version_interval_ms in [2_000, 3_000, 4_000] {
        let mut rollout = Rollout::new("m".into(), RolloutParams::for_bound(WEIGHTS_BOUND));
        let mut engines: Vec<Engine> = (0..ENGINE_COUNT)
            .map(|index| engine(&format!("e{index:05}"), 1))
            .collect();
        // The first order of every eighth engine is lost.
        let mut is_next_lost: Vec<bool> = (0..ENGINE_COUNT).map(|index| index % 8 == 0).collect();
        let mut loads: Vec<Option<(u64, u64)>> = vec![None; ENGINE_COUNT];
        let mut failed_at: Vec<Option<u64>> = vec![None; ENGINE_COUNT];
        for now_ms in (0..60_000).step_by(100) {
            let now = ms(now_ms);
            let newest = 2 + now_ms / version_interval_ms;
            for index in 0..ENGINE_COUNT {
                if let Some((_, version)) = loads[index].take_if(|(at, _)| *at <= now_ms) {
                    engines[index].version = version;
                }
                if failed_at[index].take_if(|at| *at <= now_ms).is_some() {
                    rollout.on_order(&engines[index].id, OrderResult::Failed, now);
                }
            }
            for action in rollout.next(newest, &engines, now) {
                let (RolloutAction::Order { target, .. } | RolloutAction::Check { target }) =
                    &action;
                let index: usize = target[1..].parse().unwrap();
                match action {
                    RolloutAction::Order { .. } if is_next_lost[index] => {
                        is_next_lost[index] = false;
                        failed_at[index] = Some(now_ms + ANSWER_TIMEOUT_MS);
                    }
                    RolloutAction::Order {
                        target, version, ..
                    } => {
                        rollout.on_order(&target, OrderResult::Accepted, now);
                        loads[index] = Some((now_ms + LOAD_MS, version));
                    }
                    RolloutAction::Check { target } => rollout.on_checked(&target, Some(true), now),
                }
            }
            // Version `n` is superseded when version `n + 1` is announced.
            for engine in &engines {
                let superseded_at_ms = (engine.version - 1) * version_interval_ms;
                let age = ms(now_ms.saturating_sub(superseded_at_ms));
                assert!(
                    age < WEIGHTS_BOUND.mul_f64(1.5),
                    "{} has version {} for {age:?} after a newer one, with one each {version_interval_ms} ms",
                    engine.id,
                    engine.version
                );
            }
        }
    }
}

/// Guards against an engine that hangs during a load and stops the rollout to all others.
#[test]
fn an_engine_that_reports_a_load_without_end_does_not_stop_a_rollout() {
    let params = RolloutParams::for_bound(WEIGHTS_BOUND);
    let mut rollout = Rollout::new("m".into(), params);
    let engines = [engine("a", 1), engine("b", 1), engine("c", 1)];
    for now_ms in (0..30_000).step_by(100) {
        let now = ms(now_ms);
        for action in rollout.next(2, &engines, now) {
            match action {
                RolloutAction::Order { target, .. } if *target != *"a" => return,
                RolloutAction::Order { target, .. } if now_ms == 0 => {
                    rollout.on_order(&target, OrderResult::Accepted, now);
                }
                RolloutAction::Order { target, .. } => {
                    rollout.on_order(&target, OrderResult::Busy, now);
                }
                RolloutAction::Check { target } => rollout.on_checked(&target, Some(true), now),
            }
        }
    }
    panic!("no other engine gets an order");
}

/// Guards against engines that do not answer and hold the places of those that could load.
#[test]
fn engines_that_do_not_answer_are_ordered_last() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    let engines = [engine("a", 1), engine("b", 1), engine("c", 1)];
    let (a, b): (TargetId, TargetId) = ("a".into(), "b".into());
    rollout.next(2, &engines, ms(0));
    rollout.on_order(&a, OrderResult::Failed, ms(800));
    rollout.on_order(&b, OrderResult::Accepted, ms(10));
    let next = rollout.next(2, &engines, ms(1_300));
    assert_eq!(orders_in(&next), [("c".into(), 2)]);
    rollout.on_order(&"c".into(), OrderResult::Accepted, ms(1_310));
    let engines = [engine("a", 1), engine("b", 2), engine("c", 1)];
    assert_eq!(
        orders_in(&rollout.next(2, &engines, ms(2_000))),
        [("a".into(), 2)]
    );
    rollout.on_order(&a, OrderResult::Failed, ms(2_800));
    assert!(orders_in(&rollout.next(2, &engines, ms(3_700))).is_empty());
    assert!(orders_in(&rollout.next(2, &engines, ms(3_750))).is_empty());
    assert_eq!(orders_in(&rollout.next(2, &engines, ms(3_800))).len(), 1);
}

/// Guards against loads that are missing in the measured duration because a poll found the engine idle,
/// and against places that are measured long after the load, when there is work again.
#[test]
fn the_duration_of_each_load_is_measured_once() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    let engines = [engine("a", 1), engine("b", 1), engine("c", 2)];
    assert_eq!(rollout.next(2, &engines, ms(0)).len(), 2);
    rollout.on_checked(&"a".into(), Some(false), ms(1_400));
    let engines = [engine("a", 2), engine("b", 1), engine("c", 2)];
    rollout.next(2, &engines, ms(1_500));
    let completed = rollout.take_completed();
    assert_eq!(completed.len(), 1);
    assert_eq!(completed[0].duration, ms(1_500));
    let engines = [engine("a", 2), engine("b", 2), engine("c", 2)];
    rollout.next(2, &engines, ms(60_000));
    assert!(rollout.take_completed().is_empty());
}

/// Guards against polls of engines by instances that do not hold the lease: ending orders must not give
/// new ones.
#[test]
fn observing_engines_gives_no_orders() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    rollout.observe(&[engine("a", 1)], ms(0));
    assert_eq!(rollout.loading().count(), 0);
    assert_eq!(
        orders_in(&rollout.next(2, &[engine("a", 1)], ms(100))).len(),
        1
    );
}
