//! Estimated contents of KV cache stores: which prompts are saved, and how much is fetched.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubelink::core::kvcache::{
    LinkBudget, PartChange, StoreChanges, StoreContents, StoredPart, choose_store,
};
use jujubelink::ops::share::{decode_store_changes, encode_store_changes};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq, proptest};

use crate::support::property_config;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn part(name: u64) -> StoredPart {
    StoredPart::new("1/", "m", name)
}

/// Changes of a store that an instance receives in one poll. `changes` lists parts with the tokens
/// that are stored now.
fn store_changes(run: u64, next: u64, changes: &[(u64, u64)]) -> StoreChanges {
    let change = |(name, tokens): &(u64, u64)| PartChange {
        number: next,
        part: part(*name),
        tokens: *tokens,
    };
    StoreChanges {
        run,
        next,
        changes: changes.iter().map(change).collect(),
    }
}

/// Guards against a part that is saved repeatedly, and against a part that is not saved although
/// the store lacks it.
#[test]
fn a_part_is_saved_while_the_store_lacks_it() {
    let mut contents = StoreContents::default();
    let prompt = [(part(1), 800), (part(2), 400)];
    assert!(contents.reserve_save(&prompt, ms(0)));
    assert!(!contents.reserve_save(&prompt, ms(10)));
    contents.on_changes(store_changes(1, 2, &[(1, 800), (2, 400)]), ms(500));
    assert!(!contents.reserve_save(&prompt, ms(9_000)));
    // The store evicts one of them.
    contents.on_changes(store_changes(1, 3, &[(2, 0)]), ms(9_100));
    assert!(contents.reserve_save(&prompt, ms(9_200)));
    // A part of which only some is stored is saved, unless just the rest of an incomplete block is
    // missing, since stores keep whole blocks.
    contents.on_changes(store_changes(1, 4, &[(3, 128), (4, 795)]), ms(9_300));
    assert!(contents.reserve_save(&[(part(3), 410)], ms(9_400)));
    assert!(!contents.reserve_save(&[(part(4), 800)], ms(9_400)));
    assert_eq!(contents.position(), 4);
}

/// Guards against estimated contents that are kept after a restart of the store, or forever if the
/// event of an eviction is lost.
#[test]
fn estimated_contents_end_with_the_incarnation_and_expire() {
    let mut contents = StoreContents::default();
    contents.on_changes(store_changes(1, 1, &[(1, 800)]), ms(0));
    assert!(!contents.reserve_save(&[(part(1), 800)], ms(100)));
    contents.on_changes(store_changes(2, 0, &[]), ms(200));
    assert!(contents.reserve_save(&[(part(1), 800)], ms(300)));
    assert!(!contents.reserve_save(&[(part(1), 800)], ms(400)));
    assert!(contents.reserve_save(&[(part(1), 800)], ms(40_000)));
}

/// Guards against an instance that receives a store's changes from another instance and misses
/// some, or that takes an unavailable store for an available one.
#[test]
fn changes_are_forwarded_to_other_instances() {
    let (mut first, mut second) = (StoreContents::default(), StoreContents::default());
    assert!(first.changes_after(0).is_none());
    first.on_changes(store_changes(1, 1, &[(1, 800)]), ms(0));
    first.on_changes(store_changes(1, 2, &[(2, 400)]), ms(100));
    second.on_changes(first.changes_after(0).unwrap(), ms(200));
    assert!(!second.reserve_save(&[(part(1), 800), (part(2), 400)], ms(300)));
    first.on_changes(store_changes(1, 3, &[(1, 0)]), ms(400));
    let forwarded = first.changes_after(second.position()).unwrap();
    assert_eq!(forwarded.changes.len(), 1);
    second.on_changes(forwarded, ms(500));
    assert!(second.reserve_save(&[(part(1), 800)], ms(600)));
    first.on_failure();
    assert!(first.changes_after(0).is_none());
}

/// Guards against requests that wait for an unavailable store.
#[test]
fn a_store_is_unavailable_from_a_failed_poll_to_the_next_successful_one() {
    let mut contents = StoreContents::default();
    assert!(contents.is_available());
    assert!(contents.on_failure());
    assert!(!contents.on_failure());
    assert!(!contents.is_available());
    assert!(contents.on_changes(store_changes(1, 0, &[]), ms(0)));
    assert!(contents.is_available());
}

/// Guards against parts of different workspaces, weights or models that get the same key.
#[test]
fn salts_and_models_keep_parts_apart() {
    assert_ne!(StoredPart::new("1/", "m", 7), StoredPart::new("2/", "m", 7));
    assert_ne!(
        StoredPart::new("1/", "m", 7),
        StoredPart::new("1/club", "m", 7)
    );
    assert_ne!(StoredPart::new("1/", "m", 7), StoredPart::new("1/", "n", 7));
}

/// Guards against prompts that all go to one store, and against prompts that move to another store
/// when a store that they do not use is lost.
#[test]
fn prompts_are_distributed_over_stores_and_stay_there() {
    let stores: Vec<SocketAddr> = (1..4).map(|host| ([10, 0, 0, host], 80).into()).collect();
    let mut counts = HashMap::new();
    for name in 0..300 {
        let prompt = [(part(1), 800), (part(1_000 + name), 400)];
        let chosen = choose_store(stores.iter().copied(), &prompt).unwrap();
        *counts.entry(chosen).or_insert(0) += 1;
        let lost = stores.iter().find(|store| **store != chosen).unwrap();
        let remaining = stores.iter().filter(|store| *store != lost).copied();
        assert_eq!(choose_store(remaining, &prompt), Some(chosen));
    }
    assert!(counts.values().all(|count| *count > 70), "{counts:?}");
    assert_eq!(choose_store([].into_iter(), &[]), None);
}

/// Guards against transfers that wait longer than two seconds for a store's link, after which the
/// store does not start them. Within two seconds of the highest load after an idle period, all
/// instances together allow no more fetches than the link carries in four seconds.
#[test]
fn fetches_stay_within_the_link() {
    let link_bytes_per_s = 15e9;
    let fetch_bytes = 221e6;
    let mut links: Vec<LinkBudget> = (0..7).map(|_| LinkBudget::default()).collect();
    let mut fetched_bytes = 0.0;
    for now_ms in 10_000..12_000 {
        for link in &mut links {
            // Each instance requests more than the capacity of the link.
            if now_ms % 10 == 0 && link.try_acquire(fetch_bytes, link_bytes_per_s, 7, ms(now_ms)) {
                fetched_bytes += fetch_bytes;
            }
        }
    }
    assert!(
        fetched_bytes <= 4.0 * link_bytes_per_s,
        "{fetched_bytes} bytes in 2 s"
    );
    assert!(
        fetched_bytes >= 2.0 * link_bytes_per_s,
        "{fetched_bytes} bytes in 2 s"
    );
    // A fetch larger than the burst is allowed once the budget is full.
    let mut link = LinkBudget::default();
    assert!(link.try_acquire(1e9, 1e9, 7, ms(5_000)));
    assert!(!link.try_acquire(1.0, 1e9, 7, ms(5_100)));
}

/// A store with least-recently-used eviction.
struct LruStore {
    capacity_tokens: u64,
    /// Tokens and time of the last use in ms, by part.
    parts: HashMap<u64, (u64, u64)>,
    used_tokens: u64,
}

impl LruStore {
    /// Returns whether a part is stored, and records its use.
    fn fetch(&mut self, name: u64, now_ms: u64) -> bool {
        let entry = self.parts.get_mut(&name);
        entry.is_some_and(|entry| {
            entry.1 = now_ms;
            true
        })
    }

    /// Stores a part and returns the changes: it and the evicted parts with the tokens stored now.
    fn save(&mut self, name: u64, tokens: u64, now_ms: u64) -> Vec<(u64, u64)> {
        if self.parts.insert(name, (tokens, now_ms)).is_some() {
            return Vec::new();
        }
        self.used_tokens += tokens;
        let mut changes = vec![(name, tokens)];
        while self.used_tokens > self.capacity_tokens {
            let (oldest, _) = self.parts.iter().min_by_key(|(_, (_, at))| *at).unwrap();
            let oldest = *oldest;
            self.used_tokens -= self.parts.remove(&oldest).unwrap().0;
            changes.push((oldest, 0));
        }
        changes
    }
}

/// Fraction of the shared prompt tokens that engines compute again because the store does not have
/// them. Each request goes to an engine that has none of its prompt cached.
fn recomputed_ratio(saves_all: bool) -> f64 {
    // The load of a shop: 62 prompts per second. 2,520 tokens are common to a quarter of all
    // prompts, 3,780 to those of a session, and 2,890 belong to a single prompt. The store holds
    // 1.52 million tokens.
    let mut store = LruStore {
        capacity_tokens: 1_520_000,
        parts: HashMap::new(),
        used_tokens: 0,
    };
    let mut contents = StoreContents::default();
    let mut number = 0u64;
    let (mut recomputed, mut requested) = (0, 0);
    for now_ms in (0..60_000u64).step_by(16) {
        number += 1;
        let session = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let shared = [(session % 4, 2_520), (100 + session % 260, 3_780)];
        let keys = shared.map(|(name, tokens)| (part(name), tokens));
        let is_saved = saves_all || contents.reserve_save(&keys, ms(now_ms));
        let mut changes = Vec::new();
        for (name, tokens) in shared {
            let is_stored = store.fetch(name, now_ms);
            if now_ms > 20_000 {
                requested += tokens;
                recomputed += if is_stored { 0 } else { tokens };
            }
        }
        if is_saved {
            for (name, tokens) in shared.into_iter().chain([(1_000_000 + number, 2_890)]) {
                changes.extend(store.save(name, tokens, now_ms));
            }
        }
        contents.on_changes(store_changes(1, number, &changes), ms(now_ms));
    }
    recomputed as f64 / requested as f64
}

/// Guards against a store that evicts shared parts for parts which only one request has, so that
/// engines compute shared parts again. Compared with saving all parts, saving selectively must
/// avoid at least nine tenths of this.
#[test]
fn parts_of_single_requests_do_not_evict_shared_ones() {
    let (saving_all, saving_missing) = (recomputed_ratio(true), recomputed_ratio(false));
    assert!(
        saving_missing < saving_all / 10.0,
        "ratio of recomputed tokens: {saving_missing}, and {saving_all} if all parts are saved"
    );
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against changes of a KV cache store that instances relay incorrectly.
    #[test]
    fn relayed_changes_arrive_unchanged(
        run in any::<u64>(),
        next in any::<u64>(),
        changes in vec((any::<u64>(), any::<u64>(), any::<u64>()), 0..20),
    ) {
        let changes = changes.into_iter().map(|(number, part, tokens)| PartChange {
            number,
            part: part.into(),
            tokens,
        });
        let changes = StoreChanges { run, next, changes: changes.collect() };
        prop_assert_eq!(decode_store_changes(&encode_store_changes(&changes)), Some(changes));
    }
}

/// Guards against responses that fill the link of an instance which relays the changes of the stores, so
/// that news of leaving targets arrive late.
#[test]
fn relayed_changes_leave_most_of_a_small_link_free() {
    /// Link of the smallest instances, 10 Mbit/s.
    const LINK_BYTES_PER_S: usize = 1_250_000;
    /// Followers of an instance in a fleet of 84 instances, ten of which relay changes.
    const FOLLOWERS: usize = 8;
    /// Changes of all stores in a second on a large site: 550 prompts of three parts, each of which is
    /// saved and evicts another one.
    const CHANGES_PER_S: u64 = 3_300;
    let change = |number: u64| PartChange {
        number: 1_000_000 + number,
        part: part(number),
        tokens: 100 + number % 11_000,
    };
    let changes = StoreChanges {
        run: 1_774_667_755_561,
        next: 1_000_000 + CHANGES_PER_S,
        changes: (0..CHANGES_PER_S).map(change).collect(),
    };
    let bytes_per_s = encode_store_changes(&changes).len() * FOLLOWERS;
    assert!(bytes_per_s < LINK_BYTES_PER_S / 4, "{bytes_per_s}");
}
