//! Protocol for ending another instance's session.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{
    Safeguards, SessionId, SessionRecord, SessionState, SessionTiming, SessionWrite, WitnessRef,
    denial_quorum,
};
use crate::core::ids::{Incarnation, ObjectVersion, Timestamp};

/// Step of a takeover that collects denials from witnesses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CollectingDenials {
    denied: BTreeSet<WitnessRef>,
}

/// Step of a takeover that waits until the last vouches have expired.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Waiting {
    expires_at: Timestamp,
}

/// Final step of a takeover: the session is no longer valid and the fence can be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FenceReady {
    expires_at: Timestamp,
}

/// A takeover of one session at one version of its object.
///
/// If the object has another version when the fence is written, the session may have other
/// witnesses, and the takeover starts again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Takeover<S> {
    context: Box<TakeoverContext>,
    step: S,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TakeoverContext {
    session: SessionId,
    version: ObjectVersion,
    record: SessionRecord,
    timing: SessionTiming,
    safeguards: Safeguards,
    /// When the local instance first read this version.
    read_at: Timestamp,
}

/// How a takeover starts, depending on the session object.
#[derive(Debug)]
pub enum TakeoverStart {
    /// The session has ended already.
    Ended,
    /// Denials must be collected.
    Collect(Takeover<CollectingDenials>),
}

/// Whether a new incarnation at the holder's address may fence the earlier session immediately.
///
/// Only one process at a time can bind an address, so the earlier holder no longer runs. Without
/// witnesses, no peer can keep its session valid either.
pub fn can_fence_predecessor(record: &SessionRecord, local_incarnation: Incarnation) -> bool {
    record.has_ended(local_incarnation) && record.witnesses.is_empty()
        || record.state == SessionState::Fenced
}

impl<S> Takeover<S> {
    /// Returns the session to end.
    pub fn session(&self) -> &SessionId {
        &self.context.session
    }

    /// Returns the version of the session object that this takeover applies to.
    pub fn version(&self) -> ObjectVersion {
        self.context.version
    }

    fn with_step<T>(self, step: T) -> Takeover<T> {
        Takeover {
            context: self.context,
            step,
        }
    }

    fn margin(&self, time: Duration) -> Duration {
        match self.context.safeguards.adds_drift_margin {
            true => self.context.timing.drift_margin(time),
            false => Duration::ZERO,
        }
    }

    /// Returns when the term of the session must have ended, including the clock drift margin.
    fn term_end(&self) -> Timestamp {
        let term = Duration::from_millis(self.context.record.term_ms);
        self.context.read_at + term + self.margin(term)
    }
}

impl Takeover<CollectingDenials> {
    /// Starts a takeover with the session object as read at `now`.
    pub fn begin(
        session: SessionId,
        version: ObjectVersion,
        record: SessionRecord,
        timing: SessionTiming,
        safeguards: Safeguards,
        now: Timestamp,
    ) -> TakeoverStart {
        if record.has_ended(session.incarnation) {
            return TakeoverStart::Ended;
        }
        let context = TakeoverContext {
            session,
            version,
            record,
            timing,
            safeguards,
            read_at: now,
        };
        let step = CollectingDenials {
            denied: BTreeSet::new(),
        };
        TakeoverStart::Collect(Self {
            context: Box::new(context),
            step,
        })
    }

    /// Returns the witnesses that have not denied yet.
    pub fn pending_witnesses(&self) -> Vec<WitnessRef> {
        let all = self.context.record.witnesses.iter();
        all.filter(|witness| !self.step.denied.contains(witness))
            .cloned()
            .collect()
    }

    /// Records a denial received at `now`. A quorum of denials starts the wait for the last
    /// vouches.
    pub fn on_denial(
        mut self,
        witness: &WitnessRef,
        now: Timestamp,
    ) -> Result<Takeover<Waiting>, Self> {
        if self.context.record.witnesses.contains(witness) {
            self.step.denied.insert(witness.clone());
        }
        let needed = match self.context.safeguards.needs_denial_quorum {
            true => denial_quorum(self.context.record.witnesses.len()),
            false => 1,
        };
        if self.step.denied.len() < needed {
            return Err(self);
        }
        let validity = self.context.timing.vouch_validity;
        let expires_at = match self.context.safeguards.waits_after_denials {
            true => now + validity + self.margin(validity),
            false => now,
        };
        Ok(self.with_step(Waiting { expires_at }))
    }

    /// Advances to the fence without denials once the whole term has passed.
    pub fn on_tick(self, now: Timestamp) -> Result<Takeover<FenceReady>, Self> {
        let expires_at = self.term_end();
        if now < expires_at {
            return Err(self);
        }
        Ok(self.with_step(FenceReady { expires_at }))
    }

    /// Advances to the fence because an operator confirmed that the instance is destroyed.
    pub fn on_holder_destroyed(self, now: Timestamp) -> Takeover<FenceReady> {
        self.with_step(FenceReady { expires_at: now })
    }
}

impl Takeover<Waiting> {
    /// Returns when the session's last vouch expires, on the local clock.
    pub fn expires_at(&self) -> Timestamp {
        self.step.expires_at
    }

    /// Advances to the fence once the last vouch has expired.
    pub fn on_tick(self, now: Timestamp) -> Result<Takeover<FenceReady>, Self> {
        let expires_at = self.step.expires_at;
        if now < expires_at {
            return Err(self);
        }
        Ok(self.with_step(FenceReady { expires_at }))
    }
}

impl Takeover<FenceReady> {
    /// Returns the time from which the earlier holder cannot have spent tokens. The buckets of the
    /// new holder accrue from this time.
    pub fn expires_at(&self) -> Timestamp {
        self.step.expires_at
    }

    /// Returns the conditional write that fences the session.
    pub fn fence(&self, nonce: u64, now: Timestamp) -> SessionWrite {
        let mut record = self.context.record.clone();
        record.state = SessionState::Fenced;
        record.nonce = nonce;
        SessionWrite {
            if_version: self.context.version,
            record,
            sent_at: now,
        }
    }
}
