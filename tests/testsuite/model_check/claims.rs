//! One non-idempotent request that a client sends to X and again to Y.

use std::time::Duration;

use jujubelink::core::claim::{ClaimAttempt, ClaimRecord, ClaimState, ClaimStep, ResponseRecord};
use jujubelink::core::lease::Safeguards;

use super::{World, expect_safe, expect_violation};

/// Ticks within which a claim may be sent. The real times are 60 s and 24 h; only their order
/// matters.
const MAX_SEND_DELAY: Duration = Duration::from_secs(2);

/// Wall time of a tick; a claim is old enough to be deleted after 4 ticks.
const TICK_UNIX_MS: u64 = 7 * 60 * 60 * 1000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Progress {
    New,
    /// Not known whether the claim exists.
    Unsettled,
    /// May run the request, at a version of the claim.
    Holds(u64),
    /// Has sent the request.
    Ran(u64),
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Caller {
    attempt: ClaimAttempt,
    progress: Progress,
    /// Create requests on their way to the platform.
    creates: u8,
    /// Create requests that may still be sent.
    creates_left: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClaimWorld {
    safeguards: Safeguards,
    tick: u64,
    ticks_left: u64,
    next_version: u64,
    object: Option<(u64, ClaimRecord)>,
    callers: Vec<Option<Caller>>,
    runs: u8,
}

impl ClaimWorld {
    fn new(safeguards: Safeguards) -> Self {
        Self {
            safeguards,
            tick: 0,
            ticks_left: 6,
            next_version: 1,
            object: None,
            callers: vec![None, None],
            runs: 0,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_secs(self.tick)
    }

    fn put(&mut self, record: ClaimRecord) -> u64 {
        let version = self.next_version;
        self.next_version += 1;
        self.object = Some((version, record));
        version
    }

    fn with(&self, index: usize, caller: Caller) -> Self {
        let mut next = self.clone();
        next.callers[index] = Some(caller);
        next
    }

    fn record(&self, caller: &Caller) -> ClaimRecord {
        caller
            .attempt
            .record("i".into(), 1, self.tick * TICK_UNIX_MS)
    }

    fn caller(&self, index: usize, caller: &Caller, out: &mut Vec<(String, Self)>) {
        let name = ["X", "Y"][index];
        let is_open = matches!(caller.progress, Progress::New | Progress::Unsettled);
        if is_open && caller.creates_left > 0 {
            let mut sent = caller.clone();
            sent.creates += 1;
            sent.creates_left -= 1;
            sent.progress = Progress::Unsettled;
            out.push((format!("{name} sends a create"), self.with(index, sent)));
        }
        if caller.creates > 0 {
            self.create(index, caller, name, out);
        }
        if caller.progress == Progress::Unsettled {
            self.read(index, caller, name, out);
        }
        match caller.progress {
            Progress::Holds(version) => self.run(index, caller, version, name, out),
            Progress::Ran(version) => self.finish(index, caller, version, name, out),
            _ => {}
        }
    }

    /// A create request reaches the platform; its answer arrives or is lost.
    fn create(&self, index: usize, caller: &Caller, name: &str, out: &mut Vec<(String, Self)>) {
        let mut after = caller.clone();
        after.creates -= 1;
        let mut next = self.with(index, after.clone());
        if self.object.is_some() {
            out.push((format!("{name}'s create conflicts"), next));
            return;
        }
        let version = next.put(self.record(caller));
        out.push((
            format!("{name}'s create is done, its answer lost"),
            next.clone(),
        ));
        if caller.progress == Progress::Unsettled {
            after.progress = Progress::Holds(version);
            next.callers[index] = Some(after);
            out.push((format!("{name}'s create is done"), next));
        }
    }

    fn read(&self, index: usize, caller: &Caller, name: &str, out: &mut Vec<(String, Self)>) {
        let found = self.object.as_ref();
        let step = caller
            .attempt
            .on_read(found.map(|(_, record)| record), self.now());
        let mut after = caller.clone();
        after.progress = match (step, found) {
            (ClaimStep::Run, Some((version, _))) => Progress::Holds(*version),
            (ClaimStep::Create | ClaimStep::Wait, _) => return,
            _ => Progress::Ended,
        };
        out.push((format!("{name} reads the claim"), self.with(index, after)));
    }

    fn run(
        &self,
        index: usize,
        caller: &Caller,
        version: u64,
        name: &str,
        out: &mut Vec<(String, Self)>,
    ) {
        let mut after = caller.clone();
        if caller.attempt.may_send(self.now()) {
            after.progress = Progress::Ran(version);
            let mut next = self.with(index, after.clone());
            next.runs += 1;
            out.push((format!("{name} runs the request"), next));
        }
        after.progress = Progress::Ended;
        let mut next = self.with(index, after);
        if self
            .object
            .as_ref()
            .is_some_and(|(found, _)| *found == version)
        {
            next.object = None;
        }
        out.push((format!("{name} releases the claim unsent"), next));
    }

    fn finish(
        &self,
        index: usize,
        caller: &Caller,
        version: u64,
        name: &str,
        out: &mut Vec<(String, Self)>,
    ) {
        let mut after = caller.clone();
        after.progress = Progress::Ended;
        let mut next = self.with(index, after);
        if let Some((found, record)) = &self.object
            && *found == version
        {
            let answer = ResponseRecord {
                status: 200,
                headers: Vec::new(),
                body_hex: String::new(),
            };
            next.put(ClaimRecord {
                state: ClaimState::Answered(answer),
                ..record.clone()
            });
        }
        out.push((format!("{name} records the answer"), next));
    }
}

impl World for ClaimWorld {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        for (index, caller) in self.callers.iter().enumerate() {
            match caller {
                Some(caller) => self.caller(index, caller, &mut out),
                None => {
                    let nonce = format!("n{index}");
                    let (now, safeguards) = (self.now(), self.safeguards);
                    let attempt = ClaimAttempt::new(nonce, 7, MAX_SEND_DELAY, safeguards, now);
                    let caller = Caller {
                        attempt,
                        progress: Progress::New,
                        creates: 0,
                        creates_left: 2,
                    };
                    out.push((format!("caller {index} begins"), self.with(index, caller)));
                }
            }
        }
        if self.ticks_left > 0 {
            let mut next = self.clone();
            next.tick += 1;
            next.ticks_left -= 1;
            out.push(("tick".to_owned(), next));
        }
        let unix_ms = self.tick * TICK_UNIX_MS;
        if self
            .object
            .as_ref()
            .is_some_and(|(_, record)| record.is_expired(unix_ms))
        {
            let mut next = self.clone();
            next.object = None;
            // A request that runs after the retention counts as a new one.
            next.runs = 0;
            out.push(("the sweep deletes the claim".to_owned(), next));
        }
        out
    }

    fn is_violated(&self) -> bool {
        self.runs > 1
    }
}

/// Guards against a request that runs twice.
#[test]
fn a_claim_runs_at_most_once() {
    expect_safe("claims", &ClaimWorld::new(Safeguards::default()));
}

/// Guards against a search that cannot see what a safeguard prevents.
#[test]
fn removed_claim_safeguards_are_found() {
    let on = Safeguards::default;
    let no_age = Safeguards {
        limits_claim_age: false,
        ..on()
    };
    expect_violation("a claim may be sent at any age", &ClaimWorld::new(no_age));
    let no_nonce = Safeguards {
        checks_claim_nonce: false,
        ..on()
    };
    expect_violation(
        "any running claim is taken for the own one",
        &ClaimWorld::new(no_nonce),
    );
}
