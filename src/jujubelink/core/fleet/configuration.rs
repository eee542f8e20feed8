//! The active configuration, and which other ones may replace it.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use super::{FleetPolicy, Freshness, FreshnessProof};
use crate::core::ids::{ConfigDigest, ConfigVersion, KeyHash, ObjectVersion, Timestamp};

/// Maximum number of former configurations that are remembered; the oldest is forgotten first. A forgotten one
/// could become active again only if the store was restored and the operator wrote it once more; the keys that
/// were revoked since would stay withheld.
const MAX_FORMER_CONFIGS: usize = 256;

/// Maximum number of revoked keys that are remembered; the oldest is forgotten first. One that is forgotten could be
/// granted again only by a copy whose version is above all that were active here.
const MAX_REVOKED_KEYS: usize = 4_096;

/// What a restore of the store from an older copy changes.
#[derive(Debug)]
struct Restored {
    /// Highest version that was active, before or after the restore.
    former_version: ConfigVersion,
    /// Digest of the last configuration before the restore, or of a later one of a newer version.
    former_digest: ConfigDigest,
    /// Keys that it granted.
    former_keys: HashSet<KeyHash>,
    /// A revision of the store in the present era. Objects above it were written after the restore.
    known_revision: Option<ObjectVersion>,
    /// Revision and digest of the last configuration that became active and was written after the restore.
    adopted: Option<(ObjectVersion, ConfigDigest)>,
}

/// The active configuration and its latest confirmation.
///
/// Versions only increase, until a restore of the store is known: then the operator may use versions again that the
/// copy does not contain. Contents that were written after the restore replace the active ones even if their version
/// is not newer, unless that would be a step back to contents that were active before. They grant no keys that the
/// last configuration before the restore did not grant, because the operator may be repeating former changes, in
/// which a key that was revoked later is still granted. Keys that are known to be revoked stay so in what may be the
/// copy.
#[derive(Debug, Default)]
pub(super) struct ActiveConfiguration {
    policy: Option<Rc<FleetPolicy>>,
    digest: ConfigDigest,
    freshness: Freshness,
    /// Versions and digests of configurations that were active, oldest first; including the active one.
    former: VecDeque<(ConfigVersion, ConfigDigest)>,
    restored: Option<Restored>,
    /// Whether any restore is known.
    has_restored: bool,
    /// Highest version that a peer stated.
    peer_version: ConfigVersion,
    /// Keys that were granted and are not any more, oldest first.
    revoked: VecDeque<KeyHash>,
}

/// A configuration, and what is known about it.
#[derive(Debug)]
pub struct ConfigCandidate {
    /// Contents.
    pub policy: FleetPolicy,
    /// Digest of the contents.
    pub digest: ConfigDigest,
    /// Revision of the object in the present era; `None` if it does not come from the store itself.
    pub revision: Option<ObjectVersion>,
}

/// What became of a [`ConfigCandidate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// It is active.
    Active {
        /// Number of its keys that are refused, because they may have been revoked before the restore.
        withheld_keys: usize,
    },
    /// It is not newer than the active one.
    Ignored,
}

impl ActiveConfiguration {
    pub(super) fn policy(&self) -> Option<&Rc<FleetPolicy>> {
        self.policy.as_ref()
    }

    /// Version of the active configuration; 0 if there is none.
    pub(super) fn version(&self) -> ConfigVersion {
        self.policy.as_ref().map_or(0, |policy| policy.version)
    }

    /// Highest version that was ever active.
    pub(super) fn highest_version(&self) -> ConfigVersion {
        let former = self
            .restored
            .as_ref()
            .map(|restored| restored.former_version);
        self.version().max(former.unwrap_or(0))
    }

    /// Digest of the active configuration; 0 if there is none.
    pub(super) fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// Whether a restore of the store is known.
    pub(super) fn has_restored(&self) -> bool {
        self.has_restored
    }

    /// Records that the store was restored.
    pub(super) fn on_restored(&mut self) {
        let keys = self.policy.iter().flat_map(|policy| policy.keys.keys());
        self.has_restored = true;
        self.restored = Some(Restored {
            former_version: self.highest_version(),
            former_digest: self.digest,
            former_keys: keys.cloned().collect(),
            known_revision: None,
            adopted: None,
        });
    }

    /// Records a revision that the store stated in the present era.
    pub(super) fn on_revision(&mut self, revision: ObjectVersion) {
        if let Some(restored) = &mut self.restored {
            restored.known_revision.get_or_insert(revision);
        }
    }

    /// Records a version that a peer stated.
    pub(super) fn on_peer_version(&mut self, version: ConfigVersion) {
        // A peer that has not adopted the change yet still states the former version.
        let has_adopted = self
            .restored
            .as_ref()
            .is_some_and(|restored| restored.adopted.is_some());
        if !has_adopted {
            self.peer_version = self.peer_version.max(version);
        }
    }

    /// Applies a configuration.
    pub(super) fn apply(&mut self, candidate: ConfigCandidate) -> ConfigOutcome {
        let ConfigCandidate {
            mut policy,
            digest,
            revision,
        } = candidate;
        let is_newer = policy.version > self.highest_version();
        let is_written_anew = self.is_written_anew(policy.version, digest, revision);
        // What the first read of an era shows may be the copy. What replaces it later is not.
        if let Some(revision) = revision {
            self.on_revision(revision);
        }
        if !is_newer && !is_written_anew {
            return ConfigOutcome::Ignored;
        }
        let keys = policy.keys.len();
        self.record_revoked(&policy);
        let revoked = &self.revoked;
        if let Some(restored) = &mut self.restored {
            if is_newer {
                // Also this one may be of the former era: from the copy, or from a peer that read it before.
                restored.former_version = policy.version;
                restored.former_digest = digest;
                if !is_written_anew {
                    policy.keys.retain(|key, _| !revoked.contains(key));
                }
                restored.former_keys = policy.keys.keys().cloned().collect();
            } else {
                let former_keys = &restored.former_keys;
                policy.keys.retain(|key, _| former_keys.contains(key));
            }
            if is_written_anew {
                restored.adopted = revision.map(|revision| (revision, digest));
                // What peers stated was written before.
                self.peer_version = 0;
            }
        }
        let withheld_keys = keys - policy.keys.len();
        let version = policy.version;
        self.policy = Some(Rc::new(policy));
        self.digest = digest;
        // A proof of other contents under the same version does not count.
        self.freshness = Freshness::default();
        if self.former.len() >= MAX_FORMER_CONFIGS {
            self.former.pop_front();
        }
        self.former.push_back((version, digest));
        ConfigOutcome::Active { withheld_keys }
    }

    /// Records the keys that are granted now but not by the next configuration.
    fn record_revoked(&mut self, next: &FleetPolicy) {
        let Some(active) = &self.policy else {
            return;
        };
        for key in active.keys.keys() {
            if next.keys.contains_key(key) || self.revoked.contains(key) {
                continue;
            }
            if self.revoked.len() >= MAX_REVOKED_KEYS {
                self.revoked.pop_front();
            }
            self.revoked.push_back(key.clone());
        }
    }

    /// Whether contents were written after the restore, and later than those adopted before.
    fn is_written_anew(
        &self,
        version: ConfigVersion,
        digest: ConfigDigest,
        revision: Option<ObjectVersion>,
    ) -> bool {
        let (Some(restored), Some(revision)) = (&self.restored, revision) else {
            return false;
        };
        if digest == self.digest {
            return false;
        }
        if let Some(adopted) = restored.adopted
            && revision <= adopted.0
        {
            // They may have been replaced by those of a peer that had not noticed the restore.
            return (revision, digest) == adopted;
        }
        let is_former = self.former.iter().any(|(_, former)| *former == digest);
        // The copy has the former contents of a version that was active before.
        let has_changed = !is_former && self.former.iter().any(|(former, _)| *former == version);
        let is_after_restore = restored
            .known_revision
            .is_some_and(|known| revision > known);
        // The last contents before the restore, and former ones under a higher version, are no step back: the
        // operator repeats its changes.
        let is_repeated = digest == restored.former_digest || version > self.version();
        let is_allowed = !is_former || is_repeated;
        has_changed || (is_after_restore && is_allowed)
    }

    /// Revision of the last contents that are active and were written after the last restore; 0 if there are none.
    pub(super) fn adopted_revision(&self) -> ObjectVersion {
        let restored = self.restored.as_ref();
        let adopted = restored.and_then(|restored| restored.adopted);
        adopted.map_or(0, |(revision, _)| revision)
    }

    /// Records that a peer has adopted contents of this revision in the present era.
    pub(super) fn on_peer_adoption(&mut self, revision: ObjectVersion) {
        if let Some(restored) = &mut self.restored {
            let written_after = revision.saturating_sub(1);
            let known = restored
                .known_revision
                .map(|known| known.min(written_after));
            restored.known_revision = Some(known.unwrap_or(written_after));
        }
    }

    /// Applies a confirmation. After a restore it has to name the active contents, and counts only if no peer
    /// stated a newer version: the store may show the copy.
    pub(super) fn on_proof(&mut self, proof: FreshnessProof) {
        let is_active = match proof.digest {
            Some(digest) => digest == self.digest,
            None => !self.has_restored,
        };
        let is_behind = self.has_restored && self.peer_version > self.highest_version();
        if is_active && !is_behind {
            self.freshness.on_proof(proof, self.version());
        }
    }

    pub(super) fn proof(&self) -> Option<FreshnessProof> {
        self.freshness.proof(self.version())
    }

    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(self.version(), now)
    }
}
