//! The cases. Each one returns whether the rule was broken.

use std::path::Path;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{Chunk, Conn, call};
use crate::log;
use crate::site::{
    Answer, SIGCONT, SIGSTOP, SIGTERM, Site, cannot_run, configuration, prompt, read_answer, wait,
};

pub fn run(name: &str, record: &Path) -> i32 {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    log(
        "case",
        &format!("{name}, with the disruption: {has_trouble}"),
    );
    let is_broken = match name {
        "reclaimed" => reclaimed(record, has_trouble),
        "restarted" => restarted(record, has_trouble),
        "endless" => endless(record, has_trouble),
        "turns" => turns(record, has_trouble),
        "measured" => measured(record, has_trouble),
        "shared" => crate::own::shared(record, has_trouble),
        _ => return 2,
    };
    log(
        "case",
        if is_broken {
            "the rule was broken"
        } else {
            "the rule held"
        },
    );
    i32::from(is_broken)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Numbers of the pieces in the order in which they arrived, without the last one if it is not whole.
fn pieces(answer: &Answer) -> Vec<u64> {
    let text = String::from_utf8_lossy(&answer.body);
    let Some((whole, _)) = text.rsplit_once("\n\n") else {
        return Vec::new();
    };
    let events = whole.split("\n\n");
    let ids = events.filter_map(|event| {
        let line = event.lines().find_map(|line| line.strip_prefix("id:"))?;
        line.trim().parse().ok()
    });
    ids.collect()
}

/// Judges a stream of `count` pieces: it must not look complete unless it has each of them once, in order.
fn is_stream_broken(id: &str, answer: Option<&Answer>, count: u64) -> bool {
    let Some(answer) = answer else {
        log("client", &format!("{id} got no answer"));
        return false;
    };
    let pieces = pieces(answer);
    let in_order = pieces.iter().copied().eq(1..=pieces.len() as u64);
    log(
        "client",
        &format!(
            "{id} got status {}, {} of {count} pieces, in order: {in_order}, {} bytes, ended as complete: {}",
            answer.status,
            pieces.len(),
            answer.body.len(),
            answer.is_whole
        ),
    );
    let is_short = answer.is_whole && pieces.len() as u64 != count;
    answer.status == 200 && (is_short || !in_order)
}

fn read_later(mut conn: Conn) -> JoinHandle<Option<Answer>> {
    spawn(move || read_answer(&mut conn))
}

/// A server that leaves is taken away 2.5 s after its notice, within streams without a length.
fn reclaimed(record: &Path, has_trouble: bool) -> bool {
    const PIECES: u64 = 60;
    let site = Site::start(record);
    site.write("config", "main", &configuration(7, 12_000));
    site.announce(1);
    let mut first = site.server("engine", "i-e1", 1, 64, record);
    let _machines = [site.machine(1), site.machine(2)];
    site.wait_ready(&[1, 2]);
    sleep(ms(3_500));
    let requests: Vec<_> = [("a1", "unframed"), ("b1", "resumable")]
        .into_iter()
        .map(|(id, route)| {
            let path = format!("/{route}/x?events={PIECES}&gap_ms=100");
            let conn = site.send(1, "POST", &path, id, &prompt(12_000));
            (
                id,
                read_later(conn.expect("the machine accepts connections")),
            )
        })
        .collect();
    sleep(ms(500));
    let _second = site.server("engine", "i-e2", 2, 64, record);
    sleep(ms(500));
    let drained = call(site.server_address(1), "GET", "/control/drain", "");
    if !matches!(drained, Ok((200, _))) {
        cannot_run("the server cannot be drained");
    }
    if has_trouble {
        sleep(ms(2_500));
        first.kill();
    }
    let mut is_broken = false;
    for (id, answer) in requests {
        let answer = answer.join().expect("the client ends");
        is_broken |= is_stream_broken(id, answer.as_ref(), PIECES);
        if !has_trouble && answer.is_none_or(|answer| !answer.is_whole) {
            cannot_run("the case without the disruption did not end as expected");
        }
    }
    is_broken
}

/// A server crashes within a long answer without a length and starts again under its id, while the client of the
/// answer reads slowly.
fn restarted(record: &Path, has_trouble: bool) -> bool {
    const LINES: u64 = 256 * 1_024;
    let site = Site::start(record);
    site.write("config", "main", &configuration(7, 8_000));
    site.announce(1);
    let mut server = site.server("plain", "i-p1", 1, 6, record);
    let _other = site.server("engine", "i-e1", 2, 64, record);
    let _machines = [site.machine(1), site.machine(2)];
    site.wait_ready(&[1, 2]);
    sleep(ms(3_500));
    let path = format!("/large/x?lines={LINES}");
    let conn = site.send(1, "GET", &path, "a1", "Jujubelink-Deadline-Ms: 8000\r\n");
    let mut conn = conn.expect("the machine accepts connections");
    let reader = spawn(move || {
        let head = conn.head().ok().flatten()?;
        log(
            "client",
            &format!(
                "a1 has the head, status {}, and reads on after 3 s",
                head.status()
            ),
        );
        sleep(ms(3_000));
        let mut body = Vec::new();
        let is_whole = loop {
            match conn.chunk() {
                Ok(Chunk::Data(data)) => body.extend(data),
                Ok(Chunk::End) => break true,
                Ok(Chunk::BrokenOff) | Err(_) => break false,
            }
        };
        Some(Answer {
            status: head.status(),
            body,
            is_whole,
        })
    });
    let mut again = None;
    if has_trouble {
        sleep(ms(1_200));
        server.kill();
        sleep(ms(1_000));
        again = Some(site.server("plain", "i-p1", 1, 6, record));
    }
    let answer = reader.join().expect("the client ends");
    drop(again);
    let Some(answer) = answer else {
        log("client", "a1 got no answer");
        return false;
    };
    let expected = LINES as usize * 64;
    log(
        "client",
        &format!(
            "a1 got status {}, {} of {expected} bytes, ended as complete: {}",
            answer.status,
            answer.body.len(),
            answer.is_whole
        ),
    );
    if !has_trouble && !answer.is_whole {
        cannot_run("the case without the disruption did not end as expected");
    }
    answer.status == 200 && answer.is_whole && answer.body.len() != expected
}

/// Servers send bytes that are no answer, without end, while one machine is left. Clients leave after two seconds
/// without a piece.
fn endless(record: &Path, has_trouble: bool) -> bool {
    const CLIENTS: u32 = 600;
    const GAP: Duration = Duration::from_micros(4_700);
    let site = Site::start(record);
    site.write("config", "main", &configuration(7, 12_000));
    site.announce(1);
    let _servers: Vec<_> = (1..=18)
        .map(|number| site.server("engine", &format!("i-e{number}"), number, 64, record))
        .collect();
    let mut machine = site.machine(1);
    site.wait_ready(&[1]);
    sleep(ms(3_500));
    let limit = site.memory_mb * 1_000_000;
    log(
        "case",
        &format!(
            "edge-1 holds {} bytes before the requests",
            machine.memory("VmRSS")
        ),
    );
    let route = match has_trouble {
        true => "/endless/x?parts=15&part_bytes=17408&gap_ms=2",
        false => "/unframed/x?events=20&gap_ms=100",
    };
    // Each request has its time from the start, so that the time that sending takes does not lower the rate.
    let begin = Instant::now();
    let requests: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let due = begin + GAP * number;
            sleep(due.saturating_duration_since(Instant::now()));
            let id = format!("a{number}");
            let conn = site.send(1, "POST", route, &id, &prompt(12_000));
            spawn(move || {
                let mut conn = conn?;
                let _ = conn.stream.set_read_timeout(Some(ms(2_000)));
                read_answer(&mut conn).map(|answer| answer.status)
            })
        })
        .collect();
    log(
        "case",
        &format!("the requests were sent within {:?}", begin.elapsed()),
    );
    let end = Instant::now() + ms(4_000);
    let mut is_broken = false;
    while Instant::now() < end {
        let bytes = machine.memory("VmRSS");
        if bytes > limit && !is_broken {
            is_broken = true;
            log(
                "case",
                &format!("edge-1 holds {bytes} bytes; the machine has {limit}"),
            );
        }
        if machine.has_ended() {
            is_broken = true;
            log("case", "edge-1 has ended");
            break;
        }
        sleep(ms(20));
    }
    let most = machine.memory("VmHWM");
    log("case", &format!("edge-1 held at most {most} bytes"));
    log(
        "case",
        &format!(
            "{} of the bytes at the end are of files",
            machine.memory("RssFile")
        ),
    );
    is_broken |= most > limit;
    let statuses: Vec<_> = requests
        .into_iter()
        .map(|request| request.join().ok().flatten())
        .collect();
    for status in [None, Some(200), Some(429), Some(502), Some(503), Some(504)] {
        let count = statuses.iter().filter(|found| **found == status).count();
        log(
            "client",
            &format!("answers with status {status:?}: {count}"),
        );
    }
    is_broken
}

/// A machine stops as planned while one of its orders waits at a server that is silent for a moment.
fn turns(record: &Path, has_trouble: bool) -> bool {
    const SILENCE: Duration = Duration::from_millis(1_500);
    let site = Site::start(record);
    site.write("config", "main", &configuration(7, 12_000));
    site.announce(1);
    let server = site.server("engine", "i-e1", 1, 64, record);
    let machines = [site.machine(1), site.machine(2)];
    site.wait_ready(&[1, 2]);
    sleep(ms(3_500));
    site.announce(2);
    let holder = || {
        let found = call(
            site.store,
            "GET",
            "/api/objects/jujubelink-leases/orders?by=case",
            "",
        )
        .ok()?;
        let text = found.1;
        ["edge-1", "edge-2"]
            .into_iter()
            .position(|name| text.contains(&format!("\"holder\":\"{name}\"")))
    };
    wait("the lease", || holder().is_some());
    let version = |wanted: u64| {
        let report = call(site.server_address(1), "GET", "/api/report", "");
        report.is_ok_and(|(_, body)| body.contains(&format!("\"version\":{wanted}")))
    };
    wait("version 2", || version(2));
    // Rollouts lie some seconds apart. The other machine has stopped reading the lease by then.
    sleep(ms(8_000));
    let holder = &machines[holder().unwrap_or(0)];
    let lease = || {
        call(
            site.store,
            "GET",
            "/api/objects/jujubelink-leases/orders?by=case",
            "",
        )
        .ok()
    };
    let before = lease();
    site.announce(3);
    // The machines notice it 0.6 s later.
    sleep(ms(400));
    let silent_since = Instant::now();
    if has_trouble {
        server.signal(SIGSTOP);
    }
    // The holder renews the lease and gives the order right after.
    wait("the renewal", || lease() != before);
    sleep(ms(100));
    holder.signal(SIGTERM);
    if has_trouble {
        sleep(SILENCE.saturating_sub(silent_since.elapsed()));
        server.signal(SIGCONT);
        log(
            "case",
            &format!(
                "the server was silent for {} ms",
                silent_since.elapsed().as_millis()
            ),
        );
    } else {
        sleep(SILENCE);
    }
    site.announce(4);
    sleep(ms(9_000));
    drop(server);
    judge_turns(record)
}

/// Reads from the record when orders of different machines reached the server.
fn judge_turns(record: &Path) -> bool {
    let text = std::fs::read_to_string(record).unwrap_or_default();
    let orders: Vec<(f64, &str)> = text
        .lines()
        .filter_map(|line| {
            let (time, rest) = line.trim().split_once(' ')?;
            let (_, order) = rest.split_once("order from ")?;
            Some((time.parse().ok()?, order.split(' ').next()?))
        })
        .collect();
    let mut is_broken = false;
    for pair in orders.windows(2) {
        let gap = pair[1].0 - pair[0].0;
        if pair[0].1 != pair[1].1 {
            log(
                "case",
                &format!(
                    "{} gave an order {gap:.3} s after {}; 3 s are the least",
                    pair[1].1, pair[0].1
                ),
            );
            is_broken |= gap < 3.0;
        }
    }
    is_broken
}

/// A server crashes within a stream with a length, and another one goes on with it.
fn measured(record: &Path, has_trouble: bool) -> bool {
    const PIECES: u64 = 30;
    let site = Site::start(record);
    site.write("config", "main", &configuration(7, 12_000));
    site.announce(1);
    let mut first = site.server("engine", "i-e1", 1, 64, record);
    let _machines = [site.machine(1), site.machine(2)];
    site.wait_ready(&[1, 2]);
    sleep(ms(3_500));
    let path = format!("/measured/x?events={PIECES}&gap_ms=100&long_at=2");
    let conn = site.send(1, "POST", &path, "a1", &prompt(12_000));
    let answer = read_later(conn.expect("the machine accepts connections"));
    sleep(ms(500));
    let _second = site.server("engine", "i-e2", 2, 64, record);
    sleep(ms(700));
    if has_trouble {
        first.kill();
    }
    let answer = answer.join().expect("the client ends");
    if !has_trouble && answer.as_ref().is_none_or(|answer| !answer.is_whole) {
        cannot_run("the case without the disruption did not end as expected");
    }
    is_stream_broken("a1", answer.as_ref(), PIECES)
}
