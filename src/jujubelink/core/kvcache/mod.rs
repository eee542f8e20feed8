//! Contents of the KV cache stores, and the decisions when to save to and fetch from them.
//!
//! Engines save the KV cache of computed prompts to a store, and fetch from it what they lack. A
//! prompt consists of parts; the last one is usually unique to the request. If every request were
//! saved, these unique parts would evict the shared ones within seconds and saturate the link of
//! the store. So a request is saved only if the store lacks one of its shared parts. This suits
//! sites at which a store can hold the shared parts, but not all prompts of a ten-second period.

mod link;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{From, Into};

use crate::core::ids::{Timestamp, Tokens};
use crate::util::hash::{combine, stable_hash};

pub use link::LinkBudget;

/// Time for which a part counts as stored after it was reported or saved. The save may have failed,
/// and some events are lost. With 30 s, more prompts were fetched under high load than the link of
/// the store could carry.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Tokens by which a stored part may be shorter than the part itself: stores keep whole blocks.
const STORE_BLOCK_TOKENS: Tokens = 16;

/// Maximum number of changes kept for other instances that get them from this one; the oldest are
/// dropped.
const MAX_RECENT_CHANGES: usize = 4_096;

/// Maximum number of entries. At the limit, expired entries are evicted; if none has expired, new
/// ones are not recorded.
const MAX_PARTS: usize = 32_768;

/// A change of a store's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    /// Sequence number of the change.
    pub number: u64,
    /// Part.
    pub part: StoredPart,
    /// Tokens stored now; 0 if the part was evicted.
    pub tokens: Tokens,
}

/// Changes since the previous poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// Incarnation of the store; each starts empty.
    pub run: u64,
    /// Sequence number from which to continue with the next poll.
    pub next: u64,
    /// Changes in order.
    pub changes: Vec<PartChange>,
}

/// Key of a prompt part in the stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, From, Into)]
pub struct StoredPart(u64);

impl StoredPart {
    /// Computes the key from a hash of the part's name, its model, and a salt that isolates
    /// workspaces from each other.
    pub fn new(salt: &str, model: &str, part: u64) -> Self {
        let scope = combine(
            stable_hash(0, salt.as_bytes()),
            stable_hash(0, model.as_bytes()),
        );
        Self(combine(scope, part))
    }
}

/// Selects one of the available stores for a prompt with these shared parts, by rendezvous hashing
/// of the last shared part. So all parts of a prompt are in one store, and different stores hold
/// different prompts.
pub fn choose_store(
    available: impl Iterator<Item = SocketAddr>,
    parts: &[(StoredPart, Tokens)],
) -> Option<SocketAddr> {
    let seed = parts.last().map_or(0, |(part, _)| part.0);
    available.max_by_key(|address| stable_hash(seed, address.to_string().as_bytes()))
}

/// Estimated contents of one store. An error in either direction is cheap: a part is computed or
/// saved once more.
#[derive(Debug, Default)]
pub struct StoreContents {
    /// Both fields as in the last [`StoreChanges`].
    run: u64,
    next: u64,
    entries: HashMap<StoredPart, StoredEntry>,
    /// Latest changes, for other instances.
    recent: VecDeque<PartChange>,
    is_unavailable: bool,
}

/// A part that is estimated to be in the store.
#[derive(Debug, Clone, Copy)]
struct StoredEntry {
    tokens: Tokens,
    expires_at: Timestamp,
}

impl StoreContents {
    /// Returns the sequence number from which to continue with the next poll.
    pub fn position(&self) -> u64 {
        self.next
    }

    /// Whether the store responds. An engine that fetches from a failed store loses some hundred
    /// milliseconds.
    pub fn is_available(&self) -> bool {
        !self.is_unavailable
    }

    /// Returns the changes after a sequence number for another instance. `None` while the store
    /// doesn't respond.
    pub fn changes_after(&self, position: u64) -> Option<StoreChanges> {
        if self.is_unavailable || self.run == 0 {
            return None;
        }
        let changes = self.recent.iter().filter(|change| change.number > position);
        Some(StoreChanges {
            run: self.run,
            next: self.next,
            changes: changes.copied().collect(),
        })
    }

    /// Applies the response to a poll. Returns whether the store was unavailable before.
    pub fn on_changes(&mut self, update: StoreChanges, now: Timestamp) -> bool {
        if update.run != self.run {
            self.entries.clear();
            self.recent.clear();
        }
        self.run = update.run;
        self.next = update.next;
        for change in update.changes {
            if self.recent.len() >= MAX_RECENT_CHANGES {
                self.recent.pop_front();
            }
            self.recent.push_back(change);
            match change.tokens {
                0 => _ = self.entries.remove(&change.part),
                tokens => self.insert(change.part, tokens, now),
            }
        }
        std::mem::take(&mut self.is_unavailable)
    }

    /// Marks the store as unavailable after a failed poll. Returns whether it was available before.
    pub fn on_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unavailable, true)
    }

    /// Returns whether a request with these shared parts should be saved, which is the case if the
    /// store lacks one of them. The parts then count as stored, so that the following requests are
    /// not saved too.
    pub fn reserve_save(&mut self, parts: &[(StoredPart, Tokens)], now: Timestamp) -> bool {
        let mut is_needed = false;
        for (part, tokens) in parts {
            let entry = self
                .entries
                .get(part)
                .filter(|entry| now < entry.expires_at);
            if entry.is_none_or(|entry| entry.tokens.saturating_add(STORE_BLOCK_TOKENS) < *tokens) {
                is_needed = true;
                self.insert(*part, *tokens, now);
            }
        }
        is_needed
    }

    /// Adds or renews an entry.
    fn insert(&mut self, part: StoredPart, tokens: Tokens, now: Timestamp) {
        if self.entries.len() >= MAX_PARTS {
            self.entries.retain(|_, entry| now < entry.expires_at);
        }
        if self.entries.len() < MAX_PARTS || self.entries.contains_key(&part) {
            let expires_at = now + ENTRY_TTL;
            self.entries
                .insert(part, StoredEntry { tokens, expires_at });
        }
    }
}
