//! Model of one slot: instance A holds it under a session with witnesses, and instance B takes it
//! over.

use std::time::Duration;

use jujubelink::core::lease::{
    CollectingDenials, FenceReady, Safeguards, SessionHolder, SessionId, SessionRecord,
    SessionTiming, SessionWrite, Takeover, TakeoverStart, Waiting, Witness, WitnessRef,
};

use super::{World, expect_safe, expect_violation};

/// A tick is one second of real time.
const TIMING: SessionTiming = SessionTiming {
    term: Duration::from_secs(6),
    vouch_validity: Duration::from_secs(2),
    drift_base: Duration::from_secs(1),
    drift_percent: 0,
};

/// Bounds of a search: how often each action may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    ticks: u8,
    /// Ticks that do not advance A's clock.
    drift: u8,
    vouches: u8,
    renewals: u8,
    restarts: u8,
    /// Vouches that arrive twice at A.
    duplicates: u8,
    /// Whether denials take time to reach B. Without a delay, B takes over as early as possible.
    delays_denials: bool,
}

/// A vouch that A requests from a witness, with A's time of the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Vouch {
    None,
    Requested(Duration),
    Responded(Duration),
}

/// Progress of B's takeover.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum TakeoverState {
    Idle,
    CollectingDenials(Takeover<CollectingDenials>),
    Waiting(Takeover<Waiting>),
    Ready(Takeover<FenceReady>),
    HoldsSlot,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SessionWorld {
    safeguards: Safeguards,
    /// Actions that may still happen.
    bounds: Bounds,
    now: Duration,
    /// How far A's clock is behind `now`.
    lag: Duration,
    holder: SessionHolder,
    /// A's session object at the platform with its version.
    object: (u64, SessionRecord),
    /// Witnesses with their incarnations.
    witnesses: Vec<(Witness, u64)>,
    /// Vouches by witness.
    vouches: Vec<Vouch>,
    /// Whether a denial is in flight to B, by witness.
    denials: Vec<bool>,
    /// A's write in flight to the platform.
    write: Option<SessionWrite>,
    /// The platform's response in flight to A: the version that the write created.
    write_response: Option<u64>,
    /// Indexes of the witnesses that a renewal names.
    replacement: Vec<usize>,
    takeover_state: TakeoverState,
}

fn witness_ref(index: usize, incarnation: u64) -> WitnessRef {
    WitnessRef {
        instance: format!("w{index}").into(),
        incarnation,
    }
}

fn session_a() -> SessionId {
    SessionId {
        instance: "a".into(),
        incarnation: 1,
    }
}

impl SessionWorld {
    /// A holds the slot with fresh vouches of the witnesses `initial`. Its renewals name the
    /// witnesses `replacement`.
    fn new(
        safeguards: Safeguards,
        bounds: Bounds,
        initial: &[usize],
        replacement: &[usize],
    ) -> Self {
        let now = Duration::from_secs(10);
        let mut holder = SessionHolder::new(session_a(), TIMING, safeguards);
        let refs: Vec<_> = initial.iter().map(|index| witness_ref(*index, 1)).collect();
        let write = holder
            .begin_first_write(0, refs.clone(), 1, now)
            .expect("a first write");
        holder.on_written(1, now);
        for witness in &refs {
            holder.on_vouch(witness, now, now);
        }
        let count = initial
            .iter()
            .chain(replacement)
            .max()
            .map_or(0, |last| last + 1);
        Self {
            safeguards,
            bounds,
            now,
            lag: Duration::ZERO,
            holder,
            object: (1, write.record),
            witnesses: vec![(Witness::new(1, safeguards), 1); count],
            vouches: vec![Vouch::None; count],
            denials: vec![false; count],
            write: None,
            write_response: None,
            replacement: replacement.to_vec(),
            takeover_state: TakeoverState::Idle,
        }
    }

    /// Time on A's clock.
    fn now_at_a(&self) -> Duration {
        self.now - self.lag
    }

    fn index_of(&self, witness: &WitnessRef) -> usize {
        witness.instance[1..].parse().expect("an index")
    }

    fn tick_steps(&self, out: &mut Vec<(String, Self)>) {
        if self.bounds.ticks == 0 {
            return;
        }
        let mut next = self.clone();
        next.now += Duration::from_secs(1);
        next.bounds.ticks -= 1;
        if self.bounds.drift > 0 {
            let mut slow = next.clone();
            slow.lag += Duration::from_secs(1);
            slow.bounds.drift -= 1;
            out.push(("tick that does not advance A's clock".to_owned(), slow));
        }
        out.push(("tick".to_owned(), next));
    }

    fn vouch_steps(&self, out: &mut Vec<(String, Self)>) {
        for witness in self.holder.vouch_targets() {
            let index = self.index_of(&witness);
            if self.vouches[index] == Vouch::None && self.bounds.vouches > 0 {
                let mut next = self.clone();
                next.bounds.vouches -= 1;
                next.vouches[index] = Vouch::Requested(self.now_at_a());
                out.push((format!("A requests a vouch from w{index}"), next));
            }
        }
        for (index, vouch) in self.vouches.iter().enumerate() {
            let mut next = self.clone();
            match vouch {
                Vouch::None => continue,
                Vouch::Requested(sent_at) => {
                    let (witness, _) = &self.witnesses[index];
                    next.vouches[index] = match witness.on_vouch(&session_a(), 1) {
                        true => Vouch::Responded(*sent_at),
                        false => Vouch::None,
                    };
                    out.push((format!("w{index} handles the request for a vouch"), next));
                }
                Vouch::Responded(sent_at) => {
                    let now = self.now_at_a();
                    next.holder.on_vouch(&witness_ref(index, 1), *sent_at, now);
                    if self.bounds.duplicates > 0 {
                        // Delivered now, and in flight for a second delivery.
                        let mut duplicated = next.clone();
                        duplicated.bounds.duplicates -= 1;
                        out.push((
                            format!("A receives the vouch of w{index}, which will arrive again"),
                            duplicated,
                        ));
                    }
                    next.vouches[index] = Vouch::None;
                    out.push((format!("A receives the vouch of w{index}"), next));
                }
            }
        }
    }

    fn renewal_steps(&self, out: &mut Vec<(String, Self)>) {
        let is_due = self.bounds.renewals > 0 && self.write.is_none();
        if is_due && self.holder.pending().is_none() {
            let mut next = self.clone();
            next.bounds.renewals -= 1;
            let refs = self
                .replacement
                .iter()
                .map(|index| witness_ref(*index, 1))
                .collect();
            let nonce = u64::from(self.bounds.renewals) + 100;
            next.write = next.holder.begin_renewal(refs, nonce, self.now_at_a());
            out.push(("A sends a renewal".to_owned(), next));
        }
        if let Some(write) = &self.write {
            let mut next = self.clone();
            next.write = None;
            if write.if_version == self.object.0 {
                next.object = (self.object.0 + 1, write.record.clone());
                next.write_response = Some(next.object.0);
            }
            out.push(("the renewal reaches the platform".to_owned(), next));
        }
        if let Some(version) = self.write_response {
            let mut next = self.clone();
            next.write_response = None;
            next.holder.on_written(version, self.now_at_a());
            out.push(("A receives the response to its renewal".to_owned(), next));
            let mut lost = self.clone();
            lost.write_response = None;
            out.push(("the response to the renewal is lost".to_owned(), lost));
        }
        if self.holder.pending().is_some() && self.write_response.is_none() && self.write.is_none()
        {
            let mut next = self.clone();
            let (version, record) = &self.object;
            next.holder
                .on_read_back(Some((*version, record)), self.now_at_a());
            out.push(("A reads its session back".to_owned(), next));
        }
    }

    fn witness_restart_steps(&self, out: &mut Vec<(String, Self)>) {
        if self.bounds.restarts == 0 {
            return;
        }
        for index in 0..self.witnesses.len() {
            let mut next = self.clone();
            next.bounds.restarts -= 1;
            next.witnesses[index] = (Witness::new(2, self.safeguards), 2);
            out.push((format!("w{index} restarts"), next));
        }
    }

    fn takeover_steps(&self, out: &mut Vec<(String, Self)>) {
        let mut next = self.clone();
        match self.takeover_state.clone() {
            TakeoverState::Idle => {
                let (version, record) = self.object.clone();
                let (now, safeguards) = (self.now, self.safeguards);
                next.denials.fill(false);
                next.takeover_state =
                    match Takeover::begin(session_a(), version, record, TIMING, safeguards, now) {
                        TakeoverStart::Ended => TakeoverState::HoldsSlot,
                        TakeoverStart::Collect(takeover) => {
                            TakeoverState::CollectingDenials(takeover)
                        }
                    };
                out.push(("B reads A's session".to_owned(), next));
            }
            TakeoverState::CollectingDenials(takeover) => {
                self.denial_steps(&takeover, out);
                for index in 0..self.denials.len() {
                    if self.denials[index] {
                        let mut next = self.clone();
                        next.denials[index] = false;
                        let witness = witness_ref(index, 1);
                        next.takeover_state = match takeover.clone().on_denial(&witness, self.now) {
                            Ok(waiting) => TakeoverState::Waiting(waiting),
                            Err(collecting) => TakeoverState::CollectingDenials(collecting),
                        };
                        out.push((format!("B receives the denial of w{index}"), next));
                    }
                }
                if let Ok(ready) = takeover.on_tick(self.now) {
                    next.takeover_state = TakeoverState::Ready(ready);
                    out.push(("the session's term ends for B".to_owned(), next));
                }
            }
            TakeoverState::Waiting(waiting) => {
                if let Ok(ready) = waiting.on_tick(self.now) {
                    next.takeover_state = TakeoverState::Ready(ready);
                    out.push(("B's wait after the denials ends".to_owned(), next));
                }
            }
            TakeoverState::Ready(ready) => {
                let write = ready.fence(999, self.now);
                let is_current = write.if_version == self.object.0;
                next.takeover_state = TakeoverState::Idle;
                if is_current || !self.safeguards.fences_conditionally {
                    next.object = (self.object.0 + 1, write.record);
                    out.push((
                        "B fences A's session, the response is lost".to_owned(),
                        next.clone(),
                    ));
                    next.takeover_state = TakeoverState::HoldsSlot;
                }
                out.push(("B fences A's session".to_owned(), next));
            }
            TakeoverState::HoldsSlot => {}
        }
    }

    fn denial_steps(&self, takeover: &Takeover<CollectingDenials>, out: &mut Vec<(String, Self)>) {
        for witness in takeover.pending_witnesses() {
            let index = self.index_of(&witness);
            let mut next = self.clone();
            let is_denied = next.witnesses[index]
                .0
                .on_deny(&session_a(), witness.incarnation);
            if !is_denied || self.denials[index] {
                continue;
            }
            if self.bounds.delays_denials {
                next.denials[index] = true;
            } else {
                next.takeover_state = match takeover.clone().on_denial(&witness, self.now) {
                    Ok(waiting) => TakeoverState::Waiting(waiting),
                    Err(collecting) => TakeoverState::CollectingDenials(collecting),
                };
            }
            out.push((format!("w{index} denies"), next));
        }
    }
}

impl World for SessionWorld {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.tick_steps(&mut out);
        self.vouch_steps(&mut out);
        self.renewal_steps(&mut out);
        self.witness_restart_steps(&mut out);
        self.takeover_steps(&mut out);
        out
    }

    fn is_violated(&self) -> bool {
        self.takeover_state == TakeoverState::HoldsSlot && self.holder.is_valid(self.now_at_a())
    }
}

const NO_ACTIONS: Bounds = Bounds {
    ticks: 0,
    drift: 0,
    vouches: 0,
    renewals: 0,
    restarts: 0,
    duplicates: 0,
    delays_denials: false,
};
const THREE_WITNESSES: Bounds = Bounds {
    ticks: 4,
    drift: 1,
    vouches: 2,
    ..NO_ACTIONS
};
const WITNESS_RESTART: Bounds = Bounds {
    ticks: 4,
    vouches: 1,
    restarts: 1,
    duplicates: 1,
    ..NO_ACTIONS
};
const ONE_WITNESS: Bounds = Bounds {
    ticks: 6,
    drift: 1,
    vouches: 2,
    duplicates: 1,
    delays_denials: true,
    ..NO_ACTIONS
};
const WITNESS_CHANGE: Bounds = Bounds {
    ticks: 4,
    vouches: 2,
    renewals: 1,
    ..NO_ACTIONS
};
const NO_WITNESS: Bounds = Bounds {
    ticks: 14,
    drift: 1,
    renewals: 2,
    ..NO_ACTIONS
};

fn three_witnesses(safeguards: Safeguards) -> SessionWorld {
    SessionWorld::new(safeguards, THREE_WITNESSES, &[0, 1, 2], &[0, 1, 2])
}

fn one_witness(safeguards: Safeguards) -> SessionWorld {
    SessionWorld::new(safeguards, ONE_WITNESS, &[0], &[0])
}

fn restarted_witness(safeguards: Safeguards) -> SessionWorld {
    SessionWorld::new(safeguards, WITNESS_RESTART, &[0, 1, 2], &[0, 1, 2])
}

fn changed_witness(safeguards: Safeguards) -> SessionWorld {
    SessionWorld::new(safeguards, WITNESS_CHANGE, &[0], &[1])
}

fn no_witness(safeguards: Safeguards) -> SessionWorld {
    SessionWorld::new(safeguards, NO_WITNESS, &[], &[])
}

/// Guards against two instances that both may act as holder of a slot: A while its session still
/// seems valid to it, and B after its takeover.
#[test]
fn a_slot_has_one_valid_holder() {
    let safeguards = Safeguards::default();
    expect_safe("three witnesses", &three_witnesses(safeguards));
    expect_safe("one witness", &one_witness(safeguards));
    expect_safe("a witness restarts", &restarted_witness(safeguards));
    expect_safe(
        "the renewal changes the witness",
        &changed_witness(safeguards),
    );
    expect_safe("no witness", &no_witness(safeguards));
}

/// Guards against a model that does not detect the fault which a safeguard prevents: each search
/// runs with one safeguard disabled and must find a violation.
#[test]
fn searches_without_a_session_safeguard_find_a_violation() {
    let all_enabled = Safeguards::default;
    expect_violation(
        "the holder acts without checking its session",
        &one_witness(Safeguards {
            checks_before_effect: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "a vouch is valid from the response instead of the request",
        &one_witness(Safeguards {
            validity_starts_at_send: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "the term counts from the response instead of the write",
        &no_witness(Safeguards {
            validity_starts_at_send: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "a witness vouches again after a denial",
        &one_witness(Safeguards {
            denials_are_permanent: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "the takeover does not wait after the denials",
        &one_witness(Safeguards {
            waits_after_denials: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "the takeover adds no margin for clock drift",
        &one_witness(Safeguards {
            adds_drift_margin: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "one denial of three witnesses suffices",
        &three_witnesses(Safeguards {
            needs_denial_quorum: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "denials of the old witnesses suffice while witnesses change",
        &changed_witness(Safeguards {
            needs_both_witness_sets: false,
            ..all_enabled()
        }),
    );
    expect_violation(
        "the fence is written without a version condition",
        &changed_witness(Safeguards {
            fences_conditionally: false,
            ..all_enabled()
        }),
    );
}
