//! Revoked keys that the configuration does not contain yet.

use std::collections::BTreeSet;

use crate::core::config::ConfigSnapshot;
use crate::core::ids::KeyHash;
use crate::util::hash::stable_hash;

/// Largest number of revocations. At the bound, further ones are refused and logged, because
/// dropping an earlier one would make a revoked key valid again.
pub const MAX_REVOCATIONS: usize = 4_096;

/// Length of a key hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;

/// Seed of the hash of the set.
const SET_SEED: u64 = 0x7265_766f;

/// Set of revocations. An entry is removed only when the active configuration contains it.
#[derive(Debug, Default)]
pub struct RevocationSet {
    hashes: BTreeSet<KeyHash>,
}

impl RevocationSet {
    /// Whether the set contains a key.
    pub fn contains(&self, key_hash: &str) -> bool {
        self.hashes.contains(key_hash)
    }

    /// Returns the number of revocations.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Returns the revocations in order of their hash.
    pub fn iter(&self) -> impl Iterator<Item = &KeyHash> {
        self.hashes.iter()
    }

    /// Returns the hash of the set, independent of insertion order; 0 if it is empty.
    pub fn hash(&self) -> u64 {
        let hashes = self.hashes.iter();
        hashes.fold(0, |sum, key| sum ^ stable_hash(SET_SEED, key.as_bytes()))
    }

    /// Adds the revocations that `config` does not contain. Returns the ones that were added.
    pub fn merge<'a>(
        &mut self,
        key_hashes: impl IntoIterator<Item = &'a str>,
        config: Option<&ConfigSnapshot>,
    ) -> Vec<KeyHash> {
        let mut added = Vec::new();
        for hash in key_hashes {
            let is_listed = config.is_some_and(|config| config.fleet.withdrawn_keys.contains(hash));
            let is_hash = hash.len() == KEY_HASH_DIGITS;
            if is_listed || !is_hash || self.hashes.len() >= MAX_REVOCATIONS {
                continue;
            }
            let hash = KeyHash::from(hash);
            if self.hashes.insert(hash.clone()) {
                added.push(hash);
            }
        }
        added
    }

    /// Removes the revocations that the active configuration contains.
    pub fn on_config(&mut self, config: &ConfigSnapshot) {
        let listed = &config.fleet.withdrawn_keys;
        self.hashes.retain(|hash| !listed.contains(hash));
    }
}
