//! What the limits plug-in keeps in memory.

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

/// Charges that this instance remembers until they are settled. At the bound the oldest is forgotten
/// and its unused tokens are not refunded.
const MAX_UNSETTLED: usize = 16_384;

/// Tokens of a charge at one holder.
#[derive(Debug, Clone)]
pub(super) struct ChargePart {
    pub(super) instance: InstanceId,
    pub(super) charge_id: u64,
    pub(super) tokens: Tokens,
}

/// A workspace's limit with its place.
#[derive(Debug, Clone)]
pub(super) struct LimitedWorkspace {
    pub(super) workspace: WorkspaceId,
    pub(super) limit: WorkspaceLimit,
    pub(super) shard: u32,
    pub(super) slots: u32,
}

impl LimitedWorkspace {
    pub(super) fn share(&self) -> SlotLimit {
        self.limit.slot_limit(self.slots)
    }
}

/// A handover whose write is not settled.
#[derive(Debug, Clone)]
pub(super) struct PendingHandover {
    pub(super) if_version: ObjectVersion,
    pub(super) record: HolderRecord,
}

/// State of the keeper of slots.
#[derive(Default)]
pub(super) struct SlotState {
    /// Session under which the slots of the table are held.
    pub(super) session: Option<SessionId>,
    /// Versions of the objects of held slots.
    pub(super) versions: BTreeMap<SlotKey, ObjectVersion>,
    /// Largest epoch that was held under the session, by slot. A slot is never taken up again in an
    /// epoch in which it was given up.
    pub(super) last_epochs: BTreeMap<SlotKey, Epoch>,
    /// Handovers under way.
    pub(super) pending_handovers: BTreeMap<SlotKey, PendingHandover>,
    /// Slots with a claim under way.
    pub(super) claiming: BTreeSet<SlotKey>,
    /// When a slot was first seen without a live holder.
    pub(super) unheld_since: BTreeMap<SlotKey, Timestamp>,
    /// Time of the next attempt to claim a slot.
    pub(super) next_attempt: BTreeMap<SlotKey, Timestamp>,
    /// Assignment for the live members that it was made of.
    pub(super) assignment: Option<(LimitLayout, Vec<InstanceId>, Rc<SlotAssignment>)>,
}

#[derive(Default)]
struct Unsettled {
    parts: BTreeMap<u64, Vec<ChargePart>>,
    order: VecDeque<u64>,
}

/// Limits of this instance. All maps by slot are bounded by shards × slots.
pub struct Limits {
    pub(super) context: Context,
    pub(super) table: RefCell<SlotTable>,
    pub(super) directory: RefCell<Directory>,
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

    pub(super) fn config(&self) -> Option<Rc<ConfigSnapshot>> {
        self.context.service::<dyn ConfigService>().current()
    }

    /// The limit of a workspace in the configuration in force.
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

    /// Whether the slots of the table may be spent from now. Slots of a session that has ended are
    /// dropped.
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

    /// Charges the slots held here.
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

    /// Returns unused tokens to the slots held here. A refund only raises a level, so it needs no
    /// valid session.
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

    /// Workspaces of a shard with their shares.
    pub(super) fn shares_of(&self, shard: u32) -> Vec<(WorkspaceId, SlotLimit)> {
        let Some(config) = self.config() else {
            return Vec::new();
        };
        let shards = config.fleet.limit_layout.shards;
        let names = config.fleet.workspaces.keys();
        names
            .filter(|name| shard_of(name, shards) == shard)
            .filter_map(|name| Some((name.clone(), self.limited_workspace(name)?.share())))
            .collect()
    }

    /// Notes who holds a slot.
    pub(super) fn record_holder(&self, key: SlotKey, instance: InstanceId, epoch: Epoch) {
        let mut directory = self.directory.borrow_mut();
        directory.record_holder(key, SlotHolder { instance, epoch });
    }

    /// Notes holders that another instance named, within the layout in force.
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

    /// Known holders, of one shard or all, as a message.
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

    pub(super) fn record_unsettled(&self, id: u64, parts: Vec<ChargePart>) {
        let mut unsettled = self.unsettled.borrow_mut();
        unsettled.parts.insert(id, parts);
        unsettled.order.push_back(id);
        // Ids that were settled leave the queue here, together with the oldest of the others.
        while unsettled.order.len() > MAX_UNSETTLED {
            if let Some(oldest) = unsettled.order.pop_front() {
                unsettled.parts.remove(&oldest);
            }
        }
    }

    pub(super) fn take_unsettled(&self, id: u64) -> Vec<ChargePart> {
        self.unsettled
            .borrow_mut()
            .parts
            .remove(&id)
            .unwrap_or_default()
    }
}
