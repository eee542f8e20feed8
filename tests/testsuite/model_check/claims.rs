//! Model of the claim of one non-idempotent request, which a client sends to instance X and repeats
//! at instance Y.

use std::time::Duration;

use jujubelink::core::claim::{ClaimAttempt, ClaimRecord, ClaimState, ClaimStep, ResponseRecord};
use jujubelink::core::lease::Safeguards;

use super::{World, expect_safe, expect_violation};

/// Longest time from the creation of a claim to the dispatch of its request: 2 ticks of 1 s. The
/// real limit is 60 s, and claims are kept for 24 h; only the order of the two matters.
const MAX_SEND_DELAY: Duration = Duration::from_secs(2);

/// Wall-clock time that a tick adds. A claim expires after 4 ticks.
const TICK_UNIX_MS: u64 = 7 * 60 * 60 * 1000;

/// Progress of an instance with the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Progress {
    New,
    /// A create request was sent; whether it created the claim is not confirmed.
    Unconfirmed,
    /// Holds the claim, at this version of its object, and may run the request.
    Holds(u64),
    /// Has run the request, under the claim at this version.
    Ran(u64),
    Ended,
}

/// An instance that handles the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Handler {
    attempt: ClaimAttempt,
    progress: Progress,
    /// Create requests in flight to the platform.
    creates_in_flight: u8,
    /// Create requests that may still be sent, as the bound of the search.
    creates_left: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClaimWorld {
    safeguards: Safeguards,
    tick: u64,
    ticks_left: u64,
    next_version: u64,
    /// The claim at the platform with its version.
    object: Option<(u64, ClaimRecord)>,
    handlers: Vec<Option<Handler>>,
    /// How often the request ran.
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
            handlers: vec![None, None],
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

    /// A copy of this world in which one handler is replaced.
    fn with(&self, index: usize, handler: Handler) -> Self {
        let mut next = self.clone();
        next.handlers[index] = Some(handler);
        next
    }

    fn record(&self, handler: &Handler) -> ClaimRecord {
        handler
            .attempt
            .record("i".into(), 1, self.tick * TICK_UNIX_MS)
    }

    /// Steps of one handler.
    fn handler_steps(&self, index: usize, handler: &Handler, out: &mut Vec<(String, Self)>) {
        let name = ["X", "Y"][index];
        let is_open = matches!(handler.progress, Progress::New | Progress::Unconfirmed);
        if is_open && handler.creates_left > 0 {
            let mut sent = handler.clone();
            sent.creates_in_flight += 1;
            sent.creates_left -= 1;
            sent.progress = Progress::Unconfirmed;
            out.push((format!("{name} sends a create"), self.with(index, sent)));
        }
        if handler.creates_in_flight > 0 {
            self.create_steps(index, handler, name, out);
        }
        if handler.progress == Progress::Unconfirmed {
            self.read_steps(index, handler, name, out);
        }
        match handler.progress {
            Progress::Holds(version) => self.run_steps(index, handler, version, name, out),
            Progress::Ran(version) => self.finish_steps(index, handler, version, name, out),
            _ => {}
        }
    }

    /// A create request reaches the platform; the response arrives or is lost.
    fn create_steps(
        &self,
        index: usize,
        handler: &Handler,
        name: &str,
        out: &mut Vec<(String, Self)>,
    ) {
        let mut after = handler.clone();
        after.creates_in_flight -= 1;
        let mut next = self.with(index, after.clone());
        if self.object.is_some() {
            out.push((format!("{name}'s create conflicts"), next));
            return;
        }
        let version = next.put(self.record(handler));
        out.push((
            format!("{name}'s create succeeds, the response is lost"),
            next.clone(),
        ));
        if handler.progress == Progress::Unconfirmed {
            after.progress = Progress::Holds(version);
            next.handlers[index] = Some(after);
            out.push((format!("{name}'s create succeeds"), next));
        }
    }

    /// A handler reads the claim to find out whether its create request succeeded.
    fn read_steps(
        &self,
        index: usize,
        handler: &Handler,
        name: &str,
        out: &mut Vec<(String, Self)>,
    ) {
        let stored = self.object.as_ref();
        let step = handler
            .attempt
            .on_read(stored.map(|(_, record)| record), self.now());
        let mut after = handler.clone();
        after.progress = match (step, stored) {
            (ClaimStep::Run, Some((version, _))) => Progress::Holds(*version),
            (ClaimStep::Create | ClaimStep::Wait, _) => return,
            _ => Progress::Ended,
        };
        out.push((format!("{name} reads the claim"), self.with(index, after)));
    }

    /// A handler that holds the claim runs the request or releases the claim.
    fn run_steps(
        &self,
        index: usize,
        handler: &Handler,
        version: u64,
        name: &str,
        out: &mut Vec<(String, Self)>,
    ) {
        let mut after = handler.clone();
        if handler.attempt.may_send(self.now()) {
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
            .is_some_and(|(stored_version, _)| *stored_version == version)
        {
            next.object = None;
        }
        out.push((format!("{name} releases the claim without a run"), next));
    }

    /// A handler writes the response of the request into the claim.
    fn finish_steps(
        &self,
        index: usize,
        handler: &Handler,
        version: u64,
        name: &str,
        out: &mut Vec<(String, Self)>,
    ) {
        let mut after = handler.clone();
        after.progress = Progress::Ended;
        let mut next = self.with(index, after);
        if let Some((stored_version, record)) = &self.object
            && *stored_version == version
        {
            let response = ResponseRecord {
                status: 200,
                headers: Vec::new(),
                body_hex: String::new(),
            };
            next.put(ClaimRecord {
                state: ClaimState::Answered(response),
                ..record.clone()
            });
        }
        out.push((format!("{name} stores the response"), next));
    }
}

impl World for ClaimWorld {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        for (index, handler) in self.handlers.iter().enumerate() {
            match handler {
                Some(handler) => self.handler_steps(index, handler, &mut out),
                None => {
                    let nonce = format!("n{index}");
                    let (now, safeguards) = (self.now(), self.safeguards);
                    let attempt = ClaimAttempt::new(nonce, 7, MAX_SEND_DELAY, safeguards, now);
                    let handler = Handler {
                        attempt,
                        progress: Progress::New,
                        creates_in_flight: 0,
                        creates_left: 2,
                    };
                    out.push((
                        format!("instance {index} receives the request"),
                        self.with(index, handler),
                    ));
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
            // After the retention period, a repeated request counts as a new one.
            next.runs = 0;
            out.push(("the expired claim is deleted".to_owned(), next));
        }
        out
    }

    fn is_violated(&self) -> bool {
        self.runs > 1
    }
}

/// Guards against a non-idempotent request that runs twice because a client repeats it at another
/// instance while responses of the platform are lost or late.
#[test]
fn a_claimed_request_runs_at_most_once() {
    expect_safe("claims", &ClaimWorld::new(Safeguards::default()));
}

/// Guards against a model that does not detect the fault which a safeguard prevents: each search
/// runs with one safeguard disabled and must find a violation.
#[test]
fn searches_without_a_claim_safeguard_find_a_violation() {
    let all_enabled = Safeguards::default;
    let unlimited_age = Safeguards {
        limits_claim_age: false,
        ..all_enabled()
    };
    expect_violation(
        "a request may be dispatched under a claim of any age",
        &ClaimWorld::new(unlimited_age),
    );
    let unchecked_nonce = Safeguards {
        checks_claim_nonce: false,
        ..all_enabled()
    };
    expect_violation(
        "a claim with another nonce counts as the handler's own",
        &ClaimWorld::new(unchecked_nonce),
    );
}
