//! Clients on kept connections beside disruptions, to look for cases: `standin stress FOLDER MODE SECONDS`.

use std::collections::HashMap;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cases::{Router, Run, HOST, KEY};
use crate::http::{ask, connect, read_response, Response};
use crate::server::{piece, MODEL};

struct Outcome {
    id: String,
    router: usize,
    at: f64,
    connection_use: u32,
    /// Status, or 0 without a response head.
    status: u16,
    stamp: String,
    /// Whether the body is that of the server.
    is_whole: bool,
    body: String,
    expected: String,
    work: String,
    is_complete: bool,
    took: Duration,
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

fn client(
    number: u64,
    are_streams: bool,
    routers: &[(SocketAddr, AtomicBool)],
    stop: &AtomicBool,
    next: &AtomicU64,
    outcomes: &Mutex<Vec<Outcome>>,
    started: Instant,
) {
    let mut kept: Option<(usize, BufReader<TcpStream>, u32)> = None;
    let mut random = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    while !stop.load(Ordering::Relaxed) {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let (router, mut stream, uses) = match kept.take() {
            Some(kept) => kept,
            None => {
                let ready: Vec<usize> =
                    (0..routers.len()).filter(|r| routers[*r].1.load(Ordering::Relaxed)).collect();
                let Some(router) = ready.get(random as usize % ready.len().max(1)) else {
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                };
                match connect(routers[*router].0, Duration::from_secs(5)) {
                    Ok(stream) => (*router, stream, 0),
                    Err(_) => {
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                }
            }
        };
        let (method, name) = match are_streams {
            true => ("POST", ["ask", "tell"][random as usize / 7 % 2]),
            false => [("GET", "read"), ("POST", "pay")][random as usize / 7 % 2],
        };
        let id = format!("{name}-{}", next.fetch_add(1, Ordering::Relaxed));
        let stream_work = {
            let events = 1 + random / 11 % 24;
            let framing = ["unframed", "chunked"][random as usize / 5 % 2];
            let text: String =
                (1..=events).map(|event| format!("id: {event}\ndata: token {event}\n\n")).collect();
            (format!("{framing}/{events}"), text)
        };
        let prompt = match are_streams {
            true => format!(
                "Jujubelink-Model: {MODEL}\r\nJujubelink-Token-Count: 1460,80\r\n\
                 Jujubelink-Prompt-Prefix: 5c1e07a2:800,{:x}:410,{:x}:250\r\n",
                random % 5,
                random % 1000
            ),
            false => String::new(),
        };
        let (work, expected) = match random % 10 {
            _ if are_streams => stream_work,
            0..=6 => (format!("wait/{}", random % 60), "done".to_owned()),
            7 => (format!("wait/{}", random % 1500), "done".to_owned()),
            _ => {
                let pieces = 1 + random % 20;
                (format!("unframed/{pieces}"), (1..=pieces).map(piece).collect())
            }
        };
        let head = format!(
            "{method} /{name}/{work} HTTP/1.1\r\nHost: {HOST}\r\nJujubelink-Attempt-Id: {id}\r\n\
             Jujubelink-Deadline-Ms: 3000\r\nAuthorization: Bearer {KEY}\r\n{prompt}Content-Length: 0\r\n\r\n"
        );
        let mut response = Response::default();
        let sent_at = Instant::now();
        let at = started.elapsed().as_secs_f64();
        let result = stream
            .get_mut()
            .write_all(head.as_bytes())
            .and_then(|()| read_response(&mut stream, &mut response));
        let closes = response.header("connection").is_some_and(|value| value == "close");
        outcomes.lock().expect("the lock").push(Outcome {
            id,
            router,
            at,
            connection_use: uses,
            status: response.status,
            stamp: response.header("jujubelink-server-stamp").unwrap_or_default().to_owned(),
            is_whole: response.body == expected,
            body: response.body,
            expected,
            work,
            is_complete: result.is_ok(),
            took: sent_at.elapsed(),
        });
        if result.is_ok() && !closes && random % 13 != 0 {
            kept = Some((router, stream, uses + 1));
        }
        std::thread::sleep(Duration::from_millis(random % 25));
    }
}

pub fn stress(run: &mut Run, mode: &str, seconds: u64) -> i32 {
    run.configure(1, false);
    let are_streams = mode.starts_with("s-");
    let mode = mode.trim_start_matches("s-");
    let service = if are_streams { "llm" } else { "app" };
    run.store.put("versions", MODEL, &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"));
    for id in ["i-1", "i-2", "i-3"] {
        if run.start_server(service, id).is_err() {
            return 2;
        }
    }
    let mut started_routers: Vec<Router> = Vec::new();
    for name in ["edge-a-1", "edge-b-1"] {
        match run.start_router(name) {
            Ok(router) => started_routers.push(router),
            Err(_) => return 2,
        }
    }
    for index in 0..started_routers.len() {
        let router = started_routers[index].clone();
        if !run.wait_until_ready(&router) {
            return 2;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    if mode == "hold" {
        println!("{} {} {}", started_routers[0].front, run.pid("edge-a-1"), run.store_address());
        std::thread::sleep(Duration::from_secs(seconds));
        return 0;
    }
    let fronts: Arc<Vec<_>> =
        Arc::new(started_routers.iter().map(|r| (r.front, AtomicBool::new(true))).collect());
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    for (index, router) in started_routers.iter().cloned().enumerate() {
        let (fronts, stop) = (Arc::clone(&fronts), Arc::clone(&stop));
        std::thread::spawn(move || {
            let mut misses = 0;
            while !stop.load(Ordering::Relaxed) {
                let head = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n";
                let is_ready = ask(router.ready, head, "", Duration::from_millis(900)).status == 200;
                misses = if is_ready { 0 } else { misses + 1 };
                if is_ready || misses >= 2 {
                    fronts[index].1.store(is_ready, Ordering::Relaxed);
                }
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let clients: Vec<_> = (0..24)
        .map(|number| {
            let (fronts, stop, next, outcomes) =
                (Arc::clone(&fronts), Arc::clone(&stop), Arc::clone(&next), Arc::clone(&outcomes));
            std::thread::spawn(move || client(number + 1, are_streams, &fronts, &stop, &next, &outcomes, started))
        })
        .collect();
    let mut round = 0;
    let mut version = 1;
    while started.elapsed() < Duration::from_secs(seconds) {
        std::thread::sleep(Duration::from_millis(1500));
        round += 1;
        let name = ["edge-a-1", "edge-b-1"][round % 2];
        let modes = ["term", "hup", "config", "stop", "server", "server-stop"];
        let chosen = match mode {
            "mix" => modes[(started.elapsed().as_micros() % 6) as usize],
            mode => mode,
        };
        match chosen {
            "term" => {
                run.record(&format!("SIGTERM to {name}"));
                signal(run.pid(name), "TERM");
                run.wait(name);
                run.record(&format!("{name} has ended"));
                if run.restart_router(name, &started_routers[round % 2]).is_err() {
                    return 2;
                }
                std::thread::sleep(Duration::from_millis(2500));
            }
            "hup" => signal(run.pid(name), "HUP"),
            "config" => {
                version += 1;
                run.configure(version, round % 2 == 0);
            }
            "stop" => {
                signal(run.pid(name), "STOP");
                std::thread::sleep(Duration::from_millis(3200));
                signal(run.pid(name), "CONT");
            }
            "server" => {
                let id = ["i-1", "i-2", "i-3"][round % 3];
                run.kill(id);
                run.forget(id);
                std::thread::sleep(Duration::from_millis(700));
                if run.start_server(service, id).is_err() {
                    return 2;
                }
            }
            "server-stop" => {
                let id = ["i-1", "i-2", "i-3"][round % 3];
                signal(run.pid(id), "STOP");
                std::thread::sleep(Duration::from_millis(2000));
                signal(run.pid(id), "CONT");
            }
            _ => {}
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(300));
    let outcomes = outcomes.lock().expect("the lock");
    judge(run, &outcomes)
}

fn judge(run: &mut Run, outcomes: &[Outcome]) -> i32 {
    let log = fs::read_to_string(run.temporary().join("runs.log")).unwrap_or_default();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for line in log.lines() {
        let mut words = line.split(' ');
        if let (Some(_), Some("runs"), Some(id)) = (words.next(), words.next(), words.next()) {
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    let mut is_broken = false;
    for outcome in outcomes {
        let times = runs.get(outcome.id.as_str()).copied().unwrap_or(0);
        let is_pay = outcome.id.starts_with("pay") || outcome.id.starts_with("tell");
        *counts.entry(format!("{} complete={}", outcome.status, outcome.is_complete)).or_default() += 1;
        let mut fault = |rule: &str| {
            is_broken = true;
            run.record(&format!(
                "{rule}: {} {} at {:.3} by router {} use {}, status {}, complete {}, took {} ms, ran {times} times",
                outcome.id,
                outcome.work,
                outcome.at,
                outcome.router,
                outcome.connection_use,
                outcome.status,
                outcome.is_complete,
                outcome.took.as_millis()
            ));
        };
        if is_pay && times > 1 {
            fault("TWICE");
        }
        if is_pay && [408, 421, 429, 503].contains(&outcome.status) && times > 0 {
            fault("REFUSED");
        }
        let own_stamp = outcome.stamp.ends_with(&format!(".{}", outcome.id));
        if outcome.status == 200 && (!own_stamp || outcome.is_complete && !outcome.is_whole) {
            fault("MIXED");
        }
        if outcome.status == 0 {
            fault(if times > 0 { "cut after it was passed on" } else { "cut" });
        }
        let is_prefix = !outcome.body.is_empty() && !outcome.expected.starts_with(&outcome.body);
        if is_prefix {
            fault("ORDER");
        }
        if outcome.took > Duration::from_millis(3700) {
            fault("late");
        }
    }
    let ids: std::collections::HashSet<&str> = outcomes.iter().map(|o| o.id.as_str()).collect();
    for id in runs.keys().filter(|id| !ids.contains(*id)) {
        run.record(&format!("UNASKED: {id}"));
        is_broken = true;
    }
    run.record(&format!("{} requests: {counts:?}", outcomes.len()));
    i32::from(is_broken)
}
