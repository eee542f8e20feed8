//! A small deployment with the project's own interface, and the case on it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, call};
use crate::log;
use crate::site::{KEY, Process, cannot_run, free_net, ip, wait};

/// SHA-256 of [`KEY`].
const KEY_HASH: &str = "977956b1868e789f3fd1cf4e94478a922a907f18f33b883449c79dda562efbff";

const CLIENT_PORT: u16 = 8606;
const ADMIN_PORT: u16 = 7615;
const PEER_PORT: u16 = 7600;
const SERVER_PORT: u16 = 8286;
const ENGINES: u8 = 18;

/// Requests a second, as many as the model servers of the site get.
const RATE: u64 = 124;
const LENGTH_S: u64 = 36;

/// Requests in 100 that are about one thing while one thing is hot.
const HOT_SHARE: u64 = 28;

/// Seconds in which one thing is hot.
const HOT_S: [std::ops::Range<u64>; 3] = [2..8, 14..20, 26..32];

/// Delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Bytes of a prompt token.
const TOKEN: usize = 4;

struct Own {
    folder: std::path::PathBuf,
    net: [u8; 2],
    stand_ins: Vec<Process>,
    machines: Vec<Process>,
}

impl Own {
    fn start(record: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("jujubelink-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
        let net = free_net();
        let mut own = Self {
            folder,
            net,
            stand_ins: Vec::new(),
            machines: Vec::new(),
        };
        let server = |last: u8| SocketAddr::new(ip(net, last), SERVER_PORT).to_string();
        let configuration = own.folder.join("configuration.json");
        std::fs::write(&configuration, own.configuration()).expect("writable");
        let configuration = configuration.to_string_lossy().into_owned();
        own.stand_in(&["platform", &server(250), &configuration], record);
        own.stand_in(&["kv-store", &server(200)], record);
        for number in 0..ENGINES {
            own.stand_in(&["engine", &server(101 + number)], record);
        }
        for number in [1, 2] {
            let machine = own.start_machine(number);
            own.machines.push(machine);
        }
        for number in [1, 2] {
            wait(&format!("edge-{number}"), || {
                matches!(call(own.front(number), "GET", "/readyz", ""), Ok((200, _)))
            });
        }
        own
    }

    fn stand_in(&mut self, args: &[&str], record: &Path) {
        let mut command = Command::new("target/review-2/cargo/release/standin-own");
        command.args(args);
        let process = Process::start(args[0], command, record);
        self.stand_ins.push(process);
    }

    fn front(&self, number: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, number), CLIENT_PORT)
    }

    /// Starts a machine with the command of the deploy file and settings as in `examples/pedra-polida`.
    fn start_machine(&self, number: u8) -> Process {
        let address = ip(self.net, number);
        let other = ip(self.net, 3 - number);
        let platform = SocketAddr::new(ip(self.net, 250), SERVER_PORT);
        let settings = format!(
            "[instance]\npeer_address = \"{address}:{PEER_PORT}\"\nfailure_domain = \"recife-a\"\n\
             region = \"nordeste\"\nseeds = [\"{other}:{PEER_PORT}\"]\n\
             cluster_key = \"a secret of the small site\"\n\
             [listen]\nclient_address = \"{address}:{CLIENT_PORT}\"\n\
             admin_address = \"{address}:{ADMIN_PORT}\"\n[platform]\naddress = \"{platform}\"\n\
             [log]\nlevel = \"info\"\n[stop]\nbalancer_notice_ms = 2000\ndrain_limit_ms = 5200\n"
        );
        let file = self.folder.join(format!("settings-{number}.toml"));
        std::fs::write(&file, settings).expect("writable");
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("in the repository");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap_or_default().trim().trim_matches('"');
        let run = run.replace("/etc/jujubelink/settings.toml", &file.to_string_lossy());
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words);
        log("case", &format!("starts edge-{number} at {address}"));
        let output = self.folder.join(format!("machine-{number}.log"));
        Process::start(&format!("edge-{number}"), command, &output)
    }

    /// Starts processes again that have ended, until `is_over`. Returns how often each machine's process ended.
    fn watch_machines(&mut self, is_over: &AtomicBool) -> [u32; 2] {
        let mut ends = [0; 2];
        while !is_over.load(SeqCst) {
            sleep(Duration::from_millis(50));
            for index in 0..2 {
                if self.machines[index].has_ended() {
                    ends[index] += 1;
                    log(
                        "case",
                        &format!("the process of edge-{} has ended by itself", index + 1),
                    );
                    sleep(RESTART_DELAY);
                    self.machines[index] = self.start_machine(index as u8 + 1);
                }
            }
        }
        ends
    }

    /// Configuration as in `examples/pedra-polida/fleet.toml`, with fewer engines and a higher rate.
    fn configuration(&self) -> String {
        let engines: String = (0..ENGINES)
            .map(|number| {
                format!(
                    "\"gpu-{number}\":{{\"kind\":\"engine\",\"address\":\"{}:{SERVER_PORT}\",\
                     \"failure_domain\":\"recife-a\",\"models\":[\"atendente\"],\"max_running\":64,\
                     \"checks_fencing\":true}},",
                    ip(self.net, 101 + number)
                )
            })
            .collect();
        format!(
            "{{\"version\":1,\"nonce\":\"first\",\"config\":{{\
             \"workspaces\":{{\"acervo\":{{\"weight\":4,\"rate_tokens_per_s\":4000000,\
             \"burst_tokens\":16000000}}}},\
             \"keys\":{{\"{KEY_HASH}\":{{\"workspace\":\"acervo\"}}}},\
             \"models\":{{\"atendente\":{{\"weights_version\":\"1\"}}}},\
             \"targets\":{{{engines}\"kv-store\":{{\"kind\":\"kv_store\",\
             \"address\":\"{}:{SERVER_PORT}\",\"failure_domain\":\"recife-a\"}}}}}}}}",
            ip(self.net, 200)
        )
    }

    /// What the machines have written about panics.
    fn panics(&self) -> usize {
        [1, 2]
            .iter()
            .map(|number| {
                let file = self.folder.join(format!("machine-{number}.log"));
                let text = std::fs::read_to_string(file).unwrap_or_default();
                text.matches("panicked at").count()
            })
            .sum()
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        self.machines.clear();
        self.stand_ins.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A text of a number of tokens that differs by `name` from its beginning on.
fn text(name: &str, tokens: usize) -> String {
    let line = format!("{name} ");
    line.repeat(tokens * TOKEN / line.len() + 1)[..tokens * TOKEN].to_owned()
}

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Served,
    /// Answered with another status.
    Status(u16),
    /// The connection ended within the answer.
    Cut,
    /// The connection ended without an answer.
    Closed,
}

struct Outcome {
    id: String,
    end: End,
    /// Whether an earlier request was answered on the connection.
    is_kept: bool,
}

/// A client with a connection that it keeps.
struct Client {
    front: SocketAddr,
    conn: Option<Conn>,
}

impl Client {
    fn send(&mut self, id: &str, subject: &str) -> Outcome {
        let body = format!(
            "{{\"model\":\"atendente\",\"stream\":true,\"max_tokens\":9,\"messages\":[\
             {{\"role\":\"system\",\"content\":\"{}\"}},{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
            text(subject, 6_300),
            text(id, 628)
        );
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: clubs.example\r\nx-request-id: {id}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let is_kept = self.conn.is_some();
        let end = self.exchange(&request).unwrap_or(End::Closed);
        if matches!(end, End::Closed | End::Cut) {
            self.conn = None;
        }
        Outcome {
            id: id.to_owned(),
            end,
            is_kept,
        }
    }

    fn exchange(&mut self, request: &str) -> Option<End> {
        if self.conn.is_none() {
            self.conn = Conn::connect(self.front).ok();
        }
        let conn = self.conn.as_mut()?;
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(12)));
        conn.send(request.as_bytes()).ok()?;
        let head: Message = conn.head().ok().flatten()?;
        let Ok((body, is_whole)) = conn.body(&head, true) else {
            return Some(End::Cut);
        };
        let is_done = String::from_utf8_lossy(&body).contains("[DONE]");
        if head.header("connection") == Some("close") {
            self.conn = None;
        }
        Some(match head.status() {
            200 if is_whole && is_done => End::Served,
            status if status != 200 && is_whole => End::Status(status),
            _ => End::Cut,
        })
    }
}

/// Writes how many of the requests ended in which way. Returns how many were served.
fn count(what: &str, outcomes: &[Outcome]) -> usize {
    let count = |end: End| outcomes.iter().filter(|o| o.end == end).count();
    let served = count(End::Served);
    let statuses: Vec<String> = [400, 401, 404, 429, 500, 502, 503, 504]
        .iter()
        .map(|status| (status, count(End::Status(*status))))
        .filter(|(_, count)| *count > 0)
        .map(|(status, count)| format!(", {count} with status {status}"))
        .collect();
    log(
        "client",
        &format!(
            "{what}: {} sent, {served} served, {} closed without an answer, {} cut within it{}",
            outcomes.len(),
            count(End::Closed),
            count(End::Cut),
            statuses.concat()
        ),
    );
    served
}

/// Sends the requests of all clients and returns how they ended.
fn send_all(fronts: [SocketAddr; 2], has_trouble: bool) -> Vec<Outcome> {
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let workers: Vec<JoinHandle<Vec<Outcome>>> = (0..RATE)
        .map(|number| {
            let next = Arc::clone(&next);
            let front = fronts[number as usize % 2];
            spawn(move || {
                let mut client = Client { front, conn: None };
                let mut outcomes = Vec::new();
                loop {
                    let turn = next.fetch_add(1, SeqCst);
                    if turn >= RATE * LENGTH_S {
                        return outcomes;
                    }
                    let at = start + Duration::from_millis(turn * 1_000 / RATE);
                    sleep(at.saturating_duration_since(Instant::now()));
                    let is_hot_now = HOT_S.iter().any(|span| span.contains(&(turn / RATE)));
                    let is_hot = has_trouble && is_hot_now && turn % 100 < HOT_SHARE;
                    let subject = match is_hot {
                        true => "the service history".to_owned(),
                        false => format!("history {turn:05}"),
                    };
                    let outcome = client.send(&format!("a{turn}"), &subject);
                    let end = match outcome.end {
                        End::Served => None,
                        End::Status(status) => Some(format!("got status {status}")),
                        End::Cut => Some("was cut within its answer".to_owned()),
                        End::Closed => Some("was closed without an answer".to_owned()),
                    };
                    if let Some(end) = end {
                        log("client", &format!("a{turn} ({subject}) {end}"));
                    }
                    outcomes.push(outcome);
                }
            })
        })
        .collect();
    let ended = workers.into_iter();
    ended
        .flat_map(|worker| worker.join().expect("the client ends"))
        .collect()
}

/// Many requests are about one thing, on a site with a store of kept KV cache.
pub fn shared(record: &Path, has_trouble: bool) -> bool {
    let mut own = Own::start(record);
    sleep(Duration::from_millis(3_500));
    let fronts = [own.front(1), own.front(2)];
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let is_over = Arc::clone(&is_over);
        spawn(move || {
            let outcomes = send_all(fronts, has_trouble);
            is_over.store(true, SeqCst);
            outcomes
        })
    };
    let ends = own.watch_machines(&is_over);
    let outcomes = clients.join().expect("the clients end");
    let served = count("all requests", &outcomes);
    // The engines write into the record what they have got.
    sleep(Duration::from_millis(500));
    let text = std::fs::read_to_string(record).unwrap_or_default();
    let passed_on: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.split_once(": got request ")?.1.split('.').next())
        .collect();
    let lost = outcomes
        .iter()
        .filter(|o| o.end == End::Closed && o.is_kept && passed_on.contains(o.id.as_str()))
        .count();
    log(
        "case",
        &format!(
            "{lost} requests of kept connections were passed on to an engine and closed without an \
             answer; 3 are allowed"
        ),
    );
    log(
        "case",
        &format!(
            "processes ended by themselves {} and {} times; the program panicked {} times",
            ends[0],
            ends[1],
            own.panics()
        ),
    );
    if !has_trouble && served < outcomes.len() {
        cannot_run("the case without the disruption did not end as expected");
    }
    lost > 3 || ends.iter().all(|count| *count >= 3)
}
