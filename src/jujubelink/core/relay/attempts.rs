//! Attempts of one request: the targets that may have run it, and whether a further one may get it.

use super::response::{Failure, MAX_SENDS, NoResend, check_resend};
use crate::core::fleet::RequestKind;
use crate::core::ids::TargetId;

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
/// not failed, may run the request again within the same attempt.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    /// Sends to targets, including those that reached no target.
    sends: u32,
    /// Runs that failed.
    failed_runs: u32,
    /// Targets whose runs were cancelled and that have not failed since. Each occurs once.
    cancelled: Vec<TargetId>,
}

impl Attempts {
    /// Returns the number of sends.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the number of attempts that have ended.
    pub fn used(&self) -> u32 {
        self.failed_runs + self.cancelled.len() as u32
    }

    /// Whether the request may be sent once more only.
    pub fn is_last_send(&self) -> bool {
        self.sends + 1 >= MAX_SENDS
    }

    /// Records that the request is sent to a target, or that a connection is opened for it.
    pub fn on_send(&mut self) {
        self.sends += 1;
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
        match check_resend(kind, failure, attempts, self.sends, max_attempts) {
            Ok(()) => Ok(AllowedTargets::Any),
            Err(NoResend::AttemptsUsed) if !idle.is_empty() => {
                // The last send is kept for a stream whose target breaks off.
                let is_reserved = !running.is_empty() && self.is_last_send();
                match is_reserved || self.sends >= MAX_SENDS {
                    true => Err(NoResend::SendsUsed),
                    false => Ok(AllowedTargets::Only(idle)),
                }
            }
            Err(reason) => Err(reason),
        }
    }
}
