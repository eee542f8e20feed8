//! What stores of KV cache hold, and when to use which.
//!
//! Engines send what they have read of a prompt to the store, and fetch from it what they lack. A
//! prompt ends with a part of its own that no other request has. If every request is saved, these
//! parts push the shared ones out of the store within seconds and fill its link; so a request is
//! saved only while the store lacks one of its shared parts. This answers sites whose shared parts
//! fit into the store while all prompts of ten seconds do not.

mod link;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::{Timestamp, Tokens};
use crate::util::hash::{combine, stable_hash};

pub use link::LinkBudget;

/// Time for which a part counts as held after it was stored or sent there. The engine may have failed,
/// and some events never arrive. With 30 s more prompts were fetched than the store's link carried on
/// days of high load.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Tokens that a stored part may have less than the part itself: stores keep whole blocks.
const BLOCK_TOKENS: Tokens = 16;

/// Changes kept for instances that hear of the store from this one; older ones are dropped.
const MAX_RECENT_CHANGES: usize = 4_096;

/// Parts known at a time; expired ones make room, and further ones are not noted.
const MAX_PARTS: usize = 32_768;

/// A change of what a store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartChange {
    /// Position of the change in the store's history.
    pub number: u64,
    /// Part.
    pub part: StoredPart,
    /// Tokens held now; 0 once the part is gone.
    pub tokens: Tokens,
}

/// Changes since the last question.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Run of the store; it begins empty.
    pub run: u64,
    /// Position from which the next question goes on.
    pub next: u64,
    /// Changes in order.
    pub changes: Vec<PartChange>,
}

/// A part of a prompt, as stores tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredPart(u64);

impl StoredPart {
    /// The part with a hash of its name, of a model, kept apart by a salt.
    pub fn new(salt: &str, model: &str, part: u64) -> Self {
        let scope = combine(
            stable_hash(0, salt.as_bytes()),
            stable_hash(0, model.as_bytes()),
        );
        Self(combine(scope, part))
    }
}

/// The store for a prompt with these shared parts, out of those that answer. The last shared part
/// decides, so that all parts of a prompt are in one store and each store holds other prompts.
pub fn choose_store(
    available: impl Iterator<Item = SocketAddr>,
    parts: &[(StoredPart, Tokens)],
) -> Option<SocketAddr> {
    let seed = parts.last().map_or(0, |(part, _)| part.0);
    available.max_by_key(|address| stable_hash(seed, address.to_string().as_bytes()))
}

/// What one store is believed to hold. Beliefs may be wrong either way: then a part is read once
/// more, or saved once more.
#[derive(Debug, Default)]
pub struct StoreContents {
    run: u64,
    next: u64,
    entries: HashMap<StoredPart, StoredEntry>,
    recent: VecDeque<PartChange>,
    is_unavailable: bool,
}

#[derive(Debug, Clone, Copy)]
struct StoredEntry {
    tokens: Tokens,
    expires_at: Timestamp,
}

impl StoreContents {
    /// Position for the next question.
    pub fn position(&self) -> u64 {
        self.next
    }

    /// Whether the store answers. An engine that fetches from a dead store waits some hundred
    /// milliseconds for nothing.
    pub fn is_available(&self) -> bool {
        !self.is_unavailable
    }

    /// What an instance that knows the history up to `position` is told; `None` while the store does
    /// not answer.
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

    /// Takes an answer of the store. Returns whether it was away before.
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

    /// Notes that the store did not answer. Returns whether it did before.
    pub fn on_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unavailable, true)
    }

    /// Whether a request with these shared parts should be saved: the store lacks one of them. The
    /// parts count as held from now on, so that the requests that follow are not saved as well.
    pub fn reserve_save(&mut self, parts: &[(StoredPart, Tokens)], now: Timestamp) -> bool {
        let mut is_needed = false;
        for (part, tokens) in parts {
            let entry = self
                .entries
                .get(part)
                .filter(|entry| now < entry.expires_at);
            if entry.is_none_or(|entry| entry.tokens + BLOCK_TOKENS < *tokens) {
                is_needed = true;
                self.insert(*part, *tokens, now);
            }
        }
        is_needed
    }

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
