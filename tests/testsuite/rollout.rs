//! The lease for orders and the rollout of weights.

use std::sync::Arc;
use std::time::Duration;

use jujubelink::core::ids::TargetId;
use jujubelink::core::rollout::{
    Engine, LeaseAction, LeaseRecord, LeaseRole, OrderLease, OrderLeaseTiming, OrderResult,
    Rollout, RolloutAction, RolloutParams,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const PAUSE: Duration = Duration::from_millis(3_000);

const TERMS: OrderLeaseTiming = OrderLeaseTiming {
    term: Duration::from_millis(1_500),
    renew_after: Duration::from_millis(500),
    takeover_after: Duration::from_millis(5_400),
    takeover_after_release: Duration::from_millis(3_500),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The object of the lease, with conditional writes.
#[derive(Default)]
struct Store {
    version: u64,
    record: Option<LeaseRecord>,
    /// Writes without an answer that take effect later, if their condition still holds.
    late: Vec<(u64, u64, LeaseRecord)>,
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

    fn settle_late(&mut self, now_ms: u64) {
        let late = std::mem::take(&mut self.late);
        for (at, if_version, record) in late {
            if at <= now_ms {
                self.write(if_version, record);
            } else {
                self.late.push((at, if_version, record));
            }
        }
    }
}

/// Plays instances that want to give orders through lost and late answers, outages of single
/// instances, suspensions and planned stops. Returns the times of orders by holder and fencing number.
fn play(seed: u64) -> Vec<(u64, usize, u64)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let names = ["a", "b", "c"];
    let mut leases: Vec<OrderLease> = names
        .iter()
        .map(|name| OrderLease::new(Arc::from(*name), TERMS))
        .collect();
    let mut cut_until = [0; 3];
    let mut suspended_until = [0; 3];
    let mut orders = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        store.settle_late(now_ms);
        for own in 0..3 {
            if random.next_u32() % 400 == 0 {
                cut_until[own] = now_ms + u64::from(random.next_u32() % 8_000);
            }
            if random.next_u32() % 600 == 0 {
                suspended_until[own] = now_ms + u64::from(random.next_u32() % 8_000);
            }
            if now_ms < suspended_until[own] {
                continue;
            }
            step(
                &mut leases[own],
                &mut store,
                &mut random,
                now_ms,
                now_ms < cut_until[own],
                own,
            );
            if let Some(epoch) = leases[own].epoch(ms(now_ms)) {
                orders.push((now_ms, own, epoch));
            }
            // A planned stop gives the lease back, with an answer or without, and starts anew.
            if random.next_u32() % 500 == 0 {
                if let Some((version, record)) = leases[own].release(random.next_u64()) {
                    match random.next_u32() % 3 {
                        0 => {}
                        1 => store.late.push((now_ms + 2_000, version, record)),
                        _ => drop(store.write(version, record)),
                    }
                }
                leases[own] = OrderLease::new(Arc::from(names[own]), TERMS);
                suspended_until[own] = now_ms + u64::from(random.next_u32() % 4_000);
            }
        }
    }
    orders
}

fn step(
    lease: &mut OrderLease,
    store: &mut Store,
    random: &mut ChaCha8Rng,
    now_ms: u64,
    is_cut: bool,
    own: usize,
) {
    let now = ms(now_ms);
    let role = LeaseRole {
        work_since: Some(Duration::ZERO),
        is_candidate: true,
        takeover_delay: ms(400) * own as u32,
    };
    match lease.next(role, random.next_u64(), now) {
        LeaseAction::Wait => {}
        LeaseAction::Read if is_cut => lease.on_failed(false, now),
        LeaseAction::Read => lease.on_read(store.version, store.record.clone(), now, now),
        LeaseAction::Write { if_version, record } => {
            lease.on_write_sent(record.nonce, now);
            match random.next_u32() % 10 {
                _ if is_cut => lease.on_failed(false, now),
                // The write takes effect at once or later, and the answer is lost.
                0 => {
                    store.write(if_version, record);
                    lease.on_failed(false, now);
                }
                1 => {
                    let at = now_ms + u64::from(random.next_u32() % 6_000);
                    store.late.push((at, if_version, record));
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

/// Guards against two holders whose orders follow each other too soon, and against a fencing number
/// that is used by two or falls, through lost and late writes, cut and suspended instances.
#[test]
fn holders_never_take_turns_too_soon() {
    let mut total = 0;
    for seed in 0..200 {
        let orders = play(seed);
        total += orders.len();
        for pair in orders.windows(2) {
            let ((at, holder, epoch), (later, other, next)) = (pair[0], pair[1]);
            assert!(next >= epoch, "seed {seed}: {next} after {epoch}");
            if holder != other {
                assert!(next > epoch, "seed {seed}: {epoch} is used by two");
                let pause = ms(later - at);
                assert!(
                    pause > PAUSE,
                    "seed {seed}: {pause:?} between holders at {at} ms"
                );
            }
        }
    }
    // The lease is held most of the time.
    assert!(total > 200 * 600, "{total} orders");
}

/// Guards against a term that is counted from the answer instead of from before the question: the
/// lease was held for longer at its holder than at those who wait for its end.
#[test]
fn a_late_answer_does_not_lengthen_the_term() {
    let mut lease = OrderLease::new(Arc::from("a"), TERMS);
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

const ROLLOUT: RolloutParams = RolloutParams {
    max_loading: 2,
    first_check_delay: Duration::from_millis(1_300),
    check_period: Duration::from_millis(200),
    resend_after: Duration::from_secs(6),
    failure_backoff: Duration::from_millis(500),
};

fn engine(id: &str, version: u64) -> Engine {
    Engine {
        id: id.into(),
        incarnation: 1,
        version,
    }
}

fn ordered(actions: &[RolloutAction]) -> Vec<(TargetId, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        RolloutAction::Order {
            target, version, ..
        } => Some((target.clone(), *version)),
        RolloutAction::Check { .. } => None,
    });
    orders.collect()
}

/// Guards against too many engines out of service at a time, and against steps over versions that
/// are no longer the newest.
#[test]
fn engines_go_straight_to_the_newest_version() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    let engines = [engine("a", 1), engine("b", 1), engine("c", 1)];
    let actions = rollout.next(2, &engines, ms(0));
    assert_eq!(ordered(&actions), [("a".into(), 2), ("b".into(), 2)]);
    let engines = [engine("a", 2), engine("b", 1), engine("c", 1)];
    let actions = rollout.next(3, &engines, ms(100));
    assert_eq!(ordered(&actions), [("c".into(), 3)]);
}

/// Guards against an order that was lost and leaves its engine on old weights, and against one that
/// is repeated while the engine carries it out.
#[test]
fn a_lost_order_is_given_again() {
    let mut rollout = Rollout::new("m".into(), ROLLOUT);
    let engines = [engine("a", 1)];
    let target: TargetId = "a".into();
    assert_eq!(ordered(&rollout.next(2, &engines, ms(0))).len(), 1);
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
    assert_eq!(ordered(&rollout.next(2, &engines, ms(1_650))).len(), 1);
    rollout.on_order(&target, OrderResult::Failed, ms(1_700));
    assert!(rollout.next(2, &engines, ms(2_000)).is_empty());
    assert_eq!(ordered(&rollout.next(2, &engines, ms(2_300))).len(), 1);
}
