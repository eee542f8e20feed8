//! Follows the events of the KV cache stores.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::core::ids::{Timestamp, Tokens};
use crate::core::kvcache::{LinkBudget, StoreChanges, StoreContents, StoredPart, choose_store};
use crate::core::relay::PromptHead;
use crate::ops::fleet::Fleet;
use crate::ops::kernel::Context;
use crate::ops::services::ConfigService;
use crate::ops::share::Peers;
use crate::platform::{CacheEventsResponse, read_cache_events};
use crate::util::http::Client;

/// Time for which a store may hold a long poll open; the longest that stores allow.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Timeout of a poll: the maximum wait plus time for a store under load to respond.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Delay between polls. With it, the ten instances that poll a store directly stay below the 12
/// concurrent polls that a store accepts.
const POLL_DELAY: Duration = Duration::from_millis(500);

/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How a request uses a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Store from which the engine may fetch the missing KV cache.
    pub fetch_from: Option<SocketAddr>,
    /// Store to which the engine sends the KV cache that it has computed.
    pub save_to: Option<SocketAddr>,
}

/// The KV cache stores of the active configuration and their contents.
pub struct CacheStores {
    context: Context,
    fleet: Rc<Fleet>,
    client: Client,
    stores: RefCell<BTreeMap<SocketAddr, Store>>,
}

/// Local state of a store whose events are followed.
#[derive(Default)]
struct Store {
    contents: StoreContents,
    link: LinkBudget,
}

impl CacheStores {
    /// Creates an empty set of stores.
    pub(super) fn new(context: &Context, fleet: Rc<Fleet>) -> Self {
        Self {
            context: context.clone(),
            fleet,
            client: Client::new(),
            stores: RefCell::default(),
        }
    }

    /// Decides how a request with this prompt uses the stores, and records the usage as if the
    /// request were sent. `cached_tokens` is the estimated number of prompt tokens in the cache of
    /// its target.
    pub fn plan_usage(&self, prompt: &PromptHead, salt: &str, cached_tokens: Tokens) -> StoreUsage {
        let parts: Vec<(StoredPart, u64)> = prompt
            .shared_parts()
            .iter()
            .map(|part| {
                let stored = StoredPart::new(salt, &prompt.model, part.hash);
                (stored, part.tokens)
            })
            .collect();
        let mut stores = self.stores.borrow_mut();
        let available = stores
            .iter()
            .filter(|(_, store)| store.contents.is_available())
            .map(|(address, _)| *address);
        let chosen = choose_store(available, &parts)
            .and_then(|address| Some((address, stores.get_mut(&address)?)));
        let shared: Tokens = parts.iter().map(|(_, tokens)| tokens).sum();
        let missing = shared.saturating_sub(cached_tokens);
        let Some((address, store)) = chosen else {
            self.count_missing("no_store", missing);
            return StoreUsage::default();
        };
        let now = self.context.timers().boot_now();
        let should_save = store.contents.reserve_save(&parts, now);
        let should_fetch = self.has_link_capacity(address, &mut store.link, missing, now);
        let result = match should_fetch {
            true => "asked",
            false => "link_full",
        };
        self.count_missing(result, missing);
        StoreUsage {
            fetch_from: should_fetch.then_some(address),
            save_to: should_save.then_some(address),
        }
    }

    /// Counts the shared tokens that a target is estimated to lack, by whether a store is asked for them.
    fn count_missing(&self, result: &str, missing: Tokens) {
        if missing > 0 {
            let name = format!("kvcache.missing_tokens.{result}");
            self.context.metrics().count(&name, missing);
        }
    }

    /// Whether the store's network link has capacity to transfer the missing tokens to a target.
    fn has_link_capacity(
        &self,
        address: SocketAddr,
        link: &mut LinkBudget,
        missing: Tokens,
        now: Timestamp,
    ) -> bool {
        let Some(policy) = self.fleet.policy() else {
            return false;
        };
        let mut services = policy.services.values();
        let store = services.find(|service| service.kv_store == Some(address));
        let link_bytes_per_s = store.map_or(f64::INFINITY, |store| store.kv_link_bytes_per_s);
        if !link_bytes_per_s.is_finite() {
            return true;
        }
        let engines = policy.services.values();
        let token_bytes = engines
            .filter_map(|service| service.engine.as_ref())
            .map(|engine| engine.kv_bytes_per_token)
            .fold(0.0, f64::max);
        let instances = self.context.service::<Peers>().fleet_size();
        let bytes = missing as f64 * token_bytes;
        link.try_acquire(bytes, link_bytes_per_s, instances, now)
    }

    /// Returns the updates of a store after `position`, for another instance that follows the store
    /// through this one.
    pub fn updates_after(&self, address: SocketAddr, position: u64) -> Option<StoreChanges> {
        self.stores
            .borrow()
            .get(&address)?
            .contents
            .changes_after(position)
    }

    /// Follows all stores of the active configuration.
    pub(super) async fn follow_stores(self: Rc<Self>) {
        let config = self.context.service::<dyn ConfigService>();
        loop {
            let changed = config.changed();
            self.sync_followed_stores(&self.configured_stores());
            changed.await;
        }
    }

    /// Starts to follow newly configured stores, and drops those that are no longer configured.
    fn sync_followed_stores(self: &Rc<Self>, configured_stores: &BTreeSet<SocketAddr>) {
        let mut stores = self.stores.borrow_mut();
        stores.retain(|address, _| configured_stores.contains(address));
        for address in configured_stores {
            stores.entry(*address).or_insert_with(|| {
                compio::runtime::spawn(Rc::clone(self).follow_store(*address)).detach();
                Store::default()
            });
        }
    }

    /// Returns the addresses of the stores of the active configuration.
    fn configured_stores(&self) -> BTreeSet<SocketAddr> {
        let policy = self.fleet.policy();
        let services = policy.iter().flat_map(|policy| policy.services.values());
        services.filter_map(|service| service.kv_store).collect()
    }

    /// Polls a store until it is removed from the configuration.
    async fn follow_store(self: Rc<Self>, address: SocketAddr) {
        while let Some(next) = self.position(address) {
            let peers = self.context.service::<Peers>();
            let response = match peers.update_source() {
                Some(source) => peers.fetch_cache_updates(&source, address, next).await,
                None => {
                    read_cache_events(&self.client, address, next, MAX_POLL_WAIT, POLL_TIMEOUT)
                        .await
                }
            };
            let delay = self.apply_response(address, response);
            self.context.timers().sleep(delay).await;
        }
    }

    /// Returns the position for the next poll of a store; `None` if it is no longer followed.
    fn position(&self, address: SocketAddr) -> Option<u64> {
        let stores = self.stores.borrow();
        stores.get(&address).map(|store| store.contents.position())
    }

    /// Applies the response of a store. Returns the delay until the next poll.
    fn apply_response(&self, address: SocketAddr, response: CacheEventsResponse) -> Duration {
        let mut stores = self.stores.borrow_mut();
        let Some(Store { contents, .. }) = stores.get_mut(&address) else {
            return Duration::ZERO;
        };
        match response {
            CacheEventsResponse::Changes(changes) => {
                let now = self.context.timers().boot_now();
                if contents.on_changes(changes, now) {
                    slog::info!(self.context.log(), "cache store regained";
                        "address" => address.to_string());
                }
                POLL_DELAY
            }
            CacheEventsResponse::Busy => POLL_DELAY,
            CacheEventsResponse::Failed => {
                if contents.on_failure() {
                    slog::warn!(self.context.log(), "cache store lost";
                        "address" => address.to_string());
                }
                self.client.close_address(address);
                RETRY_DELAY
            }
        }
    }
}
