//! Which connections and transfers of clients may hold how much memory.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use super::REQUEST_BYTES;
use super::connection::{self, Connection, ConnectionPhase};
use crate::core::ids::{Timestamp, WorkspaceId};

/// Identifies a transfer.
pub type TransferId = u64;

/// Identifies a connection. Connections and transfers share one sequence of numbers.
pub type ConnectionId = u64;

/// Transfers that hold at most this many bytes, which are requests with small heads and bodies, may use all of the
/// memory. Larger ones leave a part of it to them, so that clients with large bodies do not exclude those with small
/// ones.
const SMALL_TRANSFER_BYTES: usize = REQUEST_BYTES + 48 * 1024;

/// Age from which a transfer may be ended in favor of others, and time for which a connection has to wait for its
/// client. Links stall for seconds, and a new transfer has no rate that can be compared.
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
        /// Transfers and connections that have to end, as their memory was needed. They hold nothing any more, nor
        /// do the transfers of these connections.
        ended: Vec<TransferId>,
    },
    /// Too little memory is left. The transfer holds what it held before.
    Refused,
}

/// The decision about a new connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The connection is open.
    Admitted {
        /// The new connection.
        id: ConnectionId,
        /// Connections that have to end in favor of it. They hold nothing any more.
        ended: Vec<ConnectionId>,
    },
    /// No other connection may end in favor of it.
    Refused,
}

/// Bounds on what a ledger accounts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// What transfers may hold, in bytes.
    pub transfer_bytes: usize,
    /// What transfers and connections may hold together, in bytes.
    pub total_bytes: usize,
    /// Open connections.
    pub connections: usize,
}

/// Something that a client sends, and what is held of it and for it.
#[derive(Debug)]
struct Transfer {
    owner: Owner,
    /// Connection that it ends with, if it is known.
    connection: Option<ConnectionId>,
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

/// What may be ended in favor of others.
struct Candidate<'a> {
    id: u64,
    owner: &'a Owner,
    bytes_per_s: f64,
    since: Timestamp,
    freed: Freed,
}

/// Bytes that become free.
#[derive(Debug, Clone, Copy, Default)]
struct Freed {
    transfer_bytes: usize,
    total_bytes: usize,
}

/// Accounts for the memory of all connections and transfers.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    /// Sum of what the transfers hold. At most `limits.transfer_bytes`.
    held_bytes: usize,
    /// Sum of what the connections hold. With `held_bytes` at most `limits.total_bytes`.
    connection_bytes: usize,
    transfers: BTreeMap<TransferId, Transfer>,
    /// Connections that have not been ended.
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
}

impl Ledger {
    /// Creates a ledger without transfers and without a limit of connections.
    pub fn new(limit_bytes: usize) -> Self {
        Self::with_limits(LedgerLimits {
            transfer_bytes: limit_bytes,
            total_bytes: usize::MAX,
            connections: usize::MAX,
        })
    }

    /// Creates a ledger with the given limits.
    pub fn with_limits(limits: LedgerLimits) -> Self {
        Self {
            limits,
            held_bytes: 0,
            connection_bytes: 0,
            transfers: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Sum of what the transfers hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Sum of what transfers and connections hold.
    pub fn total_bytes(&self) -> usize {
        self.held_bytes + self.connection_bytes
    }

    /// Number of open connections, without those that have been ended.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Admits a connection that holds `bytes` as long as it is open. Large transfers leave a quarter of all memory,
    /// and connections leave half of that to small requests. Without room, connections end whose clients have kept
    /// them waiting, in the order that [`connection::candidates`] states.
    pub fn open_connection(
        &mut self,
        address: Option<IpAddr>,
        bytes: usize,
        now: Timestamp,
    ) -> Admission {
        let limit_bytes = self.limits.total_bytes / 8 * 7;
        let has_room = |connections: usize, held_bytes: usize| {
            connections < self.limits.connections && held_bytes.saturating_add(bytes) <= limit_bytes
        };
        let (mut connections, mut held_bytes) = (self.connections.len(), self.total_bytes());
        let mut ended = Vec::new();
        if !has_room(connections, held_bytes) {
            let held_by_connection = self.held_by_connection();
            let receiving = self.connections_with_slow_transfers(now);
            for id in connection::candidates(&self.connections, address, |id, entry| {
                entry.may_be_ended(MIN_ENDED_AGE, now) || receiving.contains(&id)
            }) {
                ended.push(id);
                connections -= 1;
                held_bytes -= held_by_connection[&id].total_bytes;
                if has_room(connections, held_bytes) {
                    break;
                }
            }
            if !has_room(connections, held_bytes) {
                return Admission::Refused;
            }
        }
        for id in &ended {
            self.end_any(*id);
        }
        let id = self.take_id();
        let connection = Connection::new(address, bytes, now);
        self.connections.insert(id, connection);
        self.connection_bytes += bytes;
        Admission::Admitted { id, ended }
    }

    /// Records what a connection does.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.set_phase(phase, now);
        }
    }

    /// Grants further bytes to a connection as [`Self::grow_if_free`] does to a transfer.
    pub fn grow_connection_if_free(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let is_free = self.total_bytes().saturating_add(bytes) <= self.limits.total_bytes / 8 * 7;
        let connection = self.connections.get_mut(&id);
        let Some(connection) = connection.filter(|_| is_free) else {
            return false;
        };
        connection.held_bytes += bytes;
        self.connection_bytes += bytes;
        true
    }

    /// Closes a connection. What its transfers hold stays counted until they end.
    pub fn close_connection(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.connection_bytes -= connection.held_bytes;
        }
    }

    /// Begins a transfer that holds nothing yet.
    pub fn begin(&mut self, owner: Owner, now: Timestamp) -> TransferId {
        self.begin_on(None, owner, now)
    }

    /// Begins a transfer that ends with its connection and holds nothing yet.
    pub fn begin_on(
        &mut self,
        connection: Option<ConnectionId>,
        owner: Owner,
        now: Timestamp,
    ) -> TransferId {
        let id = self.take_id();
        let transfer = Transfer {
            owner,
            connection,
            held_bytes: 0,
            began: now,
            is_receiving: true,
        };
        self.transfers.insert(id, transfer);
        id
    }

    /// Begins a transfer with the owner and the connection of another one. It holds nothing yet, and ends only with
    /// the connection.
    pub fn begin_beside(&mut self, id: TransferId, now: Timestamp) -> TransferId {
        let other = self.transfers.get(&id);
        let connection = other.and_then(|other| other.connection);
        let owner = other.map_or_else(Owner::default, |other| other.owner.clone());
        let id = self.begin_on(connection, owner, now);
        self.complete(id);
        id
    }

    /// Sets the workspace of a transfer.
    pub fn set_workspace(&mut self, id: TransferId, workspace: Option<WorkspaceId>) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.owner.workspace = workspace;
        }
    }

    /// Records that a transfer has arrived completely. It is not ended in favor of others any more, unless its
    /// connection is.
    pub fn complete(&mut self, id: TransferId) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.is_receiving = false;
        }
    }

    /// Grants further bytes to a transfer. Without enough memory, the slowest transfers of the owner that
    /// holds most end first, as far as this owner holds more than the one that asks. So do connections that have
    /// waited for their client, which count as the slowest.
    pub fn grow(&mut self, id: TransferId, bytes: usize, now: Timestamp) -> Grant {
        let Some(transfer) = self.transfers.get(&id) else {
            return Grant::Refused;
        };
        let is_small = transfer.held_bytes.saturating_add(bytes) <= SMALL_TRANSFER_BYTES;
        let missing = self.missing_bytes(bytes, is_small);
        let Some(ended) = self.choose_ended(id, missing, now) else {
            return Grant::Refused;
        };
        for other in &ended {
            self.end_any(*other);
        }
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        Grant::Granted { ended }
    }

    /// Grants further bytes to a transfer as far as they are left, so that no other transfer ends for them. They leave
    /// to small transfers what large ones leave to them. Returns whether they were granted.
    pub fn grow_if_free(&mut self, id: TransferId, bytes: usize) -> bool {
        let missing = self.missing_bytes(bytes, false);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return false;
        };
        let is_free = missing.transfer_bytes == 0 && missing.total_bytes == 0;
        if is_free {
            transfer.held_bytes += bytes;
            self.held_bytes += bytes;
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

    /// Returns what has to become free for a transfer to grow by `bytes`.
    fn missing_bytes(&self, bytes: usize, is_small: bool) -> Freed {
        let LedgerLimits {
            transfer_bytes,
            total_bytes,
            ..
        } = self.limits;
        let (transfer_limit, total_limit) = match is_small {
            true => (transfer_bytes, total_bytes),
            false => (transfer_bytes / 4 * 3, total_bytes / 4 * 3),
        };
        let missing = |held: usize, limit| held.saturating_add(bytes).saturating_sub(limit);
        Freed {
            transfer_bytes: missing(self.held_bytes, transfer_limit),
            total_bytes: missing(self.total_bytes(), total_limit),
        }
    }

    /// Returns the connections that have received a transfer for so long that it may be ended.
    fn connections_with_slow_transfers(&self, now: Timestamp) -> BTreeSet<ConnectionId> {
        let transfers = self.transfers.values();
        let slow = transfers.filter(|transfer| transfer.may_be_ended(now));
        slow.filter_map(|transfer| transfer.connection).collect()
    }

    /// Returns what each connection and its transfers hold.
    fn held_by_connection(&self) -> BTreeMap<ConnectionId, Freed> {
        let mut held: BTreeMap<_, _> = self
            .connections
            .iter()
            .map(|(id, connection)| {
                let freed = Freed {
                    transfer_bytes: 0,
                    total_bytes: connection.held_bytes,
                };
                (*id, freed)
            })
            .collect();
        for transfer in self.transfers.values() {
            let connection = transfer.connection.and_then(|id| held.get_mut(&id));
            if let Some(freed) = connection {
                freed.transfer_bytes += transfer.held_bytes;
                freed.total_bytes += transfer.held_bytes;
            }
        }
        held
    }

    /// Releases what a transfer, or a connection with its transfers, holds. Transfers stay until they are ended by
    /// whoever began them.
    fn end_any(&mut self, id: u64) {
        self.close_connection(id);
        let transfers = self.transfers.iter_mut();
        let of_id = transfers.filter(|(other, transfer)| {
            **other == id
                || transfer
                    .connection
                    .is_some_and(|connection| connection == id)
        });
        for (_, transfer) in of_id {
            self.held_bytes -= std::mem::take(&mut transfer.held_bytes);
            transfer.is_receiving = false;
        }
    }

    /// Chooses transfers and connections that together hold at least what is missing and end in favor of `id`.
    /// Returns `None` if those that may be ended hold less.
    fn choose_ended(&self, id: TransferId, missing: Freed, now: Timestamp) -> Option<Vec<u64>> {
        let mut ended = Vec::new();
        if missing.transfer_bytes == 0 && missing.total_bytes == 0 {
            return Some(ended);
        }
        let asking = self.transfers.get(&id)?;
        let asking_rate = match asking.may_be_ended(now) {
            true => asking.bytes_per_s(now),
            false => f64::INFINITY,
        };
        let owners = self.owners_of_connections();
        let held_by_owner = self.held_by_owner(&owners);
        let asking_owner_bytes = held_by_owner[&asking.owner];
        let mut candidates = self.candidates(&owners, now);
        candidates.retain(|candidate| {
            let is_asking = candidate.id == id || Some(candidate.id) == asking.connection;
            let gives_way = match *candidate.owner == asking.owner {
                true => candidate.bytes_per_s < asking_rate,
                false => held_by_owner[candidate.owner] > asking_owner_bytes,
            };
            !is_asking && gives_way
        });
        candidates.sort_by(|first, second| {
            let by_owner = held_by_owner[second.owner].cmp(&held_by_owner[first.owner]);
            let by_rate = first.bytes_per_s.total_cmp(&second.bytes_per_s);
            by_owner.then(by_rate).then(first.since.cmp(&second.since))
        });
        let mut freed = Freed::default();
        for candidate in candidates {
            ended.push(candidate.id);
            freed.transfer_bytes += candidate.freed.transfer_bytes;
            freed.total_bytes += candidate.freed.total_bytes;
            if freed.transfer_bytes >= missing.transfer_bytes
                && freed.total_bytes >= missing.total_bytes
            {
                return Some(ended);
            }
        }
        None
    }

    /// Returns whom each connection counts for: the owner of its transfers.
    fn owners_of_connections(&self) -> BTreeMap<ConnectionId, Owner> {
        let mut owners: BTreeMap<_, _> = self
            .connections
            .iter()
            .map(|(id, connection)| {
                let owner = Owner {
                    address: connection.address,
                    workspace: None,
                };
                (*id, owner)
            })
            .collect();
        for transfer in self.transfers.values() {
            let owner = transfer.connection.and_then(|id| owners.get_mut(&id));
            if let Some(owner) = owner {
                owner.clone_from(&transfer.owner);
            }
        }
        owners
    }

    fn held_by_owner<'a>(
        &'a self,
        owners: &'a BTreeMap<ConnectionId, Owner>,
    ) -> BTreeMap<&'a Owner, usize> {
        let mut held: BTreeMap<&Owner, usize> = BTreeMap::new();
        for transfer in self.transfers.values() {
            *held.entry(&transfer.owner).or_default() += transfer.held_bytes;
        }
        for (id, connection) in &self.connections {
            *held.entry(&owners[id]).or_default() += connection.held_bytes;
        }
        held
    }

    /// Returns all that may be ended in favor of others. A transfer whose connection may be ended ends with that.
    fn candidates<'a>(
        &'a self,
        owners: &'a BTreeMap<ConnectionId, Owner>,
        now: Timestamp,
    ) -> Vec<Candidate<'a>> {
        let held_by_connection = self.held_by_connection();
        let waiting: BTreeMap<_, _> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.may_be_ended(MIN_ENDED_AGE, now))
            .collect();
        let transfers = self.transfers.iter().filter(|(_, transfer)| {
            let connection = transfer.connection.as_ref();
            let ends_with_connection = connection.is_some_and(|id| waiting.contains_key(id));
            transfer.may_be_ended(now) && !ends_with_connection
        });
        let mut candidates: Vec<_> = transfers
            .map(|(id, transfer)| Candidate {
                id: *id,
                owner: &transfer.owner,
                bytes_per_s: transfer.bytes_per_s(now),
                since: transfer.began,
                freed: Freed {
                    transfer_bytes: transfer.held_bytes,
                    total_bytes: transfer.held_bytes,
                },
            })
            .collect();
        candidates.extend(waiting.into_iter().map(|(id, connection)| Candidate {
            id: *id,
            owner: &owners[id],
            bytes_per_s: 0.0,
            since: connection.phase_began,
            freed: held_by_connection[id],
        }));
        candidates
    }
}
