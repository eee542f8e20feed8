//! The session of this instance.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use super::takeovers::TakeoverTable;
use super::{EndOutcome, PeerRpcClient, Peers};
use crate::core::ids::{Incarnation, ObjectVersion, Timestamp};
use crate::core::lease::{
    RENEWAL_PERIOD, Safeguards, SessionHolder, SessionId, SessionRecord, SessionTiming,
    SessionWrite, Witness, WitnessRef, can_fence_predecessor, choose_witnesses,
};
use crate::ops::kernel::Context;
use crate::ops::platform::{PlatformClient, PlatformError, StoredObject, WriteOutcome};
use crate::ops::services::HeldLease;
use crate::ops::telemetry::LogLimiter;

/// Maximum number of sessions for which the time of the last vouch is recorded. A live session
/// beyond this bound may be denied, in which case its holder must start a new one.
const MAX_RECENT_VOUCHES: usize = 4096;

/// Interval between reads of the session object while the session is not valid.
const INVALID_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The session of this instance, the leases held under it, and the witness for other sessions.
pub struct Sessions {
    pub(super) context: Context,
    pub(super) platform: Rc<PlatformClient>,
    pub(super) peer_rpc: PeerRpcClient,
    pub(super) peers: Peers,
    pub(super) holder: RefCell<SessionHolder>,
    pub(super) witness: RefCell<Witness>,
    /// Time of the last vouch of this instance for each session. When [`MAX_RECENT_VOUCHES`] is
    /// reached, entries older than the validity of a vouch are removed.
    recent_vouches: RefCell<BTreeMap<SessionId, Timestamp>>,
    /// Time of the last read of the session object due to the session not being valid.
    checked_at: Cell<Timestamp>,
    pub(super) takeovers: TakeoverTable,
    /// Leases held under the current session. Bounded by the number of leases that plug-ins use.
    pub(super) leases: RefCell<BTreeMap<String, HeldLease>>,
    /// Set during a graceful shutdown, after which the session is not renewed.
    pub(super) is_stopping: Cell<bool>,
    failures: LogLimiter,
}

impl Sessions {
    pub(super) fn new(context: &Context) -> Self {
        let safeguards = Safeguards::default();
        let incarnation = context.incarnation();
        Self {
            context: context.clone(),
            platform: context.service::<PlatformClient>(),
            peer_rpc: PeerRpcClient::new(context),
            peers: Peers::new(context),
            holder: RefCell::new(new_holder(context, incarnation)),
            witness: RefCell::new(Witness::new(incarnation, safeguards)),
            recent_vouches: RefCell::default(),
            checked_at: Cell::default(),
            takeovers: TakeoverTable::default(),
            leases: RefCell::default(),
            is_stopping: Cell::new(false),
            failures: LogLimiter::default(),
        }
    }

    /// Returns the identity of the current session, which changes when the session has ended and a
    /// new one is started.
    pub fn id(&self) -> SessionId {
        self.holder.borrow().id().clone()
    }

    /// Whether the session is currently valid. Must be checked immediately before each effect that
    /// depends on it.
    pub fn is_valid(&self) -> bool {
        let now = self.context.timers().now();
        self.holder.borrow().is_valid(now)
    }

    /// Whether the session object has been written.
    pub fn is_written(&self) -> bool {
        self.holder.borrow().is_written()
    }

    /// Returns the other instances.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the client of the `Limits` service of other instances.
    pub fn peer_rpc(&self) -> &PeerRpcClient {
        &self.peer_rpc
    }

    /// Handles a request to vouch for a session. Returns whether this instance vouches.
    pub fn on_vouch(&self, session: &SessionId, witness_incarnation: Incarnation) -> bool {
        let is_vouched = self.witness.borrow().on_vouch(session, witness_incarnation);
        match is_vouched {
            true => self.record_vouch(session),
            false => slog::info!(self.context.log(), "vouch refused";
                "session" => %session, "asked" => witness_incarnation,
                "own" => self.context.incarnation()),
        }
        is_vouched
    }

    fn record_vouch(&self, session: &SessionId) {
        let (now, validity) = (self.now(), SessionTiming::default().vouch_validity);
        let mut recent = self.recent_vouches.borrow_mut();
        if recent.len() >= MAX_RECENT_VOUCHES {
            recent.retain(|_, at| now < *at + validity);
        }
        if recent.len() < MAX_RECENT_VOUCHES || recent.contains_key(session) {
            recent.insert(session.clone(), now);
        }
    }

    /// Handles a request to deny a session. Returns whether the session is denied.
    ///
    /// A session that received a vouch within the vouch validity is alive and is not denied. The
    /// requesting instance may merely not have discovered the holder yet, for example after all
    /// instances started at the same time.
    pub fn on_deny(&self, session: &SessionId, witness_incarnation: Incarnation) -> bool {
        let now = self.now();
        let last = self.recent_vouches.borrow().get(session).copied();
        let is_alive = last.is_some_and(|at| now < at + SessionTiming::default().vouch_validity);
        let is_denied = !is_alive
            && self
                .witness
                .borrow_mut()
                .on_deny(session, witness_incarnation);
        slog::info!(self.context.log(), "received a request to deny a session";
            "session" => %session,
            "last_vouch_ago_ms" => last.map(|at| now.saturating_sub(at).as_millis() as u64),
            "asked" => witness_incarnation, "own" => self.context.incarnation(),
            "is_denied" => is_denied);
        is_denied
    }

    pub(super) fn now(&self) -> Timestamp {
        self.context.timers().now()
    }

    pub(super) fn log_failure(&self, message: &'static str, error: &PlatformError) {
        self.context
            .metrics()
            .count("sessions.platform_failures", 1);
        if let Some(suppressed) = self.failures.admit(self.now()) {
            slog::warn!(self.context.log(), "{}", message;
                "error" => %error, "suppressed" => suppressed);
        }
    }

    /// Logs a platform failure during an operation on limit slots, subject to the same log rate
    /// limit.
    pub(crate) fn log_limit_failure(&self, message: &'static str, error: &PlatformError) {
        self.log_failure(message, error);
    }

    /// Runs one maintenance step: establishes the session, renews it, or replaces its witnesses.
    pub(super) async fn maintain(self: &Rc<Self>) -> Result<(), PlatformError> {
        if self.is_stopping.get() {
            return Ok(());
        }
        if self.holder.borrow().has_ended() {
            self.start_new_session();
        }
        if !self.is_written() {
            return self.establish().await;
        }
        if !self.is_valid() && self.now() >= self.checked_at.get() + INVALID_CHECK_INTERVAL {
            self.checked_at.set(self.now());
            self.read_back().await?;
        }
        let is_write_pending = self.holder.borrow().pending().is_some();
        if is_write_pending || self.is_renewal_due() {
            return self.renew().await;
        }
        Ok(())
    }

    /// Starts a new session after the end of the previous one, and drops the leases held under it.
    fn start_new_session(&self) {
        slog::warn!(
            self.context.log(),
            "the session has ended; starting a new one"
        );
        self.context.metrics().count("sessions.ended", 1);
        self.leases.borrow_mut().clear();
        self.holder
            .replace(new_holder(&self.context, rand::random::<u64>() | 1));
    }

    /// Writes the session for the first time, after ending the session of an earlier process at
    /// this address.
    async fn establish(self: &Rc<Self>) -> Result<(), PlatformError> {
        let id = self.id();
        let parsed = self.read_back().await?;
        if self.is_written() {
            return Ok(());
        }
        let version = match parsed {
            None => 0,
            Some((version, record)) => {
                let is_free = can_fence_predecessor(&record, id.incarnation);
                if !is_free && !self.end_previous_session(&id, record.incarnation).await? {
                    return Ok(());
                }
                match is_free {
                    true => version,
                    // Ending the earlier session changed the object's version.
                    false => self.version_of(&id).await?,
                }
            }
        };
        let witnesses = choose_witnesses(&id.instance, &self.peers.witness_candidates());
        let now = self.now();
        let write =
            self.holder
                .borrow_mut()
                .begin_first_write(version, witnesses, rand::random(), now);
        match write {
            Some(write) => self.write(write).await,
            None => Ok(()),
        }
    }

    async fn version_of(&self, id: &SessionId) -> Result<ObjectVersion, PlatformError> {
        let found = self.platform.read(&id.object_key()).await?;
        Ok(found.map_or(0, |object| object.version))
    }

    /// Ends the session of an earlier process at this address. Returns whether it has ended.
    async fn end_previous_session(
        self: &Rc<Self>,
        id: &SessionId,
        incarnation: Incarnation,
    ) -> Result<bool, PlatformError> {
        let earlier = SessionId {
            instance: id.instance.clone(),
            incarnation,
        };
        match self.end_session(&earlier).await {
            EndOutcome::Ended { .. } => Ok(true),
            EndOutcome::NotYet => Ok(false),
        }
    }

    /// Whether the session should be written again, because a renewal is due or its witnesses
    /// change, and the proposed witnesses have vouched. Also proposes the desired witnesses.
    fn is_renewal_due(&self) -> bool {
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        let wanted = self.desired_witnesses(&holder);
        let is_old = holder.age(now).is_some_and(|age| age >= RENEWAL_PERIOD);
        let is_changed = wanted != holder.witnesses();
        holder.propose_witnesses(wanted);
        (is_old || is_changed) && holder.is_proposal_vouched(now)
    }

    /// Returns the witnesses that the session should have: the current ones while all of them are
    /// live and no further ones are needed or available, otherwise the candidates with the best
    /// rendezvous rank.
    ///
    /// The last witnesses are never dropped while their own sessions may be valid. Otherwise two
    /// instances that cannot reach each other would both continue without witnesses.
    fn desired_witnesses(&self, holder: &SessionHolder) -> Vec<WitnessRef> {
        let possible = self.peers.witness_candidates();
        let current = holder.witnesses();
        let live: BTreeSet<&WitnessRef> = possible.iter().map(|(witness, _)| witness).collect();
        let is_full = current.len() >= possible.len().min(crate::core::lease::MAX_WITNESSES);
        if is_full && current.iter().all(|witness| live.contains(witness)) {
            return current.to_vec();
        }
        let chosen = choose_witnesses(&holder.id().instance, &possible);
        if chosen.is_empty()
            && !current
                .iter()
                .all(|witness| self.has_witness_ended(witness))
        {
            return current.to_vec();
        }
        chosen
    }

    /// Whether the session of a witness's incarnation has provably ended.
    fn has_witness_ended(&self, witness: &WitnessRef) -> bool {
        self.takeovers.is_ended(witness)
    }

    /// Reads the session object and updates the local state from it. This resolves pending writes
    /// and detects that another instance has fenced the session.
    async fn read_back(&self) -> Result<FoundSession, PlatformError> {
        let found = self.platform.read(&self.id().object_key()).await?;
        let parsed = parse_session(found.as_ref())?;
        self.holder
            .borrow_mut()
            .on_read_back(as_found(&parsed), self.now());
        Ok(parsed)
    }

    /// Resolves a pending write if there is one, then writes the session with a new term.
    async fn renew(&self) -> Result<(), PlatformError> {
        if self.holder.borrow().pending().is_some() {
            self.read_back().await?;
            if self.holder.borrow().pending().is_none() {
                return Ok(());
            }
        }
        let now = self.now();
        let write = {
            let mut holder = self.holder.borrow_mut();
            let witnesses = self.desired_witnesses(&holder);
            holder.begin_renewal(witnesses, rand::random(), now)
        };
        match write {
            Some(write) => self.write(write).await,
            None => Ok(()),
        }
    }

    /// Writes the session object and updates the local state with the result.
    pub(super) async fn write(&self, write: SessionWrite) -> Result<(), PlatformError> {
        let key = self.id().object_key();
        let result = self
            .platform
            .write(&key, write.if_version, &write.record)
            .await;
        match result {
            Ok(WriteOutcome::Done { version }) => {
                let now = self.now();
                self.holder.borrow_mut().on_written(version, now);
                self.context.metrics().count("sessions.writes", 1);
                Ok(())
            }
            Ok(WriteOutcome::Conflict { .. }) => {
                self.read_back().await?;
                Ok(())
            }
            Err(error) => {
                let has_no_effect = error.has_no_effect();
                self.holder.borrow_mut().on_failed(has_no_effect);
                Err(error)
            }
        }
    }

    /// Requests vouches from all witnesses concurrently.
    pub(super) async fn collect_vouches(&self) {
        let session = self.id();
        let witnesses = self.holder.borrow().vouch_targets();
        let requests = witnesses
            .iter()
            .map(|witness| self.request_vouch(&session, witness));
        futures_util::future::join_all(requests).await;
        let is_valid = self.is_valid();
        self.context
            .metrics()
            .gauge("sessions.valid", u64::from(is_valid));
    }

    async fn request_vouch(&self, session: &SessionId, witness: &WitnessRef) {
        let sent_at = self.now();
        let is_vouched = matches!(self.peer_rpc.vouch(witness, session).await, Ok(true));
        let mut holder = self.holder.borrow_mut();
        if is_vouched && holder.id() == session {
            let now = self.context.timers().now();
            holder.on_vouch(witness, sent_at, now);
        }
    }

    /// Ends the session during a graceful shutdown, after everything held under it was released.
    pub(super) async fn stop(&self) {
        self.is_stopping.set(true);
        let now = self.now();
        let write = self
            .holder
            .borrow_mut()
            .begin_final_write(rand::random(), now);
        let Some(write) = write else { return };
        let key = self.id().object_key();
        // If the write fails, other instances have to wait for a takeover.
        if let Err(error) = self
            .platform
            .write(&key, write.if_version, &write.record)
            .await
        {
            self.log_failure("cannot end the session", &error);
        }
    }
}

fn new_holder(context: &Context, incarnation: Incarnation) -> SessionHolder {
    let instance = context.settings().instance.peer_address.to_string().into();
    let id = SessionId {
        instance,
        incarnation,
    };
    SessionHolder::new(id, SessionTiming::default(), Safeguards::default())
}

/// A session with the version of its object; `None` if the object is absent.
pub(super) type FoundSession = Option<(ObjectVersion, SessionRecord)>;

pub(super) fn parse_session(found: Option<&StoredObject>) -> Result<FoundSession, PlatformError> {
    found
        .map(|object| Ok((object.version, object.parse()?)))
        .transpose()
}

fn as_found(parsed: &FoundSession) -> Option<(ObjectVersion, &SessionRecord)> {
    parsed.as_ref().map(|(version, record)| (*version, record))
}
