//! Withdrawal of keys while their requests run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::task::{Context as TaskContext, Waker};

use crate::core::ids::{KeyHash, WorkspaceId};
use crate::ops::kernel::Context;
use crate::ops::services::ConfigService;

type Flags = BTreeMap<(KeyHash, u64), Weak<RevocationFlag>>;

/// Running requests by key. Its size is bounded by that of the running requests.
#[derive(Default)]
pub(super) struct KeyRevocations {
    flags: Rc<RefCell<Flags>>,
    next_id: Cell<u64>,
}

/// Tells one request that its key was withdrawn.
pub(super) struct RevocationFlag {
    key: (KeyHash, u64),
    workspace: WorkspaceId,
    is_revoked: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    flags: Rc<RefCell<Flags>>,
}

impl KeyRevocations {
    /// Registers a request under its key.
    pub(super) fn register(&self, hash: KeyHash, workspace: WorkspaceId) -> Rc<RevocationFlag> {
        self.next_id.set(self.next_id.get() + 1);
        let key = (hash, self.next_id.get());
        let flag = Rc::new(RevocationFlag {
            key: key.clone(),
            workspace,
            is_revoked: Cell::new(false),
            waker: RefCell::default(),
            flags: Rc::clone(&self.flags),
        });
        self.flags.borrow_mut().insert(key, Rc::downgrade(&flag));
        flag
    }

    /// Withdraws the keys that are no longer granted, at each change of the configuration.
    pub(super) async fn watch_config(&self, context: &Context) {
        let config = context.service::<dyn ConfigService>();
        loop {
            let changed = config.changed();
            self.revoke_removed_keys(&*config);
            changed.await;
        }
    }

    fn revoke_removed_keys(&self, config: &dyn ConfigService) {
        let Some(snapshot) = config.current() else {
            return;
        };
        let flags: Vec<_> = self
            .flags
            .borrow()
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        for flag in flags {
            let hash = &flag.key.0;
            let is_granted = snapshot
                .grant(hash)
                .is_some_and(|grant| grant.workspace == flag.workspace);
            if !is_granted || config.is_revoked(hash) {
                flag.revoke();
            }
        }
    }
}

impl RevocationFlag {
    /// Whether the key was withdrawn. Otherwise the task is woken when it is.
    pub(super) fn poll_revoked(&self, cx: &TaskContext<'_>) -> bool {
        if self.is_revoked.get() {
            return true;
        }
        let mut waker = self.waker.borrow_mut();
        if !waker
            .as_ref()
            .is_some_and(|current| current.will_wake(cx.waker()))
        {
            *waker = Some(cx.waker().clone());
        }
        false
    }

    /// Whether the key was withdrawn.
    pub(super) fn is_revoked(&self) -> bool {
        self.is_revoked.get()
    }

    fn revoke(&self) {
        self.is_revoked.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Drop for RevocationFlag {
    fn drop(&mut self) {
        self.flags.borrow_mut().remove(&self.key);
    }
}
