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

/// What a restore of the store from an older copy changes, until a version above all former ones is active.
#[derive(Debug)]
struct Restored {
    /// Highest version that was active before the restore.
    former_version: ConfigVersion,
    /// Digest of the last configuration before the restore.
    former_digest: ConfigDigest,
    /// Keys that the last configuration before the restore granted.
    former_keys: HashSet<KeyHash>,
    /// A revision of the store in the present era. Objects above it were written after the restore.
    known_revision: Option<ObjectVersion>,
    /// Revision of the configuration that was adopted last in the present era; 0 if there is none.
    adopted_revision: ObjectVersion,
}

/// The active configuration and its latest confirmation.
///
/// Versions only increase, with one exception: after a restore of the store, the operator may use versions again
/// that the copy does not contain. Contents that were written after the restore replace the active ones even if
/// their version is not newer, unless they were active before and then replaced. They grant no keys that the last
/// configuration before the restore did not grant, because the operator may be repeating former changes, in
/// which a key that was revoked later is still granted.
#[derive(Debug, Default)]
pub(super) struct ActiveConfiguration {
    policy: Option<Rc<FleetPolicy>>,
    digest: ConfigDigest,
    freshness: Freshness,
    /// Digests of configurations that were active, oldest first; including the active one.
    former: VecDeque<ConfigDigest>,
    restored: Option<Restored>,
    /// Whether any restore is known.
    has_restored: bool,
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
            adopted_revision: 0,
        });
    }

    /// Records a revision that the store stated in the present era.
    pub(super) fn on_revision(&mut self, revision: ObjectVersion) {
        if let Some(restored) = &mut self.restored {
            restored.known_revision.get_or_insert(revision);
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
        let is_written_anew = self.is_written_anew(digest, revision);
        // What the first read of an era shows may be the copy. What replaces it later is not.
        if let Some(revision) = revision {
            self.on_revision(revision);
        }
        if !is_newer && !is_written_anew {
            return ConfigOutcome::Ignored;
        }
        let keys = policy.keys.len();
        if is_newer {
            self.restored = None;
        } else if let (Some(restored), Some(revision)) = (&mut self.restored, revision) {
            let former_keys = &restored.former_keys;
            policy.keys.retain(|key, _| former_keys.contains(key));
            restored.adopted_revision = revision;
        }
        let withheld_keys = keys - policy.keys.len();
        self.policy = Some(Rc::new(policy));
        self.digest = digest;
        // A proof of other contents under the same version does not count.
        self.freshness = Freshness::default();
        if self.former.len() >= MAX_FORMER_CONFIGS {
            self.former.pop_front();
        }
        self.former.push_back(digest);
        ConfigOutcome::Active { withheld_keys }
    }

    /// Whether contents were written after the restore, and later than those adopted before.
    fn is_written_anew(&self, digest: ConfigDigest, revision: Option<ObjectVersion>) -> bool {
        let (Some(restored), Some(revision)) = (&self.restored, revision) else {
            return false;
        };
        let is_after_restore = restored
            .known_revision
            .is_some_and(|known| revision > known.max(restored.adopted_revision));
        // The last contents before the restore are no step back, also if others were written in between.
        let is_allowed = digest == restored.former_digest || !self.former.contains(&digest);
        is_after_restore && digest != self.digest && is_allowed
    }

    /// Applies a confirmation. After a restore it has to name the active contents.
    pub(super) fn on_proof(&mut self, proof: FreshnessProof) {
        let is_active = match proof.digest {
            Some(digest) => digest == self.digest,
            None => !self.has_restored,
        };
        if is_active {
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
