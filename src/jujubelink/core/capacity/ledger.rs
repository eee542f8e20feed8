//! Which transfers of clients may hold how much memory.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::core::ids::{Timestamp, WorkspaceId};

/// Identifies a transfer.
pub type TransferId = u64;

/// Transfers that hold at most this many bytes may use all of the memory. Larger ones leave a quarter of it to
/// them, so that clients with large bodies do not exclude those with small ones.
const SMALL_TRANSFER_BYTES: usize = 48 * 1024;

/// Age from which a transfer may be ended in favor of others. Links stall for seconds, and a new transfer has
/// no rate that can be compared.
const MIN_ENDED_AGE: Duration = Duration::from_secs(3);

/// Whom a transfer counts for. The share of memory is fair between owners.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// Address of the client, if it is known.
    pub address: Option<IpAddr>,
    /// Workspace of the request, once it is known.
    pub workspace: Option<WorkspaceId>,
}

/// The decision about further memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Grant {
    /// The transfer holds the further bytes.
    Granted {
        /// Transfers that have to end, as their memory was needed. They hold nothing any more.
        ended: Vec<TransferId>,
    },
    /// Too little memory is left. The transfer holds what it held before.
    Refused,
}

/// Something that a client sends, and what is held of it.
#[derive(Debug)]
struct Transfer {
    owner: Owner,
    held_bytes: usize,
    began: Timestamp,
    /// Whether it may be ended in favor of others: it is still being received.
    is_receiving: bool,
}

impl Transfer {
    fn bytes_per_s(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.began);
        self.held_bytes as f64 / age.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn may_be_ended(&self, now: Timestamp) -> bool {
        self.is_receiving && self.held_bytes > 0 && now.saturating_sub(self.began) >= MIN_ENDED_AGE
    }
}

/// Accounts for the memory of all transfers.
#[derive(Debug)]
pub struct Ledger {
    limit_bytes: usize,
    /// Sum of what the transfers hold. At most `limit_bytes`.
    held_bytes: usize,
    transfers: BTreeMap<TransferId, Transfer>,
    next_id: TransferId,
}

impl Ledger {
    /// Creates a ledger without transfers.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
            transfers: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Sum of what the transfers hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Begins a transfer that holds nothing yet.
    pub fn begin(&mut self, owner: Owner, now: Timestamp) -> TransferId {
        let id = self.next_id;
        self.next_id += 1;
        let transfer = Transfer {
            owner,
            held_bytes: 0,
            began: now,
            is_receiving: true,
        };
        self.transfers.insert(id, transfer);
        id
    }

    /// Sets the workspace of a transfer.
    pub fn set_workspace(&mut self, id: TransferId, workspace: Option<WorkspaceId>) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.owner.workspace = workspace;
        }
    }

    /// Records that a transfer has arrived completely. It is not ended in favor of others any more.
    pub fn complete(&mut self, id: TransferId) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.is_receiving = false;
        }
    }

    /// Grants further bytes to a transfer. Without enough memory, the slowest transfers of the owner that
    /// holds most end first, as far as this owner holds more than the one that asks.
    pub fn grow(&mut self, id: TransferId, bytes: usize, now: Timestamp) -> Grant {
        let Some(transfer) = self.transfers.get(&id) else {
            return Grant::Refused;
        };
        let limit_bytes = match transfer.held_bytes.saturating_add(bytes) {
            0..=SMALL_TRANSFER_BYTES => self.limit_bytes,
            _ => self.limit_bytes / 4 * 3,
        };
        let needed = self.held_bytes.saturating_add(bytes);
        let Some(ended) = self.choose_ended(id, needed.saturating_sub(limit_bytes), now) else {
            return Grant::Refused;
        };
        for other in &ended {
            if let Some(other) = self.transfers.get_mut(other) {
                self.held_bytes -= std::mem::take(&mut other.held_bytes);
                other.is_receiving = false;
            }
        }
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        Grant::Granted { ended }
    }

    /// Grants further bytes to a transfer as far as they are left, so that no other transfer ends for them. They leave
    /// a quarter of the memory to small transfers. Returns whether they were granted.
    pub fn grow_if_free(&mut self, id: TransferId, bytes: usize) -> bool {
        let needed = self.held_bytes.saturating_add(bytes);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return false;
        };
        let is_free = needed <= self.limit_bytes / 4 * 3;
        if is_free {
            transfer.held_bytes += bytes;
            self.held_bytes = needed;
        }
        is_free
    }

    /// Releases what a transfer holds beyond `bytes`.
    pub fn shrink_to(&mut self, id: TransferId, bytes: usize) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            let excess = transfer.held_bytes.saturating_sub(bytes);
            transfer.held_bytes -= excess;
            self.held_bytes -= excess;
        }
    }

    /// Ends a transfer and releases what it holds.
    pub fn end(&mut self, id: TransferId) {
        if let Some(transfer) = self.transfers.remove(&id) {
            self.held_bytes -= transfer.held_bytes;
        }
    }

    /// Chooses transfers that together hold at least `missing_bytes` and end in favor of `id`. Returns `None`
    /// if those that may be ended hold less.
    fn choose_ended(
        &self,
        id: TransferId,
        mut missing_bytes: usize,
        now: Timestamp,
    ) -> Option<Vec<TransferId>> {
        let mut ended = Vec::new();
        if missing_bytes == 0 {
            return Some(ended);
        }
        let asking = self.transfers.get(&id)?;
        let asking_rate = match asking.may_be_ended(now) {
            true => asking.bytes_per_s(now),
            false => f64::INFINITY,
        };
        let mut held_by_owner: BTreeMap<&Owner, usize> = BTreeMap::new();
        for transfer in self.transfers.values() {
            *held_by_owner.entry(&transfer.owner).or_default() += transfer.held_bytes;
        }
        let asking_owner_bytes = held_by_owner[&asking.owner];
        let mut candidates: Vec<_> = self
            .transfers
            .iter()
            .filter(|(other, transfer)| **other != id && transfer.may_be_ended(now))
            .map(|(other, transfer)| (*other, transfer, transfer.bytes_per_s(now)))
            .filter(|(_, transfer, rate)| match transfer.owner == asking.owner {
                true => *rate < asking_rate,
                false => held_by_owner[&transfer.owner] > asking_owner_bytes,
            })
            .collect();
        candidates.sort_by(|(_, first, first_rate), (_, second, second_rate)| {
            let first_bytes = held_by_owner[&first.owner];
            let second_bytes = held_by_owner[&second.owner];
            let by_owner = second_bytes.cmp(&first_bytes);
            by_owner.then(first_rate.total_cmp(second_rate))
        });
        for (other, transfer, _) in candidates {
            ended.push(other);
            missing_bytes = missing_bytes.saturating_sub(transfer.held_bytes);
            if missing_bytes == 0 {
                return Some(ended);
            }
        }
        None
    }
}
