//! Shared prompt parts in a large fleet of which each instance sees a hundredth of the requests.
//!
//! A model without a network: engines prefill one prompt at a time and keep the most recently used parts of
//! prompts in a bounded KV cache memory. As on the platform, instances learn of load from responses only, and
//! responses do not state what was cached. There is no KV cache store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use jujubelink::core::config::ConfigSnapshot;
use jujubelink::core::ids::Timestamp;
use jujubelink::core::pace::ReportedPace;
use jujubelink::core::relay::{BlockCounting, PromptHead, PromptPart};
use jujubelink::core::routing::LoadReport;
use jujubelink::core::scheduler::{AttemptEnd, Effect, NewRequest, Scheduler};
use jujubelink::util::hash::combine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::decisions::{MODEL, config_with_engines, engine_name};

const START: Timestamp = Duration::from_secs(1000);
const LENGTH: Duration = Duration::from_secs(40);
/// Requests that arrive earlier fill the caches and are not counted.
const WARM_UP: Duration = Duration::from_secs(15);

const INSTANCES: usize = 85;
const WORKSPACES: usize = 16;
const LARGE_WORKSPACES: usize = 3;
/// Part of the requests that the large workspaces send together.
const LARGE_SHARE: f64 = 0.6;

/// Prompt tokens that an engine of pace 1 prefills in a second.
const PREFILL_TOKENS_PER_S: f64 = 38_700.0;
const STEP: Duration = Duration::from_micros(5_470);

/// Kind of streams.
#[derive(Clone, Copy)]
struct Kind {
    shared_tokens: u64,
    own_tokens: u64,
    output_tokens: u32,
    objective: Duration,
}

const LONG: Kind = Kind {
    shared_tokens: 6_300,
    own_tokens: 2_890,
    output_tokens: 10,
    objective: Duration::from_millis(1_000),
};

const SHORT: Kind = Kind {
    shared_tokens: 198,
    own_tokens: 628,
    output_tokens: 58,
    objective: Duration::from_millis(800),
};

/// A deployment and its load.
#[derive(Clone, Copy)]
struct Site {
    engines: usize,
    slots: u32,
    /// Requests of each kind per second.
    per_s: f64,
    /// KV cache memory of an engine, in tokens.
    memory_tokens: u64,
    /// Whether engines differ in speed and report their pace. A third of them then also slows down with the
    /// number of their requests.
    has_paces: bool,
}

/// 90 engines, on which no resource is scarce if the shared parts are cached.
const BUSY: Site = Site {
    engines: 90,
    slots: 16,
    per_s: 200.0,
    memory_tokens: 60_000,
    has_paces: false,
};

const PACED: Site = Site {
    slots: 24,
    per_s: 100.0,
    has_paces: true,
    ..BUSY
};

impl Site {
    fn pace(&self, engine: usize, running: u32) -> f64 {
        if !self.has_paces {
            return 1.0;
        }
        let speed = match engine % 4 {
            0 => 0.6,
            3 => 1.6,
            _ => 1.0,
        };
        let slow_down = match engine % 3 {
            0 => 1.0 + f64::from(running) / 4.0,
            _ => 1.0,
        };
        slow_down / speed
    }
}

struct Request {
    kind: Kind,
    workspace: usize,
    instance: usize,
    arrived: Timestamp,
    placement: u64,
    /// Cause of missing blocks as the instance states it.
    stated: Option<String>,
    first_token_at: Option<Timestamp>,
}

impl Request {
    /// Key of the shared part.
    fn shared_part(&self) -> u64 {
        combine(self.workspace as u64, self.kind.shared_tokens)
    }

    fn is_counted(&self) -> bool {
        self.arrived >= START + WARM_UP
    }
}

/// An engine. The parts of running requests are not evicted.
#[derive(Default)]
struct Engine {
    waiting: VecDeque<usize>,
    is_prefilling: bool,
    running: u32,
    /// Tokens and last use of the parts in memory, and the number of running requests that use them.
    parts: HashMap<u64, (u64, u64, u32)>,
    used_tokens: u64,
    arrivals: u32,
}

impl Engine {
    fn use_part(&mut self, part: u64, tokens: u64, clock: u64, memory_tokens: u64) {
        let entry = self.parts.entry(part).or_insert_with(|| {
            self.used_tokens += tokens;
            (tokens, clock, 0)
        });
        entry.1 = clock;
        entry.2 += 1;
        while self.used_tokens > memory_tokens {
            let unused = self.parts.iter().filter(|(_, (_, _, users))| *users == 0);
            let Some((&oldest, _)) = unused.min_by_key(|(_, (_, used, _))| *used) else {
                break;
            };
            if let Some((tokens, _, _)) = self.parts.remove(&oldest) {
                self.used_tokens -= tokens;
            }
        }
    }

    fn release(&mut self, part: u64) {
        if let Some(entry) = self.parts.get_mut(&part) {
            entry.2 -= 1;
        }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Tick(usize),
    Prefilled(usize, usize),
    Ended(usize, usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    Router,
    /// The shortest true time to the first token.
    Oracle,
}

struct Fleet {
    site: Site,
    policy: Policy,
    random: StdRng,
    instances: Vec<Scheduler>,
    jobs: HashMap<(usize, u64), usize>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    outcome: Outcome,
}

#[derive(Default)]
struct Outcome {
    prompt_tokens: u64,
    /// Shared tokens that were prefilled, by the cause that the instance stated. `none` if it expected them
    /// to be cached.
    prefilled_again: BTreeMap<String, u64>,
    refused: u32,
    first_tokens_ms: [Vec<f64>; 2],
    late: u32,
    busiest: f64,
}

impl Outcome {
    fn again(&self) -> f64 {
        self.prefilled_again.values().sum::<u64>() as f64 / self.prompt_tokens as f64
    }

    fn p95_ms(&self, kind: usize) -> f64 {
        let mut times = self.first_tokens_ms[kind].clone();
        times.sort_by(f64::total_cmp);
        times[times.len() * 95 / 100]
    }

    fn late_share(&self) -> f64 {
        let served: usize = self.first_tokens_ms.iter().map(Vec::len).sum();
        f64::from(self.late) / served as f64
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: prefilled again {:.3}, p95 {:.0} and {:.0} ms, late {:.3}, refused {}, busiest/mean {:.2}; {:?} of {} k",
            self.again(),
            self.p95_ms(0),
            self.p95_ms(1),
            self.late_share(),
            self.refused,
            self.busiest,
            self.prefilled_again
                .iter()
                .map(|(cause, tokens)| (&**cause, tokens / 1000))
                .collect::<Vec<_>>(),
            self.prompt_tokens / 1000,
        );
    }
}

fn config(site: &Site) -> ConfigSnapshot {
    let mut config = config_with_engines(site.engines);
    for model in config.fleet.models.values_mut() {
        // As in the configuration that the platform part makes for the scheduler.
        model.block_bytes = 1_000;
        model.min_bytes_per_token = 1;
        model.prefill_tokens_per_s = 92_000;
    }
    for target in config.fleet.targets.values_mut() {
        target.max_running = site.slots;
    }
    config
}

impl Fleet {
    fn new(site: Site, policy: Policy, seed: u64) -> Self {
        let config = config(&site);
        let scheduler = || {
            let mut scheduler = Scheduler::new().with_engine_fetch();
            scheduler.on_config(&config);
            scheduler.router_mut().set_instance_count(INSTANCES as u32);
            scheduler
        };
        let mut fleet = Self {
            site,
            policy,
            random: StdRng::seed_from_u64(seed),
            instances: (0..INSTANCES).map(|_| scheduler()).collect(),
            jobs: HashMap::new(),
            engines: (0..site.engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            outcome: Outcome::default(),
        };
        fleet.add_arrivals(LONG);
        fleet.add_arrivals(SHORT);
        for instance in 0..INSTANCES {
            fleet.push(START, Event::Tick(instance));
        }
        fleet
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn add_arrivals(&mut self, kind: Kind) {
        let mut at = START;
        while at < START + LENGTH {
            let gap_s = -(1.0 - self.random.random::<f64>()).ln() / self.site.per_s;
            at += Duration::from_secs_f64(gap_s);
            let workspace = match self.random.random::<f64>() < LARGE_SHARE {
                true => self.random.random_range(0..LARGE_WORKSPACES),
                false => self.random.random_range(LARGE_WORKSPACES..WORKSPACES),
            };
            let index = self.requests.len();
            self.requests.push(Request {
                kind,
                workspace,
                instance: self.random.random_range(0..INSTANCES),
                arrived: at,
                placement: 0,
                stated: None,
                first_token_at: None,
            });
            self.push(at, Event::Arrival(index));
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                _ if now > START + LENGTH => break,
                Event::Arrival(index) => self.submit(index, now),
                Event::Tick(instance) => {
                    if self.instances[instance].queued() > 0 {
                        self.dispatch(instance, Vec::new(), now);
                    }
                    if (now - START).as_millis().is_multiple_of(1_000) {
                        self.instances[instance].on_tick(now);
                    }
                    self.push(now + Duration::from_millis(10), Event::Tick(instance));
                }
                Event::Prefilled(engine, index) => self.on_prefilled(engine, index, now),
                Event::Ended(engine, index) => self.on_ended(engine, index, now),
            }
        }
        let arrivals = self.engines.iter().map(|engine| f64::from(engine.arrivals));
        let mean = arrivals.clone().sum::<f64>() / self.engines.len() as f64;
        self.outcome.busiest = arrivals.fold(0.0, f64::max) / mean;
        self.outcome
    }

    fn submit(&mut self, index: usize, now: Timestamp) {
        let request = &self.requests[index];
        let kind = request.kind;
        let shared = request.shared_part();
        if self.policy == Policy::Oracle {
            let best = (0..self.engines.len()).min_by_key(|engine| {
                let state = &self.engines[*engine];
                let ahead = state.waiting.iter().copied().chain([index]);
                let prefills = ahead.map(|other| self.prefill(*engine, other));
                let missing_slots = (state.running + 1).saturating_sub(self.site.slots);
                prefills.sum::<Duration>()
                    + Duration::from_millis(100) * u32::from(state.is_prefilling)
                    + Duration::from_millis(200) * missing_slots
            });
            self.send(best.expect("an engine"), index, now);
            return;
        }
        let parts = [
            (shared, kind.shared_tokens),
            (index as u64, kind.own_tokens),
        ];
        let head = PromptHead {
            model: MODEL.into(),
            prompt_tokens: kind.shared_tokens + kind.own_tokens,
            max_output_tokens: u64::from(kind.output_tokens),
            parts: parts
                .map(|(hash, tokens)| PromptPart {
                    name: hash.to_string().into(),
                    hash,
                    tokens,
                })
                .to_vec(),
        };
        let new = NewRequest {
            workspace: format!("w{}", request.workspace).into(),
            model: MODEL.into(),
            prompt: head
                .fingerprints("scope", BlockCounting::for_fleet(INSTANCES))
                .into(),
            cost_tokens: head.prompt_tokens + head.max_output_tokens,
            deadline: request.arrived + kind.objective.mul_f64(0.75),
            excluded: Vec::new(),
            is_suspect: false,
            aims: None,
        };
        let instance = request.instance;
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
                    let stated = sent.missing.map(|missing| missing.cause.to_string());
                    self.requests[index].stated = stated;
                    let engine = sent.target[1..].parse().expect("a number");
                    self.send(engine, index, now);
                }
                Effect::Refuse { .. } => self.outcome.refused += 1,
                Effect::Publish(_) => {}
            }
        }
    }

    fn send(&mut self, engine: usize, index: usize, now: Timestamp) {
        let is_counted = self.requests[index].is_counted();
        self.engines[engine].arrivals += u32::from(is_counted);
        self.engines[engine].waiting.push_back(index);
        self.start_next(engine, now);
    }

    fn prefill(&self, engine: usize, index: usize) -> Duration {
        let request = &self.requests[index];
        let mut tokens = request.kind.own_tokens;
        if !self.engines[engine]
            .parts
            .contains_key(&request.shared_part())
        {
            tokens += request.kind.shared_tokens;
        }
        let pace = self.site.pace(engine, self.engines[engine].running);
        Duration::from_secs_f64(tokens as f64 * pace / PREFILL_TOKENS_PER_S)
    }

    fn start_next(&mut self, engine: usize, now: Timestamp) {
        let state = &self.engines[engine];
        if state.is_prefilling || state.running >= self.site.slots {
            return;
        }
        let Some(&index) = state.waiting.front() else {
            return;
        };
        let prefill = self.prefill(engine, index);
        let request = &self.requests[index];
        let (kind, shared) = (request.kind, request.shared_part());
        if request.is_counted() {
            self.outcome.prompt_tokens += kind.shared_tokens + kind.own_tokens;
            if !state.parts.contains_key(&shared) {
                let stated = request.stated.clone().unwrap_or("none".to_owned());
                *self.outcome.prefilled_again.entry(stated).or_default() += kind.shared_tokens;
            }
        }
        self.sequence += 1;
        let clock = self.sequence;
        let state = &mut self.engines[engine];
        state.waiting.pop_front();
        state.is_prefilling = true;
        state.running += 1;
        let memory = self.site.memory_tokens;
        state.use_part(shared, kind.shared_tokens, clock, memory);
        state.use_part(index as u64, kind.own_tokens, clock, memory);
        self.push(now + prefill, Event::Prefilled(engine, index));
    }

    fn on_prefilled(&mut self, engine: usize, index: usize, now: Timestamp) {
        let state = &mut self.engines[engine];
        state.is_prefilling = false;
        let slow_down = 1.0 + f64::from(state.running) / f64::from(self.site.slots);
        let request = &mut self.requests[index];
        request.first_token_at = Some(now);
        let pace = self.site.pace(engine, state.running);
        let decode = (STEP * request.kind.output_tokens).mul_f64(slow_down * pace);
        if request.is_counted() {
            let took = now - request.arrived;
            let kind = usize::from(request.kind.output_tokens == SHORT.output_tokens);
            self.outcome.first_tokens_ms[kind].push(took.as_secs_f64() * 1000.0);
            self.outcome.late += u32::from(took > request.kind.objective);
        }
        let report = LoadReport {
            running: state.running,
            waiting: state.waiting.len() as u32,
            max_running: self.site.slots,
            pace: match self.site.has_paces {
                true => ReportedPace::Permille((pace * 1000.0) as u32),
                false => ReportedPace::Missing,
            },
            ..LoadReport::default()
        };
        if self.policy == Policy::Router {
            let scheduler = &mut self.instances[request.instance];
            scheduler.on_load(&engine_name(engine), &report, now);
            scheduler.on_first_token(request.placement, now);
        }
        self.push(now + decode, Event::Ended(engine, index));
        self.start_next(engine, now);
    }

    fn on_ended(&mut self, engine: usize, index: usize, now: Timestamp) {
        let request = &self.requests[index];
        let state = &mut self.engines[engine];
        state.running -= 1;
        state.release(request.shared_part());
        state.release(index as u64);
        let (instance, placement) = (request.instance, request.placement);
        self.start_next(engine, now);
        if self.policy == Policy::Router {
            let end = AttemptEnd::Completed {
                incarnation: 0,
                cached_tokens: None,
            };
            let mut effects = Vec::new();
            self.instances[instance].on_end(placement, end, 7, now, &mut effects);
            self.dispatch(instance, effects, now);
        }
    }
}

fn play(name: &str, site: Site, policy: Policy) -> Outcome {
    let outcome = Fleet::new(site, policy, 1).run();
    outcome.print(name);
    outcome
}

/// Guards against requests that leave the replica set of their shared part although its members have it: with
/// 85 instances that learn nothing about caches from responses, 0.13 of the prompt tokens were shared ones that
/// were prefilled again. Also guards against requests with small shared parts that wait at the few members of
/// a set, some of them slow, while other engines are free: 0.005 were late, and 0.010 once requests kept to
/// their sets.
#[test]
fn engines_of_different_speed_prefill_few_shared_parts_again() {
    let outcome = play("paced", PACED, Policy::Router);
    assert!(outcome.again() < 0.06, "{}", outcome.again());
    assert!(outcome.p95_ms(0) < 260.0, "{}", outcome.p95_ms(0));
    assert!(outcome.p95_ms(1) < 80.0, "{}", outcome.p95_ms(1));
    assert!(outcome.late_share() < 0.003, "{}", outcome.late_share());
    let oracle = play("paced, oracle", PACED, Policy::Oracle);
    assert!(oracle.again() < outcome.again(), "{}", oracle.again());
}
