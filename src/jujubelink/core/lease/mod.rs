//! Sessions, witnesses, and leases held under a session.
//!
//! An instance may use its slots and leases only while its session is valid. Witnesses are other
//! instances that the session lists. Once a second, the holder requests a vouch from each of them,
//! which confirms that the witness has not denied the session. A session is valid while its
//! platform object was written within the term, and a quorum of its witnesses has vouched within
//! the vouch validity.
//!
//! To end another instance's session, an instance collects denials from that session's witnesses,
//! waits until no earlier vouch can still be valid, and sets the object to `fenced` with a
//! conditional update.

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

/// Number of witnesses of a session; fewer if there are not enough other members.
pub const MAX_WITNESSES: usize = 5;

/// Time between renewals of a session.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(10 * 60);

/// Time between requests for vouches.
pub const VOUCH_PERIOD: Duration = Duration::from_secs(1);

/// Durations that decide how long a session is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionTiming {
    /// Time for which a session is valid after a write of its object, counted from before the
    /// request.
    pub term: Duration,
    /// Time for which a vouch is valid, counted from before the request for it was sent.
    pub vouch_validity: Duration,
    /// Fixed part of the clock drift margin.
    pub drift_base: Duration,
    /// Proportional part of the clock drift margin, in percent of the measured duration.
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
    /// Returns the clock drift margin for a duration of `time`.
    pub fn drift_margin(&self, time: Duration) -> Duration {
        time * self.drift_percent / 100 + self.drift_base
    }
}

/// Rules that keep sessions, limits and claims safe.
///
/// The process enables all of them. The model checker disables one at a time to prove that it finds
/// the violation that the rule prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// The holder checks its session immediately before each effect.
    pub checks_before_effect: bool,
    /// The validity of a vouch or write starts when its request is sent, not when the response
    /// arrives.
    pub validity_starts_at_send: bool,
    /// A witness that has denied a session never vouches for it again.
    pub denials_are_permanent: bool,
    /// A takeover waits after the denials until no earlier vouch can still be valid.
    pub waits_after_denials: bool,
    /// Waits are extended by the clock drift margin.
    pub adds_drift_margin: bool,
    /// While the outcome of a write that changes the witnesses is unknown, both the old and the new
    /// witnesses must vouch.
    pub needs_both_witness_sets: bool,
    /// A takeover needs denials from more than half of the witnesses, not from any one.
    pub needs_denial_quorum: bool,
    /// The fence is written only if the object still has the version whose witnesses denied.
    pub fences_conditionally: bool,
    /// Token buckets start empty after a takeover.
    pub starts_empty_after_takeover: bool,
    /// A repeated charge id gets the earlier outcome, without a second debit.
    pub recognizes_duplicates: bool,
    /// A refund returns only tokens that the bucket would still hold had they not been charged.
    pub limits_refunds: bool,
    /// A claimed request is sent only within a limited time from the request that created the
    /// claim.
    pub limits_claim_age: bool,
    /// After a lost response, the nonce in the claim object shows whether this attempt created it.
    pub checks_claim_nonce: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            checks_before_effect: true,
            validity_starts_at_send: true,
            denials_are_permanent: true,
            waits_after_denials: true,
            adds_drift_margin: true,
            needs_both_witness_sets: true,
            needs_denial_quorum: true,
            fences_conditionally: true,
            starts_empty_after_takeover: true,
            recognizes_duplicates: true,
            limits_refunds: true,
            limits_claim_age: true,
            checks_claim_nonce: true,
        }
    }
}

/// Returns the number of vouches that a holder needs from `witnesses` witnesses.
///
/// For an even number of witnesses half suffice, because [`denial_quorum`] is one more than half,
/// so that the two quorums always overlap. With two witnesses, a session survives the loss of one.
pub fn vouch_quorum(witnesses: usize) -> usize {
    witnesses.div_ceil(2)
}

/// Returns the number of denials that a takeover needs from `witnesses` witnesses: more than half.
pub fn denial_quorum(witnesses: usize) -> usize {
    witnesses / 2 + 1
}
