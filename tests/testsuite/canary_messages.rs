//! Messages of the roll-out by version in large fleets: their bytes, and how shares reach all instances.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubelink::core::canary::ShareRoutes;
use jujubelink::core::ids::Timestamp;
use jujubelink::ops::canary::{CellMessage, RolloutMessage, RolloutsMessage, ShareMessage};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Bytes per second of the regular messages of an idle instance, as docs/CAPACITY.md states them, and the number
/// of these messages.
const REGULAR_BYTES_PER_S: f64 = 5_900.0;
const REGULAR_MESSAGES_PER_S: f64 = 40.0;

/// Bytes of a short message without the part on roll-outs, with the headers of the datagram.
const SHORT_MESSAGE_BYTES: f64 = 110.0;

/// The bound for the control traffic of an instance.
const MAX_BYTES_PER_S: f64 = 13_000.0;

/// Message on an open order of 12 s. `routes` is the number of routes with evidence at the old version and at one
/// group of servers of the new one.
fn message(routes: u32, holder: &str) -> f64 {
    let cells = (0..routes).flat_map(|route| [(route, 0), (route, 3)]);
    let cells = cells.map(|(route, arm)| CellMessage {
        route: 0x9e37_79b9 ^ route,
        arm,
        responses: 300,
        failed: 2,
        slow: 9,
    });
    let rollout = RolloutMessage {
        service: "tickets".into(),
        target: "v2".into(),
        duration_ms: 12_000,
        state: 1,
        revision: 70_000,
        age_ms: 7_000,
        cells: cells.collect(),
        open_old: 3,
        is_committed: false,
        is_stopped: true,
        has_report: routes > 0,
        share: Some(ShareMessage {
            epoch: 300,
            phase: 1,
            permille: 800,
            term_ms: 2_400,
            holder: holder.into(),
        }),
    };
    let message = RolloutsMessage {
        rollouts: vec![rollout],
        read_age_ms: Some(600),
        wants_share: true,
    };
    // The tag and the length of the field.
    message.encoded_len() as f64 + 3.0
}

/// Guards against more control traffic than 13 KB/s of an instance while an order is open.
#[test]
fn messages_on_a_roll_out_stay_within_the_bound_of_control_traffic() {
    for instances in [84, 200, 380] {
        let routes = ShareRoutes::new(instances);
        let per_s = |messages: usize| messages as f64 / routes.interval().as_secs_f64();
        let relayed = message(0, "router-0123");
        let own = message(0, "");
        let report = message(4, "router-0123");
        let regular = REGULAR_BYTES_PER_S + REGULAR_MESSAGES_PER_S * relayed;
        // A relay sends its report to the holder and to the instance that may follow it.
        let children = instances.div_ceil(routes.relays());
        let relay = per_s(children) * (SHORT_MESSAGE_BYTES + relayed)
            + per_s(2) * (SHORT_MESSAGE_BYTES + report);
        let calls = routes.relays() as f64 / routes.call_interval().as_secs_f64();
        let holder = (per_s(routes.relays()) + calls) * (SHORT_MESSAGE_BYTES + own);
        println!(
            "{instances}: every {:?}, {} relays; regular {regular:.0} B/s, relay {relay:.0} B/s more, \
             holder {holder:.0} B/s more",
            routes.interval(),
            routes.relays()
        );
        assert!(regular + relay <= MAX_BYTES_PER_S, "{instances}: relay");
        assert!(regular + holder <= MAX_BYTES_PER_S, "{instances}: holder");
    }
}

/// Guards against instances of a large fleet whose shares end before they are renewed, against a step that needs
/// longer than the plan assumes, and against a share that lasts longer than the one that it is passed on from.
#[test]
fn shares_reach_all_instances_of_a_large_fleet() {
    const INSTANCES: usize = 380;
    let routes = ShareRoutes::new(INSTANCES);
    // The settings of the product: three intervals, at most 0.6 of 5 s.
    let term = (routes.interval() * 3).min(Duration::from_millis(3_000));
    let round = Duration::from_millis(200);
    let rounds = (routes.interval().as_millis() / round.as_millis()) as usize;
    let mut random = StdRng::seed_from_u64(1);
    let mut until = vec![Timestamp::ZERO; INSTANCES];
    let mut missed = vec![0u64; INSTANCES];
    let mut reached_at: Vec<Option<Timestamp>> = vec![None; INSTANCES];
    // Instances by the relay that they asked in the last round, with the time of the question.
    let mut asking: Vec<(usize, usize, Timestamp)> = Vec::new();
    let (mut without, mut counted) = (0, 0);
    let start = Duration::from_secs(50);
    for number in 0..100usize {
        let now = start + round * number as u32;
        for (child, relay, asked_at) in std::mem::take(&mut asking) {
            // The holder is the first relay.
            let relay_until = if relay == 0 { now + term } else { until[relay] };
            let remaining = relay_until.saturating_sub(now);
            if remaining > Duration::ZERO && random.random_bool(0.95) {
                until[child] = until[child].max(asked_at + remaining);
                assert!(until[child] <= relay_until);
                reached_at[child].get_or_insert(now);
            }
        }
        for instance in 1..INSTANCES {
            let is_due = (number + instance) % rounds == 0 || until[instance] <= now;
            if is_due && random.random_bool(0.95) {
                missed[instance] += u64::from(until[instance] <= now);
                let relay = routes.relay(instance as u32, instance as u64, missed[instance]);
                asking.push((instance, relay.unwrap_or(0), now));
            }
            if number >= 30 {
                counted += 1;
                without += usize::from(until[instance] <= now);
            }
        }
    }
    let last = reached_at[1..].iter().map(|at| at.expect("never reached"));
    let last = last.max().unwrap() - start;
    println!("without a share {without} of {counted}, last reached after {last:?}");
    assert!(without * 50 <= counted, "{without} of {counted}");
    let on_time = reached_at[1..].iter().flatten();
    let on_time = on_time.filter(|at| **at - start <= routes.step_time());
    assert!(on_time.count() * 100 >= (INSTANCES - 1) * 95);
    let relays: BTreeSet<_> = (20..INSTANCES as u32)
        .map(|rank| routes.relay(rank, u64::from(rank), 0))
        .collect();
    assert_eq!(relays.len(), routes.relays());
}
