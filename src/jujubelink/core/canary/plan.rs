//! Steps of the holder of the order lease.

use std::time::Duration;

use derive_more::Display;

use super::{RolloutState, Verdict};

/// Step of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Phase {
    /// All requests go to the old version.
    #[display("hold")]
    Hold,
    /// A few requests, within the bounds on exposure, go to the new version.
    #[display("probe")]
    Probe,
    /// A fixed part of the requests goes to the new version while the bounds on exposure allow it, to test it
    /// under load.
    #[display("ramp {permille}")]
    Ramp {
        /// Part in thousandths.
        permille: u32,
    },
    /// All requests go to the new version, and the old targets may stop.
    #[display("commit")]
    Commit,
}

/// Part of the requests that goes to the new version in the test under load, in thousandths. The old version
/// keeps the others, as the test needs something to compare with at the same time.
const LOAD_PERMILLE: u32 = 900;

/// Fraction of the duration at which the test under load starts. The bounds allow the more requests the later
/// it is, and it finds faults that start later.
const LOAD_RATIO: f64 = 0.64;

/// The earliest one, if the duration is short against the time that the steps take.
const MIN_LOAD_RATIO: f64 = 0.3;

/// Shortest time of the test under load. At 200 requests/s the bounds are used up within 1.2 s. In trials where
/// the last step was taken sooner, on the first proof, 2 of 100 versions that fail under load passed.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time assumed for the start of the test under load at all instances and for the evidence to arrive. In
/// orders of 8 s, 0.4 s left 0.4 s until the end on a busy machine.
const MIN_EVIDENCE_TIME: Duration = Duration::from_millis(800);

/// Fraction of the duration at which a roll-out that is not complete is rolled back. The rest is for the
/// write, which may take 250 ms, or longer if it has to be repeated.
const END_RATIO: f64 = 0.93;

/// Minimum time before the end at which the last step is taken: all instances have to confirm it, and the
/// requests at the old targets have to end.
const MIN_STEP_TIME: Duration = Duration::from_millis(1_200);

/// Times of the steps, since the order became known.
#[derive(Debug, Clone, Copy)]
struct StepTimes {
    load: Duration,
    /// From which on less evidence is enough.
    late: Duration,
    end: Duration,
}

impl StepTimes {
    fn new(duration: Duration, step_time: Duration) -> Self {
        let end = duration.mul_f64(END_RATIO);
        let late = end.saturating_sub(step_time.max(MIN_STEP_TIME));
        let load = late.saturating_sub(step_time.max(MIN_EVIDENCE_TIME) + LOAD_TIME);
        Self {
            load: load
                .max(duration.mul_f64(MIN_LOAD_RATIO))
                .min(duration.mul_f64(LOAD_RATIO)),
            late,
            end,
        }
    }
}

/// What the holder knows of an order.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput {
    /// Time since the order became known to any instance.
    pub age: Duration,
    /// Time within which it has to be decided.
    pub duration: Duration,
    /// Time in which a step reaches all instances and is confirmed by them.
    pub step_time: Duration,
    /// Result of the test over all instances.
    pub verdict: Verdict,
    /// The same if less evidence is enough.
    pub late_verdict: Verdict,
    /// Whether the new version has targets.
    pub has_targets: bool,
    /// Whether another version has targets. Without any there is nothing to compare with, and no choice.
    pub has_old_targets: bool,
    /// Whether an instance has stopped the version.
    pub is_stopped: bool,
    /// Whether an instance has taken the last step already, on a share of this holder or a former one.
    pub is_committed: bool,
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
    is_committed: bool,
    /// A decision to roll back is final.
    rolled_back: Option<RollbackReason>,
}

impl Plan {
    /// Creates the plan of an order that was just taken up.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next step.
    pub fn next(&mut self, input: PlanInput) -> PlanStep {
        let times = StepTimes::new(input.duration, input.step_time);
        self.is_committed |= input.is_committed;
        let reason = if input.verdict == Verdict::Bad || input.is_stopped {
            Some(RollbackReason::Worse)
        } else if self.is_committed && input.is_old_idle {
            return PlanStep::Complete;
        } else if input.age < times.end {
            None
        } else if !input.has_targets {
            Some(RollbackReason::NoTargets)
        } else if self.is_committed {
            Some(RollbackReason::OldInUse)
        } else {
            Some(RollbackReason::Unproved)
        };
        self.rolled_back = self.rolled_back.or(reason);
        if let Some(reason) = self.rolled_back {
            return PlanStep::RollBack(reason);
        }
        let verdict = match input.age < times.late {
            true => input.verdict,
            false => input.late_verdict,
        };
        let is_proved = verdict == Verdict::Good || !input.has_old_targets;
        let is_tested = input.age >= times.load + LOAD_TIME;
        self.is_committed |= is_tested && input.has_targets && is_proved;
        PlanStep::Share(match input.age < times.load {
            _ if self.is_committed => Phase::Commit,
            true => Phase::Probe,
            false => Phase::Ramp {
                permille: LOAD_PERMILLE,
            },
        })
    }
}
