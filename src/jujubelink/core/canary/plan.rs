//! Steps of the holder of the order lease.

use std::time::Duration;

use derive_more::Display;

use super::{RolloutState, Verdict};
use crate::core::ids::Timestamp;

/// Step of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Phase {
    /// All requests go to the old version.
    #[display("hold")]
    Hold,
    /// A few requests, within the bounds on exposure, go to the new version.
    #[display("probe")]
    Probe,
    /// A fixed part of the requests goes to the new version, which has passed the test so far.
    #[display("ramp {permille}")]
    Ramp {
        /// Part in thousandths.
        permille: u32,
    },
    /// All requests go to the new version, and the old targets may stop.
    #[display("commit")]
    Commit,
}

/// Steps with the fraction of the duration from which each may be taken. The old version keeps a part until
/// the last step, as the test needs something to compare with.
const STEPS: [(f64, Phase); 5] = [
    (0.0, Phase::Probe),
    (0.42, Phase::Ramp { permille: 250 }),
    (0.45, Phase::Ramp { permille: 500 }),
    (0.48, Phase::Ramp { permille: 700 }),
    (0.65, Phase::Commit),
];

/// Fraction of the duration from which on a version that is not proved good gets more requests.
const UNPROVED_RATIO: f64 = 0.35;

/// Thousandths of the requests that it gets then, relative to the bound on the exposed share.
const UNPROVED_PERMILLE: f64 = 900.0;

/// Minimum time between two steps as a fraction of the duration, also if they are taken late.
const MIN_STEP_RATIO: f64 = 0.025;

/// Fraction of the duration at which a roll-out that is not complete is rolled back. The rest is for the
/// write, which may take 250 ms, or longer if it has to be repeated.
const END_RATIO: f64 = 0.93;

/// What the holder knows of an order.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput {
    /// Time since the order became known to any instance.
    pub age: Duration,
    /// Time within which it has to be decided.
    pub duration: Duration,
    /// Result of the test over all instances.
    pub verdict: Verdict,
    /// Whether the new version has targets.
    pub has_targets: bool,
    /// Whether another version has targets. Without any there is nothing to compare with, and no choice.
    pub has_old_targets: bool,
    /// Part of the requests that may reach a version which may be bad.
    pub share: f64,
    /// Whether an instance has stopped the version by its own evidence.
    pub is_stopped: bool,
    /// Whether all instances have confirmed the last step, and have no request at the old targets.
    pub is_old_idle: bool,
}

/// Why an order is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RollbackReason {
    /// The test found the version worse.
    #[display("the version is worse than the old one")]
    Worse,
    /// Too few responses arrived to prove it good.
    #[display("the version was not proved good in time")]
    Unproved,
    /// The version has no targets.
    #[display("the version has no targets")]
    NoTargets,
    /// The old targets still have requests.
    #[display("the old targets were still in use at the end")]
    OldInUse,
}

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanStep {
    /// Give shares for this step.
    Share(Phase),
    /// Give shares for the last step, and write that the order is complete.
    Complete,
    /// Give no shares, and write that the order is rolled back.
    RollBack(RollbackReason),
}

impl PlanStep {
    /// The status to write, if any.
    pub fn final_state(self) -> Option<RolloutState> {
        match self {
            Self::Share(_) => None,
            Self::Complete => Some(RolloutState::Completed),
            Self::RollBack(_) => Some(RolloutState::RolledBack),
        }
    }
}

/// Progress of one order at its holder.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    step: usize,
    stepped_at: Timestamp,
    /// A decision to roll back is final.
    rolled_back: Option<RollbackReason>,
}

impl Plan {
    /// Creates the plan of an order that was just taken up.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next step.
    pub fn next(&mut self, input: PlanInput, now: Timestamp) -> PlanStep {
        let elapsed = input.age.as_secs_f64() / input.duration.as_secs_f64().max(0.001);
        let is_last_step = STEPS[self.step].1 == Phase::Commit;
        let reason = if input.verdict == Verdict::Bad || input.is_stopped {
            Some(RollbackReason::Worse)
        } else if is_last_step && input.is_old_idle {
            return PlanStep::Complete;
        } else if elapsed < END_RATIO {
            None
        } else if !input.has_targets {
            Some(RollbackReason::NoTargets)
        } else if is_last_step {
            Some(RollbackReason::OldInUse)
        } else {
            Some(RollbackReason::Unproved)
        };
        self.rolled_back = self.rolled_back.or(reason);
        if let Some(reason) = self.rolled_back {
            return PlanStep::RollBack(reason);
        }
        let since_step = now.saturating_sub(self.stepped_at).as_secs_f64();
        let may_step =
            self.step == 0 || since_step >= MIN_STEP_RATIO * input.duration.as_secs_f64();
        let next = (self.step + 1).min(STEPS.len() - 1);
        if next > self.step
            && may_step
            && input.has_targets
            && (input.verdict == Verdict::Good || !input.has_old_targets)
            && elapsed >= STEPS[next].0
        {
            self.step = next;
            self.stepped_at = now;
        }
        // With few requests, the probe does not prove the version in time. This step stays within the bounds.
        if self.step == 0 && elapsed >= UNPROVED_RATIO && input.verdict != Verdict::Good {
            let permille = (input.share.clamp(0.0, 1.0) * UNPROVED_PERMILLE) as u32;
            return PlanStep::Share(Phase::Ramp { permille });
        }
        PlanStep::Share(STEPS[self.step].1)
    }
}
