//! Named leases under this instance's session.

use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{EndOutcome, Sessions};
use crate::core::ids::ObjectVersion;
use crate::core::lease::HolderRecord;
use crate::ops::platform::{PlatformError, WriteOutcome};
use crate::ops::services::{HeldLease, LeaseService};

/// Implementation of [`LeaseService`].
pub(super) struct SessionLeases(pub(super) Rc<Sessions>);

impl LeaseService for SessionLeases {
    fn acquire(&self, object_key: &str) -> LocalBoxFuture<'static, Option<HeldLease>> {
        let (sessions, key) = (Rc::clone(&self.0), object_key.to_owned());
        async move {
            match sessions.acquire_lease(&key).await {
                Ok(lease) => lease,
                Err(error) => {
                    sessions.log_failure("cannot acquire a lease", &error);
                    None
                }
            }
        }
        .boxed_local()
    }

    fn held(&self, object_key: &str) -> Option<HeldLease> {
        let lease = self.0.leases.borrow().get(object_key).cloned();
        lease.filter(|lease| self.is_held(lease))
    }

    fn is_held(&self, lease: &HeldLease) -> bool {
        let held = self.0.leases.borrow();
        held.get(&lease.object_key) == Some(lease) && self.0.is_valid()
    }

    fn release(&self, lease: HeldLease) -> LocalBoxFuture<'static, ()> {
        let sessions = Rc::clone(&self.0);
        async move {
            // The lease counts as released even if the write below fails.
            let removed = sessions.leases.borrow_mut().remove(&lease.object_key);
            if removed != Some(lease.clone()) {
                return;
            }
            if let Err(error) = sessions.release_lease(&lease).await {
                sessions.log_failure("cannot release a lease", &error);
            }
        }
        .boxed_local()
    }
}

impl Sessions {
    async fn acquire_lease(self: &Rc<Self>, key: &str) -> Result<Option<HeldLease>, PlatformError> {
        if !self.is_valid() || self.is_stopping.get() {
            return Ok(None);
        }
        if let Some(lease) = self.leases.borrow().get(key) {
            return Ok(Some(lease.clone()));
        }
        let id = self.id();
        let found = self.platform.read(key).await?;
        let (version, record) = match &found {
            None => (0, HolderRecord::default()),
            Some(object) => (object.version, object.parse::<HolderRecord>()?),
        };
        if let Some(holder) = &record.holder {
            if *holder == id {
                // An earlier write took effect, but its response was lost.
                return Ok(self.record_lease(key, &record));
            }
            let is_own_earlier_session = holder.instance == id.instance;
            if !is_own_earlier_session && self.peers.is_live(&holder.instance) {
                return Ok(None);
            }
            if self.end_session(holder).await == EndOutcome::NotYet {
                return Ok(None);
            }
        }
        let wanted = HolderRecord {
            holder: Some(id.clone()),
            epoch: record.epoch + 1,
            nonce: rand::random(),
            levels: None,
        };
        let is_taken = self.write_confirmed(key, version, &wanted).await?;
        let is_same_session = self.id() == id;
        Ok((is_taken && is_same_session)
            .then(|| self.record_lease(key, &wanted))
            .flatten())
    }

    fn record_lease(&self, key: &str, record: &HolderRecord) -> Option<HeldLease> {
        let lease = HeldLease {
            object_key: key.to_owned(),
            epoch: record.epoch,
        };
        self.leases
            .borrow_mut()
            .insert(key.to_owned(), lease.clone());
        slog::info!(self.context.log(), "lease acquired"; "lease" => key, "epoch" => record.epoch);
        Some(lease)
    }

    async fn release_lease(&self, lease: &HeldLease) -> Result<(), PlatformError> {
        let Some(object) = self.platform.read(&lease.object_key).await? else {
            return Ok(());
        };
        let record = object.parse::<HolderRecord>()?;
        if record.epoch != lease.epoch || record.holder != Some(self.id()) {
            return Ok(());
        }
        let free = HolderRecord {
            holder: None,
            nonce: rand::random(),
            ..record
        };
        self.platform
            .write(&lease.object_key, object.version, &free)
            .await
            .map(drop)
    }

    /// Writes a record conditionally. If the response is lost, reads the record back and compares
    /// its nonce to find out whether the write took effect. Returns `Ok(false)` if another writer
    /// was first.
    pub async fn write_confirmed(
        &self,
        key: &str,
        if_version: ObjectVersion,
        record: &HolderRecord,
    ) -> Result<bool, PlatformError> {
        match self.platform.write(key, if_version, record).await {
            Ok(WriteOutcome::Done { .. }) => Ok(true),
            Ok(WriteOutcome::Conflict { .. }) => Ok(false),
            Err(error) if error.has_no_effect() => Err(error),
            Err(error) => {
                let found = self.platform.read(key).await?;
                let found = found
                    .map(|object| object.parse::<HolderRecord>())
                    .transpose()?;
                match found {
                    Some(found) if found.nonce == record.nonce => Ok(true),
                    Some(found) if found.epoch >= record.epoch => Ok(false),
                    _ => Err(error),
                }
            }
        }
    }
}
