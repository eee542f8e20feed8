//! Holder side of a session.

use std::collections::BTreeMap;

use super::{
    MAX_WITNESSES, Safeguards, SessionId, SessionRecord, SessionState, SessionTiming, WitnessRef,
    vouch_quorum,
};
use crate::core::ids::{InstanceId, ObjectVersion, Timestamp};
use crate::util::hash::stable_hash;

/// A conditional write of the session object.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionWrite {
    /// Version that the object must have for the write to apply.
    pub if_version: ObjectVersion,
    /// New value.
    pub record: SessionRecord,
    /// Time before the request was sent.
    pub sent_at: Timestamp,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    Unwritten,
    Held {
        version: ObjectVersion,
        sent_at: Timestamp,
        witnesses: Vec<WitnessRef>,
    },
    Ended,
}

/// The session of the local instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionHolder {
    id: SessionId,
    timing: SessionTiming,
    safeguards: Safeguards,
    state: State,
    /// Write whose outcome is not known yet.
    pending: Option<SessionWrite>,
    /// Whether an earlier request for the pending write may still be applied.
    has_unresolved_request: bool,
    /// Witnesses for the next renewal. Their vouches are requested before the renewal is written.
    proposed_witnesses: Vec<WitnessRef>,
    /// Start of the validity of the last vouch, by witness. Holds only current and pending
    /// witnesses.
    vouches: BTreeMap<WitnessRef, Timestamp>,
}

impl SessionHolder {
    /// Creates a session that has not been written yet.
    pub fn new(id: SessionId, timing: SessionTiming, safeguards: Safeguards) -> Self {
        Self {
            id,
            timing,
            safeguards,
            state: State::Unwritten,
            pending: None,
            has_unresolved_request: false,
            proposed_witnesses: Vec::new(),
            vouches: BTreeMap::new(),
        }
    }

    /// Returns the identifier of the session.
    pub fn id(&self) -> &SessionId {
        &self.id
    }

    /// Whether the session has ended permanently.
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether the session is written and has not ended.
    pub fn is_written(&self) -> bool {
        matches!(self.state, State::Held { .. })
    }

    /// Returns the write whose outcome is not known yet.
    pub fn pending(&self) -> Option<&SessionWrite> {
        self.pending.as_ref()
    }

    /// Returns the time since the last successful write was sent.
    pub fn age(&self, now: Timestamp) -> Option<std::time::Duration> {
        match &self.state {
            State::Held { sent_at, .. } => Some(now.saturating_sub(*sent_at)),
            _ => None,
        }
    }

    /// Returns the witnesses of the last successful write.
    pub fn witnesses(&self) -> &[WitnessRef] {
        match &self.state {
            State::Held { witnesses, .. } => witnesses,
            _ => &[],
        }
    }

    /// Returns the witnesses to request vouches from: the current ones, those of the pending write
    /// and the proposed ones.
    pub fn vouch_targets(&self) -> Vec<WitnessRef> {
        let mut targets = self.witnesses().to_vec();
        let pending = self
            .pending
            .iter()
            .flat_map(|write| &write.record.witnesses);
        for witness in pending.chain(&self.proposed_witnesses) {
            if !targets.contains(witness) {
                targets.push(witness.clone());
            }
        }
        targets
    }

    /// Sets the witnesses for the next renewal. Requesting their vouches before the write keeps the
    /// session valid right after it.
    pub fn propose_witnesses(&mut self, witnesses: Vec<WitnessRef>) {
        self.proposed_witnesses = witnesses;
    }

    /// Whether a quorum of the proposed witnesses vouches for the session.
    pub fn is_proposal_vouched(&self, now: Timestamp) -> bool {
        self.vouched_until(&self.proposed_witnesses, Timestamp::MAX)
            .is_some_and(|until| until > now)
    }

    /// Starts the first write, conditional on the version `found`. Repeats a pending write on the
    /// same version unchanged.
    pub fn begin_first_write(
        &mut self,
        found: ObjectVersion,
        witnesses: Vec<WitnessRef>,
        nonce: u64,
        now: Timestamp,
    ) -> Option<SessionWrite> {
        match self.state {
            State::Unwritten => Some(self.begin(found, witnesses, nonce, now)),
            _ => None,
        }
    }

    /// Starts a renewal, which may change the witnesses. Repeats a pending write on the same
    /// version unchanged.
    pub fn begin_renewal(
        &mut self,
        witnesses: Vec<WitnessRef>,
        nonce: u64,
        now: Timestamp,
    ) -> Option<SessionWrite> {
        match self.state {
            State::Held { version, .. } => Some(self.begin(version, witnesses, nonce, now)),
            _ => None,
        }
    }

    /// Ends the session permanently for a planned stop. Returns the write that marks it as fenced
    /// for other instances.
    pub fn begin_final_write(&mut self, nonce: u64, now: Timestamp) -> Option<SessionWrite> {
        let write = self.begin_renewal(self.witnesses().to_vec(), nonce, now);
        self.state = State::Ended;
        let mut write = write?;
        write.record.state = SessionState::Fenced;
        Some(write)
    }

    fn begin(
        &mut self,
        if_version: ObjectVersion,
        witnesses: Vec<WitnessRef>,
        nonce: u64,
        now: Timestamp,
    ) -> SessionWrite {
        // An earlier request may still be applied, so the repeat must write the same value.
        if let Some(pending) = &self.pending
            && pending.if_version == if_version
        {
            return pending.clone();
        }
        let record = SessionRecord {
            incarnation: self.id.incarnation,
            nonce,
            witnesses,
            term_ms: self.timing.term.as_millis() as u64,
            state: SessionState::Active,
        };
        let write = SessionWrite {
            if_version,
            record,
            sent_at: now,
        };
        self.pending = Some(write.clone());
        self.has_unresolved_request = false;
        write
    }

    /// Handles the confirmation that the pending write was applied.
    pub fn on_written(&mut self, version: ObjectVersion, now: Timestamp) {
        let Some(write) = self.pending.take() else {
            return;
        };
        if self.state == State::Ended {
            return;
        }
        let sent_at = match self.safeguards.validity_starts_at_send {
            true => write.sent_at,
            false => now,
        };
        let witnesses = write.record.witnesses;
        self.proposed_witnesses.clear();
        self.vouches
            .retain(|witness, _| witnesses.contains(witness));
        self.state = State::Held {
            version,
            sent_at,
            witnesses,
        };
    }

    /// Handles a failed request for the pending write. The write stays pending unless this request
    /// and all earlier ones were definitely not applied.
    pub fn on_failed(&mut self, is_definitely_not_applied: bool) {
        if is_definitely_not_applied && !self.has_unresolved_request {
            self.pending = None;
        } else {
            self.has_unresolved_request = true;
        }
    }

    /// Determines the outcome of the pending write from the object as read back, after a lost
    /// response or a version conflict.
    pub fn on_read_back(&mut self, found: Option<(ObjectVersion, &SessionRecord)>, now: Timestamp) {
        let Some((version, record)) = found else {
            if self.is_written() {
                self.end();
            }
            return;
        };
        let is_pending = self.pending.as_ref().is_some_and(|write| {
            write.record.nonce == record.nonce && !record.has_ended(self.id.incarnation)
        });
        if is_pending {
            self.on_written(version, now);
            return;
        }
        match &self.state {
            State::Held {
                version: held_version,
                ..
            } if version != *held_version => self.end(),
            State::Unwritten
                if self
                    .pending
                    .as_ref()
                    .is_some_and(|w| w.if_version != version) =>
            {
                // Another writer replaced the object, so the pending write can no longer succeed.
                self.pending = None;
            }
            _ => {}
        }
    }

    /// Ends the session permanently on the local instance, without a write.
    pub fn end(&mut self) {
        self.state = State::Ended;
        self.pending = None;
        self.vouches.clear();
    }

    /// Records a vouch that was requested at `sent_at` and received at `now`.
    pub fn on_vouch(&mut self, witness: &WitnessRef, sent_at: Timestamp, now: Timestamp) {
        if !self.vouch_targets().contains(witness) {
            return;
        }
        let validity_start = match self.safeguards.validity_starts_at_send {
            true => sent_at,
            false => now,
        };
        let last = self
            .vouches
            .entry(witness.clone())
            .or_insert(validity_start);
        *last = validity_start.max(*last);
    }

    /// Whether the session is valid now. Checked immediately before each effect.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        !self.safeguards.checks_before_effect && self.is_written() || self.remaining(now).is_some()
    }

    /// Returns how long the session stays valid without further writes and vouches, or `None` if it
    /// is not valid.
    pub fn remaining(&self, now: Timestamp) -> Option<std::time::Duration> {
        let State::Held {
            sent_at, witnesses, ..
        } = &self.state
        else {
            return None;
        };
        let term_end = *sent_at + self.timing.term - self.timing.drift_margin(self.timing.term);
        let mut end = term_end.min(self.vouched_until(witnesses, term_end)?);
        if let Some(write) = &self.pending
            && self.safeguards.needs_both_witness_sets
        {
            end = end.min(self.vouched_until(&write.record.witnesses, term_end)?);
        }
        end.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns the time until which a quorum of `witnesses` vouches, or `fallback` if `witnesses`
    /// is empty.
    fn vouched_until(&self, witnesses: &[WitnessRef], fallback: Timestamp) -> Option<Timestamp> {
        if witnesses.is_empty() {
            return Some(fallback);
        }
        let mut vouch_times: Vec<Timestamp> = witnesses
            .iter()
            .filter_map(|witness| self.vouches.get(witness).copied())
            .collect();
        vouch_times.sort_unstable_by(|a, b| b.cmp(a));
        let last_needed = vouch_times.get(vouch_quorum(witnesses.len()) - 1)?;
        Some(*last_needed + self.timing.vouch_validity)
    }
}

/// Chooses witnesses for `holder` from the live members and their failure domains.
///
/// Takes one member of each failure domain in turn, by rendezvous hashing, so that the loss of a
/// failure domain affects few witnesses.
pub fn choose_witnesses(holder: &InstanceId, live: &[(WitnessRef, String)]) -> Vec<WitnessRef> {
    let mut domains: BTreeMap<&str, Vec<(u64, &WitnessRef)>> = BTreeMap::new();
    for (witness, domain) in live {
        let seed = stable_hash(0, holder.as_bytes());
        let rank = stable_hash(seed, witness.instance.as_bytes());
        domains.entry(domain).or_default().push((rank, witness));
    }
    // Ordered by the position within the failure domain, then by rank.
    let mut ranked: Vec<(usize, u64, &WitnessRef)> = Vec::new();
    for members in domains.values_mut() {
        members.sort_unstable();
        let positioned = members.iter().enumerate();
        ranked.extend(positioned.map(|(position, (rank, witness))| (position, *rank, *witness)));
    }
    ranked.sort_unstable();
    let mut chosen: Vec<WitnessRef> = ranked
        .into_iter()
        .take(MAX_WITNESSES)
        .map(|(_, _, witness)| witness.clone())
        .collect();
    chosen.sort_unstable();
    chosen
}
