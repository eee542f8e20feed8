//! One slot, its holder A under a session with witnesses, and B that takes it over.

use std::time::Duration;

use jujubelink::core::lease::{
    CollectingDenials, FenceReady, Safeguards, SessionHolder, SessionId, SessionRecord,
    SessionTiming, SessionWrite, Takeover, TakeoverStart, Waiting, Witness, WitnessRef,
};

use super::{World, expect_safe, expect_violation};

/// Ticks are seconds of the true time. A vouch lasts 2, the term 6 and the drift margin 1.
const TIMES: SessionTiming = SessionTiming {
    term: Duration::from_secs(6),
    vouch_validity: Duration::from_secs(2),
    drift_base: Duration::from_secs(1),
    drift_percent: 0,
};

/// Bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    /// Ticks that A's clock misses.
    drift: u8,
    vouches: u8,
    renewals: u8,
    restarts: u8,
    /// Answers of witnesses that arrive twice.
    duplicates: u8,
    /// Whether a denial takes time to reach B. Without it the takeover is as early as it can be.
    delays_denials: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Vouch {
    None,
    Asked(Duration),
    Answered(Duration),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Taker {
    Idle,
    CollectingDenials(Takeover<CollectingDenials>),
    Waiting(Takeover<Waiting>),
    Ready(Takeover<FenceReady>),
    HoldsSlot,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sessions {
    safeguards: Safeguards,
    budget: Budget,
    now: Duration,
    /// How far A's clock is behind.
    lag: Duration,
    holder: SessionHolder,
    object: (u64, SessionRecord),
    witnesses: Vec<(Witness, u64)>,
    vouches: Vec<Vouch>,
    /// Witnesses whose denial is on its way to B.
    denials: Vec<bool>,
    /// A's write on its way to the platform, and the platform's answer on its way back.
    write: Option<SessionWrite>,
    answer: Option<u64>,
    replacement: Vec<usize>,
    taker: Taker,
}

fn witness_ref(index: usize, incarnation: u64) -> WitnessRef {
    WitnessRef {
        instance: format!("w{index}").into(),
        incarnation,
    }
}

fn a() -> SessionId {
    SessionId {
        instance: "a".into(),
        incarnation: 1,
    }
}

impl Sessions {
    /// A holds the slot with fresh vouches of `initial`; a renewal names `replacement`.
    fn new(
        safeguards: Safeguards,
        budget: Budget,
        initial: &[usize],
        replacement: &[usize],
    ) -> Self {
        let now = Duration::from_secs(10);
        let mut holder = SessionHolder::new(a(), TIMES, safeguards);
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
            budget,
            now,
            lag: Duration::ZERO,
            holder,
            object: (1, write.record),
            witnesses: vec![(Witness::new(1, safeguards), 1); count],
            vouches: vec![Vouch::None; count],
            denials: vec![false; count],
            write: None,
            answer: None,
            replacement: replacement.to_vec(),
            taker: Taker::Idle,
        }
    }

    fn a_now(&self) -> Duration {
        self.now - self.lag
    }

    fn index_of(&self, witness: &WitnessRef) -> usize {
        witness.instance[1..].parse().expect("an index")
    }

    fn ticks(&self, out: &mut Vec<(String, Self)>) {
        if self.budget.ticks == 0 {
            return;
        }
        let mut next = self.clone();
        next.now += Duration::from_secs(1);
        next.budget.ticks -= 1;
        if self.budget.drift > 0 {
            let mut slow = next.clone();
            slow.lag += Duration::from_secs(1);
            slow.budget.drift -= 1;
            out.push(("tick that A's clock misses".to_owned(), slow));
        }
        out.push(("tick".to_owned(), next));
    }

    fn vouching(&self, out: &mut Vec<(String, Self)>) {
        for witness in self.holder.vouch_targets() {
            let index = self.index_of(&witness);
            if self.vouches[index] == Vouch::None && self.budget.vouches > 0 {
                let mut next = self.clone();
                next.budget.vouches -= 1;
                next.vouches[index] = Vouch::Asked(self.a_now());
                out.push((format!("A asks w{index}"), next));
            }
        }
        for (index, vouch) in self.vouches.iter().enumerate() {
            let mut next = self.clone();
            match vouch {
                Vouch::None => continue,
                Vouch::Asked(sent_at) => {
                    let (witness, _) = &self.witnesses[index];
                    next.vouches[index] = match witness.on_vouch(&a(), 1) {
                        true => Vouch::Answered(*sent_at),
                        false => Vouch::None,
                    };
                    out.push((format!("w{index} answers A"), next));
                }
                Vouch::Answered(sent_at) => {
                    let now = self.a_now();
                    next.holder.on_vouch(&witness_ref(index, 1), *sent_at, now);
                    if self.budget.duplicates > 0 {
                        // Delivered, and still there to be delivered again.
                        let mut again = next.clone();
                        again.budget.duplicates -= 1;
                        out.push((format!("A hears w{index}, again later"), again));
                    }
                    next.vouches[index] = Vouch::None;
                    out.push((format!("A hears w{index}"), next));
                }
            }
        }
    }

    fn renewing(&self, out: &mut Vec<(String, Self)>) {
        let is_due = self.budget.renewals > 0 && self.write.is_none();
        if is_due && self.holder.pending().is_none() {
            let mut next = self.clone();
            next.budget.renewals -= 1;
            let refs = self
                .replacement
                .iter()
                .map(|index| witness_ref(*index, 1))
                .collect();
            let nonce = u64::from(self.budget.renewals) + 100;
            next.write = next.holder.begin_renewal(refs, nonce, self.a_now());
            out.push(("A sends a renewal".to_owned(), next));
        }
        if let Some(write) = &self.write {
            let mut next = self.clone();
            next.write = None;
            if write.if_version == self.object.0 {
                next.object = (self.object.0 + 1, write.record.clone());
                next.answer = Some(next.object.0);
            }
            out.push(("the renewal reaches the platform".to_owned(), next));
        }
        if let Some(version) = self.answer {
            let mut next = self.clone();
            next.answer = None;
            next.holder.on_written(version, self.a_now());
            out.push(("A hears of its renewal".to_owned(), next));
            let mut lost = self.clone();
            lost.answer = None;
            out.push(("the answer to the renewal is lost".to_owned(), lost));
        }
        if self.holder.pending().is_some() && self.answer.is_none() && self.write.is_none() {
            let mut next = self.clone();
            let (version, record) = &self.object;
            next.holder
                .on_read_back(Some((*version, record)), self.a_now());
            out.push(("A reads its session back".to_owned(), next));
        }
    }

    fn restarts(&self, out: &mut Vec<(String, Self)>) {
        if self.budget.restarts == 0 {
            return;
        }
        for index in 0..self.witnesses.len() {
            let mut next = self.clone();
            next.budget.restarts -= 1;
            next.witnesses[index] = (Witness::new(2, self.safeguards), 2);
            out.push((format!("w{index} restarts"), next));
        }
    }

    fn taking(&self, out: &mut Vec<(String, Self)>) {
        let mut next = self.clone();
        match self.taker.clone() {
            Taker::Idle => {
                let (version, record) = self.object.clone();
                let (now, safeguards) = (self.now, self.safeguards);
                next.denials.fill(false);
                next.taker = match Takeover::begin(a(), version, record, TIMES, safeguards, now) {
                    TakeoverStart::Ended => Taker::HoldsSlot,
                    TakeoverStart::Collect(takeover) => Taker::CollectingDenials(takeover),
                };
                out.push(("B reads A's session".to_owned(), next));
            }
            Taker::CollectingDenials(takeover) => {
                self.deny(&takeover, out);
                for index in 0..self.denials.len() {
                    if self.denials[index] {
                        let mut next = self.clone();
                        next.denials[index] = false;
                        let witness = witness_ref(index, 1);
                        next.taker = match takeover.clone().on_denial(&witness, self.now) {
                            Ok(waiting) => Taker::Waiting(waiting),
                            Err(collecting) => Taker::CollectingDenials(collecting),
                        };
                        out.push((format!("B hears w{index} deny"), next));
                    }
                }
                if let Ok(ready) = takeover.on_tick(self.now) {
                    next.taker = Taker::Ready(ready);
                    out.push(("the term ends for B".to_owned(), next));
                }
            }
            Taker::Waiting(waiting) => {
                if let Ok(ready) = waiting.on_tick(self.now) {
                    next.taker = Taker::Ready(ready);
                    out.push(("B's wait ends".to_owned(), next));
                }
            }
            Taker::Ready(ready) => {
                let write = ready.fence(999, self.now);
                let is_current = write.if_version == self.object.0;
                next.taker = Taker::Idle;
                if is_current || !self.safeguards.fences_conditionally {
                    next.object = (self.object.0 + 1, write.record);
                    out.push(("B fences, the answer is lost".to_owned(), next.clone()));
                    next.taker = Taker::HoldsSlot;
                }
                out.push(("B fences".to_owned(), next));
            }
            Taker::HoldsSlot => {}
        }
    }

    fn deny(&self, takeover: &Takeover<CollectingDenials>, out: &mut Vec<(String, Self)>) {
        for witness in takeover.pending_witnesses() {
            let index = self.index_of(&witness);
            let mut next = self.clone();
            let is_denied = next.witnesses[index].0.on_deny(&a(), witness.incarnation);
            if !is_denied || self.denials[index] {
                continue;
            }
            if self.budget.delays_denials {
                next.denials[index] = true;
            } else {
                next.taker = match takeover.clone().on_denial(&witness, self.now) {
                    Ok(waiting) => Taker::Waiting(waiting),
                    Err(collecting) => Taker::CollectingDenials(collecting),
                };
            }
            out.push((format!("w{index} denies"), next));
        }
    }
}

impl World for Sessions {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.ticks(&mut out);
        self.vouching(&mut out);
        self.renewing(&mut out);
        self.restarts(&mut out);
        self.taking(&mut out);
        out
    }

    fn is_violated(&self) -> bool {
        self.taker == Taker::HoldsSlot && self.holder.is_valid(self.a_now())
    }
}

const NONE: Budget = Budget {
    ticks: 0,
    drift: 0,
    vouches: 0,
    renewals: 0,
    restarts: 0,
    duplicates: 0,
    delays_denials: false,
};
const THREE: Budget = Budget {
    ticks: 4,
    drift: 1,
    vouches: 2,
    ..NONE
};
const RESTART: Budget = Budget {
    ticks: 4,
    vouches: 1,
    restarts: 1,
    duplicates: 1,
    ..NONE
};
const ONE: Budget = Budget {
    ticks: 6,
    drift: 1,
    vouches: 2,
    duplicates: 1,
    delays_denials: true,
    ..NONE
};
const CHANGE: Budget = Budget {
    ticks: 4,
    vouches: 2,
    renewals: 1,
    ..NONE
};
const ALONE: Budget = Budget {
    ticks: 14,
    drift: 1,
    renewals: 2,
    ..NONE
};

fn three_witnesses(safeguards: Safeguards) -> Sessions {
    Sessions::new(safeguards, THREE, &[0, 1, 2], &[0, 1, 2])
}

fn one_witness(safeguards: Safeguards) -> Sessions {
    Sessions::new(safeguards, ONE, &[0], &[0])
}

fn restarted_witness(safeguards: Safeguards) -> Sessions {
    Sessions::new(safeguards, RESTART, &[0, 1, 2], &[0, 1, 2])
}

fn changed_witness(safeguards: Safeguards) -> Sessions {
    Sessions::new(safeguards, CHANGE, &[0], &[1])
}

fn no_witness(safeguards: Safeguards) -> Sessions {
    Sessions::new(safeguards, ALONE, &[], &[])
}

/// Guards against two holders of a slot that may act at the same time.
#[test]
fn sessions_are_exclusive() {
    let safeguards = Safeguards::default();
    expect_safe("three witnesses", &three_witnesses(safeguards));
    expect_safe("one witness", &one_witness(safeguards));
    expect_safe("a restarted witness", &restarted_witness(safeguards));
    expect_safe("a change of witness", &changed_witness(safeguards));
    expect_safe("no witness", &no_witness(safeguards));
}

/// Guards against a search that cannot see what a safeguard prevents.
#[test]
fn removed_session_safeguards_are_found() {
    let on = Safeguards::default;
    expect_violation(
        "no check before the effect",
        &one_witness(Safeguards {
            checks_before_effect: false,
            ..on()
        }),
    );
    expect_violation(
        "vouches count from the answer",
        &one_witness(Safeguards {
            validity_starts_at_send: false,
            ..on()
        }),
    );
    expect_violation(
        "the term counts from the answer",
        &no_witness(Safeguards {
            validity_starts_at_send: false,
            ..on()
        }),
    );
    expect_violation(
        "denials are forgotten",
        &one_witness(Safeguards {
            denials_are_permanent: false,
            ..on()
        }),
    );
    expect_violation(
        "no wait after denials",
        &one_witness(Safeguards {
            waits_after_denials: false,
            ..on()
        }),
    );
    expect_violation(
        "no drift margin",
        &one_witness(Safeguards {
            adds_drift_margin: false,
            ..on()
        }),
    );
    expect_violation(
        "one denial is enough",
        &three_witnesses(Safeguards {
            needs_denial_quorum: false,
            ..on()
        }),
    );
    expect_violation(
        "the old witnesses are enough during a change",
        &changed_witness(Safeguards {
            needs_both_witness_sets: false,
            ..on()
        }),
    );
    expect_violation(
        "the fence ignores the version",
        &changed_witness(Safeguards {
            fences_conditionally: false,
            ..on()
        }),
    );
}
