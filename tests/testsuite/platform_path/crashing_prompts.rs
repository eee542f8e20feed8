//! Prompts that crash the engines that run them, engines that crash for reasons of their own, and
//! engines that break responses off and live on.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use jujubelink::core::crash::PART_CRASHES;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{CrashingPart, FleetTarget, StoreMode, TargetFault};
use serde_json::json;

use super::scripted_deployment::stream;
use super::{Deployment, KEY, RunningInstance, expected_events, schedule_faults};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, TestResponse, eventually, run};

/// Name of the part under which engines crash.
const CRASHING: &str = "dead";

/// Crashes after which requests with the part may reach engines only in rare trials.
const CRASHES: usize = 5;

/// Time after the fifth crash within which all instances have to refuse the part.
const CONTACT: Duration = Duration::from_secs(3);

/// Requests with the part that may reach engines later.
const MAX_LATE_ARRIVALS: usize = 3;

/// Time between a crash and the return of the engine under a new name.
const RESTART: Duration = Duration::from_secs(2);

/// Intervals between prompts with the part.
const FREQUENT: Duration = Duration::from_millis(100);
const RARE: Duration = Duration::from_millis(700);

/// Time for which the entry of a crashed engine stays in the store.
const ENTRY_LAPSE: Duration = Duration::from_millis(1_200);

/// Time between the events of a stream, of which there are five.
const EVENT_GAP: Duration = Duration::from_millis(15);

/// Engines that return under new names after crashes.
struct EnginePool {
    deployment: Rc<Deployment>,
    part: CrashingPart,
    running: RefCell<Vec<(Rc<FleetTarget>, StandInHandle)>>,
    /// All engines so far.
    all: RefCell<Vec<Rc<FleetTarget>>>,
    crashed_at: RefCell<Vec<Instant>>,
    is_stopped: Cell<bool>,
}

impl EnginePool {
    /// Starts engines as the only ones of the deployment.
    fn start(size: usize, events_before_crash: u64) -> Rc<Self> {
        let deployment = Deployment::new();
        for id in ["e1", "e2"] {
            deployment.store.remove("servers", id);
        }
        let pool = Rc::new(Self {
            deployment: Rc::new(deployment),
            part: CrashingPart {
                name: CRASHING.to_owned(),
                events: events_before_crash,
            },
            running: RefCell::default(),
            all: RefCell::default(),
            crashed_at: RefCell::default(),
            is_stopped: Cell::new(false),
        });
        for _ in 0..size {
            pool.add();
        }
        compio::runtime::spawn(Rc::clone(&pool).supervise()).detach();
        pool
    }

    fn add(&self) {
        let number = self.all.borrow().len();
        let engine = FleetTarget::new(&format!("e-{number}"), &Rc::default());
        engine.set_event_gap(EVENT_GAP);
        engine.set_crashing_part(Some(&self.part));
        let handle = StandInHandle::start(Rc::clone(&engine)).unwrap();
        let deployment = &self.deployment;
        deployment.put_target_at(engine.id(), handle.address(), "ready", 1, 1);
        self.all.borrow_mut().push(Rc::clone(&engine));
        self.running.borrow_mut().push((engine, handle));
    }

    /// Ends an engine and has another one start after a while.
    fn crash(self: &Rc<Self>, index: usize) {
        let (engine, handle) = self.running.borrow_mut().remove(index);
        drop(handle);
        self.crashed_at.borrow_mut().push(Instant::now());
        let pool = Rc::clone(self);
        compio::runtime::spawn(async move {
            compio::time::sleep(ENTRY_LAPSE).await;
            pool.deployment.store.remove("servers", engine.id());
            compio::time::sleep(RESTART - ENTRY_LAPSE).await;
            pool.add();
        })
        .detach();
    }

    async fn supervise(self: Rc<Self>) {
        while !self.is_stopped.get() {
            let crashed = {
                let running = self.running.borrow();
                running.iter().position(|(engine, _)| engine.has_crashed())
            };
            match crashed {
                Some(index) => self.crash(index),
                None => compio::time::sleep(Duration::from_millis(2)).await,
            }
        }
    }

    /// Number of requests with the crashing part that reached engines.
    fn arrivals(&self) -> usize {
        let all = self.all.borrow();
        let seen = all.iter().flat_map(|engine| engine.seen());
        let prompt = |(headers, _): &(http::HeaderMap, _)| {
            super::header(headers, "jujubelink-prompt-prefix").to_owned()
        };
        seen.filter(|request| prompt(request).contains(CRASHING))
            .count()
    }

    /// Waits until the fifth crash and then for [`CONTACT`]. Returns the arrivals until then. If fewer engines
    /// crash within `time`, in which prompts are sent, no arrival is late.
    async fn arrivals_in_time(&self, time: Duration) -> usize {
        let end = Instant::now() + time;
        while self.crashed_at.borrow().len() < CRASHES && Instant::now() < end {
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        let fifth = self.crashed_at.borrow().get(CRASHES - 1).copied();
        if let Some(fifth) = fifth {
            compio::time::sleep((fifth + CONTACT).saturating_duration_since(Instant::now())).await;
        }
        self.arrivals()
    }

    async fn start_instances(&self, count: usize) -> Rc<Vec<RunningInstance>> {
        let mut instances = Vec::new();
        for number in 0..count {
            instances.push(self.deployment.start(&format!("n{number}"), "").await);
        }
        for instance in &instances {
            instance.wait_ready().await;
        }
        for instance in &instances {
            eventually("the instance serves prompts", || async {
                let response = instance
                    .send_prompt_of_parts("warm-up", "/ask/x", "c0:800,f0:400")
                    .await;
                (response.status == 200).then_some(())
            })
            .await;
        }
        Rc::new(instances)
    }
}

impl Drop for EnginePool {
    fn drop(&mut self) {
        self.is_stopped.set(true);
    }
}

/// Prompts that are sent to instances in turn at an interval.
struct Load {
    interval: Duration,
    /// Returns the parts of the prompt with a number.
    prompt: fn(usize) -> String,
}

impl Load {
    /// Sends prompts for a time. Returns the time of each since the start, and its response.
    async fn play(
        self,
        instances: Rc<Vec<RunningInstance>>,
        time: Duration,
    ) -> Vec<(Duration, TestResponse)> {
        let started = Instant::now();
        let mut responses = Vec::new();
        for number in 0.. {
            let due = self.interval * number as u32;
            if due >= time {
                break;
            }
            compio::time::sleep((started + due).saturating_duration_since(Instant::now())).await;
            let (instances, parts) = (Rc::clone(&instances), (self.prompt)(number));
            responses.push(compio::runtime::spawn(async move {
                let instance = &instances[number % instances.len()];
                let id = format!("{}-{number}", parts.len());
                (
                    due,
                    instance.send_prompt_of_parts(&id, "/ask/x", &parts).await,
                )
            }));
        }
        let responses = join_all(responses).await;
        responses.into_iter().map(|sent| sent.unwrap()).collect()
    }
}

/// Prompts with the crashing part, which have nothing else in common.
fn crashing_prompts(position: Position) -> Load {
    Load {
        interval: FREQUENT,
        prompt: match position {
            Position::First => |number| format!("{CRASHING}:800,b{number}:300,c{number}:400"),
            Position::Later => |number| {
                let shared = format!("a{}:800", number % 4);
                format!("{shared},{CRASHING}:300,c{number}:400")
            },
        },
    }
}

/// Prompts that share all parts but the crashing one with the crashing ones, or each other.
fn sound_prompts() -> Load {
    Load {
        interval: Duration::from_millis(50),
        prompt: |number| {
            let shared = format!("a{}:800,b{}:300", number % 4, number % 8);
            format!("{shared},d{number}:400")
        },
    }
}

#[derive(Clone, Copy)]
enum Position {
    First,
    Later,
}

/// Plays crashing and sound prompts, and checks how many crashing ones reach engines and how many sound
/// ones are served.
async fn check_refusals(
    instance_count: usize,
    position: Position,
    interval: Duration,
    events_before_crash: u64,
) {
    const TIME: Duration = Duration::from_secs(10);
    let pool = EnginePool::start(12, events_before_crash);
    let instances = pool.start_instances(instance_count).await;
    let crashing = Load {
        interval,
        ..crashing_prompts(position)
    };
    let crashing = crashing.play(Rc::clone(&instances), TIME);
    let sound = sound_prompts().play(instances, TIME);
    let (in_time, _, sound) = futures_util::join!(pool.arrivals_in_time(TIME), crashing, sound);
    let late = pool.arrivals() - in_time;
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} prompts reached engines later, {} engines crashed",
        pool.crashed_at.borrow().len()
    );
    // At most a few engines crash in this time.
    let late_sound: Vec<_> = sound
        .iter()
        .filter(|(due, _)| *due >= TIME - CONTACT)
        .collect();
    let served = late_sound
        .iter()
        .filter(|(_, response)| response.status == 200);
    let served = served.count();
    assert!(
        served * 10 >= late_sound.len() * 9,
        "{served} of {} sound prompts were served",
        late_sound.len()
    );
}

/// Guards against engine after engine that crashes under one part of prompts which differ in all others.
#[test]
fn a_part_that_crashes_engines_is_refused() {
    run(check_refusals(1, Position::Later, FREQUENT, 1));
}

/// Guards against a part that is recognized only as the start of a prompt, or only within a response.
#[test]
fn the_first_part_is_refused_when_engines_crash_before_the_head() {
    run(check_refusals(1, Position::First, FREQUENT, 0));
}

/// Guards against crashes that are counted for each instance on its own.
#[test]
fn crashes_at_several_instances_add_up() {
    run(check_refusals(3, Position::Later, FREQUENT, 1));
}

/// Guards against a part that is served again and again because it comes rarely.
#[test]
fn a_rare_part_is_refused() {
    run(check_refusals(6, Position::Later, RARE, 1));
}

/// Sends 30 prompts with the crashing part and checks how many of them reach engines.
async fn assert_refused(pool: &EnginePool, instances: Vec<RunningInstance>) {
    let before = pool.arrivals();
    let prompts = crashing_prompts(Position::Later);
    prompts
        .play(Rc::new(instances), Duration::from_secs(3))
        .await;
    let arrivals = pool.arrivals() - before;
    assert!(
        arrivals <= MAX_LATE_ARRIVALS,
        "{arrivals} prompts reached engines"
    );
}

/// Plays prompts with the crashing part until all instances have to refuse it.
async fn play_crashes(pool: &EnginePool, instances: &Rc<Vec<RunningInstance>>) {
    const TIME: Duration = Duration::from_secs(4);
    let prompts = crashing_prompts(Position::Later);
    let played = prompts.play(Rc::clone(instances), TIME);
    futures_util::join!(pool.arrivals_in_time(TIME), played);
    let crashed = pool.crashed_at.borrow().len();
    assert!(crashed >= PART_CRASHES, "{crashed} engines crashed");
}

/// Guards against a new instance that knows nothing of the crashes before its start.
#[test]
fn an_instance_that_starts_after_the_crashes_refuses_the_part() {
    run(async {
        let pool = EnginePool::start(12, 1);
        let instances = pool.start_instances(2).await;
        play_crashes(&pool, &instances).await;
        let started = pool.deployment.start("n9", "").await;
        started.wait_ready().await;
        assert_refused(&pool, vec![started]).await;
    });
}

/// Guards against crashes that are forgotten when all instances restart.
#[test]
fn the_refusal_outlasts_a_restart_of_all_instances() {
    run(async {
        let pool = EnginePool::start(12, 1);
        let instances = pool.start_instances(2).await;
        play_crashes(&pool, &instances).await;
        drop(instances);
        let mut started = Vec::new();
        for number in 0..2 {
            started.push(pool.deployment.start(&format!("n{number}"), "").await);
        }
        for instance in &started {
            instance.wait_ready().await;
        }
        assert_refused(&pool, started).await;
    });
}

/// Guards against a refusal that goes on for long after the engines stopped to crash.
#[test]
fn a_part_is_served_again_once_engines_no_longer_crash() {
    run(async {
        let pool = EnginePool::start(12, 1);
        let instances = pool.start_instances(2).await;
        play_crashes(&pool, &instances).await;
        eventually("all engines are back", || async {
            (pool.running.borrow().len() == 12).then_some(())
        })
        .await;
        for (engine, _) in pool.running.borrow().iter() {
            engine.set_crashing_part(None);
        }
        let number = Cell::new(0);
        eventually("both instances serve the part", || async {
            number.set(number.get() + 1);
            let parts = format!("a0:800,{CRASHING}:300,e{}:400", number.get());
            let sent = instances
                .iter()
                .map(|instance| instance.send_prompt_of_parts("again", "/ask/x", &parts));
            let responses = join_all(sent).await;
            let is_served = responses.iter().all(|response| response.status == 200);
            is_served.then_some(())
        })
        .await;
    });
}

/// Guards against sound prompts that are refused because all of them share a part and engines crash for
/// another reason.
#[test]
fn a_part_of_all_prompts_is_served_while_engines_crash_for_another_reason() {
    run(async {
        const CRASHES: usize = 14;
        let pool = EnginePool::start(12, 1);
        let instances = pool.start_instances(2).await;
        let crash_engines = async {
            for _ in 0..CRASHES {
                compio::time::sleep(Duration::from_millis(250)).await;
                pool.crash(0);
            }
        };
        let load = Load {
            interval: Duration::from_millis(50),
            prompt: |number| format!("a1:800,d{number}:400"),
        };
        let played = load.play(instances, Duration::from_millis(4_500));
        let (_, responses) = futures_util::join!(crash_engines, played);
        // Some prompts run at two engines that crash, which is as often as the route allows.
        let refused: Vec<_> = responses
            .iter()
            .filter(|(_, response)| response.status == 503)
            .map(|(due, response)| (due, &response.body))
            .collect();
        assert!(refused.is_empty(), "{refused:?}");
        let served = responses
            .iter()
            .filter(|(_, response)| response.status == 200);
        assert!(served.count() * 10 >= responses.len() * 9);
    });
}

/// Guards against prompts that are refused because engines which live on break streams off.
#[test]
fn prompts_are_served_while_engines_break_streams_off() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let faults = [None, None, None, Some(TargetFault::BreakAfter(1))];
        schedule_faults(&deployment.engine_faults, &faults.repeat(40));
        for number in 0..80 {
            let parts = match number < 40 {
                true => format!("a1:800,d{number}:400"),
                false => format!("a1:800,d{}:400", number % 6),
            };
            let response = instance.send_prompt_of_parts("r", "/ask/x", &parts).await;
            assert_eq!(response.status, 200, "{number}: {}", response.body);
        }
    });
}

/// Guards against prompts that are refused because streams without a length ended within an event while
/// their engines live.
#[test]
fn a_stream_without_length_that_ends_early_is_no_crash() {
    run(async {
        let deployment = Deployment::new();
        let script = |request: &ReceivedRequest| {
            let head = format!(
                "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {}\r\njujubelink-server-stamp: s\r\n\
                 content-type: text/event-stream\r\n\r\n",
                request.id
            );
            let body = match request.id.starts_with("cut") {
                true => expected_events(1..=2) + "id: 3\nda",
                false => expected_events(1..=5),
            };
            Reply::closed(head + &body)
        };
        let targets = ["e1", "e2"].map(|id| {
            let target = ScriptedTarget::start(script);
            deployment.put_target_at(id, target.address(), "ready", 2, 1);
            target
        });
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let sent = |id: &'static str| instance.send_prompt(id, "/tell/x");
        eventually("an engine serves prompts", || async {
            (sent("warm-up").await.status == 200).then_some(())
        })
        .await;
        for id in ["cut-1", "cut-2", "cut-3"] {
            let response = sent(id).await;
            assert_eq!(response.status, 0, "{id}: {}", response.body);
            assert_eq!(response.body, expected_events(1..=2), "{id}");
        }
        let response = sent("whole").await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.body, expected_events(1..=5));
        drop(targets);
    });
}

/// Guards against a whole response without a length that is aborted, or delivered without its end.
#[test]
fn a_response_without_length_of_a_target_that_lives_is_complete() {
    run(async {
        let deployment = Deployment::new();
        for other in ["s1", "s2"] {
            deployment.store.remove("servers", other);
        }
        let target = ScriptedTarget::start(|request| {
            let head = format!(
                "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {}\r\njujubelink-server-stamp: s\r\n\r\n",
                request.id
            );
            Reply::closed(head + "the whole body")
        });
        deployment.put_target_at("s9", target.address(), "ready", 1, 1);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        for _ in 0..10 {
            let response = instance.send_request("r", "GET", "/read/x").await;
            assert_eq!((response.status, &*response.body), (200, "the whole body"));
        }
    });
}

/// What a target does after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    /// It ends, which closes the connection of the response.
    Ends,
    /// It closes the connection of the response and serves for [`SERVING_TIME`].
    Serves,
}

/// Time for which a target serves after its last response.
const SERVING_TIME: Duration = Duration::from_secs(1);

/// Starts a target that answers the first request with a body that ends with the connection, and then ends
/// itself, at once or later. The body is sent so long after the head.
fn start_ending_target(
    content_type: &'static str,
    body: String,
    pause: Duration,
    after: AfterResponse,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let request = read_head(&mut connection);
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("jujubelink-attempt-id: "));
        let head = format!(
            "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {}\r\njujubelink-server-stamp: s\r\n\
             content-type: {content_type}\r\n\r\n",
            id.unwrap()
        );
        connection.write_all(head.as_bytes()).unwrap();
        std::thread::sleep(pause);
        connection.write_all(body.as_bytes()).unwrap();
        if after == AfterResponse::Serves {
            drop(connection);
            serve_probes(&listener);
            return;
        }
        // The connection is closed regularly, as the kernel does for a process that has ended.
        std::thread::sleep(Duration::from_millis(50));
        drop(listener);
        // A process that another test starts holds a copy of the listener until it executes its program.
        while std::net::TcpStream::connect(address).is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
        drop(connection);
    });
    address
}

/// Reads the head of a request.
fn read_head(connection: &mut TcpStream) -> String {
    let mut request = String::new();
    let mut buffer = [0; 4096];
    while !request.contains("\r\n\r\n") {
        let length = connection.read(&mut buffer).unwrap();
        assert_ne!(length, 0, "the connection ends within a head");
        request += &String::from_utf8_lossy(&buffer[..length]);
    }
    request
}

/// Answers each request with 404 for [`SERVING_TIME`], as a target does that has no reports.
fn serve_probes(listener: &TcpListener) {
    let end = Instant::now() + SERVING_TIME;
    listener.set_nonblocking(true).unwrap();
    while Instant::now() < end {
        let Ok((mut connection, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        connection.set_nonblocking(false).unwrap();
        read_head(&mut connection);
        let _ = connection.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
    }
}

/// Guards against a response without a length that looks complete although its target crashed within it.
#[test]
fn a_response_without_length_of_a_target_that_ends_is_not_complete() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let send = async |path| match path {
            "/read/x" => instance.send_request("r", "GET", path).await,
            _ => instance.send_prompt("r", path).await,
        };
        for (path, id, content_type, body) in [
            ("/tell/x", "e9", "text/event-stream", expected_events(1..=2)),
            ("/read/x", "s9", "text/plain", "the first half".to_owned()),
        ] {
            for other in ["e1", "e2", "s1", "s2"] {
                deployment.store.remove("servers", other);
            }
            eventually("the other targets are not used", || async {
                (send(path).await.status == 503).then_some(())
            })
            .await;
            let address = start_ending_target(
                content_type,
                body.clone(),
                Duration::ZERO,
                AfterResponse::Ends,
            );
            deployment.put_target_at(id, address, "ready", 1, 1);
            let response = eventually("the target gets the request", || async {
                let response = send(path).await;
                (response.status != 503).then_some(response)
            })
            .await;
            assert_eq!((response.status, response.body), (0, body), "{path}");
        }
    });
}

/// Guards against a whole response without a length that is cut although its target, which has left without
/// notice, still serves, and against a part of one that looks complete because a departure was known.
#[test]
fn a_response_without_length_of_a_target_that_has_left_is_complete_only_if_it_serves() {
    run(async {
        let rows = [AfterResponse::Serves, AfterResponse::Ends].map(|after| {
            [
                ("/tell/x", "e9", "text/event-stream", expected_events(1..=2)),
                ("/read/x", "s9", "text/plain", "the body so far".to_owned()),
            ]
            .map(|row| (after, row))
        });
        let rows = rows.into_iter().flatten();
        join_all(
            rows.map(|(after, (path, id, content_type, body))| async move {
                let deployment = Deployment::new();
                for other in ["e1", "e2", "s1", "s2"] {
                    deployment.store.remove("servers", other);
                }
                let pause = Duration::from_millis(2_000);
                let address = start_ending_target(content_type, body.clone(), pause, after);
                deployment.put_target_at(id, address, "ready", 1, 1);
                let instance = deployment.start("n1", "").await;
                instance.wait_ready().await;
                let send = async || match path {
                    "/read/x" => instance.send_request("r", "GET", path).await,
                    _ => instance.send_prompt("r", path).await,
                };
                let response = eventually("the target gets the request", || async {
                    let response = send().await;
                    (response.status != 503).then_some(response)
                });
                let (response, ()) = futures_util::join!(response, async {
                    compio::time::sleep(Duration::from_millis(800)).await;
                    deployment.store.remove("servers", id);
                });
                let status = if after == AfterResponse::Serves {
                    200
                } else {
                    0
                };
                assert_eq!(
                    (response.status, response.body),
                    (status, body),
                    "{path} {after:?}"
                );
            }),
        )
        .await;
    });
}

/// Guards against a stream without a length that is taken for complete, or closed as cut, because its engine is
/// taken away after its drain time. Another engine knows whether events are missing.
#[test]
fn a_resumable_stream_of_an_engine_that_has_left_is_continued() {
    run(async {
        let rows = [("cut", 1..=2), ("whole", 1..=5)];
        join_all(rows.map(|(what, events)| async move {
            let deployment = Deployment::new();
            for other in ["e1", "e2"] {
                deployment.store.remove("servers", other);
            }
            // Shorter than the silence after which another engine is asked.
            let (body, pause) = (expected_events(events), Duration::from_millis(1_000));
            let after = AfterResponse::Ends;
            let address = start_ending_target("text/event-stream", body, pause, after);
            deployment.put_target_at("e9", address, "ready", 1, 1);
            let other = ScriptedTarget::start(|request| stream(request, &[]));
            let instance = deployment.start("n1", "drain_ms = 200").await;
            instance.wait_ready().await;
            let response = eventually("the engine gets the request", || async {
                let response = instance.send_prompt("r", "/ask/x").await;
                (response.status != 503).then_some(response)
            });
            let (response, ()) = futures_util::join!(response, async {
                compio::time::sleep(Duration::from_millis(300)).await;
                deployment.put_target_at("e9", address, "draining", 1, 1);
                deployment.put_target_at("e8", other.address(), "ready", 1, 1);
            });
            let whole = expected_events(1..=5);
            assert_eq!((response.status, response.body), (200, whole), "{what}");
            let resumed_after: Vec<_> = other
                .received()
                .iter()
                .map(|request| request.last_event)
                .collect();
            let expected = if what == "cut" { 2 } else { 5 };
            assert_eq!(resumed_after, [Some(expected)], "{what}");
        }))
        .await;
    });
}

/// Guards against prompts that are refused because engines that left without notice ended within responses.
#[test]
fn prompts_are_served_after_engines_left_within_responses() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let instance = Rc::new(instance);
        for other in ["e1", "e2"] {
            deployment.store.remove("servers", other);
        }
        eventually("no engine is used", || async {
            (instance.send_prompt("r", "/tell/x").await.status == 503).then_some(())
        })
        .await;
        let cut = || expected_events(1..=2) + "id: 3\nda";
        let mut sent = Vec::new();
        for number in 0..PART_CRASHES + 2 {
            let id = format!("e-{number}");
            let pause = Duration::from_millis(1_800);
            let address =
                start_ending_target("text/event-stream", cut(), pause, AfterResponse::Ends);
            deployment.put_target_at(&id, address, "ready", 1, 1);
            let sender = Rc::clone(&instance);
            sent.push(compio::runtime::spawn(async move {
                let parts = format!("{CRASHING}:800,b{number}:300");
                eventually("the engine gets the prompt", || async {
                    let response = sender.send_prompt_of_parts("r", "/tell/x", &parts).await;
                    (response.status != 503).then_some(response.body)
                })
                .await
            }));
            compio::time::sleep(Duration::from_millis(900)).await;
            deployment.store.remove("servers", &id);
            compio::time::sleep(Duration::from_millis(300)).await;
        }
        for response in join_all(sent).await {
            assert_eq!(response.unwrap(), expected_events(1..=2));
        }
        deployment.put_target("e1", "ready", 2);
        let parts = format!("{CRASHING}:800,c:300");
        wait_until_served(&instance, &parts).await;
    });
}

/// Waits until a prompt is served. Panics if it is refused after crashes.
async fn wait_until_served(instance: &RunningInstance, parts: &str) {
    eventually("the prompt is served", || async {
        let response = instance.send_prompt_of_parts("r", "/tell/x", parts).await;
        let is_refused = response.status == 503 && response.body.contains("crashed");
        assert!(!is_refused, "{}", response.body);
        (response.status == 200).then_some(())
    })
    .await;
}

/// Guards against prompts that are refused because engines broke streams off, lived on and left soon after.
#[test]
fn prompts_are_served_after_engines_broke_streams_off_and_left() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        for other in ["e1", "e2"] {
            deployment.store.remove("servers", other);
        }
        let mut engines = Vec::new();
        for number in 0..PART_CRASHES + 2 {
            let engine = FleetTarget::new(&format!("e-{number}"), &deployment.engine_faults);
            let handle = StandInHandle::start(Rc::clone(&engine)).unwrap();
            deployment.put_target_at(engine.id(), handle.address(), "ready", 1, 1);
            schedule_faults(
                &deployment.engine_faults,
                &[Some(TargetFault::BreakAfter(1))],
            );
            let parts = format!("{CRASHING}:800,b{number}:300");
            eventually("the engine breaks the stream off", || async {
                let response = instance.send_prompt_of_parts("r", "/tell/x", &parts).await;
                (response.status == 0).then_some(())
            })
            .await;
            compio::time::sleep(Duration::from_millis(200)).await;
            deployment.store.remove("servers", engine.id());
            engines.push(handle);
        }
        compio::time::sleep(Duration::from_secs(1)).await;
        deployment.put_target("e1", "ready", 2);
        wait_until_served(&instance, &format!("{CRASHING}:800,c:300")).await;
    });
}

/// Starts a deployment with one target that answers a request with a body without a length and then ends, at
/// once or later, while the instance hears nothing from the store. Returns the response.
async fn response_while_the_store_is_silent(
    row: (&'static str, &'static str, &'static str, String),
    has_left: bool,
    after: AfterResponse,
) -> TestResponse {
    let (path, id, content_type, body) = row;
    let deployment = Deployment::new();
    for other in ["e1", "e2", "s1", "s2"] {
        deployment.store.remove("servers", other);
    }
    let mut config = Deployment::configuration(6, &[KEY], &[]);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(8_000);
    }
    deployment.store.put("config", "main", config);
    let pause = Duration::from_millis(3_000);
    let address = start_ending_target(content_type, body, pause, after);
    deployment.put_target_at(id, address, "ready", 1, 1);
    let instance = deployment.start("n1", "").await;
    instance.wait_ready().await;
    let response = eventually("the target gets the request", || async {
        let deadline = Duration::from_secs(7);
        let sent = instance.send_prompt_with_deadline("r", path, "a1:800", deadline);
        let response = sent.await;
        (response.status != 503).then_some(response)
    });
    let (response, ()) = futures_util::join!(response, async {
        compio::time::sleep(Duration::from_millis(600)).await;
        instance.store_endpoint.set_mode(StoreMode::Silent);
        compio::time::sleep(Duration::from_millis(100)).await;
        if has_left {
            deployment.store.remove("servers", id);
        }
        compio::time::sleep(Duration::from_millis(2_700)).await;
        instance.store_endpoint.set_mode(StoreMode::Up);
    });
    response
}

/// Rows of path, target, media type and body.
fn unlimited_bodies() -> [(&'static str, &'static str, &'static str, String); 2] {
    [
        ("/tell/x", "e9", "text/event-stream", expected_events(1..=2)),
        ("/read/x", "s9", "text/plain", "the whole body".to_owned()),
    ]
}

/// Guards against a whole response without a length that is cut because the removal of its target's entry
/// arrives after the end of the response, though the target still serves.
#[test]
fn a_response_of_a_target_whose_departure_is_learned_late_is_complete() {
    run(async {
        join_all(unlimited_bodies().map(|row| async move {
            let (path, body) = (row.0, row.3.clone());
            let response =
                response_while_the_store_is_silent(row, true, AfterResponse::Serves).await;
            assert_eq!((response.status, response.body), (200, body), "{path}");
        }))
        .await;
    });
}

/// Guards against a response without a length that looks complete although its target ended within it, because
/// the store was silent then. Whether the target had left makes no difference.
#[test]
fn a_response_of_a_target_that_ends_while_the_store_is_silent_is_not_complete() {
    run(async {
        let rows = unlimited_bodies().into_iter();
        let rows = rows.flat_map(|row| [(row.clone(), false), (row, true)]);
        join_all(rows.map(|(row, has_left)| async move {
            let (path, body) = (row.0, row.3.clone());
            let response =
                response_while_the_store_is_silent(row, has_left, AfterResponse::Ends).await;
            assert_eq!(
                (response.status, response.body),
                (0, body),
                "{path} {has_left}"
            );
        }))
        .await;
    });
}
