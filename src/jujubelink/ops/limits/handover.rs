//! Gives slots to other instances: to those that should hold them, and at a planned stop.

use std::rc::Rc;

use futures_util::{StreamExt, stream};
use jujubelink_proto::limits::HandOverRequest;

use super::Limits;
use super::keeper::PARALLEL_CALLS;
use super::state::Outgoing;
use crate::core::ids::InstanceId;
use crate::core::lease::{HolderRecord, SessionId, SessionRecord, SessionState};
use crate::core::limit::{Assignment, SlotKey};
use crate::ops::platform::{PlatformClient, PlatformError};

/// Slots given up in one step, so that a joining instance does not take many at once.
const MAX_SURPLUS: usize = 32;

/// Attempts to write each handover at a planned stop.
const STOP_ATTEMPTS: u32 = 3;

impl Limits {
    /// Hands slots over to the members that should hold them.
    pub(super) async fn give_up_surplus(self: &Rc<Self>, assignment: &Assignment) {
        let own = self.own_id();
        let held: Vec<SlotKey> = self.table.borrow().held().map(|(key, _)| key).collect();
        let surplus = held
            .into_iter()
            .filter_map(|key| Some((key, assignment.preferred(key)?.clone())))
            .filter(|(_, preferred)| *preferred != own)
            .take(MAX_SURPLUS);
        self.hand_over_all(surplus.collect()).await;
    }

    async fn hand_over_all(self: &Rc<Self>, slots: Vec<(SlotKey, InstanceId)>) {
        stream::iter(slots)
            .map(|(key, to)| self.hand_over(key, Some(to)))
            .buffer_unordered(PARALLEL_CALLS)
            .for_each(|result| async move {
                if let Err(error) = result {
                    self.sessions()
                        .log_limit_failure("cannot hand a limit slot over", &error);
                }
            })
            .await;
    }

    /// Gives a slot with its levels to the session of another instance, or to whoever takes it.
    async fn hand_over(
        self: &Rc<Self>,
        key: SlotKey,
        to: Option<InstanceId>,
    ) -> Result<(), PlatformError> {
        let holder = match &to {
            None => None,
            Some(to) => match self.active_session(to).await? {
                Some(session) => Some(session),
                // It has no session yet; the slot stays here.
                None if !self.is_stopping.get() => return Ok(()),
                None => None,
            },
        };
        if !self.may_act() {
            return Ok(());
        }
        if self.release(key, holder) {
            self.send_outgoing(key).await?;
        }
        Ok(())
    }

    async fn active_session(
        &self,
        instance: &InstanceId,
    ) -> Result<Option<SessionId>, PlatformError> {
        let platform = self.context.service::<PlatformClient>();
        let found = platform.read(&format!("sessions/{instance}")).await?;
        let record = found
            .map(|object| object.parse::<SessionRecord>())
            .transpose()?;
        let active = record.filter(|record| record.state == SessionState::Active);
        Ok(active.map(|record| SessionId {
            instance: instance.clone(),
            incarnation: record.incarnation,
        }))
    }

    /// Takes a slot out of the table, after which nothing is spent from it here, and notes the write
    /// that gives it away. Returns whether it was held.
    fn release(&self, key: SlotKey, holder: Option<SessionId>) -> bool {
        let shares = self.shares_of(key.shard);
        let shares = shares.iter().map(|(workspace, share)| (workspace, *share));
        let removed = self.table.borrow_mut().remove(key, shares, self.now());
        let mut keeping = self.keeping.borrow_mut();
        let version = keeping.versions.remove(&key);
        let (Some((epoch, levels)), Some(if_version)) = (removed, version) else {
            return false;
        };
        let record = HolderRecord {
            holder,
            epoch: epoch + 1,
            nonce: rand::random(),
            levels: Some(levels),
        };
        keeping
            .outgoing
            .insert(key, Outgoing { if_version, record });
        true
    }

    /// Writes a handover and tells the receiver.
    async fn send_outgoing(self: &Rc<Self>, key: SlotKey) -> Result<(), PlatformError> {
        let Some(outgoing) = self.keeping.borrow().outgoing.get(&key).cloned() else {
            return Ok(());
        };
        let record = outgoing.record;
        let sessions = self.sessions();
        let is_written = sessions
            .write_confirmed(&key.object_key(), outgoing.if_version, &record)
            .await?;
        self.keeping.borrow_mut().outgoing.remove(&key);
        self.context.metrics().count("limits.slots_handed_over", 1);
        if let Some(holder) = record.holder.filter(|_| is_written) {
            self.note_holder(key, holder.instance.clone(), record.epoch);
            let request = HandOverRequest {
                shard: key.shard,
                slot: key.slot,
                session_instance: holder.instance.to_string(),
                session_incarnation: holder.incarnation,
                epoch: record.epoch,
                ..Default::default()
            };
            // Without it the receiver finds the slot in a directory.
            let _ = sessions.calls().hand_over(&holder.instance, request).await;
        }
        Ok(())
    }

    /// Repeats handovers whose write has failed.
    pub(super) async fn resume_outgoing(self: &Rc<Self>) {
        let keys: Vec<SlotKey> = self.keeping.borrow().outgoing.keys().copied().collect();
        for key in keys {
            if let Err(error) = self.send_outgoing(key).await {
                self.sessions()
                    .log_limit_failure("cannot hand a limit slot over", &error);
                return;
            }
        }
    }

    /// Hands all slots over at a planned stop.
    pub(super) async fn stop(self: &Rc<Self>) {
        self.is_stopping.set(true);
        let Some(config) = self.config() else { return };
        let assignment = self.assignment(config.fleet.limit_layout);
        let held: Vec<SlotKey> = self.table.borrow().held().map(|(key, _)| key).collect();
        for _ in 0..STOP_ATTEMPTS {
            let open: Vec<SlotKey> = {
                let (table, keeping) = (self.table.borrow(), self.keeping.borrow());
                let is_open = |key: &&SlotKey| {
                    table.epoch(**key).is_some() || keeping.outgoing.contains_key(key)
                };
                held.iter().filter(is_open).copied().collect()
            };
            if open.is_empty() {
                break;
            }
            self.resume_outgoing().await;
            stream::iter(open)
                .map(|key| self.hand_over(key, assignment.preferred(key).cloned()))
                .buffer_unordered(PARALLEL_CALLS)
                .for_each(|_| async {})
                .await;
        }
        let left = self.table.borrow().held().count();
        slog::info!(self.context.log(), "limit slots handed over";
            "slots" => held.len() - left, "left" => left);
    }
}
