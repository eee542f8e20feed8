//! Claims the slots that this instance should hold, and refreshes the directory of slot holders.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use rand::seq::IndexedRandom;

use super::Limits;
use crate::core::config::{ConfigSnapshot, LimitLayout};
use crate::core::ids::{InstanceId, ObjectVersion};
use crate::core::lease::{HolderRecord, SessionId};
use crate::core::limit::{InitialLevels, SlotAssignment, SlotKey, claim_delay, shard_of};
use crate::ops::platform::{PlatformError, WriteOutcome};
use crate::ops::sessions::EndOutcome;

/// Maximum number of concurrent calls to the platform.
pub(super) const MAX_PARALLEL_CALLS: usize = 16;

/// Interval between attempts to claim the same slot.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Time after startup for seeds to respond. If none does, this instance assumes that it is the only
/// one and claims slots.
const SEED_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Interval between reads of a random peer's directory.
const DIRECTORY_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum interval between directory reads triggered by an outdated entry.
const MIN_DIRECTORY_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Number of objects per page of the platform's list.
const LIST_PAGE_SIZE: u32 = 500;

impl Limits {
    /// Runs one maintenance step: claims due slots and hands surplus slots over. Returns false if
    /// the configuration or a valid session is missing, or this instance is still starting or
    /// already stopping.
    pub(super) async fn maintain_slots(self: &Rc<Self>) -> bool {
        let sessions = self.sessions();
        let Some(config) = self.config() else {
            return false;
        };
        let is_early = self.now() < SEED_GRACE_PERIOD && sessions.peers().is_waiting_for_seeds();
        if is_early || self.is_stopping.get() || !self.ensure_current_session() {
            return false;
        }
        let assignment = self.assignment(config.fleet.limit_layout);
        self.retry_pending_handovers().await;
        let due = self.due_claims(&config, &assignment);
        let count = due.len();
        let results: Vec<bool> = stream::iter(due)
            .map(|key| self.claim(key))
            .buffer_unordered(MAX_PARALLEL_CALLS)
            .collect()
            .await;
        if count > 0 {
            let held = self.table.borrow().held_slots().count();
            slog::info!(self.context.log(), "claimed slots";
                "tried" => count, "claimed" => results.iter().filter(|done| **done).count(),
                "held" => held);
        }
        self.hand_over_surplus(&assignment).await;
        let held = self.table.borrow().held_slots().count();
        self.context
            .metrics()
            .gauge("limits.held_slots", held as u64);
        true
    }

    /// Returns the assignment of slots to live members; recomputed when the members or the layout
    /// change.
    pub(super) fn assignment(&self, layout: LimitLayout) -> Rc<SlotAssignment> {
        let peers = self.sessions().peers().all();
        let accepting = peers.into_iter().filter(|peer| peer.accepts_work);
        let mut live: Vec<InstanceId> = accepting.map(|peer| peer.instance).collect();
        if !self.is_stopping.get() {
            live.push(self.local_id());
        }
        live.sort_unstable();
        let mut slot_state = self.slot_state.borrow_mut();
        if let Some((cached_layout, cached_members, assignment)) = &slot_state.assignment
            && *cached_layout == layout
            && *cached_members == live
        {
            return Rc::clone(assignment);
        }
        let assignment = Rc::new(SlotAssignment::new(layout.shards, layout.slots, &live));
        slot_state.assignment = Some((layout, live, Rc::clone(&assignment)));
        assignment
    }

    /// Returns the slots that this instance should try to claim now.
    fn due_claims(&self, config: &ConfigSnapshot, assignment: &SlotAssignment) -> Vec<SlotKey> {
        let (now, local_id) = (self.now(), self.local_id());
        let layout = config.fleet.limit_layout;
        let names = config.fleet.workspaces.keys();
        // Shards without workspaces need no holders.
        let shards: BTreeSet<u32> = names.map(|name| shard_of(name, layout.shards)).collect();
        let live: BTreeSet<InstanceId> = {
            let peers = self.sessions().peers().all().into_iter();
            peers
                .filter(|peer| peer.is_live)
                .map(|peer| peer.instance)
                .collect()
        };
        let directory = self.directory.borrow();
        let cached_holders: std::collections::BTreeMap<_, _> = directory.entries().collect();
        let table = self.table.borrow();
        let mut slot_state = self.slot_state.borrow_mut();
        let mut due = Vec::new();
        for shard in shards {
            for slot in 0..layout.slots {
                let key = SlotKey { shard, slot };
                let holder = cached_holders.get(&key).map(|holder| &holder.instance);
                let is_held = table.epoch(key).is_some()
                    || slot_state.pending_handovers.contains_key(&key)
                    || holder.is_some_and(|holder| live.contains(holder));
                if is_held {
                    slot_state.unheld_since.remove(&key);
                    continue;
                }
                let is_local = holder == Some(&local_id);
                let rank = match is_local {
                    true => Some(0),
                    false => assignment.rank(key, &local_id),
                };
                let since = *slot_state.unheld_since.entry(key).or_insert(now);
                let next_attempt = slot_state
                    .next_attempt
                    .get(&key)
                    .copied()
                    .unwrap_or_default();
                if rank.is_some_and(|rank| now >= since + claim_delay(rank)) && now >= next_attempt
                {
                    slot_state
                        .next_attempt
                        .insert(key, now + CLAIM_RETRY_INTERVAL);
                    due.push(key);
                }
            }
        }
        due
    }

    /// Tries to claim a slot. Returns whether it is now held.
    pub(super) async fn claim(self: &Rc<Self>, key: SlotKey) -> bool {
        if !self.slot_state.borrow_mut().claiming.insert(key) {
            return false;
        }
        let result = self.try_claim(key).await;
        self.slot_state.borrow_mut().claiming.remove(&key);
        match result {
            Ok(is_held) => is_held,
            Err(error) => {
                self.sessions()
                    .log_limit_failure("cannot claim a limit slot", &error);
                false
            }
        }
    }

    async fn try_claim(self: &Rc<Self>, key: SlotKey) -> Result<bool, PlatformError> {
        let sessions = self.sessions();
        let session = sessions.id();
        let platform = self
            .context
            .service::<crate::ops::platform::PlatformClient>();
        let found = platform.read(&key.object_key()).await?;
        let now = self.now();
        let Some(object) = found else {
            return self
                .claim_free_slot(
                    key,
                    &session,
                    0,
                    HolderRecord::default(),
                    InitialLevels::Full,
                )
                .await;
        };
        let record = object.parse::<HolderRecord>()?;
        let initial_levels = match (&record.holder, &record.levels) {
            (Some(holder), _) if *holder == session => {
                return Ok(self.adopt_slot(key, &session, object.version, record));
            }
            (Some(holder), _) => {
                let is_local = holder.instance == session.instance;
                if !is_local && sessions.peers().is_live(&holder.instance) {
                    self.record_holder(key, holder.instance.clone(), record.epoch);
                    return Ok(false);
                }
                match sessions.end_session(holder).await {
                    EndOutcome::Ended { inactive_since } => {
                        InitialLevels::EmptySince(inactive_since)
                    }
                    EndOutcome::NotYet => {
                        self.record_holder(key, holder.instance.clone(), record.epoch);
                        return Ok(false);
                    }
                }
            }
            (None, Some(levels)) => InitialLevels::Levels {
                levels: levels.clone(),
                at: now,
            },
            (None, None) => InitialLevels::EmptySince(now),
        };
        self.claim_free_slot(key, &session, object.version, record, initial_levels)
            .await
    }

    /// Claims a free slot by a conditional write.
    async fn claim_free_slot(
        &self,
        key: SlotKey,
        session: &SessionId,
        if_version: ObjectVersion,
        earlier: HolderRecord,
        initial_levels: InitialLevels,
    ) -> Result<bool, PlatformError> {
        let record = HolderRecord {
            holder: Some(session.clone()),
            epoch: earlier.epoch + 1,
            nonce: rand::random(),
            levels: None,
        };
        let platform = self
            .context
            .service::<crate::ops::platform::PlatformClient>();
        // If the response is lost, the next attempt finds this session as the holder and adopts the
        // slot with an empty bucket.
        match platform
            .write(&key.object_key(), if_version, &record)
            .await?
        {
            WriteOutcome::Done { version } => {
                Ok(self.add_slot(key, session, version, &record, initial_levels))
            }
            WriteOutcome::Conflict { .. } => Ok(false),
        }
    }

    /// Adopts a slot whose object already names this session as the holder, after a handover or a
    /// lost response.
    fn adopt_slot(
        &self,
        key: SlotKey,
        session: &SessionId,
        version: ObjectVersion,
        record: HolderRecord,
    ) -> bool {
        let at = self.now();
        let initial_levels = match record.levels.clone() {
            Some(levels) => InitialLevels::Levels { levels, at },
            None => InitialLevels::EmptySince(at),
        };
        self.add_slot(key, session, version, &record, initial_levels)
    }

    /// Adds a slot to the table, unless it is already held or was given up in this epoch.
    fn add_slot(
        &self,
        key: SlotKey,
        session: &SessionId,
        version: ObjectVersion,
        record: &HolderRecord,
        initial_levels: InitialLevels,
    ) -> bool {
        self.ensure_current_session();
        let mut slot_state = self.slot_state.borrow_mut();
        let last_epoch = slot_state.last_epochs.get(&key).copied().unwrap_or(0);
        if slot_state.session.as_ref() != Some(session) || record.epoch <= last_epoch {
            return false;
        }
        slot_state.last_epochs.insert(key, record.epoch);
        slot_state.versions.insert(key, version);
        drop(slot_state);
        self.table
            .borrow_mut()
            .insert(key, record.epoch, initial_levels);
        self.record_holder(key, self.local_id(), record.epoch);
        self.context.metrics().count("limits.slots_taken", 1);
        true
    }

    /// Records the holders of all slots as stored in the platform.
    pub(super) async fn list_holders(&self) -> Result<(), PlatformError> {
        let platform = self
            .context
            .service::<crate::ops::platform::PlatformClient>();
        let mut after = String::new();
        loop {
            let page = platform.list("limits/", &after, LIST_PAGE_SIZE).await?;
            let Some(last) = page.last() else {
                return Ok(());
            };
            after.clone_from(&last.key);
            for object in &page {
                let key = SlotKey::from_object_key(&object.key);
                let record = object.parse::<HolderRecord>();
                if let (
                    Some(key),
                    Ok(HolderRecord {
                        holder: Some(holder),
                        epoch,
                        ..
                    }),
                ) = (key, record)
                {
                    self.record_holder(key, holder.instance, epoch);
                }
            }
            if page.len() < LIST_PAGE_SIZE as usize {
                return Ok(());
            }
        }
    }

    /// Starts a read of a peer's directory because an entry was found to be outdated or missing. Without a
    /// live peer, the holders are listed from the platform.
    pub(super) fn request_directory_refresh(self: &Rc<Self>) {
        let now = self.now();
        if self
            .directory_refreshed_at
            .get()
            .is_some_and(|last| now < last + MIN_DIRECTORY_REFRESH_INTERVAL)
        {
            return;
        }
        self.directory_refreshed_at.set(Some(now));
        let limits = Rc::clone(self);
        compio::runtime::spawn(async move {
            let is_read = limits.read_directory().await;
            if !is_read && let Err(error) = limits.list_holders().await {
                limits
                    .sessions()
                    .log_limit_failure("cannot list the holders of limit slots", &error);
            }
        })
        .detach();
    }

    /// Reads the directory of a random live peer. Returns whether there is one.
    async fn read_directory(&self) -> bool {
        let sessions = self.sessions();
        let peers = sessions.peers().all();
        let live: Vec<_> = peers.iter().filter(|peer| peer.is_live).collect();
        let Some(peer) = live.choose(&mut rand::rng()) else {
            return false;
        };
        if let Ok(reply) = sessions.peer_rpc().directory(&peer.instance).await {
            self.record_holders(reply.holders);
        }
        true
    }

    /// Fills the directory from the platform, then keeps it up to date from peers.
    pub(super) async fn maintain_directory(self: Rc<Self>) {
        while self.config().is_none() {
            self.context
                .timers()
                .sleep(MIN_DIRECTORY_REFRESH_INTERVAL / 20)
                .await;
        }
        loop {
            match self.list_holders().await {
                Ok(()) => break,
                Err(_) => {
                    self.read_directory().await;
                }
            }
            self.context
                .timers()
                .sleep(MIN_DIRECTORY_REFRESH_INTERVAL)
                .await;
        }
        let mut interval = self.context.timers().interval(DIRECTORY_REFRESH_INTERVAL);
        loop {
            interval.tick().await;
            self.read_directory().await;
        }
    }
}

/// Runs maintenance steps forever.
pub(super) async fn run(limits: Rc<Limits>) {
    const STARTING_INTERVAL: Duration = Duration::from_millis(20);
    const RUNNING_INTERVAL: Duration = Duration::from_millis(500);
    loop {
        let delay = match limits.maintain_slots().await {
            true => RUNNING_INTERVAL,
            false => STARTING_INTERVAL,
        };
        limits.context.timers().sleep(delay).await;
    }
}
