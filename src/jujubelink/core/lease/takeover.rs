//! Ending another instance's session.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{
    Safeguards, SessionId, SessionRecord, SessionState, SessionTiming, SessionWrite, WitnessRef,
    denial_quorum,
};
use crate::core::ids::{Incarnation, ObjectVersion, Timestamp};

/// Denials are being collected.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CollectingDenials {
    denied: BTreeSet<WitnessRef>,
}

/// Enough witnesses have denied; the last vouches are running out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Waiting {
    expires_at: Timestamp,
}

/// The holder can no longer act; the fence can be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FenceReady {
    expires_at: Timestamp,
}

/// A takeover of one session at one version of its object.
///
/// If the object has another version when the fence is written, the holder may have other witnesses,
/// and the takeover starts anew.
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
    /// When this version was first read here.
    read_at: Timestamp,
}

/// What a reading of the session object allows.
#[derive(Debug)]
pub enum TakeoverStart {
    /// The session has ended already.
    Ended,
    /// Denials are needed.
    Collect(Takeover<CollectingDenials>),
}

/// Whether a new incarnation at the holder's own address may end the session at once. An address is
/// bound by one process at a time, so the earlier holder is gone; without witnesses no peer can act
/// for its session either.
pub fn can_fence_predecessor(record: &SessionRecord, local_incarnation: Incarnation) -> bool {
    record.has_ended(local_incarnation) && record.witnesses.is_empty()
        || record.state == SessionState::Fenced
}

impl<S> Takeover<S> {
    /// Session to end.
    pub fn session(&self) -> &SessionId {
        &self.context.session
    }

    /// Version of the session object that this takeover is about.
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

    /// When the term of the version that was read has certainly ended.
    fn term_end(&self) -> Timestamp {
        let term = Duration::from_millis(self.context.record.term_ms);
        self.context.read_at + term + self.margin(term)
    }
}

impl Takeover<CollectingDenials> {
    /// Begins a takeover with the session object as read at `now`.
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

    /// Witnesses that have not denied yet.
    pub fn pending_witnesses(&self) -> Vec<WitnessRef> {
        let all = self.context.record.witnesses.iter();
        all.filter(|witness| !self.step.denied.contains(witness))
            .cloned()
            .collect()
    }

    /// Notes a denial, answered at `now`. With enough of them the wait begins.
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

    /// Ends the wait without denials once the whole term has passed.
    pub fn on_tick(self, now: Timestamp) -> Result<Takeover<FenceReady>, Self> {
        let expires_at = self.term_end();
        if now < expires_at {
            return Err(self);
        }
        Ok(self.with_step(FenceReady { expires_at }))
    }

    /// Ends the wait because an operator asserts that the instance is destroyed.
    pub fn on_holder_destroyed(self, now: Timestamp) -> Takeover<FenceReady> {
        self.with_step(FenceReady { expires_at: now })
    }
}

impl Takeover<Waiting> {
    /// When the earlier holder can no longer act, on this instance's clock.
    pub fn expires_at(&self) -> Timestamp {
        self.step.expires_at
    }

    /// Ends the wait.
    pub fn on_tick(self, now: Timestamp) -> Result<Takeover<FenceReady>, Self> {
        let expires_at = self.step.expires_at;
        if now < expires_at {
            return Err(self);
        }
        Ok(self.with_step(FenceReady { expires_at }))
    }
}

impl Takeover<FenceReady> {
    /// Time after which the earlier holder has spent nothing. A bucket of the new holder accrues
    /// from it.
    pub fn expires_at(&self) -> Timestamp {
        self.step.expires_at
    }

    /// The conditional write that ends the session.
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
