//! In-memory state of the limits plug-in.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use jujubelink_proto::limits::SlotHolder as SlotHolderMessage;

use crate::core::config::{ConfigSnapshot, LimitLayout};
use crate::core::ids::{Epoch, InstanceId, ObjectVersion, Timestamp, Tokens, WorkspaceId};
use crate::core::lease::{HolderRecord, SessionId};
use crate::core::limit::{
    ChargeOutcome, ChargeStatus, Directory, LevelCache, SlotAssignment, SlotHolder, SlotKey,
    SlotLimit, SlotTable, WorkspaceLimit, shard_of,
};
use crate::ops::kernel::Context;
use crate::ops::services::ConfigService;
use crate::ops::sessions::Sessions;

/// Maximum number of unsettled charges. When it is exceeded the oldest charge is dropped and its
/// unused tokens are not refunded.
const MAX_UNSETTLED: usize = 16_384;

/// The part of a charge that was granted by one holder.
#[derive(Debug, Clone)]
pub(super) struct ChargePart {
    pub(super) instance: InstanceId,
    pub(super) charge_id: u64,
    pub(super) tokens: Tokens,
}

/// The limit of a workspace and the shard whose slots it is charged to.
#[derive(Debug, Clone)]
pub(super) struct LimitedWorkspace {
    pub(super) workspace: WorkspaceId,
    pub(super) limit: WorkspaceLimit,
    pub(super) shard: u32,
    /// Number of slots per shard, over which the limit is divided.
    pub(super) slots: u32,
}

impl LimitedWorkspace {
    /// Returns the part of the limit that one slot carries.
    pub(super) fn slot_limit(&self) -> SlotLimit {
        self.limit.slot_limit(self.slots)
    }
}

/// A handover whose write is not confirmed yet.
#[derive(Debug, Clone)]
pub(super) struct PendingHandover {
    pub(super) if_version: ObjectVersion,
    pub(super) record: HolderRecord,
}

/// State of claiming, holding and handing over slots.
#[derive(Default)]
pub(super) struct SlotState {
    /// Session under which the slots of the table are held.
    pub(super) session: Option<SessionId>,
    /// Object versions of the held slots.
    pub(super) versions: BTreeMap<SlotKey, ObjectVersion>,
    /// Highest epoch in which each slot was held under the session. A slot that was given up in an
    /// epoch is never adopted again in the same epoch.
    pub(super) last_epochs: BTreeMap<SlotKey, Epoch>,
    /// Handovers in progress.
    pub(super) pending_handovers: BTreeMap<SlotKey, PendingHandover>,
    /// Slots with a claim in progress.
    pub(super) claiming: BTreeSet<SlotKey>,
    /// Time since which each slot has had no live holder.
    pub(super) unheld_since: BTreeMap<SlotKey, Timestamp>,
    /// Time of the next attempt to claim each slot.
    pub(super) next_attempt: BTreeMap<SlotKey, Timestamp>,
    /// Cached assignment with the layout and the live members that it was computed from.
    pub(super) assignment: Option<(LimitLayout, Vec<InstanceId>, Rc<SlotAssignment>)>,
}

/// Charges that are not settled yet, with their ids in order of creation.
#[derive(Default)]
struct Unsettled {
    parts: BTreeMap<u64, Vec<ChargePart>>,
    order: VecDeque<u64>,
}

/// State of the rate limits on this instance. All maps by slot are bounded by shards × slots.
pub struct Limits {
    pub(super) context: Context,
    /// Slots held by this instance.
    pub(super) table: RefCell<SlotTable>,
    /// Holders of all slots, as far as known to this instance.
    pub(super) directory: RefCell<Directory>,
    /// Last known levels of the slots held by other instances.
    pub(super) remote_levels: RefCell<LevelCache>,
    pub(super) slot_state: RefCell<SlotState>,
    pub(super) is_stopping: Cell<bool>,
    pub(super) directory_refreshed_at: Cell<Option<Timestamp>>,
    unsettled: RefCell<Unsettled>,
}

impl Limits {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            table: RefCell::default(),
            directory: RefCell::default(),
            remote_levels: RefCell::default(),
            slot_state: RefCell::default(),
            is_stopping: Cell::new(false),
            directory_refreshed_at: Cell::new(None),
            unsettled: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.context.timers().now()
    }

    pub(super) fn sessions(&self) -> Rc<Sessions> {
        self.context.service::<Sessions>()
    }

    pub(super) fn local_id(&self) -> InstanceId {
        self.context
            .settings()
            .instance
            .peer_address
            .to_string()
            .into()
    }

    /// Returns the active configuration.
    pub(super) fn config(&self) -> Option<Rc<ConfigSnapshot>> {
        self.context.service::<dyn ConfigService>().current()
    }

    /// Returns the limit of a workspace in the active configuration.
    pub(super) fn limited_workspace(&self, workspace: &str) -> Option<LimitedWorkspace> {
        let config = self.config()?;
        let (workspace, settings) = config.workspace(workspace)?;
        let layout = config.fleet.limit_layout;
        Some(LimitedWorkspace {
            workspace: workspace.clone(),
            limit: WorkspaceLimit {
                rate_tokens_per_s: settings.rate_tokens_per_s,
                burst_tokens: settings.burst_tokens,
            },
            shard: shard_of(workspace, layout.shards),
            slots: layout.slots,
        })
    }

    /// Drops the slots of the table if they were held under an earlier session. Returns whether the
    /// current session is valid, so that the slots in the table may be spent from.
    pub(super) fn ensure_current_session(&self) -> bool {
        let sessions = self.sessions();
        let mut slot_state = self.slot_state.borrow_mut();
        let id = sessions.id();
        if slot_state.session.as_ref() != Some(&id) {
            self.table.borrow_mut().clear();
            slot_state.versions.clear();
            slot_state.last_epochs.clear();
            slot_state.pending_handovers.clear();
            slot_state.session = Some(id);
        }
        sessions.is_valid()
    }

    /// Charges tokens to the slots held by this instance.
    pub(super) fn charge_here(
        &self,
        charge_id: u64,
        limited: &LimitedWorkspace,
        tokens: Tokens,
        is_partial: bool,
    ) -> ChargeOutcome {
        if !self.ensure_current_session() {
            return ChargeOutcome {
                status: ChargeStatus::NotHolder,
                granted_tokens: 0,
                level_tokens: 0,
                retry_after: std::time::Duration::ZERO,
            };
        }
        self.table.borrow_mut().charge(
            charge_id,
            limited.shard,
            &limited.workspace,
            &limited.limit,
            limited.slots,
            tokens,
            is_partial,
            self.now(),
        )
    }

    /// Refunds unused tokens to the slots held by this instance. This does not require a valid
    /// session, because a refund only raises a level.
    pub(super) fn refund_here(
        &self,
        charge_id: u64,
        unused_tokens: Tokens,
        limited: &LimitedWorkspace,
    ) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        table.refund(charge_id, unused_tokens, &limited.limit, limited.slots, now);
    }

    /// Returns the workspaces of a shard with their limit per slot.
    pub(super) fn slot_limits_of(&self, shard: u32) -> Vec<(WorkspaceId, SlotLimit)> {
        let Some(config) = self.config() else {
            return Vec::new();
        };
        let shards = config.fleet.limit_layout.shards;
        let names = config.fleet.workspaces.keys();
        names
            .filter(|name| shard_of(name, shards) == shard)
            .filter_map(|name| Some((name.clone(), self.limited_workspace(name)?.slot_limit())))
            .collect()
    }

    /// Records the holder of a slot in the directory.
    pub(super) fn record_holder(&self, key: SlotKey, instance: InstanceId, epoch: Epoch) {
        let mut directory = self.directory.borrow_mut();
        directory.record_holder(key, SlotHolder { instance, epoch });
    }

    /// Records slot holders reported by another instance, ignoring slots outside the active layout.
    pub(super) fn record_holders(&self, holders: Vec<SlotHolderMessage>) {
        let Some(layout) = self.config().map(|config| config.fleet.limit_layout) else {
            return;
        };
        for holder in holders {
            if holder.shard < layout.shards && holder.slot < layout.slots {
                let key = SlotKey {
                    shard: holder.shard,
                    slot: holder.slot,
                };
                self.record_holder(key, holder.instance.into(), holder.epoch);
            }
        }
    }

    /// Returns the recorded holders of one shard, or of all shards, as messages.
    pub(super) fn holder_messages(&self, shard: Option<u32>) -> Vec<SlotHolderMessage> {
        let directory = self.directory.borrow();
        let entries = directory.entries();
        entries
            .filter(|(key, _)| shard.is_none_or(|shard| key.shard == shard))
            .map(|(key, holder)| SlotHolderMessage {
                shard: key.shard,
                slot: key.slot,
                instance: holder.instance.to_string(),
                epoch: holder.epoch,
            })
            .collect()
    }

    /// Stores the parts of a charge until it is settled.
    pub(super) fn record_unsettled(&self, id: u64, parts: Vec<ChargePart>) {
        let mut unsettled = self.unsettled.borrow_mut();
        unsettled.parts.insert(id, parts);
        unsettled.order.push_back(id);
        // The queue also contains the ids of settled charges; they are dropped here as well.
        while unsettled.order.len() > MAX_UNSETTLED {
            if let Some(oldest) = unsettled.order.pop_front() {
                unsettled.parts.remove(&oldest);
            }
        }
    }

    /// Removes and returns the parts of an unsettled charge.
    pub(super) fn take_unsettled(&self, id: u64) -> Vec<ChargePart> {
        self.unsettled
            .borrow_mut()
            .parts
            .remove(&id)
            .unwrap_or_default()
    }
}
