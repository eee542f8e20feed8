//! Requests of each kind at targets that pause for a moment, while the configuration, the targets and the
//! settings change.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::process::Stdio;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use jujubelink_standins::fleet::StoreMode;
use serde_json::{Value, json};

use super::faulty_responses::{response_head, success};
use super::scripted_deployment::{
    EVENTS, change_routes, is_complete, other_service, paired_configuration, stream, target_entry,
};
use super::{Deployment, KEY, RunningInstance, expected_events, read_lines, send_with_host};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, Step, TestResponse, eventually, run};

/// The kinds of requests, which are the names of their routes.
const KINDS: [&str; 4] = ["read", "pay", "ask", "tell"];

const DEADLINES_MS: [u64; 3] = [4_000, 5_000, 6_000];

/// Lengths of the pauses. All of them end before the earliest deadline.
const PAUSES_MS: [u64; 4] = [900, 1_050, 1_200, 1_400];

/// Times between the first change and the begin of later requests.
const BEGINS_MS: [u64; 3] = [0, 250, 1_100];

/// Interval of changes in quick succession, and their number.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
const QUICK_CHANGES: u64 = 15;

/// Which targets of a request pause.
#[derive(Debug, Clone, Copy)]
enum Spread {
    /// The first one.
    First,
    /// Each one, from when the request reaches it.
    InTurn,
    /// All of them, until the first one goes on.
    AtOnce,
}

/// A request, and how its targets pause.
#[derive(Debug, Clone, Copy)]
struct Case {
    kind: &'static str,
    spread: Spread,
    is_before_head: bool,
    pause: Duration,
    deadline_ms: u64,
    /// When it begins after the first change; `None` if it is in progress then.
    begin: Option<Duration>,
}

impl Case {
    /// Returns requests of all kinds and spreads that begin at the different times. The place and the
    /// length of the pause and the deadline vary with `variant`.
    fn all(variant: usize) -> Vec<Self> {
        let begins = BEGINS_MS.map(|ms| Some(Duration::from_millis(ms)));
        let begins = [None].into_iter().chain(begins).enumerate();
        let mut cases = Vec::new();
        for (number, begin) in begins {
            for (spread_number, spread) in [Spread::First, Spread::InTurn, Spread::AtOnce]
                .into_iter()
                .enumerate()
            {
                let sum = variant + number + spread_number;
                cases.extend(KINDS.map(|kind| Self {
                    kind,
                    spread,
                    is_before_head: sum.is_multiple_of(2),
                    pause: Duration::from_millis(PAUSES_MS[sum % PAUSES_MS.len()]),
                    deadline_ms: DEADLINES_MS[(sum + variant) % DEADLINES_MS.len()],
                    begin,
                }));
            }
        }
        cases
    }

    fn is_stream(self) -> bool {
        matches!(self.kind, "ask" | "tell")
    }

    /// Whether the request may have run at targets with these names.
    fn allows_runs(self, targets: &[String], max_attempts: usize) -> bool {
        match self.kind {
            "read" | "ask" => targets.iter().collect::<HashSet<_>>().len() <= max_attempts,
            _ => targets.len() <= 1,
        }
    }

    /// Returns what a target sends. `since_first` is the time since the request reached its first target,
    /// if this is not that one.
    fn reply(self, request: &ReceivedRequest, since_first: Option<Duration>) -> Reply {
        let whole = match self.is_stream() {
            true => stream(request, &[]),
            false => Reply::kept(success(request, "whole")),
        };
        match (self.spread, since_first) {
            (Spread::First, Some(_)) => return whole,
            (Spread::AtOnce, Some(since_first)) => {
                return whole.with_delay(self.pause.saturating_sub(since_first));
            }
            _ => {}
        }
        match (self.is_before_head, self.is_stream()) {
            (true, _) => whole.with_delay(self.pause),
            (false, true) => stream(request, &[(2, self.pause.as_millis() as u64)]),
            (false, false) => Reply {
                steps: vec![
                    Step::Send(response_head("200 OK", &request.id, 5) + "wh"),
                    Step::Pause(self.pause),
                    Step::Send("ole".to_owned()),
                ],
                closes: false,
            },
        }
    }

    /// Whether the response says that the request was not answered in time. Within a stream that is the
    /// end of the connection.
    fn is_timed_out(self, response: &TestResponse) -> bool {
        let is_cut = self.is_stream()
            && response.status == 0
            && expected_events(1..=EVENTS).starts_with(&response.body);
        is_cut || matches!(response.status, 502 | 504)
    }

    fn is_whole(self, response: &TestResponse) -> bool {
        match self.is_stream() {
            true => is_complete(response),
            false => response.status == 200 && response.body == "whole",
        }
    }
}

/// What changes.
struct Change {
    name: &'static str,
    change_config: fn(&mut Value),
    /// Whether one target of each service leaves and another one comes.
    replaces_targets: bool,
    /// Statuses of later requests that have not run.
    refusals: &'static [u16],
    /// Whether the timeout of later requests ends before the pauses.
    times_out: bool,
}

impl Change {
    const fn new(name: &'static str, change_config: fn(&mut Value)) -> Self {
        Self {
            name,
            change_config,
            replaces_targets: false,
            refusals: &[],
            times_out: false,
        }
    }

    const fn with_refusals(mut self, statuses: &'static [u16]) -> Self {
        self.refusals = statuses;
        self
    }

    const fn with_timeouts(mut self) -> Self {
        self.times_out = true;
        self
    }

    const fn with_replaced_targets(mut self) -> Self {
        self.replaces_targets = true;
        self
    }
}

const CHANGES: [Change; 18] = [
    Change::new("version only", |_| {}),
    Change::new("routes moved", |config| {
        change_routes(config, |route| route["service"] = other_service(route));
    }),
    Change::new("routes reweighted", |config| {
        change_routes(config, |route| {
            let (service, other) = (route["service"].clone(), other_service(route));
            let weights = json!([{ "service": service, "weight": 1 },
                { "service": other, "weight": 9 }]);
            route["traffic_split"] = weights;
        });
    }),
    Change::new("routes removed", |config| config["routes"] = json!([])).with_refusals(&[404, 503]),
    Change::new("routes added", |config| {
        let routes = config["routes"].as_array_mut().unwrap();
        for number in 0..20 {
            let mut route = routes[number % 4].clone();
            route["name"] = json!(format!("added{number}"));
            route["path_prefix"] = json!(format!("/added{number}/"));
            routes.push(route);
        }
    }),
    Change::new("timeouts raised", |config| {
        change_routes(config, |route| route["timeout_ms"] = json!(20_000));
    }),
    Change::new("timeouts lowered", |config| {
        change_routes(config, |route| route["timeout_ms"] = json!(5_000));
    }),
    Change::new("timeouts lowered below the pauses", |config| {
        change_routes(config, |route| route["timeout_ms"] = json!(500));
    })
    .with_timeouts(),
    Change::new("streams not resumable", |config| {
        change_routes(config, |route| route["resumable"] = json!(false));
    }),
    Change::new("one attempt", |config| {
        change_routes(config, |route| route["max_attempts"] = json!(1));
    }),
    Change::new("targets replaced", |_| {}).with_replaced_targets(),
    Change::new("targets replaced and routes moved", |config| {
        change_routes(config, |route| route["service"] = other_service(route));
    })
    .with_replaced_targets()
    .with_refusals(&[503]),
    Change::new("services added", |config| {
        let services = config["services"].as_array_mut().unwrap();
        for number in 0..20 {
            services.push(json!({ "name": format!("new{number}"), "max_connections": 100 }));
        }
    }),
    Change::new("another key withdrawn", |config| {
        config["tenants"][0]["api_keys"] = json!([KEY]);
    }),
    Change::new("keys and tenants added", |config| {
        config["tenants"][0]["api_keys"] = json!(["third key", KEY, "another key"]);
        let mut tenant = config["tenants"][0].clone();
        (tenant["name"], tenant["api_keys"]) = (json!("team"), json!(["fourth key"]));
        config["tenants"].as_array_mut().unwrap().push(tenant);
    }),
    Change::new("quota lowered", |config| {
        let tenant = &mut config["tenants"][0];
        (tenant["rate_per_s"], tenant["burst"]) = (json!(0.001), json!(20));
    })
    .with_refusals(&[429]),
    Change::new("quota raised", |config| {
        let tenant = &mut config["tenants"][0];
        (tenant["rate_per_s"], tenant["burst"]) = (json!(20_000_000), json!(20_000_000));
    }),
    Change::new("limits of connections", |config| {
        config["limits"] = json!({ "max_header_bytes": 1_024, "max_body_bytes": 100,
            "header_timeout_ms": 300, "idle_timeout_ms": 500 });
    }),
];

/// How often the configuration changes beside the requests of a phase.
#[derive(Debug, Clone, Copy)]
enum Pace {
    Once,
    /// To and fro, every [`CHANGE_INTERVAL`].
    Quick,
    /// As [`Self::Quick`], with a changed settings file and SIGHUP each time.
    QuickWithReloads,
}

type Cases = Arc<Mutex<HashMap<String, Case>>>;

/// Which targets each request reached, and when, by its id.
type Arrivals = Arc<Mutex<HashMap<String, Vec<(String, Instant)>>>>;

/// An instance, the targets of two plain services and two models, and the requests to them.
struct Setup {
    deployment: Deployment,
    instance: RunningInstance,
    targets: Vec<(String, ScriptedTarget)>,
    cases: Cases,
    arrivals: Arrivals,
    new_lines: mpsc::Receiver<String>,
    lines: RefCell<Vec<String>>,
    max_attempts: usize,
    version: Cell<u64>,
}

impl Setup {
    async fn start(max_attempts: usize) -> Self {
        let deployment = Deployment::new();
        for (id, _) in &deployment.handles {
            deployment.store.remove("servers", id);
        }
        let cases = Cases::default();
        let arrivals = Arrivals::default();
        let services = ["app", "app2", "llm", "llm2"];
        let ids = services.iter().flat_map(|service| {
            let ids = [1, 2, 3].map(|number| format!("{service}-{number}"));
            ids.into_iter()
        });
        let targets = ids.map(|id| {
            let (cases, arrivals, name) = (Arc::clone(&cases), Arc::clone(&arrivals), id.clone());
            let target = ScriptedTarget::start(move |request| {
                let case = cases.lock().unwrap().get(&request.id).copied();
                let Some(case) = case else {
                    return match request.path.as_bytes()[1] {
                        b'a' | b't' => stream(request, &[]),
                        _ => Reply::kept(success(request, "whole")),
                    };
                };
                let mut arrivals = arrivals.lock().unwrap();
                let earlier = arrivals.entry(request.id.clone()).or_default();
                earlier.push((name.clone(), request.arrived_at));
                let since_first = (earlier.len() > 1).then(|| earlier[0].1.elapsed());
                case.reply(request, since_first)
            });
            (id, target)
        });
        let targets = targets.collect();
        let settings = "contact_ms = 2000\n[log]\nlevel = \"info\"\n";
        let started = deployment.start_with_log("n1", settings, StoreMode::Up, Stdio::piped());
        let mut instance = started.await;
        let new_lines = read_lines(instance.process.take_log());
        Self {
            deployment,
            instance,
            targets,
            cases,
            arrivals,
            new_lines,
            lines: RefCell::default(),
            max_attempts,
            version: Cell::new(5),
        }
    }

    /// Writes the store's entry of a target.
    fn put_target(&self, id: &str, state: &str, incarnation: u64) {
        let (_, target) = self.targets.iter().find(|(other, _)| other == id).unwrap();
        let entry = target_entry(id, target.address(), 100, state, incarnation);
        self.deployment.store.put("servers", id, entry);
    }

    /// Writes the next version of the configuration.
    fn put_config(&self, change: impl Fn(&mut Value)) {
        let version = self.version.get() + 3;
        self.version.set(version);
        let mut config = paired_configuration(version, 100, self.max_attempts);
        change(&mut config);
        self.deployment.store.put("config", "main", config);
    }

    /// Puts two targets of each service and the unchanged configuration in force.
    async fn reset(&self, phase: u64) {
        for (id, _) in &self.targets {
            match id.ends_with('3') {
                true => self.deployment.store.remove("servers", id),
                false => self.put_target(id, "ready", phase),
            }
        }
        self.put_config(|_| {});
        self.instance.wait_ready().await;
        eventually("the configuration is in force", || async {
            self.is_config_in_force().then_some(())
        })
        .await;
        let number = Cell::new(0);
        eventually("all kinds of requests are served", || async {
            number.set(number.get() + 1);
            let responses = join_all(KINDS.map(|kind| {
                let id = format!("warm-up{phase}-{}-{kind}", number.get());
                self.send(id, kind, 3_000)
            }));
            let responses = responses.await;
            responses
                .iter()
                .all(|response| response.status == 200)
                .then_some(())
        })
        .await;
    }

    async fn send(&self, id: String, kind: &str, deadline_ms: u64) -> TestResponse {
        let method = match kind {
            "read" => "GET",
            _ => "POST",
        };
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("/{kind}/x"))
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", &id)
            .header("jujubelink-deadline-ms", deadline_ms)
            .header("authorization", format!("Bearer {KEY}"));
        if matches!(kind, "ask" | "tell") {
            request = request
                .header("jujubelink-model", "m")
                .header("jujubelink-token-count", "1200,50")
                .header("jujubelink-prompt-prefix", format!("{id}:1200"));
        }
        send_with_host(self.instance.process.client_address, request, "body").await
    }

    /// Returns the targets that a request has reached.
    fn arrivals(&self, id: &str) -> Vec<String> {
        let arrivals = self.arrivals.lock().unwrap();
        let arrivals = arrivals.get(id).into_iter().flatten();
        arrivals.map(|(target, _)| target.clone()).collect()
    }

    /// Reads new lines of the log. Returns whether the newest version of the configuration is in force.
    fn is_config_in_force(&self) -> bool {
        let mut lines = self.lines.borrow_mut();
        lines.extend(self.new_lines.try_iter());
        let version = format!("\"version\":{}}}", self.version.get());
        let mut lines = lines.iter().rev();
        lines.any(|line| line.contains("configuration in force") && line.ends_with(&version))
    }

    /// Applies a change at a pace.
    async fn apply(&self, change: &Change, pace: Pace) {
        let steps = match pace {
            Pace::Once => 1,
            Pace::Quick | Pace::QuickWithReloads => QUICK_CHANGES,
        };
        if change.replaces_targets {
            let replaced = self.targets.iter().filter(|(id, _)| !id.ends_with('2'));
            for (id, _) in replaced {
                let state = if id.ends_with('1') {
                    "draining"
                } else {
                    "ready"
                };
                self.put_target(id, state, self.version.get());
            }
        }
        for step in 0..steps {
            match step % 2 {
                0 => self.put_config(change.change_config),
                _ => self.put_config(|_| {}),
            }
            if matches!(pace, Pace::QuickWithReloads) {
                let values = ["contact_ms = 2000\n", "contact_ms = 3000\n"];
                let (old, new) = (values[step as usize % 2], values[(step as usize + 1) % 2]);
                let process = &self.instance.process;
                process.change_settings(|text| text.replace(old, new));
                process.reload();
            }
            compio::time::sleep(CHANGE_INTERVAL).await;
        }
    }

    /// Sends requests beside a change. Returns descriptions of those that got neither their whole answer
    /// nor a truthful refusal that the change explains.
    async fn run_phase(&self, change: &Change, pace: Pace, variant: usize) -> Vec<String> {
        let cases: Vec<_> = Case::all(variant)
            .into_iter()
            .enumerate()
            .map(|(number, case)| (format!("{}{variant}-{number}", case.kind), case))
            .collect();
        self.cases.lock().unwrap().extend(cases.iter().cloned());
        let earlier = cases.iter().filter(|(_, case)| case.begin.is_none());
        let earlier: Vec<_> = earlier.map(|(id, _)| id.as_str()).collect();
        let has_begun = Cell::new(false);
        let answered = RefCell::new(HashSet::new());
        let requests = join_all(cases.iter().map(|(id, case)| {
            let (has_begun, answered) = (&has_begun, &answered);
            async move {
                if let Some(begin) = case.begin {
                    eventually("the change begins", || async {
                        has_begun.get().then_some(())
                    })
                    .await;
                    compio::time::sleep(begin).await;
                }
                let response = self.send(id.clone(), case.kind, case.deadline_ms).await;
                answered.borrow_mut().insert(id.as_str());
                (id, case, response)
            }
        }));
        let changes = async {
            // One that is refused before is reported below.
            eventually("the earlier requests reach targets", || async {
                let is_here =
                    |id: &&str| !self.arrivals(id).is_empty() || answered.borrow().contains(*id);
                earlier.iter().all(is_here).then_some(())
            })
            .await;
            has_begun.set(true);
            self.apply(change, pace).await;
        };
        let (responses, ()) = futures_util::join!(requests, changes);
        let wrong = responses.into_iter().filter_map(|(id, case, response)| {
            let targets = self.arrivals(id);
            let is_refused = change.refusals.contains(&response.status) && targets.is_empty();
            let is_timed_out = change.times_out && case.is_timed_out(&response);
            let is_allowed = case.begin.is_some() && (is_refused || is_timed_out);
            let is_right = (case.is_whole(&response) || is_allowed)
                && case.allows_runs(&targets, self.max_attempts);
            let text = format!(
                "{}, {pace:?}: {id} {case:?}: status {} with {:?}, at {targets:?}",
                change.name, response.status, response.body
            );
            (!is_right).then_some((id.clone(), text))
        });
        let wrong: Vec<_> = wrong.collect();
        self.is_config_in_force();
        let lines = self.lines.borrow();
        let with_log = wrong.into_iter().map(|(id, text)| {
            let id = format!("\"{id}\"");
            let lines = lines.iter().filter(|line| line.contains(&id));
            lines.fold(text, |text, line| text + "\n    " + line)
        });
        with_log.collect()
    }
}

/// Runs all phases of each change with an instance of its own.
async fn check_changes(changes: &[Change], max_attempts: usize) {
    let wrong = join_all(changes.iter().map(|change| async move {
        let setup = Setup::start(max_attempts).await;
        let mut wrong = Vec::new();
        let paces = [Pace::Once, Pace::Quick, Pace::QuickWithReloads];
        for (variant, pace) in paces.into_iter().enumerate() {
            setup.reset(2 + variant as u64).await;
            wrong.extend(setup.run_phase(change, pace, variant).await);
        }
        wrong
    }));
    let wrong = wrong.await.concat();
    assert!(
        wrong.is_empty(),
        "{} requests:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
}

/// Guards against a change that ends a request without its answer, because its target pauses meanwhile.
#[test]
fn requests_at_pausing_targets_are_answered_beside_changes_with_two_attempts() {
    run(check_changes(&CHANGES, 2));
}

/// Guards against the same where a third attempt is allowed.
#[test]
fn requests_at_pausing_targets_are_answered_beside_changes_with_three_attempts() {
    run(check_changes(&CHANGES, 3));
}
