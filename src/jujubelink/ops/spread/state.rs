//! The configuration and revocations of this instance.

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

/// Platform object that holds the configuration.
pub const CONFIG_OBJECT: &str = "config/current";

/// What is new at this instance and has to be passed on.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    /// Whether the configuration in force was replaced.
    pub(super) has_config: bool,
    /// Revocations that were not known here.
    pub(super) revocations: Vec<KeyHash>,
}

/// The configuration in force, recent changes and revocations. Clones share them.
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
    /// A state without a configuration.
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

    /// Version in force; 0 if none.
    pub fn version(&self) -> ConfigVersion {
        let current = self.shared.current.borrow();
        current.as_ref().map_or(0, |config| config.version)
    }

    /// What datagrams say about this instance.
    pub fn summary(&self) -> ConfigSummary {
        ConfigSummary {
            config_version: self.version(),
            revocations_hash: self.shared.revocations_hash.get(),
        }
    }

    /// Takes a snapshot if its version is larger. Returns whether it was.
    pub fn adopt(&self, snapshot: ConfigSnapshot) -> bool {
        self.adopt_inner(snapshot, None)
    }

    /// Takes a snapshot that `delta` made of the one in force. The delta is passed on as it is:
    /// comparing two configurations of 1 MB again would hold up the event loop.
    pub(super) fn adopt_delta(&self, snapshot: ConfigSnapshot, delta: &ConfigDelta) -> bool {
        self.adopt_inner(snapshot, Some(delta))
    }

    fn adopt_inner(&self, snapshot: ConfigSnapshot, delta: Option<&ConfigDelta>) -> bool {
        let before = self.shared.current.borrow().clone();
        if before
            .as_ref()
            .is_some_and(|current| current.version >= snapshot.version)
        {
            return false;
        }
        let mut history = self.shared.history.borrow_mut();
        match (&before, delta) {
            (Some(_), Some(delta)) => history.push(delta),
            (Some(before), None) => history.push(&ConfigDelta::new(before, &snapshot)),
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

    /// Adds revocations of which some may be new.
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

    /// Revocations that the configuration does not contain yet.
    pub fn revocations(&self) -> Vec<KeyHash> {
        self.shared.revocations.borrow().iter().cloned().collect()
    }

    /// JSON array of the deltas that lead on from `version`, if they are kept.
    pub(super) fn deltas_since(&self, version: ConfigVersion) -> Option<Vec<u8>> {
        self.shared.history.borrow().since(version)
    }

    /// JSON of the delta that led to the version in force, with the version that it starts at.
    pub(super) fn last_delta(&self) -> Option<(ConfigVersion, Rc<[u8]>)> {
        self.shared.history.borrow().last()
    }

    /// Waits for news and takes them.
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
            slog::error!(self.shared.context.log(), "a revocation was not taken";
                "reason" => "not a key hash, or too many revocations wait for the platform");
        }
    }

    fn unwritten_revocations(&self) -> usize {
        self.shared.revocations.borrow().len()
    }
}
