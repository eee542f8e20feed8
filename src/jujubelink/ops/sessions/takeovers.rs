//! Takeovers: ending the sessions of other instances.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::Sessions;
use super::service::{FoundSession, parse_session};
use crate::core::ids::Timestamp;
use crate::core::lease::{
    CollectingDenials, FenceReady, Safeguards, SessionId, SessionTiming, Takeover, TakeoverStart,
    Waiting,
};
use crate::ops::platform::{PlatformError, WriteOutcome};

/// Maximum number of cached ended sessions. When it is reached the cache is cleared; sessions are
/// read from the platform again when needed.
const MAX_ENDED_SESSIONS: usize = 1024;

/// Maximum number of attempts to fence a session before the caller has to retry later.
const MAX_FENCE_ATTEMPTS: u32 = 4;

/// Result of an attempt to end a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOutcome {
    /// The session has ended. Its holder has not spent any tokens since `inactive_since` or
    /// earlier.
    Ended {
        /// Time on the clock of this instance.
        inactive_since: Timestamp,
    },
    /// The session may still be valid; retry later.
    NotYet,
}

/// Takeovers in progress and sessions that have ended.
#[derive(Default)]
pub(super) struct TakeoverTable {
    /// Takeovers that are waiting for denials or for the end of the session's term. Bounded by the
    /// number of sessions that this instance tries to end.
    collecting: RefCell<BTreeMap<SessionId, Takeover<CollectingDenials>>>,
    /// Sessions for which an attempt is running.
    in_progress: RefCell<BTreeSet<SessionId>>,
    /// Ended sessions with the time since which their holders have been inactive.
    ended: RefCell<BTreeMap<SessionId, Timestamp>>,
}

impl TakeoverTable {
    pub(super) fn is_ended(&self, session: &SessionId) -> bool {
        self.ended.borrow().contains_key(session)
    }

    fn record_ended(&self, session: &SessionId, inactive_since: Timestamp) -> EndOutcome {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= MAX_ENDED_SESSIONS {
            ended.clear();
        }
        let inactive_since = *ended.entry(session.clone()).or_insert(inactive_since);
        EndOutcome::Ended { inactive_since }
    }
}

impl Sessions {
    /// Ends the session of another instance, or of an earlier process at this address. Takes a few
    /// seconds if the session was active. Only one attempt for a session runs at a time.
    pub async fn end_session(self: &Rc<Self>, session: &SessionId) -> EndOutcome {
        if let Some(inactive_since) = self.takeovers.ended.borrow().get(session) {
            return EndOutcome::Ended {
                inactive_since: *inactive_since,
            };
        }
        if !self
            .takeovers
            .in_progress
            .borrow_mut()
            .insert(session.clone())
        {
            return EndOutcome::NotYet;
        }
        let result = self.try_end(session).await;
        self.takeovers.in_progress.borrow_mut().remove(session);
        match result {
            Ok(outcome) => outcome,
            Err(error) => {
                self.log_failure("cannot end the session of another instance", &error);
                EndOutcome::NotYet
            }
        }
    }

    /// Reads the session, collects denials from its witnesses and fences it. Retries if the session
    /// object changes meanwhile.
    async fn try_end(self: &Rc<Self>, session: &SessionId) -> Result<EndOutcome, PlatformError> {
        let mut proven_inactive_since = None;
        for _ in 0..MAX_FENCE_ATTEMPTS {
            let found = self.platform.read(&session.object_key()).await?;
            let now = self.now();
            let Some(takeover) = self.begin_takeover(session, parse_session(found.as_ref())?, now)
            else {
                let inactive_since = proven_inactive_since.unwrap_or(now);
                return Ok(self.takeovers.record_ended(session, inactive_since));
            };
            let Some(ready) = self.collect_denials(takeover).await else {
                return Ok(EndOutcome::NotYet);
            };
            proven_inactive_since = Some(ready.expires_at());
            let write = ready.fence(rand::random(), self.now());
            let key = session.object_key();
            match self
                .platform
                .write(&key, write.if_version, &write.record)
                .await
            {
                Ok(WriteOutcome::Done { .. }) => {
                    slog::info!(self.context.log(), "session fenced"; "session" => %session);
                    self.context.metrics().count("sessions.fenced", 1);
                    return Ok(self.takeovers.record_ended(session, ready.expires_at()));
                }
                // Either the holder renewed its session or another instance fenced it.
                Ok(WriteOutcome::Conflict { .. }) => {}
                Err(error) if error.has_no_effect() => return Err(error),
                // The next read shows whether the write took effect.
                Err(_) => {}
            }
        }
        Ok(EndOutcome::NotYet)
    }

    /// Returns the takeover for the session version that was read; `None` if the session has ended.
    /// An earlier attempt for the same version is resumed, because the time that it has already
    /// waited for the end of the term counts.
    fn begin_takeover(
        &self,
        session: &SessionId,
        found: FoundSession,
        now: Timestamp,
    ) -> Option<Takeover<CollectingDenials>> {
        let earlier = self.takeovers.collecting.borrow_mut().remove(session);
        let (version, record) = found?;
        if let Some(earlier) = earlier.filter(|takeover| takeover.version() == version) {
            return Some(earlier);
        }
        let (times, safeguards) = (SessionTiming::default(), Safeguards::default());
        match Takeover::begin(session.clone(), version, record, times, safeguards, now) {
            TakeoverStart::Ended => None,
            TakeoverStart::Collect(takeover) => Some(takeover),
        }
    }

    /// Asks all pending witnesses to deny the session, and waits until it has expired. Returns
    /// `None`, and keeps the takeover for the next attempt, if too few witnesses deny it and its
    /// term has not ended.
    async fn collect_denials(
        self: &Rc<Self>,
        mut takeover: Takeover<CollectingDenials>,
    ) -> Option<Takeover<FenceReady>> {
        let session = takeover.session().clone();
        let local_address = self.context.settings().instance.peer_address.to_string();
        let pending_witnesses = takeover.pending_witnesses();
        let requests = pending_witnesses.into_iter().map(|witness| {
            let (sessions, session) = (Rc::clone(self), session.clone());
            let is_local = *witness.instance == *local_address;
            async move {
                let is_denied = match is_local {
                    true => sessions.on_deny(&session, witness.incarnation),
                    false => matches!(sessions.peer_rpc.deny(&witness, &session).await, Ok(true)),
                };
                is_denied.then_some(witness)
            }
        });
        for witness in futures_util::future::join_all(requests)
            .await
            .into_iter()
            .flatten()
        {
            takeover = match takeover.on_denial(&witness, self.now()) {
                Ok(waiting) => return Some(self.wait_for_expiry(waiting).await),
                Err(takeover) => takeover,
            };
        }
        match takeover.on_tick(self.now()) {
            Ok(ready) => Some(ready),
            Err(takeover) => {
                self.takeovers
                    .collecting
                    .borrow_mut()
                    .insert(session, takeover);
                None
            }
        }
    }

    async fn wait_for_expiry(&self, mut waiting: Takeover<Waiting>) -> Takeover<FenceReady> {
        loop {
            self.context
                .timers()
                .sleep_until(waiting.expires_at())
                .await;
            waiting = match waiting.on_tick(self.now()) {
                Ok(ready) => return ready,
                Err(waiting) => waiting,
            };
        }
    }
}
