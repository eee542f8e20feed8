//! Configuration and revocations of this instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::core::config::ConfigSnapshot;
use crate::core::ids::{ConfigVersion, KeyHash};
use crate::core::membership::ConfigSummary;
use crate::core::spread::{ConfigDelta, DeltaHistory, RevocationSet};
use crate::ops::kernel::{Context, Notifier};
use crate::ops::services::ConfigService;

/// Key of the platform object that stores the configuration.
pub const CONFIG_OBJECT: &str = "config/current";

/// Changes at this instance that have not been pushed to other members yet.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    /// Whether the active configuration was replaced.
    pub(super) has_config: bool,
    /// Revocations that are new at this instance.
    pub(super) revocations: Vec<KeyHash>,
}

/// Active configuration, recent deltas and revocations. Clones share the same state.
#[derive(Clone)]
pub struct ConfigState {
    shared: Rc<Shared>,
}

struct Shared {
    context: Context,
    current: RefCell<Option<Rc<ConfigSnapshot>>>,
    history: RefCell<DeltaHistory>,
    revocations: RefCell<RevocationSet>,
    revocations_hash: Cell<u64>,
    changed: Notifier,
    updates: RefCell<PendingUpdates>,
    updates_pending: Notifier,
}

impl ConfigState {
    /// Creates a state without a configuration.
    pub fn new(context: &Context) -> Self {
        Self {
            shared: Rc::new(Shared {
                context: context.clone(),
                current: RefCell::default(),
                history: RefCell::default(),
                revocations: RefCell::default(),
                revocations_hash: Cell::new(0),
                changed: Notifier::new(),
                updates: RefCell::default(),
                updates_pending: Notifier::new(),
            }),
        }
    }

    /// Version of the active configuration; 0 without one.
    pub fn version(&self) -> ConfigVersion {
        let current = self.shared.current.borrow();
        current.as_ref().map_or(0, |config| config.version)
    }

    /// Summary of the configuration and revocations that is sent in datagrams.
    pub fn summary(&self) -> ConfigSummary {
        ConfigSummary {
            config_version: self.version(),
            revocations_hash: self.shared.revocations_hash.get(),
        }
    }

    /// Activates a snapshot if it is newer than the active one. Returns whether it was.
    pub fn adopt(&self, snapshot: ConfigSnapshot) -> bool {
        self.adopt_inner(snapshot, None)
    }

    /// Activates a snapshot that was created by applying `delta` to the active one. The delta is
    /// kept for forwarding because computing it again from two configurations of 1 MB would block
    /// the event loop.
    pub(super) fn adopt_delta(&self, snapshot: ConfigSnapshot, delta: &ConfigDelta) -> bool {
        self.adopt_inner(snapshot, Some(delta))
    }

    fn adopt_inner(&self, snapshot: ConfigSnapshot, delta: Option<&ConfigDelta>) -> bool {
        let previous = self.shared.current.borrow().clone();
        if previous
            .as_ref()
            .is_some_and(|current| current.version >= snapshot.version)
        {
            return false;
        }
        let mut history = self.shared.history.borrow_mut();
        match (&previous, delta) {
            (Some(_), Some(delta)) => history.push(delta),
            (Some(previous), None) => history.push(&ConfigDelta::new(previous, &snapshot)),
            (None, _) => history.clear(),
        }
        drop(history);
        self.shared.revocations.borrow_mut().on_config(&snapshot);
        let version = snapshot.version;
        self.shared.current.replace(Some(Rc::new(snapshot)));
        slog::info!(self.shared.context.log(), "configuration in force"; "version" => version);
        let metrics = self.shared.context.metrics();
        metrics.gauge("config.version", version);
        self.shared.updates.borrow_mut().has_config = true;
        self.notify();
        true
    }

    /// Adds revocations; those that are already present are ignored.
    pub fn add_revocations<'a>(&self, key_hashes: impl IntoIterator<Item = &'a str>) {
        let current = self.shared.current.borrow().clone();
        let added = self
            .shared
            .revocations
            .borrow_mut()
            .merge(key_hashes, current.as_deref());
        if added.is_empty() {
            return;
        }
        slog::info!(self.shared.context.log(), "keys revoked"; "count" => added.len());
        self.shared.updates.borrow_mut().revocations.extend(added);
        self.notify();
    }

    fn notify(&self) {
        let hash = self.shared.revocations.borrow().hash();
        self.shared.revocations_hash.set(hash);
        self.shared.changed.notify();
        self.shared.updates_pending.notify();
    }

    /// Revocations that are not yet part of the configuration.
    pub fn revocations(&self) -> Vec<KeyHash> {
        self.shared.revocations.borrow().iter().cloned().collect()
    }

    /// Returns the deltas from `version` to the active version as a JSON array, if they are still
    /// available.
    pub(super) fn deltas_since(&self, version: ConfigVersion) -> Option<Vec<u8>> {
        self.shared.history.borrow().since(version)
    }

    /// Returns the delta that led to the active version as JSON, with the version that it applies
    /// to.
    pub(super) fn last_delta(&self) -> Option<(ConfigVersion, Rc<[u8]>)> {
        self.shared.history.borrow().last()
    }

    /// Waits until there are pending updates and takes them.
    pub(super) async fn take_updates(&self) -> PendingUpdates {
        loop {
            let changed = self.shared.updates_pending.changed();
            let updates = self.shared.updates.take();
            if updates.has_config || !updates.revocations.is_empty() {
                return updates;
            }
            changed.await;
        }
    }
}

impl ConfigService for ConfigState {
    fn current(&self) -> Option<Rc<ConfigSnapshot>> {
        self.shared.current.borrow().clone()
    }

    fn is_revoked(&self, key_hash: &str) -> bool {
        if self.shared.revocations.borrow().contains(key_hash) {
            return true;
        }
        let current = self.shared.current.borrow();
        let current = current.as_ref();
        current.is_some_and(|config| config.fleet.withdrawn_keys.contains(key_hash))
    }

    fn changed(&self) -> LocalBoxFuture<'static, ()> {
        self.shared.changed.changed().boxed_local()
    }

    fn apply_snapshot(&self, snapshot: ConfigSnapshot) -> bool {
        self.adopt(snapshot)
    }

    fn revoke(&self, key_hash: &str) {
        self.add_revocations([key_hash]);
        if !self.is_revoked(key_hash) {
            slog::error!(self.shared.context.log(), "cannot add a revocation";
                "reason" => "not a key hash, or too many revocations wait for the platform");
        }
    }

    fn unwritten_revocations(&self) -> usize {
        self.shared.revocations.borrow().len()
    }
}
