//! How the memory for clients is shared.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use jujubelink::core::capacity::{Grant, Ledger, Owner, TransferId};
use proptest::prelude::*;

use crate::support::property_config;

const LIMIT_BYTES: usize = 16_000_000;

/// Part of the limit that transfers of more than 48 KiB may use.
const LARGE_BYTES: usize = 12_000_000;

/// Age from which transfers may be ended.
const MIN_ENDED_AGE: Duration = Duration::from_secs(3);

fn owner(number: u8) -> Owner {
    Owner {
        address: Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))),
        workspace: None,
    }
}

fn granted() -> Grant {
    Grant::Granted { ended: vec![] }
}

fn ended(ids: &[TransferId]) -> Grant {
    Grant::Granted {
        ended: ids.to_vec(),
    }
}

/// Guards against a limit for each address: the platform's entry proxies have few addresses.
#[test]
fn one_address_may_use_all_of_the_memory() {
    let mut ledger = Ledger::new(LIMIT_BYTES);
    let large = ledger.begin(owner(1), Duration::ZERO);
    assert_eq!(ledger.grow(large, LARGE_BYTES, Duration::ZERO), granted());
    assert_eq!(ledger.grow(large, 1, Duration::ZERO), Grant::Refused);
    for _ in 0..100 {
        let small = ledger.begin(owner(1), Duration::ZERO);
        assert_eq!(ledger.grow(small, 40_000, Duration::ZERO), granted());
    }
    let last = ledger.begin(owner(1), Duration::ZERO);
    assert_eq!(ledger.grow(last, 40_000, Duration::ZERO), Grant::Refused);
    assert_eq!(ledger.held_bytes(), LIMIT_BYTES);
}

/// Guards against a crowd that holds the memory with bodies that do not progress.
#[test]
fn the_slowest_transfers_end_first() {
    let mut ledger = Ledger::new(LIMIT_BYTES);
    let slow = ledger.begin(owner(1), Duration::ZERO);
    let slower = ledger.begin(owner(1), Duration::ZERO);
    let complete = ledger.begin(owner(1), Duration::ZERO);
    assert_eq!(ledger.grow(slow, 6_000_000, Duration::ZERO), granted());
    assert_eq!(ledger.grow(slower, 3_000_000, Duration::ZERO), granted());
    assert_eq!(ledger.grow(complete, 2_500_000, Duration::ZERO), granted());
    ledger.complete(complete);
    let before = MIN_ENDED_AGE - Duration::from_millis(1);
    let early = ledger.begin(owner(1), before);
    assert_eq!(ledger.grow(early, 1_000_000, before), Grant::Refused);
    let new = ledger.begin(owner(1), MIN_ENDED_AGE);
    let grant = ledger.grow(new, 1_000_000, MIN_ENDED_AGE);
    assert_eq!(grant, ended(&[slower]));
    // What has ended is not granted anything, and nothing is counted twice.
    assert_eq!(ledger.held_bytes(), 9_500_000);
    ledger.end(slower);
    assert_eq!(ledger.held_bytes(), 9_500_000);
}

/// Guards against a crowd that takes the memory of those who hold less.
#[test]
fn the_owner_that_holds_most_gives_way() {
    let mut ledger = Ledger::new(LIMIT_BYTES);
    let crowd: Vec<_> = (0..3)
        .map(|_| ledger.begin(owner(1), Duration::ZERO))
        .collect();
    for id in &crowd {
        assert_eq!(ledger.grow(*id, 3_500_000, Duration::ZERO), granted());
    }
    let other = ledger.begin(owner(2), Duration::ZERO);
    assert_eq!(ledger.grow(other, 1_000_000, Duration::ZERO), granted());
    let later = Duration::from_secs(10);
    let grant = ledger.grow(other, 1_000_000, later);
    assert_eq!(grant, ended(&crowd[..1]), "the crowd holds more");
    // The transfer of the crowd is as fast as the other ones, and the other owner holds less.
    assert_eq!(ledger.grow(crowd[1], 5_000_000, later), Grant::Refused);
    assert_eq!(ledger.held_bytes(), 9_000_000);
}

/// A step of a random course.
#[derive(Debug, Clone)]
enum Action {
    Begin(u8),
    Grow(usize, usize),
    Shrink(usize, usize),
    Complete(usize),
    End(usize),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (0..4u8).prop_map(Action::Begin),
        (any::<usize>(), 0..3_000_000usize).prop_map(|(at, bytes)| Action::Grow(at, bytes)),
        (any::<usize>(), 0..3_000_000usize).prop_map(|(at, bytes)| Action::Shrink(at, bytes)),
        any::<usize>().prop_map(Action::Complete),
        any::<usize>().prop_map(Action::End),
    ]
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against a sum that drifts from what the transfers hold, and against more than the limit.
    #[test]
    fn transfers_hold_no_more_than_the_limit(actions in prop::collection::vec(action(), 1..200)) {
        let mut ledger = Ledger::new(LIMIT_BYTES);
        let mut held = BTreeMap::<TransferId, usize>::new();
        for (second, action) in actions.into_iter().enumerate() {
            let now = Duration::from_secs(second as u64);
            let pick = |at: usize| {
                let index = at.checked_rem(held.len())?;
                held.keys().copied().nth(index)
            };
            match action {
                Action::Begin(number) => {
                    held.insert(ledger.begin(owner(number), now), 0);
                }
                Action::Grow(at, bytes) => {
                    let Some(id) = pick(at) else { continue };
                    if let Grant::Granted { ended } = ledger.grow(id, bytes, now) {
                        prop_assert!(!ended.contains(&id));
                        for other in ended {
                            held.insert(other, 0);
                        }
                        *held.get_mut(&id).unwrap() += bytes;
                    }
                }
                Action::Shrink(at, bytes) => {
                    let Some(id) = pick(at) else { continue };
                    ledger.shrink_to(id, bytes);
                    let bytes = held[&id].min(bytes);
                    held.insert(id, bytes);
                }
                Action::Complete(at) => {
                    let Some(id) = pick(at) else { continue };
                    ledger.complete(id);
                }
                Action::End(at) => {
                    let Some(id) = pick(at) else { continue };
                    ledger.end(id);
                    held.remove(&id);
                }
            }
            prop_assert_eq!(ledger.held_bytes(), held.values().sum::<usize>());
            prop_assert!(ledger.held_bytes() <= LIMIT_BYTES);
        }
    }
}
