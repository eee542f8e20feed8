//! Protobuf messages on roll-outs, which are part of the messages between instances.

use std::time::Duration;

use crate::core::canary::{
    Arm, CellCounts, GROUPS, InstanceReport, MAX_CELLS, Phase, RolloutOrder, RolloutRecord,
    RolloutState, RolloutStatus,
};
use crate::core::ids::Epoch;
use crate::util::duration::ms;

/// Responses on one route from one part of the targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CellMessage {
    /// Hash of the route's name.
    #[prost(fixed32, tag = "1")]
    pub route: u32,
    /// 0 for the old version, from 1 on for the groups of the new one.
    #[prost(uint32, tag = "2")]
    pub arm: u32,
    /// Number of responses.
    #[prost(uint64, tag = "3")]
    pub responses: u64,
    /// Number of failures.
    #[prost(uint64, tag = "4")]
    pub failed: u64,
    /// Slow responses that did not fail.
    #[prost(uint64, tag = "5")]
    pub slow: u64,
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
    /// Name of the holder, if the sender passes its share on; otherwise empty.
    #[prost(string, tag = "5")]
    pub holder: String,
}

/// An order, and what the sender knows of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutMessage {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Ordered version.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Time within which the order has to be decided.
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
    /// Whether all further requests of the sender go to the new version.
    #[prost(bool, tag = "9")]
    pub is_committed: bool,
    /// Whether the sender has stopped the new version. Every receiver stops it, too, and passes that on.
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
    /// Whether the receiver is asked to pass its shares on to the sender.
    #[prost(bool, tag = "3")]
    pub wants_share: bool,
}

impl RolloutMessage {
    pub(super) fn new(
        record: &RolloutRecord,
        age: Duration,
        is_stopped: bool,
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
                arm: match arm {
                    Arm::Old => 0,
                    Arm::New(group) => u32::from(*group) + 1,
                },
                responses: counts.responses,
                failed: counts.failed,
                slow: counts.slow,
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
            is_stopped,
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
            let arm = match u8::try_from(cell.arm).ok()? {
                0 => Arm::Old,
                arm if usize::from(arm) <= GROUPS => Arm::New(arm - 1),
                _ => return None,
            };
            let failed = cell.failed.min(cell.responses);
            let counts = CellCounts {
                responses: cell.responses,
                failed,
                slow: cell.slow.min(cell.responses - failed),
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
    /// Creates a share of the holder, which is named if it is not the sender.
    pub(super) fn new(epoch: Epoch, phase: Phase, term: Duration, holder: &str) -> Option<Self> {
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
            holder: holder.to_owned(),
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
