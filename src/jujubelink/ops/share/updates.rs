//! Relays updates of the store from instance to instance.
//!
//! In a large fleet only the first [`MAX_WATCHERS`] instances, in the order of [`Peers::rank`],
//! watch the store. The others send a long-poll request to one of them, which answers as soon as
//! something changes or the store confirms its state. The number of calls to the store therefore does
//! not grow with the fleet. An instance whose target list gets too old reads the store itself, so that
//! news of leaving targets does not depend on its source.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::select;
use serde::{Deserialize, Serialize};

use super::Peers;
use super::cache_update::{decode_store_changes, encode_store_changes};
use super::peers::Peer;
use crate::core::fleet::{Announcement, FreshnessProof, MAX_RELAYED_AGE};
use crate::core::ids::{ConfigVersion, InstanceId, ModelId, Timestamp};
use crate::ops::fleet::TargetListUpdate;
use crate::ops::kvcache::CacheStores;
use crate::ops::services::ConfigService;
use crate::platform::CacheEventsResponse;
use crate::util::duration::ms;
use crate::util::hash::stable_hash;

/// HTTP path at which a peer serves updates of the store.
pub(super) const UPDATES_PATH: &str = "/news";

/// HTTP path at which a peer serves the content of a KV cache store.
pub(super) const CACHE_UPDATES_PATH: &str = "/cache-changes";

/// Number of instances that watch the store themselves. When one of them fails, each instance that
/// used it makes one call to the store.
const MAX_WATCHERS: usize = 10;

/// Time allowed for a response to arrive after its source had to send it. Together with
/// [`MAX_RELAYED_AGE`] it bounds the age of the target list of an instance that waits for a source.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Time by which the source's target list is more recent than that of the requester for a response without
/// changes to be sent immediately.
const CONFIRMATION_GAIN: Duration = Duration::from_millis(500);

/// Timeout of a request for the content of a KV cache store.
const CACHE_UPDATES_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a peer that did not answer is not used as a source.
const SOURCE_BACKOFF: Duration = Duration::from_secs(10);

/// Why a peer provided no updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateError {
    /// The peer did not answer.
    NoAnswer,
    /// The peer has no recent state.
    Outdated,
}

/// Response to a long-poll request. The field names are part of the peer protocol.
#[derive(Debug, Serialize, Deserialize)]
struct StoreUpdate {
    /// Time for which the request was held open.
    held_ms: u64,
    /// Time since the store last confirmed the target list.
    targets_age_ms: u64,
    /// Time since the store last answered any instance. Earlier versions do not send it.
    #[serde(default)]
    store_unanswered_ms: Option<u64>,
    targets: TargetListUpdate,
    config_version: ConfigVersion,
    /// Age of the freshness proof of this version.
    config_age_ms: Option<u64>,
    /// Digest of its contents; `None` if the store states no era.
    #[serde(default)]
    config_digest: Option<u64>,
    /// Announced weights as model, version and time since the announcement, if known.
    weights: Vec<(String, u64, Option<u64>)>,
    weights_age_ms: Option<u64>,
}

impl Peers {
    /// Returns the peer from which this instance gets updates instead of calling the store. Returns
    /// `None` if it watches the store itself or if no such peer is available.
    pub fn update_source(&self) -> Option<InstanceId> {
        if (self.rank() as usize) < MAX_WATCHERS {
            return None;
        }
        let now = self.now();
        let table = self.table.borrow();
        let watchers = self.watchers(&table, now).into_iter();
        let local_hash = stable_hash(0, self.name().as_bytes());
        let chosen = watchers
            .filter(|(_, peer)| peer.backoff_until <= now)
            .max_by_key(|(name, _)| stable_hash(local_hash, name.as_bytes()))?;
        Some(chosen.0.clone())
    }

    /// Returns the reachable peers that come first in the order of [`Self::rank`].
    fn watchers<'a>(
        &self,
        table: &'a BTreeMap<InstanceId, Peer>,
        now: Timestamp,
    ) -> Vec<(&'a InstanceId, &'a Peer)> {
        let mut reachable: Vec<_> = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now))
            .collect();
        reachable.sort_by_key(|(name, peer)| peer.position(name));
        reachable.truncate(MAX_WATCHERS);
        reachable
    }

    /// Returns the addresses of the other watchers if this instance is a watcher. Watchers exchange
    /// the freshness of their reads more often than other instances.
    pub(super) fn watcher_addresses(&self) -> Vec<SocketAddr> {
        if (self.rank() as usize) >= MAX_WATCHERS {
            return Vec::new();
        }
        let table = self.table.borrow();
        let watchers = self.watchers(&table, self.now()).into_iter();
        watchers.map(|(_, peer)| peer.address).collect()
    }

    /// Whether other instances may use this one as a source of updates, because the fleet has more
    /// instances than watchers.
    pub fn has_followers(&self) -> bool {
        self.fleet_size() > MAX_WATCHERS
    }

    /// Answers the long-poll request of a peer that has the targets up to a revision, confirmed some
    /// time ago, and a version of the configuration. Responds immediately if there is something newer,
    /// otherwise as soon as something changes, the store confirms the targets again, or they are too old
    /// to be relayed.
    pub(super) async fn wait_for_update(self: Rc<Self>, query: &str) -> Option<Bytes> {
        let mut fields = query.split(',').map(|field| field.parse::<u64>().ok());
        let (after_revision, after_version) = (fields.next()??, fields.next()??);
        // Earlier versions do not send the age.
        let requester_age = fields.next().flatten().map(Duration::from_millis);
        // Earlier versions do not send the era, and it is absent if the store states none.
        let after_era = fields.next().flatten();
        let received_at = self.now();
        let list_age = self.fleet.targets_age();
        let revision = self.fleet.target_revision();
        let is_same_era = after_era.is_none() || after_era == self.fleet.target_era();
        let is_newer_era = after_era.is_some() && after_era < self.fleet.target_era();
        // An older list, however recent, does not confirm that of the requester.
        let is_more_recent = is_same_era
            && revision >= after_revision
            && requester_age.is_some_and(|age| age > list_age + CONFIRMATION_GAIN);
        let has_update = is_newer_era
            || is_same_era && revision > after_revision
            || self.fleet.state().config_version() > after_version
            || is_more_recent;
        if !has_update {
            let config = self.context.service::<dyn ConfigService>();
            let expiry = self
                .context
                .timers()
                .sleep(MAX_RELAYED_AGE.saturating_sub(list_age));
            let changed = select(config.changed(), Box::pin(self.fleet.targets_confirmed()));
            select(changed, Box::pin(expiry)).await;
        }
        let now = self.now();
        let age = |at: Timestamp| ms(now.saturating_sub(at));
        let state = self.fleet.state();
        let raw = self.encode(&StoreUpdate {
            held_ms: age(received_at),
            targets_age_ms: ms(self.fleet.targets_age()),
            store_unanswered_ms: Some(ms(self.fleet.store_unanswered())),
            targets: self.fleet.target_update_since(after_revision, after_era),
            config_version: state.config_version(),
            config_age_ms: state.proof().map(|proof| age(proof.requested_at)),
            config_digest: self.fleet.config_digest(),
            weights: state
                .announcements()
                .map(|(model, version, at)| (model.to_string(), version, at.map(age)))
                .collect(),
            weights_age_ms: self.weights_confirmed_at().map(age),
        })?;
        let metrics = self.context.metrics();
        metrics.count("relayed.update_bytes", raw.len() as u64);
        Some(raw)
    }

    /// Requests updates from a peer and applies them. Returns whether the targets changed. Waits only
    /// until the local target list is too old, whatever the age of the peer's list.
    pub async fn fetch_updates(&self, source: &InstanceId) -> Result<bool, UpdateError> {
        let Some(address) = self.address_of(source) else {
            return Err(UpdateError::Outdated);
        };
        let requested_at = self.now();
        let list_age = self.fleet.targets_age();
        let era = self.fleet.target_era();
        let era = era.map_or_else(String::new, |era| format!(",{era}"));
        let path = format!(
            "{UPDATES_PATH}?{},{},{}{era}",
            self.fleet.target_revision(),
            self.fleet.state().config_version(),
            ms(list_age)
        );
        let timeout = (MAX_RELAYED_AGE + RESPONSE_MARGIN).saturating_sub(list_age);
        let raw = self.fetch_from(address, &path, timeout).await;
        let waited = self.now().saturating_sub(requested_at);
        let applied = match raw {
            Some(raw) => self
                .apply_update(&raw, source, requested_at)
                .ok_or(UpdateError::Outdated),
            None => Err(UpdateError::NoAnswer),
        };
        if let Err(error) = applied {
            self.context.metrics().count("relayed.failures", 1);
            slog::warn!(self.context.log(), "no recent news of a peer"; "peer" => &**source,
                "waited_ms" => ms(waited), "error" => format!("{error:?}"),
                "targets_age_ms" => ms(self.fleet.targets_age()));
            let until = self.now() + SOURCE_BACKOFF;
            if let Some(peer) = self.table.borrow_mut().get_mut(source) {
                peer.backoff_until = until;
            }
        }
        applied
    }

    /// Returns the content changes of a KV cache store after a position in its history.
    pub(super) fn cache_updates(&self, query: &str) -> Option<Bytes> {
        let (address, position) = query.split_once(',')?;
        let stores = self.context.service::<CacheStores>();
        let changes = stores.updates_after(address.parse().ok()?, position.parse().ok()?)?;
        let raw = encode_store_changes(&changes);
        let metrics = self.context.metrics();
        metrics.count("relayed.cache_bytes", raw.len() as u64);
        Some(raw.into())
    }

    /// Requests the content changes of a KV cache store from a peer. A peer that lost contact with
    /// the store does not answer; this instance then treats the store as unavailable too.
    pub async fn fetch_cache_updates(
        &self,
        source: &InstanceId,
        store: SocketAddr,
        position: u64,
    ) -> CacheEventsResponse {
        let Some(address) = self.address_of(source) else {
            return CacheEventsResponse::Busy;
        };
        let path = format!("{CACHE_UPDATES_PATH}?{store},{position}");
        let raw = self.fetch_from(address, &path, CACHE_UPDATES_TIMEOUT).await;
        let changes = raw.and_then(|raw| decode_store_changes(&raw));
        changes.map_or(CacheEventsResponse::Failed, CacheEventsResponse::Changes)
    }

    pub(crate) fn address_of(&self, name: &InstanceId) -> Option<SocketAddr> {
        Some(self.table.borrow().get(name)?.address)
    }

    fn apply_update(&self, raw: &[u8], source: &str, requested_at: Timestamp) -> Option<bool> {
        let update: StoreUpdate = serde_json::from_slice(raw).ok()?;
        // The peer measured all ages when it created the response, which was `held_ms` or more
        // after the request was sent. Computing from that point never makes the state look fresher
        // than it is, however long the response was in transit.
        let measured_at = requested_at + Duration::from_millis(update.held_ms);
        let time_of = |age_ms: u64| measured_at.saturating_sub(Duration::from_millis(age_ms));
        if let Some(unanswered_ms) = update.store_unanswered_ms {
            self.fleet
                .on_peer_store_answer(time_of(unanswered_ms), source);
        }
        let confirmed_at = time_of(update.targets_age_ms);
        let now = self.now();
        if now.saturating_sub(confirmed_at) > MAX_RELAYED_AGE {
            return None;
        }
        self.fleet.on_peer_config(update.config_version, None);
        if let Some(age_ms) = update.config_age_ms {
            self.fleet.on_proof(FreshnessProof {
                version: update.config_version,
                digest: update.config_digest,
                requested_at: time_of(age_ms),
            });
        }
        if let Some(peer) = self.table.borrow_mut().get_mut(source) {
            peer.config_version = peer.config_version.max(update.config_version);
        }
        let (previously_confirmed_at, assumed_at) = (
            self.weights_confirmed_at(),
            self.fleet.assumed_announced_at(),
        );
        let announced: Vec<(ModelId, u64, Announcement)> = update
            .weights
            .iter()
            .map(|(model, version, ago_ms)| {
                let announcement = Announcement::received(
                    ago_ms.map(Duration::from_millis),
                    now,
                    previously_confirmed_at,
                    assumed_at,
                );
                (model.as_str().into(), *version, announcement)
            })
            .collect();
        self.fleet.on_weights_announced(&announced, source);
        if let Some(age_ms) = update.weights_age_ms {
            self.record_weights_confirmed(time_of(age_ms));
        }
        self.fleet
            .apply_target_update(update.targets, confirmed_at, source)
    }
}
