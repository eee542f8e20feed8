//! Attempts of one request: the targets that may have run it, and whether a further one may get it.

use std::time::Duration;

use super::response::{Failure, MAX_SENDS, NoResend, check_resend};
use crate::core::fleet::RequestKind;
use crate::core::ids::TargetId;

/// Failed connections of a request after which each further one is opened only after a delay. Several
/// targets may have ended a moment ago.
const IMMEDIATE_CONNECTIONS: usize = 4;

/// Delay before each further connection. It bounds the connections that a request opens while all targets
/// are unreachable.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Limit on the wait for a response head, as a fraction of the remaining time, while another target
/// could still be tried. A request that is sent again may wait in the queue for at least the same
/// fraction, even if the latency objective has passed.
pub const FIRST_ATTEMPT_TIME_RATIO: f64 = 0.45;

/// A request is not sent if less time remains before its deadline, because no target could respond
/// in time.
pub const MIN_SEND_TIME: Duration = Duration::from_millis(10);

/// Targets to which a request may be sent next, besides those that are excluded for other reasons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedTargets {
    /// Any target.
    Any,
    /// Only these, which have got the request before.
    Only(Vec<TargetId>),
}

impl AllowedTargets {
    /// Whether the request may be sent to the target.
    pub fn contains(&self, target: &TargetId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(targets) => targets.contains(target),
        }
    }
}

/// Record of the sends of a request.
///
/// An attempt is a target that may have run the request. A target whose run was cancelled, although it had
/// not failed, may run the request again within the same attempt. A connection that failed is no attempt,
/// and counts as a send only if another one to the same target had failed before.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    /// Sends to targets, including those that reached no target.
    sends: u32,
    /// Targets to which connections failed. Each occurs once.
    unreachable: Vec<TargetId>,
    /// Sends whose connections failed. At least as many as `unreachable`, and at most as many as `sends`.
    failed_connections: u32,
    /// Runs that failed.
    failed_runs: u32,
    /// Targets whose runs were cancelled and that have not failed since. Each occurs once.
    cancelled: Vec<TargetId>,
}

impl Attempts {
    /// Returns the number of sends, including those that reached no target.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request may have arrived at a target.
    pub fn may_have_arrived(&self) -> bool {
        self.sends > self.failed_connections
    }

    /// Returns how long to wait before a further connection is opened.
    pub fn connection_delay(&self) -> Duration {
        match self.unreachable.len() < IMMEDIATE_CONNECTIONS {
            true => Duration::ZERO,
            false => RECONNECT_DELAY,
        }
    }

    /// Number of sends to which [`MAX_SENDS`] applies.
    fn counted_sends(&self) -> u32 {
        self.sends - self.unreachable.len() as u32
    }

    /// Returns the number of attempts that have ended.
    pub fn used(&self) -> u32 {
        self.failed_runs + self.cancelled.len() as u32
    }

    /// Whether the request may be sent once more only.
    pub fn is_last_send(&self) -> bool {
        self.counted_sends() + 1 >= MAX_SENDS
    }

    /// Records that the request is sent to a target, or that a connection is opened for it.
    pub fn on_send(&mut self) {
        self.sends += 1;
    }

    /// Records that the connection of a send failed, so that nothing reached the target.
    pub fn on_connection_failed(&mut self, target: &TargetId) {
        self.failed_connections += 1;
        if !self.unreachable.contains(target) {
            self.unreachable.push(target.clone());
        }
    }

    /// Records that a run has failed.
    pub fn on_failed(&mut self, target: &TargetId) {
        self.cancelled.retain(|cancelled| cancelled != target);
        self.failed_runs += 1;
    }

    /// Records that a run was cancelled which might have gone on.
    pub fn on_cancelled(&mut self, target: &TargetId) {
        if !self.cancelled.contains(target) {
            self.cancelled.push(target.clone());
        }
    }

    /// Checks whether the request may be sent again after a failure, or beside the `running` targets.
    pub fn check(
        &self,
        kind: RequestKind,
        failure: Failure,
        running: &[&TargetId],
        max_attempts: u32,
    ) -> Result<AllowedTargets, NoResend> {
        let is_running = |target: &TargetId| running.contains(&target);
        let idle = self.cancelled.iter().filter(|target| !is_running(target));
        let idle: Vec<_> = idle.cloned().collect();
        let attempts = self.failed_runs + (idle.len() + running.len()) as u32;
        let sends = self.counted_sends();
        match check_resend(kind, failure, attempts, sends, max_attempts) {
            Ok(()) => Ok(AllowedTargets::Any),
            Err(NoResend::AttemptsUsed) if !idle.is_empty() => {
                // The last send is kept for a stream whose target breaks off.
                let is_reserved = !running.is_empty() && self.is_last_send();
                match is_reserved || sends >= MAX_SENDS {
                    true => Err(NoResend::SendsUsed),
                    false => Ok(AllowedTargets::Only(idle)),
                }
            }
            Err(reason) => Err(reason),
        }
    }
}
