//! Hands slots over to other instances: slots that others should hold, and all slots during a
//! graceful shutdown.

use std::rc::Rc;

use futures_util::{StreamExt, stream};
use jujubelink_proto::limits::HandOverRequest;

use super::Limits;
use super::slots::MAX_PARALLEL_CALLS;
use super::state::PendingHandover;
use crate::core::ids::InstanceId;
use crate::core::lease::{HolderRecord, SessionId, SessionRecord, SessionState};
use crate::core::limit::{SlotAssignment, SlotKey};
use crate::ops::platform::{PlatformClient, PlatformError};

/// Maximum number of slots handed over in one step, so that a joining instance does not receive too
/// many at once.
const MAX_SURPLUS_PER_STEP: usize = 32;

/// Maximum number of attempts to write each handover during a graceful shutdown.
const MAX_STOP_ATTEMPTS: u32 = 3;

impl Limits {
    /// Hands over slots that other members should hold according to the assignment.
    pub(super) async fn hand_over_surplus(self: &Rc<Self>, assignment: &SlotAssignment) {
        let local_id = self.local_id();
        let held: Vec<SlotKey> = self
            .table
            .borrow()
            .held_slots()
            .map(|(key, _)| key)
            .collect();
        let surplus = held
            .into_iter()
            .filter_map(|key| Some((key, assignment.preferred(key)?.clone())))
            .filter(|(_, preferred)| *preferred != local_id)
            .take(MAX_SURPLUS_PER_STEP);
        self.hand_over_all(surplus.collect()).await;
    }

    async fn hand_over_all(self: &Rc<Self>, slots: Vec<(SlotKey, InstanceId)>) {
        stream::iter(slots)
            .map(|(key, receiver)| self.hand_over(key, Some(receiver)))
            .buffer_unordered(MAX_PARALLEL_CALLS)
            .for_each(|result| async move {
                if let Err(error) = result {
                    self.sessions()
                        .log_limit_failure("cannot hand a limit slot over", &error);
                }
            })
            .await;
    }

    /// Hands a slot with its levels over to the session of `receiver`. Without a receiver, releases
    /// it for any instance to claim.
    async fn hand_over(
        self: &Rc<Self>,
        key: SlotKey,
        receiver: Option<InstanceId>,
    ) -> Result<(), PlatformError> {
        let holder = match &receiver {
            None => None,
            Some(receiver) => match self.active_session(receiver).await? {
                Some(session) => Some(session),
                // The receiver has no session yet; keep the slot.
                None if !self.is_stopping.get() => return Ok(()),
                None => None,
            },
        };
        if !self.ensure_current_session() {
            return Ok(());
        }
        if self.remove_slot(key, holder) {
            self.write_handover(key).await?;
        }
        Ok(())
    }

    /// Returns the active session of an instance, read from the platform.
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

    /// Removes a slot from the table, so that this instance no longer spends from it, and queues
    /// the write of the handover. Returns whether the slot was held.
    fn remove_slot(&self, key: SlotKey, holder: Option<SessionId>) -> bool {
        let slot_limits = self.slot_limits_of(key.shard);
        let slot_limits = slot_limits
            .iter()
            .map(|(workspace, slot_limit)| (workspace, *slot_limit));
        let removed = self.table.borrow_mut().remove(key, slot_limits, self.now());
        let mut slot_state = self.slot_state.borrow_mut();
        let version = slot_state.versions.remove(&key);
        let (Some((epoch, levels)), Some(if_version)) = (removed, version) else {
            return false;
        };
        let record = HolderRecord {
            holder,
            epoch: epoch + 1,
            nonce: rand::random(),
            levels: Some(levels),
        };
        slot_state
            .pending_handovers
            .insert(key, PendingHandover { if_version, record });
        true
    }

    /// Writes a pending handover and notifies the receiver.
    async fn write_handover(self: &Rc<Self>, key: SlotKey) -> Result<(), PlatformError> {
        let Some(pending) = self
            .slot_state
            .borrow()
            .pending_handovers
            .get(&key)
            .cloned()
        else {
            return Ok(());
        };
        let record = pending.record;
        let sessions = self.sessions();
        let is_written = sessions
            .write_confirmed(&key.object_key(), pending.if_version, &record)
            .await?;
        self.slot_state.borrow_mut().pending_handovers.remove(&key);
        self.context.metrics().count("limits.slots_handed_over", 1);
        if let Some(holder) = record.holder.filter(|_| is_written) {
            self.record_holder(key, holder.instance.clone(), record.epoch);
            let request = HandOverRequest {
                shard: key.shard,
                slot: key.slot,
                session_instance: holder.instance.to_string(),
                session_incarnation: holder.incarnation,
                epoch: record.epoch,
                ..Default::default()
            };
            // If this notification is lost, the receiver finds the slot in a directory.
            let _ = sessions
                .peer_rpc()
                .hand_over(&holder.instance, request)
                .await;
        }
        Ok(())
    }

    /// Retries handovers whose write failed.
    pub(super) async fn retry_pending_handovers(self: &Rc<Self>) {
        let keys: Vec<SlotKey> = self
            .slot_state
            .borrow()
            .pending_handovers
            .keys()
            .copied()
            .collect();
        for key in keys {
            if let Err(error) = self.write_handover(key).await {
                self.sessions()
                    .log_limit_failure("cannot hand a limit slot over", &error);
                return;
            }
        }
    }

    /// Hands over all slots during a graceful shutdown.
    pub(super) async fn stop(self: &Rc<Self>) {
        self.is_stopping.set(true);
        let Some(config) = self.config() else { return };
        let assignment = self.assignment(config.fleet.limit_layout);
        let held: Vec<SlotKey> = self
            .table
            .borrow()
            .held_slots()
            .map(|(key, _)| key)
            .collect();
        for _ in 0..MAX_STOP_ATTEMPTS {
            let open: Vec<SlotKey> = {
                let (table, slot_state) = (self.table.borrow(), self.slot_state.borrow());
                let is_open = |key: &&SlotKey| {
                    table.epoch(**key).is_some() || slot_state.pending_handovers.contains_key(key)
                };
                held.iter().filter(is_open).copied().collect()
            };
            if open.is_empty() {
                break;
            }
            self.retry_pending_handovers().await;
            stream::iter(open)
                .map(|key| self.hand_over(key, assignment.preferred(key).cloned()))
                .buffer_unordered(MAX_PARALLEL_CALLS)
                .for_each(|_| async {})
                .await;
        }
        let left = self.table.borrow().held_slots().count();
        slog::info!(self.context.log(), "limit slots handed over";
            "slots" => held.len() - left, "left" => left);
    }
}
