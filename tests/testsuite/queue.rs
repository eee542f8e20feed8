//! Fair queue: weighted shares, bounds and deadlines.

use std::collections::HashMap;
use std::time::Duration;

use jujubelink::core::ids::Timestamp;
use jujubelink::core::queue::{FairQueue, JobId, MAX_QUEUED, MAX_QUEUED_BYTES, QueuedJob};
use proptest::prelude::*;

use crate::support::property_config;

const NOW: Timestamp = Duration::from_secs(10);

fn job(id: JobId, cost_tokens: u64) -> QueuedJob {
    QueuedJob {
        id,
        cost_tokens,
        bytes: 100,
        deadline: NOW + Duration::from_secs(1),
        aims: None,
    }
}

/// Dispatches the first job of the dispatch order and returns its workspace.
fn dispatch_first(queue: &mut FairQueue) -> Option<String> {
    let (workspace, id) = queue.dispatch_order(NOW).into_iter().next()?;
    queue.on_dispatched(&workspace, id, NOW);
    Some(workspace.to_string())
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against a workspace that gets more than its share by many short requests or by a rate
    /// far above its limit: while both workspaces have queued requests, dispatched tokens follow
    /// the weights to within one request of each.
    #[test]
    fn dispatched_tokens_follow_weights(
        costs_a in prop::collection::vec(1u64..2000, 50..100),
        costs_b in prop::collection::vec(1u64..2000, 50..100),
        weight_a in 1u32..5,
        weight_b in 1u32..5,
    ) {
        let mut queue = FairQueue::default();
        let mut costs = HashMap::new();
        for (index, cost) in costs_a.iter().enumerate() {
            queue.push(&"a".into(), weight_a, job(index as u64, *cost), NOW);
            costs.insert(index as u64, *cost);
        }
        for (index, cost) in costs_b.iter().enumerate() {
            let id = 1000 + index as u64;
            queue.push(&"b".into(), weight_b, job(id, *cost), NOW);
            costs.insert(id, *cost);
        }
        let mut dispatched_tokens = HashMap::<String, f64>::new();
        loop {
            let order = queue.dispatch_order(NOW);
            let has_job = |name: &str| order.iter().any(|(workspace, _)| &**workspace == name);
            if !has_job("a") || !has_job("b") {
                break;
            }
            let (workspace, id) = order[0].clone();
            queue.on_dispatched(&workspace, id, NOW);
            *dispatched_tokens.entry(workspace.to_string()).or_default() += costs[&id] as f64;
            let weighted_tokens = |name: &str, weight: u32| {
                dispatched_tokens.get(name).copied().unwrap_or(0.0) / f64::from(weight)
            };
            let gap = (weighted_tokens("a", weight_a) - weighted_tokens("b", weight_b)).abs();
            let allowed = 2000.0 / f64::from(weight_a) + 2000.0 / f64::from(weight_b);
            prop_assert!(gap <= allowed, "{gap} over {allowed}");
        }
    }

    /// Guards against counters that deviate from the contents of the queue, so that its bounds do
    /// not hold.
    #[test]
    fn counts_match_the_contents(actions in prop::collection::vec((0u8..4, 0u64..20), 1..200)) {
        let mut queue = FairQueue::default();
        let mut queued = std::collections::BTreeSet::new();
        for (index, (action, choice)) in actions.into_iter().enumerate() {
            match action {
                0 | 1 => {
                    queue.push(&"a".into(), 1, job(index as u64, choice + 1), NOW);
                    queued.insert(index as u64);
                }
                2 => {
                    if let Some(id) = queued.iter().nth(choice as usize).copied() {
                        queued.remove(&id);
                        prop_assert!(queue.remove(&"a".into(), id, NOW));
                    }
                }
                _ => {
                    let first = queued.first().copied();
                    prop_assert_eq!(dispatch_first(&mut queue).is_some(), first.is_some());
                    first.map(|id| queued.remove(&id));
                }
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
    }
}

/// Guards against credit that an idle workspace accumulates, with which it would block the others
/// when it sends requests again.
#[test]
fn an_idle_workspace_accumulates_no_credit() {
    let mut queue = FairQueue::default();
    for id in 0..100 {
        queue.push(&"busy".into(), 1, job(id, 1000), NOW);
    }
    for _ in 0..50 {
        dispatch_first(&mut queue);
    }
    for id in 200..250 {
        queue.push(&"late".into(), 1, job(id, 1000), NOW);
    }
    let dispatched: Vec<_> = (0..20).filter_map(|_| dispatch_first(&mut queue)).collect();
    let late_count = dispatched.iter().filter(|name| *name == "late").count();
    assert!((9..=11).contains(&late_count), "{late_count} of 20");
}

/// Guards against requests of a small workspace that are shed because another one floods the queue,
/// and against an unbounded queue.
#[test]
fn the_flooding_workspace_is_shed_at_the_bound() {
    let mut queue = FairQueue::default();
    queue.push(&"small".into(), 1, job(0, 10), NOW);
    let mut shed = Vec::new();
    for id in 1..=MAX_QUEUED as u64 + 10 {
        shed.extend(queue.push(&"flood".into(), 1, job(id, 1000 + id % 7), NOW));
    }
    assert_eq!(queue.len(), MAX_QUEUED);
    assert_eq!(shed.len(), 11);
    assert!(!shed.contains(&0));
    assert!(
        shed.iter().all(|id| id % 7 == 0),
        "the cheapest requests are shed first"
    );
}

/// Guards against unbounded memory for large prompts while the number of requests is within its
/// bound.
#[test]
fn queued_bytes_are_bounded() {
    let mut queue = FairQueue::default();
    let large = |id| QueuedJob {
        bytes: MAX_QUEUED_BYTES / 4,
        ..job(id, 100)
    };
    let shed: Vec<_> = (0..10)
        .flat_map(|id| queue.push(&"a".into(), 1, large(id), NOW))
        .collect();
    assert_eq!((shed.len(), queue.len()), (6, 4));
}

/// Guards against requests that stay queued after their deadline.
#[test]
fn late_requests_expire() {
    let mut queue = FairQueue::default();
    for id in 0..4 {
        let deadline = NOW + Duration::from_millis(id * 100);
        queue.push(
            &"a".into(),
            1,
            QueuedJob {
                deadline,
                ..job(id, 1)
            },
            NOW,
        );
    }
    assert_eq!(queue.expire(NOW + Duration::from_millis(100)), [0, 1]);
    assert_eq!(
        queue.next_deadline(),
        Some(NOW + Duration::from_millis(200))
    );
}

/// Guards against head-of-line blocking: the first request of a workspace may wait for one target,
/// and must not block other requests of its workspace or of others.
#[test]
fn the_dispatch_order_contains_more_than_the_first_requests() {
    let mut queue = FairQueue::default();
    for id in 0..3 {
        queue.push(&"a".into(), 1, job(id, 1), NOW);
        queue.push(&"b".into(), 1, job(10 + id, 1), NOW);
    }
    let ids: Vec<_> = queue
        .dispatch_order(NOW)
        .into_iter()
        .map(|(_, id)| id)
        .collect();
    assert_eq!(ids, [0, 1, 2, 10, 11, 12]);
}

/// Guards against refusals based on the dispatch rate of a queue that was mostly empty: this rate
/// is the demand, not the capacity.
#[test]
fn a_wait_is_predicted_only_from_backlogged_time() {
    let mut queue = FairQueue::default();
    for second in 0..10 {
        let now = NOW + Duration::from_secs(second);
        queue.push(&"a".into(), 1, job(second, 100), now);
        queue.on_dispatched(&"a".into(), second, now);
    }
    queue.push(&"a".into(), 1, job(99, 100), NOW + Duration::from_secs(10));
    assert_eq!(queue.expected_wait(&"a".into(), 1, None, NOW), None);
}
