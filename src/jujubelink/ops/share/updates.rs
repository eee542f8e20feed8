//! News of the store that an instance passes on to others.
//!
//! In a large fleet only the first instances in order watch the store; the others ask one of them and
//! are answered as soon as something changes. So the calls to the store do not grow with the fleet.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::select;
use serde::{Deserialize, Serialize};

use super::Peers;
use super::peers::{Peer, START_TIME_TOLERANCE};
use crate::core::fleet::{Announcement, FreshnessProof};
use crate::core::ids::{ConfigVersion, InstanceId, ModelId, Timestamp};
use crate::ops::fleet::TargetListUpdate;
use crate::ops::kvcache::CacheStores;
use crate::ops::services::ConfigService;
use crate::platform::CacheAnswer;
use crate::util::duration::ms;
use crate::util::hash::stable_hash;

/// Path of the news at a peer.
pub(super) const UPDATES_PATH: &str = "/news";

/// Path of what a store of KV cache holds, as a peer knows it.
pub(super) const CACHE_UPDATES_PATH: &str = "/cache-news";

/// Instances that watch the store themselves. Their loss costs the others one call each.
const MAX_WATCHERS: usize = 10;

/// Longest time for which a question is held back.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for an answer beyond that.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Age of the targets up to which passed news are used. Watchers hear from the store every second; a
/// target that leaves must be known everywhere two seconds later.
const MAX_TARGETS_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a peer that did not answer is not asked.
const SOURCE_BACKOFF: Duration = Duration::from_secs(10);

/// What is passed on.
#[derive(Debug, Serialize, Deserialize)]
struct StoreUpdate {
    /// Time for which the question was held back.
    held_ms: u64,
    /// Time since the store said that the targets are these.
    targets_age_ms: u64,
    targets: TargetListUpdate,
    config_version: ConfigVersion,
    /// Age of the proof that this version is the newest.
    config_age_ms: Option<u64>,
    /// Named weights, with the time since they were named, if known.
    weights: Vec<(String, u64, Option<u64>)>,
    weights_age_ms: Option<u64>,
}

impl Peers {
    /// The instance whose news this one uses instead of its own calls to the store.
    pub fn update_source(&self) -> Option<InstanceId> {
        if (self.rank() as usize) < MAX_WATCHERS {
            return None;
        }
        let now = self.now();
        let table = self.table.borrow();
        let watchers = self.watchers(&table, now).into_iter();
        let own = stable_hash(0, self.name().as_bytes());
        let chosen = watchers
            .filter(|(_, peer)| peer.backoff_until <= now)
            .max_by_key(|(name, _)| stable_hash(own, name.as_bytes()))?;
        Some(chosen.0.clone())
    }

    /// The first instances in the order of [`Self::rank`], up to starts that are close together.
    fn watchers<'a>(
        &self,
        table: &'a BTreeMap<InstanceId, Peer>,
        now: Timestamp,
    ) -> Vec<(&'a InstanceId, &'a Peer)> {
        let mut heard: Vec<_> = table
            .iter()
            .filter(|(_, peer)| self.is_in_contact(peer, now))
            .collect();
        let step = START_TIME_TOLERANCE.as_millis();
        heard.sort_by_key(|(name, peer)| (Reverse(peer.started_at.as_millis() / step), *name));
        heard.truncate(MAX_WATCHERS);
        heard
    }

    /// Addresses of the instances that watch the store, if this one does: they tell each other how
    /// recent their readings are more often than the others.
    pub(super) fn watcher_addresses(&self) -> Vec<SocketAddr> {
        if (self.rank() as usize) >= MAX_WATCHERS {
            return Vec::new();
        }
        let table = self.table.borrow();
        let watchers = self.watchers(&table, self.now()).into_iter();
        watchers.map(|(_, peer)| peer.address).collect()
    }

    /// Whether other instances ask this one for news.
    pub fn has_followers(&self) -> bool {
        self.fleet_size() > MAX_WATCHERS
    }

    /// News for a peer that knows the targets up to a revision and a version of the configuration:
    /// at once if there are any, else at the next change or when the question was held long enough.
    pub(super) async fn wait_for_update(self: Rc<Self>, query: &str) -> Option<Bytes> {
        let (after, version) = query.split_once(',')?;
        let (after, version): (u64, u64) = (after.parse().ok()?, version.parse().ok()?);
        let asked_at = self.now();
        let config = self.context.service::<dyn ConfigService>();
        let has_news =
            self.fleet.target_revision() > after || self.fleet.state().config_version() > version;
        if !has_news {
            let wait = Box::pin(self.context.timers().sleep(LONG_POLL_TIMEOUT));
            select(config.changed(), wait).await;
        }
        let now = self.now();
        let age = |at: Timestamp| ms(now.saturating_sub(at));
        let state = self.fleet.state();
        self.encode(&StoreUpdate {
            held_ms: age(asked_at),
            targets_age_ms: age(self.fleet.targets_confirmed_at()),
            targets: self.fleet.target_update_since(after),
            config_version: state.config_version(),
            config_age_ms: state.proof().map(|proof| age(proof.requested_at)),
            weights: state
                .announcements()
                .map(|(model, version, at)| (model.to_string(), version, at.map(age)))
                .collect(),
            weights_age_ms: self.weights_confirmed_at().map(age),
        })
    }

    /// Asks a peer for news and takes them. Returns whether the targets changed; `None` if the peer
    /// has no recent ones.
    pub async fn fetch_updates(&self, source: &InstanceId) -> Option<bool> {
        let address = self.address_of(source)?;
        let known = self.fleet.target_revision();
        let path = format!(
            "{UPDATES_PATH}?{known},{}",
            self.fleet.state().config_version()
        );
        let asked_at = self.now();
        let raw = self
            .fetch_from(address, &path, LONG_POLL_TIMEOUT + RESPONSE_MARGIN)
            .await;
        let taken = raw.and_then(|raw| self.apply_update(&raw, source, asked_at));
        if taken.is_none() {
            slog::warn!(self.context.log(), "no recent news of a peer"; "peer" => &**source,
                "waited_ms" => ms(self.now().saturating_sub(asked_at)));
            let until = self.now() + SOURCE_BACKOFF;
            if let Some(peer) = self.table.borrow_mut().get_mut(source) {
                peer.backoff_until = until;
            }
        }
        taken
    }

    /// What a store of KV cache holds, for a peer that knows its history up to a position.
    pub(super) fn cache_updates(&self, query: &str) -> Option<Bytes> {
        let (address, position) = query.split_once(',')?;
        let stores = self.context.service::<CacheStores>();
        let news = stores.updates_after(address.parse().ok()?, position.parse().ok()?)?;
        self.encode(&news)
    }

    /// Asks a peer what a store of KV cache holds. A peer that has lost the store gives no answer, and
    /// this instance does without the store as well.
    pub async fn fetch_cache_updates(
        &self,
        source: &InstanceId,
        store: SocketAddr,
        position: u64,
    ) -> CacheAnswer {
        let Some(address) = self.address_of(source) else {
            return CacheAnswer::Busy;
        };
        let path = format!("{CACHE_UPDATES_PATH}?{store},{position}");
        let raw = self.fetch_from(address, &path, RESPONSE_MARGIN).await;
        let news = raw.and_then(|raw| serde_json::from_slice(&raw).ok());
        news.map_or(CacheAnswer::Failed, CacheAnswer::News)
    }

    fn address_of(&self, name: &InstanceId) -> Option<SocketAddr> {
        Some(self.table.borrow().get(name)?.address)
    }

    fn apply_update(&self, raw: &[u8], source: &str, asked_at: Timestamp) -> Option<bool> {
        let news: StoreUpdate = serde_json::from_slice(raw).ok()?;
        // The answer was made after it had been held, so that what it calls `age` old is no older
        // than this, however long the answer itself took.
        let made_at = asked_at + Duration::from_millis(news.held_ms);
        let time_of = |age_ms: u64| made_at.saturating_sub(Duration::from_millis(age_ms));
        let proved_at = time_of(news.targets_age_ms);
        if self.now().saturating_sub(proved_at) > MAX_TARGETS_AGE {
            return None;
        }
        if let Some(age_ms) = news.config_age_ms {
            self.fleet.on_proof(FreshnessProof {
                version: news.config_version,
                requested_at: time_of(age_ms),
            });
        }
        if let Some(peer) = self.table.borrow_mut().get_mut(source) {
            peer.config_version = peer.config_version.max(news.config_version);
        }
        let (known_until, assumed) = (
            self.weights_confirmed_at(),
            self.fleet.assumed_announced_at(),
        );
        let named: Vec<(ModelId, u64, Announcement)> = news
            .weights
            .iter()
            .map(|(model, version, ago_ms)| {
                let announcement =
                    Announcement::received(ago_ms.map(time_of), known_until, assumed);
                (model.as_str().into(), *version, announcement)
            })
            .collect();
        self.fleet.on_weights_announced(&named, source);
        if let Some(age_ms) = news.weights_age_ms {
            self.record_weights_confirmed(time_of(age_ms));
        }
        self.fleet
            .apply_target_update(news.targets, proved_at, source)
    }
}
