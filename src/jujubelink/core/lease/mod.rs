//! Sessions, witnesses and leases held under a session.
//!
//! An instance acts for its slots and leases only while its session is valid: the platform object of
//! the session was written within its term, and enough witnesses vouched within the last seconds.
//! Another instance ends the session by collecting denials from the witnesses, waiting until no
//! vouch can be valid any more, and setting the object to `fenced` by a conditional update.

mod record;
mod session;
mod takeover;
mod witness;

pub use record::{HolderRecord, SessionId, SessionRecord, SessionState, WitnessRef};
pub use session::{SessionHolder, SessionWrite, choose_witnesses};
pub use takeover::{
    CollectingDenials, FenceReady, Takeover, TakeoverStart, Waiting, can_fence_predecessor,
};
pub use witness::{MAX_DENIALS, Witness};

use std::time::Duration;

/// Witnesses of a session, if there are that many other members.
pub const MAX_WITNESSES: usize = 5;

/// Time between renewals of a session.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(10 * 60);

/// Time between requests for vouches.
pub const VOUCH_PERIOD: Duration = Duration::from_secs(1);

/// Times of sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionTiming {
    /// Time for which a write of the session allows its holder to act.
    pub term: Duration,
    /// Time for which a vouch allows its receiver to act, from before the request was sent.
    pub vouch_validity: Duration,
    /// Fixed part of the allowance for clock drift.
    pub drift_base: Duration,
    /// Part of a time that clocks may drift by, in percent.
    pub drift_percent: u32,
}

impl Default for SessionTiming {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(90 * 60),
            vouch_validity: Duration::from_secs(3),
            drift_base: Duration::from_millis(100),
            drift_percent: 1,
        }
    }
}

impl SessionTiming {
    /// Allowance for clock drift over a time.
    pub fn drift_margin(&self, time: Duration) -> Duration {
        time * self.drift_percent / 100 + self.drift_base
    }
}

/// The rules that keep sessions exclusive. All are on in the process; the model checker removes one
/// at a time to show that it finds the violation which the rule prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// The holder checks its session immediately before each effect.
    pub checks_before_effect: bool,
    /// Vouches and writes count from before their request was sent, not from the answer.
    pub counts_from_send: bool,
    /// A witness that has denied a session never vouches for it again.
    pub denials_are_permanent: bool,
    /// A takeover waits until no vouch can be valid.
    pub waits_after_denials: bool,
    /// Waits are extended by the drift margin.
    pub adds_drift_margin: bool,
    /// While a change of witnesses is unsettled, the old and the new witnesses must vouch.
    pub needs_both_witness_sets: bool,
    /// A takeover needs more than half of the witnesses, not any one.
    pub needs_denial_quorum: bool,
    /// The fence is written only on the version whose witnesses denied.
    pub fences_conditionally: bool,
    /// A bucket is empty after a takeover.
    pub starts_empty: bool,
    /// A repeated charge id is answered without a second debit.
    pub recognizes_duplicates: bool,
    /// A refund returns only what the bucket would still have.
    pub limits_refunds: bool,
    /// A claim is sent only within a time from the request that created it.
    pub limits_claim_age: bool,
    /// A lost answer to a claim is settled by its nonce.
    pub checks_claim_nonce: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            checks_before_effect: true,
            counts_from_send: true,
            denials_are_permanent: true,
            waits_after_denials: true,
            adds_drift_margin: true,
            needs_both_witness_sets: true,
            needs_denial_quorum: true,
            fences_conditionally: true,
            starts_empty: true,
            recognizes_duplicates: true,
            limits_refunds: true,
            limits_claim_age: true,
            checks_claim_nonce: true,
        }
    }
}

/// Vouches that a holder needs from `witnesses` witnesses.
///
/// Half suffice when their number is even, because [`denial_quorum`] is then one more than half;
/// the two always overlap. With two witnesses the loss of one leaves the session valid.
pub fn vouch_quorum(witnesses: usize) -> usize {
    witnesses.div_ceil(2)
}

/// Denials that a takeover needs from `witnesses` witnesses: more than half.
pub fn denial_quorum(witnesses: usize) -> usize {
    witnesses / 2 + 1
}
