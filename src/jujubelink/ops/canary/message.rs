//! Protobuf messages on roll-outs, which are part of the messages between instances.

use std::time::Duration;

use crate::core::canary::{
    Arm, CellCounts, InstanceReport, MAX_CELLS, Phase, RolloutOrder, RolloutRecord, RolloutState,
    RolloutStatus,
};
use crate::core::ids::Epoch;
use crate::util::duration::ms;

/// Responses on one route from one part of the targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CellMessage {
    /// Hash of the route's name.
    #[prost(fixed32, tag = "1")]
    pub route: u32,
    /// 0 for the old version, 1 and 2 for the groups of the new one.
    #[prost(uint32, tag = "2")]
    pub arm: u32,
    #[prost(uint64, tag = "3")]
    pub responses: u64,
    #[prost(uint64, tag = "4")]
    pub bad: u64,
}

/// Permission to send requests to the new version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareMessage {
    /// Fencing number of the holder.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// 0 for a probe, 1 for a fixed part, 2 for all requests.
    #[prost(uint32, tag = "2")]
    pub phase: u32,
    /// The fixed part in thousandths.
    #[prost(uint32, tag = "3")]
    pub permille: u32,
    /// Length of the share from the time at which the receiver sent the message that this one confirms.
    #[prost(uint64, tag = "4")]
    pub term_ms: u64,
}

/// An order, and what the sender knows of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutMessage {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub target: String,
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
    /// 0 without a status; otherwise 1 for running, 2 for completed, 3 for rolled back.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Revision of the object in the store.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Time since the order became known.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Responses that the sender has observed; only while the order is not decided.
    #[prost(message, repeated, tag = "7")]
    pub cells: Vec<CellMessage>,
    /// Requests that are open at the old targets.
    #[prost(uint32, tag = "8")]
    pub open_old: u32,
    #[prost(bool, tag = "9")]
    pub is_committed: bool,
    #[prost(bool, tag = "10")]
    pub is_stopped: bool,
    /// Present if the sender reports on an order that is not decided.
    #[prost(bool, tag = "11")]
    pub has_report: bool,
    /// Present if the sender holds the lease for orders.
    #[prost(message, optional, tag = "12")]
    pub share: Option<ShareMessage>,
}

/// The orders that the sender knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutsMessage {
    /// Orders and reports.
    #[prost(message, repeated, tag = "1")]
    pub rollouts: Vec<RolloutMessage>,
    /// Time since the orders were last read from the store; absent if never.
    #[prost(uint64, optional, tag = "2")]
    pub read_age_ms: Option<u64>,
}

impl RolloutMessage {
    pub(super) fn new(
        record: &RolloutRecord,
        age: Duration,
        report: Option<InstanceReport>,
        share: Option<ShareMessage>,
    ) -> Self {
        let has_report = report.is_some();
        let report = report.unwrap_or_default();
        let cells = report
            .cells
            .iter()
            .map(|((route, arm), counts)| CellMessage {
                route: *route,
                arm: *arm as u32,
                responses: counts.responses,
                bad: counts.bad,
            });
        Self {
            service: record.order.service.to_string(),
            target: record.order.target.to_string(),
            duration_ms: ms(record.order.duration),
            state: match record.state() {
                None => 0,
                Some(RolloutState::Running) => 1,
                Some(RolloutState::Completed) => 2,
                Some(RolloutState::RolledBack) => 3,
            },
            revision: record.revision,
            age_ms: ms(age),
            cells: cells.collect(),
            open_old: report.open_old,
            is_committed: report.is_committed,
            is_stopped: report.is_stopped,
            has_report,
            share,
        }
    }

    /// Returns the order; `None` if it is not valid.
    pub(super) fn record(&self) -> Option<RolloutRecord> {
        if self.service.is_empty() || self.target.is_empty() || self.duration_ms == 0 {
            return None;
        }
        let state = match self.state {
            1 => Some(RolloutState::Running),
            2 => Some(RolloutState::Completed),
            3 => Some(RolloutState::RolledBack),
            _ => None,
        };
        Some(RolloutRecord {
            revision: self.revision,
            order: RolloutOrder {
                service: self.service.as_str().into(),
                target: self.target.as_str().into(),
                duration: Duration::from_millis(self.duration_ms),
            },
            status: state.map(|state| RolloutStatus {
                state,
                target: self.target.as_str().into(),
            }),
        })
    }

    /// Returns the report of the sender, if there is one.
    pub(super) fn report(&self) -> Option<InstanceReport> {
        let cells = self.cells.iter().take(MAX_CELLS).filter_map(|cell| {
            let arm = match cell.arm {
                0 => Arm::Old,
                1 => Arm::NewEven,
                2 => Arm::NewOdd,
                _ => return None,
            };
            let counts = CellCounts {
                responses: cell.responses,
                bad: cell.bad.min(cell.responses),
            };
            Some(((cell.route, arm), counts))
        });
        self.has_report.then(|| InstanceReport {
            cells: cells.collect(),
            open_old: self.open_old,
            is_committed: self.is_committed,
            is_stopped: self.is_stopped,
        })
    }
}

impl ShareMessage {
    pub(super) fn new(epoch: Epoch, phase: Phase, term: Duration) -> Option<Self> {
        let (phase, permille) = match phase {
            Phase::Hold => return None,
            Phase::Probe => (0, 0),
            Phase::Ramp { permille } => (1, permille),
            Phase::Commit => (2, 0),
        };
        Some(Self {
            epoch,
            phase,
            permille,
            term_ms: ms(term),
        })
    }

    pub(super) fn phase(&self) -> Option<Phase> {
        match self.phase {
            0 => Some(Phase::Probe),
            1 => Some(Phase::Ramp {
                permille: self.permille.min(1_000),
            }),
            2 => Some(Phase::Commit),
            _ => None,
        }
    }
}
