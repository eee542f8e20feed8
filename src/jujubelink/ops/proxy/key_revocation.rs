//! Aborts running requests when their key is revoked.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::task::{Context as TaskContext, Waker};

use crate::core::ids::{KeyHash, WorkspaceId};
use crate::ops::kernel::Context;
use crate::ops::services::ConfigService;

type Flags = BTreeMap<(KeyHash, u64), Weak<RevocationFlag>>;

/// The revocation flags of all running requests, by key. The map has one entry for each running
/// request.
#[derive(Default)]
pub(super) struct KeyRevocations {
    flags: Rc<RefCell<Flags>>,
    next_id: Cell<u64>,
}

/// Signals to one running request that its key was revoked.
pub(super) struct RevocationFlag {
    key: (KeyHash, u64),
    workspace: WorkspaceId,
    is_revoked: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    flags: Rc<RefCell<Flags>>,
}

impl KeyRevocations {
    /// Registers a running request that uses the key.
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

    /// Checks all running requests at each configuration change and revokes those whose key is no
    /// longer granted.
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
    /// Returns whether the key was revoked. If not, wakes the task once it is.
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
