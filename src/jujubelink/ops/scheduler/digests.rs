//! Digests: updates about cached hot prefixes, exchanged between instances.

use std::collections::HashMap;

use crate::core::ids::{Fingerprint, Incarnation, TargetId, Timestamp};
use crate::ops::services::GossipItem;

/// Rate limit for the digests that an instance receives from all others together.
const DIGEST_BYTES_PER_S: f64 = 2000.0;

/// Burst size of the rate limit.
const MAX_BURST_BYTES: f64 = 2000.0;

/// Estimated size of a digest without its fingerprints, and of one fingerprint.
const DIGEST_HEADER_BYTES: f64 = 100.0;
const FINGERPRINT_BYTES: f64 = 8.0;

/// Limit on the changes buffered for the next digest of a target. Further changes are dropped,
/// which only makes the cache index of other instances less complete.
const MAX_PENDING_CHANGES: usize = 128;

#[derive(Debug, Default)]
struct TargetChanges {
    incarnation: Incarnation,
    /// Whether each prefix is now cached.
    stored: HashMap<Fingerprint, bool>,
}

/// Collects changes of hot prefixes and emits them within the rate limit. Every digest is sent to
/// all instances, so each instance may send at the receive limit divided by the number of
/// instances.
#[derive(Debug, Default)]
pub(super) struct DigestBuilder {
    changes: HashMap<TargetId, TargetChanges>,
    available_bytes: f64,
    updated: Timestamp,
}

impl DigestBuilder {
    pub(super) fn add(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        fingerprint: Fingerprint,
        is_stored: bool,
    ) {
        let changes = self.changes.entry(target.clone()).or_default();
        if changes.incarnation != incarnation {
            changes.incarnation = incarnation;
            changes.stored.clear();
        }
        if changes.stored.len() < MAX_PENDING_CHANGES || changes.stored.contains_key(&fingerprint) {
            changes.stored.insert(fingerprint, is_stored);
        }
    }

    /// Returns the digests that the rate limit currently allows.
    pub(super) fn take(&mut self, instances: usize, now: Timestamp) -> Vec<GossipItem> {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        let rate = DIGEST_BYTES_PER_S / instances.max(1) as f64;
        self.available_bytes = (self.available_bytes + elapsed_s * rate).min(MAX_BURST_BYTES);
        self.updated = now;
        let mut items = Vec::new();
        let mut available = self.available_bytes;
        self.changes.retain(|target, changes| {
            let bytes = DIGEST_HEADER_BYTES + changes.stored.len() as f64 * FINGERPRINT_BYTES;
            if bytes > available {
                return true;
            }
            available -= bytes;
            let fingerprints_with = |is_stored| {
                let entries = changes.stored.iter();
                let selected = entries.filter(|(_, stored)| **stored == is_stored);
                selected.map(|(fingerprint, _)| *fingerprint).collect()
            };
            items.push(GossipItem::Digest {
                target: target.clone(),
                incarnation: changes.incarnation,
                stored: fingerprints_with(true),
                evicted: fingerprints_with(false),
            });
            false
        });
        self.available_bytes = available;
        items
    }
}
