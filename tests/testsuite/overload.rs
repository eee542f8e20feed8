//! Decisions about requests under overload, alone and in a simulated fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::overload::{
    Aims, Decision, LATE_RANK, Prospect, decide, queue_deadline, retry_after,
};
use jujubelink::core::queue::{FairQueue, JobId, QueuedJob};
use jujubelink::core::routing::LoadReport;
use jujubelink::core::scheduler::{AttemptEnd, Effect, NewRequest, Refusal, Scheduler};
use jujubelink::util::hash::stable_hash;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::decisions::{config_with_engines, engine_name, new_request, prompt_text};

const START: Timestamp = Duration::from_secs(1000);

/// Kind of streams.
struct Kind {
    shared_blocks: usize,
    own_blocks: usize,
    output_tokens: u32,
    objective: Duration,
    deadline: Duration,
    value: f64,
    late_value: f64,
}

const DIGEST: Kind = Kind {
    shared_blocks: 63,
    own_blocks: 29,
    output_tokens: 10,
    objective: Duration::from_millis(1500),
    deadline: Duration::from_secs(5),
    value: 1.0,
    late_value: 0.46,
};

const TRIAGE: Kind = Kind {
    shared_blocks: 2,
    own_blocks: 6,
    output_tokens: 58,
    objective: Duration::from_millis(400),
    deadline: Duration::from_secs(15),
    value: 3.7,
    late_value: 0.44,
};

/// Prefill time of a block of 100 tokens at an engine.
const BLOCK_PREFILL: Duration = Duration::from_micros(2584);
const STEP: Duration = Duration::from_micros(5470);
const SLOTS: u32 = 16;
const ENGINE_QUEUE: usize = 48;
/// Workspaces whose shared blocks an engine keeps.
const CACHED_WORKSPACES: usize = 2;
const WORKSPACES: usize = 16;
const MAX_SENDS: usize = 4;

struct Request {
    kind: &'static Kind,
    workspace: usize,
    instance: usize,
    arrived: Timestamp,
    /// Arrival of the present attempt of the client.
    attempt_arrived: Timestamp,
    excluded: Vec<TargetId>,
    placement: u64,
    first_token_at: Option<Timestamp>,
    ended_at: Option<Timestamp>,
}

impl Request {
    fn aims(&self) -> Aims {
        Aims {
            arrived: self.attempt_arrived,
            latest_start: self.attempt_arrived + self.kind.objective.mul_f64(0.75),
            deadline: self.arrived + self.kind.deadline,
            priority: 1,
            is_begun: false,
        }
    }

    fn value(&self) -> f64 {
        let is_complete = self
            .ended_at
            .is_some_and(|at| at <= self.arrived + self.kind.deadline);
        match (is_complete, self.first_token_at) {
            (true, Some(at)) if at <= self.arrived + self.kind.objective => self.kind.value,
            (true, Some(_)) => self.kind.late_value,
            _ => 0.0,
        }
    }
}

#[derive(Default)]
struct Engine {
    waiting: BTreeMap<(u8, u64), usize>,
    is_prefilling: bool,
    running: u32,
    cached: Vec<usize>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Tick(usize),
    Prefilled(usize, usize),
    Ended(usize, usize),
}

/// A fleet of instances that send streams to engines. Instances learn of load from responses only.
struct Fleet {
    has_aims: bool,
    random: StdRng,
    instances: Vec<Scheduler>,
    jobs: HashMap<(usize, JobId), usize>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
}

impl Fleet {
    fn new(instances: usize, engines: usize, has_aims: bool) -> Self {
        let mut config = config_with_engines(engines);
        for model in config.fleet.models.values_mut() {
            model.prefill_tokens_per_s = 38_700;
            model.min_bytes_per_token = 1;
        }
        let scheduler = || {
            let mut scheduler = Scheduler::new();
            scheduler.on_config(&config);
            scheduler.router_mut().set_instance_count(instances as u32);
            scheduler
        };
        Self {
            has_aims,
            random: StdRng::seed_from_u64(1),
            instances: (0..instances).map(|_| scheduler()).collect(),
            jobs: HashMap::new(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
        }
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Adds the arrivals of a kind, at a rate that `factor` changes over time. Workspaces get equal parts
    /// of the base rate; `flood` is added for the first one.
    fn add_arrivals(
        &mut self,
        kind: &'static Kind,
        per_s: f64,
        flood_per_s: f64,
        length: Duration,
        factor: impl Fn(Duration) -> f64,
    ) {
        let mut at = Duration::ZERO;
        while at < length {
            let rate = (per_s + flood_per_s) * factor(at);
            at += Duration::from_secs_f64(-(1.0 - self.random.random::<f64>()).ln() / rate);
            let is_flood = self.random.random::<f64>() * (per_s + flood_per_s) < flood_per_s;
            let workspace = match is_flood {
                true => 0,
                false => self.random.random_range(0..WORKSPACES),
            };
            let instance = self.random.random_range(0..self.instances.len());
            let index = self.requests.len();
            self.requests.push(Request {
                kind,
                workspace,
                instance,
                arrived: START + at,
                attempt_arrived: START + at,
                excluded: Vec::new(),
                placement: 0,
                first_token_at: None,
                ended_at: None,
            });
            self.push(START + at, Event::Arrival(index));
        }
    }

    fn run(mut self) -> Vec<Request> {
        (0..self.instances.len()).for_each(|instance| self.push(START, Event::Tick(instance)));
        let end = START + Duration::from_secs(20);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                _ if now > end => break,
                Event::Arrival(index) => self.submit(index, now),
                Event::Tick(instance) => {
                    if self.instances[instance].queued() > 0 {
                        self.dispatch(instance, Vec::new(), now);
                    }
                    self.push(now + Duration::from_millis(10), Event::Tick(instance));
                }
                Event::Prefilled(engine, index) => self.on_prefilled(engine, index, now),
                Event::Ended(engine, index) => self.on_ended(engine, index, now),
            }
        }
        self.requests
    }

    fn submit(&mut self, index: usize, now: Timestamp) {
        let request = &self.requests[index];
        let (kind, aims) = (request.kind, request.aims());
        let (workspace, instance) = (request.workspace, request.instance);
        let own = format!("{index}-{}", request.attempt_arrived.as_millis());
        let text = prompt_text(
            &format!("{workspace}-{}", kind.shared_blocks),
            kind.shared_blocks,
        ) + &prompt_text(&own, kind.own_blocks);
        let queued_until = match self.has_aims {
            true => queue_deadline(&aims),
            false => aims.latest_start,
        };
        let least = match request.excluded.is_empty() {
            true => now,
            false => now + aims.deadline.saturating_sub(now).mul_f64(0.45),
        };
        let new = NewRequest {
            // All workspaces share the cached prompts of one scope in this fleet.
            prompt: new_request("shared", &text, now).prompt,
            cost_tokens: (kind.shared_blocks + kind.own_blocks) as u64 * 100
                + u64::from(kind.output_tokens),
            deadline: queued_until.max(least),
            excluded: request.excluded.clone(),
            aims: self.has_aims.then_some(aims),
            ..new_request(&format!("w{workspace}"), "", now)
        };
        let mut effects = Vec::new();
        let job = self.instances[instance].on_request(new, now, &mut effects);
        self.jobs.insert((instance, job), index);
        self.dispatch(instance, effects, now);
    }

    fn dispatch(&mut self, instance: usize, mut effects: Vec<Effect>, now: Timestamp) {
        let random = self.random.random();
        self.instances[instance].dispatch_waiting(random, now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(sent) => {
                    let index = self.jobs[&(instance, sent.job)];
                    self.requests[index].placement = sent.placement;
                    let engine = (0..self.engines.len())
                        .find(|engine| engine_name(*engine) == *sent.target)
                        .expect("a known engine");
                    self.send(engine, index, now);
                }
                Effect::Refuse { job, reason } => {
                    let index = self.jobs[&(instance, job)];
                    let Refusal::Overloaded { retry_after } = reason else {
                        panic!("refused for another reason: {reason:?}");
                    };
                    self.return_later(index, retry_after, now);
                }
                Effect::Publish(_) => {}
            }
        }
    }

    /// The client of a refused request returns if it has enough time.
    fn return_later(&mut self, index: usize, mut delay: Duration, now: Timestamp) {
        let request = &mut self.requests[index];
        let remaining = (request.arrived + request.kind.deadline).saturating_sub(now);
        if self.has_aims {
            delay = retry_after(delay, remaining, stable_hash(index as u64, b"request"));
        }
        let at = now + delay.min(remaining / 3);
        if at + Duration::from_millis(50) < request.arrived + request.kind.deadline {
            request.attempt_arrived = at;
            request.excluded.clear();
            request.instance = self.random.random_range(0..self.instances.len());
            self.push(at, Event::Arrival(index));
        }
    }

    fn report(&mut self, engine: usize, instance: usize, now: Timestamp) {
        let state = &self.engines[engine];
        let report = LoadReport {
            running: state.running,
            waiting: state.waiting.len() as u32,
            max_running: SLOTS,
            ..LoadReport::default()
        };
        self.instances[instance].on_load(&engine_name(engine), &report, now);
    }

    fn send(&mut self, engine: usize, index: usize, now: Timestamp) {
        self.sequence += 1;
        let request = &mut self.requests[index];
        if self.engines[engine].waiting.len() >= ENGINE_QUEUE {
            let (instance, placement) = (request.instance, request.placement);
            request.excluded.push(engine_name(engine).into());
            let is_last = request.excluded.len() >= MAX_SENDS;
            let scheduler = &mut self.instances[instance];
            scheduler.on_end(placement, AttemptEnd::Refused, 7, now, &mut Vec::new());
            self.report(engine, instance, now);
            match is_last {
                true => self.return_later(index, Duration::from_millis(250), now),
                false => self.submit(index, now),
            }
            return;
        }
        let rank = match self.has_aims {
            true => request.aims().rank(now),
            false => 1,
        };
        let key = (rank, self.sequence);
        self.engines[engine].waiting.insert(key, index);
        self.start_next(engine, now);
    }

    fn start_next(&mut self, engine: usize, now: Timestamp) {
        let state = &mut self.engines[engine];
        if state.is_prefilling || state.running >= SLOTS {
            return;
        }
        let Some((_, index)) = state.waiting.pop_first() else {
            return;
        };
        state.is_prefilling = true;
        state.running += 1;
        let request = &self.requests[index];
        let (kind, group) = (request.kind, request.workspace);
        let mut blocks = kind.own_blocks + kind.shared_blocks;
        if kind.shared_blocks > TRIAGE.shared_blocks {
            if state.cached.contains(&group) {
                blocks -= kind.shared_blocks;
            }
            state.cached.retain(|cached| *cached != group);
            state.cached.insert(0, group);
            state.cached.truncate(CACHED_WORKSPACES);
        }
        let prefill = BLOCK_PREFILL * blocks as u32;
        self.push(now + prefill, Event::Prefilled(engine, index));
    }

    fn on_prefilled(&mut self, engine: usize, index: usize, now: Timestamp) {
        let state = &mut self.engines[engine];
        state.is_prefilling = false;
        let slow_down = 1.0 + f64::from(state.running) / f64::from(SLOTS);
        let request = &mut self.requests[index];
        request.first_token_at = Some(now);
        let decode = (STEP * request.kind.output_tokens).mul_f64(slow_down);
        let (instance, placement) = (request.instance, request.placement);
        self.instances[instance].on_first_token(placement, now);
        self.report(engine, instance, now);
        self.push(now + decode, Event::Ended(engine, index));
        self.start_next(engine, now);
    }

    fn on_ended(&mut self, engine: usize, index: usize, now: Timestamp) {
        self.engines[engine].running -= 1;
        let request = &mut self.requests[index];
        request.ended_at = Some(now);
        let (instance, placement) = (request.instance, request.placement);
        let end = AttemptEnd::Completed {
            incarnation: 0,
            cached_tokens: None,
        };
        let mut effects = Vec::new();
        self.instances[instance].on_end(placement, end, 7, now, &mut effects);
        self.start_next(engine, now);
        self.dispatch(instance, effects, now);
    }
}

/// Share of the value of all requests that was obtained.
fn value_share(requests: &[Request]) -> f64 {
    let possible: f64 = requests.iter().map(|request| request.kind.value).sum();
    requests.iter().map(Request::value).sum::<f64>() / possible
}

/// Plays a burst from 1 s to 3 s, with the arrival rates for a fleet of 28 engines of which some are down.
fn play_burst(instances: usize, engines_up: usize, factor: f64, has_aims: bool) -> Vec<Request> {
    let mut fleet = Fleet::new(instances, engines_up, has_aims);
    let factor = |at: Duration| match (1.0..3.0).contains(&at.as_secs_f64()) {
        true => factor,
        false => 1.0,
    };
    let length = Duration::from_secs(4);
    fleet.add_arrivals(&DIGEST, 41.2, 0.0, length, factor);
    fleet.add_arrivals(&TRIAGE, 41.0, 0.0, length, factor);
    fleet.run()
}

/// Returns the value shares of the former and the present decisions.
fn compare(instances: usize, engines_up: usize, factor: f64) -> (f64, f64) {
    let [former, present] =
        [false, true].map(|has_aims| play_burst(instances, engines_up, factor, has_aims));
    let (former, present) = (value_share(&former), value_share(&present));
    println!(
        "{instances} instances, {engines_up} engines, burst of {factor}: {former:.3}, now {present:.3}"
    );
    (former, present)
}

/// Guards against urgent requests that wait behind long ones in a burst, and against requests that are
/// refused although they could be served late.
#[test]
fn a_burst_yields_more_value_with_urgency() {
    for (instances, engines_up, factor) in [(1, 14, 4.0), (17, 8, 2.4), (85, 14, 4.0)] {
        let (former, present) = compare(instances, engines_up, factor);
        assert!(present > 0.85, "{present}");
        assert!(present > former + 0.25, "{former} {present}");
    }
}

/// Returns the value shares of the first workspace and of the others while the first one sends seven times
/// as much as each of them.
fn play_flood(has_aims: bool) -> [f64; 2] {
    let mut fleet = Fleet::new(17, 14, has_aims);
    let length = Duration::from_secs(4);
    for (kind, per_s) in [(&DIGEST, 82.0), (&TRIAGE, 82.0)] {
        fleet.add_arrivals(kind, per_s, per_s * 6.0 / 16.0, length, |_| 1.4);
    }
    let (flood, others): (Vec<_>, Vec<_>) = fleet
        .run()
        .into_iter()
        .partition(|request| request.workspace == 0);
    [flood, others].map(|requests| value_share(&requests))
}

/// Guards against a loss of the other workspaces while one sends more than its share.
#[test]
fn a_flood_of_one_workspace_leaves_the_others_their_share() {
    let [former, present] = [false, true].map(play_flood);
    println!(
        "flood of one workspace (its value, that of the others): {former:.3?}, now {present:.3?}"
    );
    assert!(present[1] > former[1] + 0.25, "{former:?} {present:?}");
    assert!(present[1] > 0.85, "{present:?}");
}

/// Guards against a cost of urgency where there are enough engines.
#[test]
fn a_burst_that_fits_yields_the_same_value_with_urgency() {
    for instances in [1, 17] {
        let (former, present) = compare(instances, 22, 2.4);
        assert!(present > former - 0.01, "{former} {present}");
    }
}

const MS: Duration = Duration::from_millis(1);

fn aims(objective: Duration, deadline: Duration) -> Aims {
    Aims {
        arrived: START,
        latest_start: START + objective,
        deadline: START + deadline,
        priority: 1,
        is_begun: false,
    }
}

/// Guards against ranks that do not follow the time left: engines would run long requests before urgent
/// ones, or late requests before timely ones.
#[test]
fn ranks_follow_the_time_left_to_the_objective() {
    let urgent = aims(300 * MS, 15_000 * MS);
    let long = aims(1_125 * MS, 5_000 * MS);
    let ranks = |aims: Aims| [0, 200, 301, 1_000, 1_126].map(|at| aims.rank(START + at * MS));
    assert_eq!(ranks(urgent), [1, 0, LATE_RANK, LATE_RANK, LATE_RANK]);
    assert_eq!(ranks(long), [3, 2, 2, 2, LATE_RANK]);
    let background = Aims {
        priority: 8,
        ..urgent
    };
    assert_eq!(background.rank(START), 8);
    let begun = Aims {
        is_begun: true,
        ..urgent
    };
    assert_eq!(begun.rank(START + 1_000 * MS), 0);
}

/// Guards against a decision that sends late work into queues, sends urgent work behind other urgent work,
/// or keeps requests that can't be finished.
#[test]
fn requests_are_placed_kept_or_refused_by_their_aims() {
    let aims = aims(300 * MS, 2_000 * MS);
    let queue = Prospect {
        wait_s: 1.0,
        prefill_s: 0.1,
        share_ahead: 0.1,
        has_capacity: false,
        is_reliable: true,
    };
    let free = Prospect {
        has_capacity: true,
        ..queue
    };
    let later = START + 500 * MS;
    assert_eq!(decide(&aims, &queue, START), Decision::Place);
    assert_eq!(decide(&aims, &queue, later), Decision::Wait);
    assert_eq!(decide(&aims, &free, later), Decision::Place);
    let among_urgent = Prospect {
        share_ahead: 0.9,
        ..queue
    };
    assert_eq!(decide(&aims, &among_urgent, START), Decision::Wait);
    let loading = Prospect {
        is_reliable: false,
        ..queue
    };
    assert_eq!(decide(&aims, &loading, START), Decision::Wait);
    let end = START + 1_960 * MS;
    assert_eq!(decide(&aims, &free, end), Decision::Refuse);
}

/// Guards against a wait that ignores the deadline, and against clients that return together or too late
/// to be served.
#[test]
fn waits_and_returns_follow_the_deadline() {
    let aims = aims(300 * MS, 2_300 * MS);
    assert_eq!(queue_deadline(&aims), START + 1_300 * MS);
    let delays: Vec<_> = (0..1_000u64)
        .map(|id| retry_after(100 * MS, 3_000 * MS, stable_hash(0, &id.to_be_bytes())))
        .collect();
    assert!(
        delays
            .iter()
            .all(|delay| (100 * MS..=1_000 * MS).contains(delay))
    );
    for slot in 1..10 {
        let returns = delays
            .iter()
            .filter(|delay| delay.as_millis() / 100 == slot);
        assert!((60..170).contains(&returns.count()));
    }
    assert_eq!(retry_after(100 * MS, Duration::ZERO, 5), 100 * MS);
}

fn queued(id: JobId, aims: Aims) -> QueuedJob {
    QueuedJob {
        id,
        cost_tokens: 100,
        bytes: 100,
        deadline: queue_deadline(&aims),
        aims: Some(aims),
    }
}

/// Guards against late requests that hold up urgent ones of their workspace, and against a workspace whose
/// urgent requests take the whole share of another one.
#[test]
fn late_requests_wait_and_no_workspace_takes_the_share_of_another() {
    let mut queue = FairQueue::default();
    let late = aims(Duration::ZERO, 10_000 * MS);
    for id in 0..20 {
        queue.push(&"a".into(), 1, queued(id, late), START);
    }
    queue.push(
        &"a".into(),
        1,
        queued(20, aims(300 * MS, 5_000 * MS)),
        START,
    );
    let order = queue.dispatch_order(START + MS);
    assert_eq!(order[0].1, 20);

    let mut queue = FairQueue::default();
    for id in 0..100 {
        let urgent = aims(300 * MS, 5_000 * MS);
        queue.push(&"flood".into(), 1, queued(id, urgent), START);
    }
    queue.push(
        &"other".into(),
        1,
        queued(100, aims(4_000 * MS, 9_000 * MS)),
        START,
    );
    let sent = (0..100).take_while(|_| {
        let (workspace, id) = queue.dispatch_order(START)[0].clone();
        queue.on_dispatched(&workspace, id, START);
        id != 100
    });
    assert!(sent.count() <= 6);
}
