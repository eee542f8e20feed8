//! Decisions of the scheduler while sound targets fall silent for about a second and go on, in simulated
//! time.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::queue::JobId;
use jujubelink::core::scheduler::{AttemptEnd, Dispatch, Effect, NewRequest, Scheduler};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::decisions::{config_with_engines, engine_name, new_request, prompt_text};

const START: Timestamp = Duration::from_secs(1000);

const STEP: Duration = Duration::from_millis(10);

/// Slots of a target.
const SLOTS: u32 = 8;

/// Events in a stream.
const EVENTS: usize = 5;

/// Time between the events of a stream without a pause.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// Time for which a request may wait for a target.
const QUEUE_TIME: Duration = Duration::from_millis(2250);

/// Silence within a stream after which another target gets the request.
const TAKEOVER_SILENCE: Duration = Duration::from_secs(1);

/// The same before a stream.
const HEAD_SILENCE: Duration = Duration::from_millis(2700);

/// Silence after which the client has left.
const MAX_SILENCE: Duration = Duration::from_secs(6);

/// Time between the ends of a common silence at two targets.
const WAVE_SPREAD: Duration = Duration::from_millis(80);

/// When targets are silent.
enum Silence {
    /// Before the head and before each event of a stream, with this probability.
    Random(f64),
    /// All targets from these times after the start on, for these times. Each further target goes on
    /// [`WAVE_SPREAD`] later.
    Common(Vec<(Duration, Duration)>),
    /// The target of this number, from this time after the start and for good.
    Permanent(usize, Duration),
}

/// A run of a request at a target.
#[derive(Debug)]
struct Run {
    placement: u64,
    target: TargetId,
    /// When each further event arrives; the last first.
    events: Vec<Timestamp>,
    last_event_at: Option<Timestamp>,
    sent_at: Timestamp,
}

/// A stream that has been sent to a target.
#[derive(Debug)]
struct Stream {
    run: Run,
    replacement: Option<Run>,
    /// Job of the replacement while it is queued.
    replacement_job: Option<JobId>,
    is_replaced: bool,
}

/// What has happened to the requests.
#[derive(Debug, Default)]
struct Outcome {
    completed: usize,
    /// Requests without a complete response after [`MAX_SILENCE`].
    unanswered: usize,
    /// Slots in use when each refusal happened, and how long after the start.
    refusals: Vec<(usize, Duration)>,
    /// When requests were sent to each target, after the start.
    sent_to: HashMap<TargetId, Vec<Duration>>,
    ejections: usize,
}

struct Simulation {
    scheduler: Scheduler,
    random: StdRng,
    silence: Silence,
    now: Timestamp,
    waiting: HashSet<JobId>,
    streams: Vec<Stream>,
    outcome: Outcome,
    ejected: Vec<TargetId>,
}

impl Simulation {
    fn new(engines: usize, silence: Silence, seed: u64) -> Self {
        let mut config = config_with_engines(engines);
        for target in config.fleet.targets.values_mut() {
            target.max_running = SLOTS;
        }
        let mut scheduler = Scheduler::new();
        scheduler.on_config(&config);
        Self {
            scheduler,
            random: StdRng::seed_from_u64(seed),
            silence,
            now: START,
            waiting: HashSet::new(),
            streams: Vec::new(),
            outcome: Outcome::default(),
            ejected: Vec::new(),
        }
    }

    /// Sends requests at a constant rate for the given time, and then lets all of them end.
    fn run(mut self, requests_per_s: f64, time: Duration) -> Outcome {
        let mut sent = 0;
        let end = START + time;
        while self.now < end || !self.waiting.is_empty() || !self.streams.is_empty() {
            let elapsed = self.now - START;
            while self.now < end && f64::from(sent) < elapsed.as_secs_f64() * requests_per_s {
                sent += 1;
                let text = prompt_text(&format!("{sent}"), 1);
                let request = NewRequest {
                    deadline: self.now + QUEUE_TIME,
                    ..new_request("small", &text, self.now)
                };
                let mut effects = Vec::new();
                let job = self.scheduler.on_request(request, self.now, &mut effects);
                self.waiting.insert(job);
                self.dispatch(effects);
            }
            self.advance_streams();
            if elapsed.subsec_millis() == 0 {
                self.scheduler.on_tick(self.now);
            }
            self.dispatch(Vec::new());
            self.count_ejections();
            self.now += STEP;
            assert!(
                self.now < end + Duration::from_secs(60),
                "{:?}",
                self.streams
            );
        }
        self.outcome
    }

    fn count_ejections(&mut self) {
        let targets = self.scheduler.router().targets().iter();
        let ejected = targets.filter(|(_, state)| state.traffic_fraction == 0.0);
        let ejected: Vec<TargetId> = ejected.map(|(_, state)| state.id.clone()).collect();
        let new = ejected.iter().filter(|id| !self.ejected.contains(id));
        self.outcome.ejections += new.count();
        self.ejected = ejected;
    }

    fn dispatch(&mut self, mut effects: Vec<Effect>) {
        let random = self.random.random();
        self.scheduler
            .dispatch_waiting(random, self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => self.start_run(&dispatch),
                Effect::Refuse { job, .. } => self.refuse(job),
                Effect::Publish(_) => {}
            }
        }
    }

    fn start_run(&mut self, dispatch: &Dispatch) {
        let target = dispatch.target.clone();
        let times = self.outcome.sent_to.entry(target.clone()).or_default();
        times.push(self.now - START);
        let run = Run {
            placement: dispatch.placement,
            events: self.event_times(&target),
            target,
            last_event_at: None,
            sent_at: self.now,
        };
        if self.waiting.remove(&dispatch.job) {
            self.streams.push(Stream {
                run,
                replacement: None,
                replacement_job: None,
                is_replaced: false,
            });
            return;
        }
        let job = Some(dispatch.job);
        let streams = &mut self.streams;
        match streams
            .iter_mut()
            .find(|stream| stream.replacement_job == job)
        {
            Some(stream) => {
                stream.replacement_job = None;
                stream.replacement = Some(run);
            }
            None => self.end(&run, AttemptEnd::Cancelled),
        }
    }

    fn refuse(&mut self, job: JobId) {
        if !self.waiting.remove(&job) {
            let streams = self.streams.iter_mut();
            for stream in streams.filter(|stream| stream.replacement_job == Some(job)) {
                stream.replacement_job = None;
            }
            return;
        }
        let replacements = self.streams.iter().filter(|s| s.replacement.is_some());
        let used = self.streams.len() + replacements.count();
        self.outcome.refusals.push((used, self.now - START));
    }

    /// Returns the times of a stream's events, the last first.
    fn event_times(&mut self, target: &TargetId) -> Vec<Timestamp> {
        let mut at = self.now + Duration::from_millis(20);
        let mut times = Vec::new();
        // The head counts as the first one of them.
        for part in 0..=EVENTS {
            match &self.silence {
                Silence::Random(probability) => {
                    if self.random.random_bool(*probability) {
                        at += Duration::from_millis(self.random.random_range(900..=1400));
                    }
                }
                Silence::Common(periods) => {
                    let number: u32 = target[1..].parse().expect("a number");
                    for (start, length) in periods {
                        let end = START + *start + *length + WAVE_SPREAD * number;
                        if (START + *start..end).contains(&at) {
                            at = end;
                        }
                    }
                }
                Silence::Permanent(index, start) => {
                    if at >= START + *start && **target == *engine_name(*index) {
                        at = Timestamp::MAX;
                        break;
                    }
                }
            }
            if part > 0 {
                times.push(at);
                at += EVENT_GAP;
            }
        }
        if at == Timestamp::MAX {
            times.push(at);
        }
        times.reverse();
        times
    }

    fn end(&mut self, run: &Run, end: AttemptEnd) {
        let mut effects = Vec::new();
        let random = self.random.random();
        self.scheduler
            .on_end(run.placement, end, random, self.now, &mut effects);
    }

    fn advance_streams(&mut self) {
        let mut streams = std::mem::take(&mut self.streams);
        streams.retain_mut(|stream| !self.advance(stream));
        self.streams.extend(streams);
    }

    /// Reads the events that have arrived. Returns whether the stream has ended.
    fn advance(&mut self, stream: &mut Stream) -> bool {
        if let Some(replacement) = &mut stream.replacement
            && read_events(replacement, self.now, &mut self.scheduler)
        {
            let replacement = stream.replacement.take().expect("a replacement");
            let silent = std::mem::replace(&mut stream.run, replacement);
            stream.is_replaced = true;
            self.end(&silent, AttemptEnd::TimedOut);
        }
        if read_events(&mut stream.run, self.now, &mut self.scheduler) {
            if let Some(replacement) = stream.replacement.take() {
                self.end(&replacement, AttemptEnd::Cancelled);
                stream.is_replaced = true;
            }
            if let Some(job) = stream.replacement_job.take() {
                self.scheduler.on_cancel(job, self.now);
            }
        }
        if stream.run.events.is_empty() {
            let completed = AttemptEnd::Completed {
                incarnation: 1,
                cached_tokens: None,
            };
            self.end(&stream.run, completed);
            self.outcome.completed += 1;
            return true;
        }
        let last = stream.run.last_event_at;
        let limit = last.map_or(HEAD_SILENCE, |_| TAKEOVER_SILENCE);
        let silent_for = self.now - last.unwrap_or(stream.run.sent_at);
        if silent_for >= MAX_SILENCE {
            self.outcome.unanswered += 1;
            self.end(&stream.run, AttemptEnd::TimedOut);
            return true;
        }
        let has_replacement = stream.replacement.is_some() || stream.replacement_job.is_some();
        if silent_for >= limit && !has_replacement && !stream.is_replaced {
            let request = NewRequest {
                excluded: vec![stream.run.target.clone()],
                deadline: self.now + QUEUE_TIME,
                ..new_request("small", &prompt_text("again", 1), self.now)
            };
            let mut effects = Vec::new();
            let job = self.scheduler.on_request(request, self.now, &mut effects);
            stream.replacement_job = effects.is_empty().then_some(job);
        }
        false
    }
}

/// Reads the events of a run that have arrived. Returns whether there was one.
fn read_events(run: &mut Run, now: Timestamp, scheduler: &mut Scheduler) -> bool {
    let mut has_event = false;
    while run.events.last().is_some_and(|at| *at <= now) {
        run.events.pop();
        run.last_event_at = Some(now);
        has_event = true;
        scheduler.on_first_token(run.placement, now);
    }
    has_event
}

/// Guards against requests that are refused while most slots of sound targets are free, because the pauses
/// of single requests are taken for a queue or for failures of their target.
#[test]
fn targets_that_pause_and_go_on_are_given_requests() {
    for seed in 1..=8 {
        let simulation = Simulation::new(6, Silence::Random(0.2), seed);
        let outcome = simulation.run(16.7, Duration::from_secs(60));
        assert_eq!(outcome.refusals, [], "seed {seed}");
        let sent = outcome.completed + outcome.unanswered;
        assert_eq!(outcome.unanswered, 0, "of {sent}, seed {seed}");
        assert_eq!(outcome.ejections, 0, "seed {seed}");
    }
}

/// Guards against requests that are refused, and targets that are ejected, after a silence of all targets at
/// the same time.
#[test]
fn a_common_pause_of_all_targets_has_no_consequences() {
    let pauses = [
        (5.0, 1.0),
        (10.0, 1.1),
        (15.0, 1.0),
        (20.0, 1.0),
        (21.8, 1.1),
    ];
    let pauses = pauses.map(|(start_s, length_s)| {
        (
            Duration::from_secs_f64(start_s),
            Duration::from_secs_f64(length_s),
        )
    });
    for requests_per_s in [4.0, 8.0, 12.0, 16.7, 20.0] {
        let simulation = Simulation::new(6, Silence::Common(pauses.to_vec()), 1);
        let outcome = simulation.run(requests_per_s, Duration::from_secs(30));
        assert_eq!(outcome.refusals, [], "{requests_per_s}/s");
        assert_eq!(outcome.ejections, 0, "{requests_per_s}/s");
        assert_eq!(outcome.unanswered, 0, "{requests_per_s}/s");
    }
}

/// Guards against a target that hangs for good and goes on getting requests.
#[test]
fn a_target_that_hangs_gets_few_requests() {
    let hangs_at = Duration::from_secs(10);
    for requests_per_s in [4.0, 8.0, 16.7, 25.0] {
        let simulation = Simulation::new(6, Silence::Permanent(1, hangs_at), 1);
        let outcome = simulation.run(requests_per_s, Duration::from_secs(60));
        let sent = &outcome.sent_to[&*engine_name(1)];
        let sent_later = sent.iter().filter(|at| **at >= hangs_at).count();
        assert!(sent_later <= 8, "{sent_later} at {requests_per_s}/s");
        assert_eq!(outcome.refusals, [], "{requests_per_s}/s");
    }
}
