//! A server as a process of its own: `standin server PORT ID LOG`.
//!
//! Requests that name a model run as on a model server with one version of its weights: it keeps the parts of
//! prompts under their salt, as the page "KV cache" says, and logs which tenant made a part that a request uses.
//!
//! It runs each request that names it, or names nobody, and writes a line to LOG when a run begins and when it
//! ends. The path selects the response:
//!
//! - `.../unframed/PIECES`: a body without a length, a piece each 50 ms, which ends with its connection,
//! - `.../wait/MS`: a body with a length after so long,
//! - any other: a body with a length at once.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, respond, serve, Request};
use crate::json;

/// Time between the pieces of a body without a length.
pub const PIECE_GAP: Duration = Duration::from_millis(50);

/// Model of the model servers.
pub const MODEL: &str = "model-1";

/// Piece of a body without a length.
pub fn piece(number: u64) -> String {
    format!("piece {number}\n")
}

/// Time that new weights take.
const LOAD_TIME: Duration = Duration::from_millis(1300);

/// State of a model server's weights.
struct Weights {
    version: u64,
    /// Number of accepted orders.
    sequence: u64,
    /// The version that is loaded, and when that ends.
    loading: Option<(u64, Instant)>,
}

/// `drain_ms`, for which a server goes on after the store has accepted that it leaves, and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2050);

struct Server {
    is_leaving: AtomicBool,
    /// Number of runs in progress.
    runs: AtomicU64,
    id: String,
    born: u64,
    log: Mutex<File>,
    weights: Mutex<Weights>,
    /// Tenant whose request made a part, by model, salt and the parts up to it.
    parts: Mutex<HashMap<String, String>>,
}

pub fn main(arguments: &[String]) -> i32 {
    let [port, id, log] = arguments else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(format!("127.0.0.1:{port}")) else {
        return 2;
    };
    let log = OpenOptions::new().create(true).append(true).open(log).expect("the log");
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time");
    let born = since_epoch.as_millis() as u64;
    let server = Arc::new(Server { is_leaving: AtomicBool::new(false), runs: AtomicU64::new(0), id: id.clone(), born, log: Mutex::new(log), weights: Mutex::new(Weights { version: 1, sequence: 0, loading: None }), parts: Mutex::default() });
    // The parent reads when the server listens.
    println!("{born}");
    let serving = Arc::clone(&server);
    serve(listener, move |stream| serving.serve_connection(stream));
    // A line on the standard input is the order to leave. The input ends with the process that started this one.
    let mut line = String::new();
    if !matches!(std::io::stdin().read_line(&mut line), Ok(1..)) {
        return 0;
    }
    server.is_leaving.store(true, Ordering::SeqCst);
    std::thread::sleep(DRAIN_TIME);
    while server.runs.load(Ordering::SeqCst) > 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    0
}

impl Server {
    fn record(&self, what: &str, request: &str) {
        let mut log = self.log.lock().expect("the lock");
        // One write a line, as several processes append to the file.
        let _ = log.write_all(format!("{} {what} {request}\n", self.id).as_bytes());
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = BufReader::new(reading);
        while let Some(request) = read_request(&mut reading) {
            if !self.respond(&mut stream, &request) {
                return;
            }
        }
    }

    /// Returns whether the connection is kept.
    fn respond(&self, stream: &mut TcpStream, request: &Request) -> bool {
        if request.path == "/api/report" {
            let weights = self.weights();
            let (version, sequence, busy) = (weights.version, weights.sequence, weights.loading.is_some());
            let body = format!(
                "{{\"phase\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\
                 \"adapters\":[]}}],\"busy\":{busy},\"sequence\":{sequence},\"waiting\":0,\"running\":0,\
                 \"kv_used\":0,\"kv_total\":100000,\"handles\":0,\"born\":{}}}",
                self.born
            );
            return respond(stream, "200 OK", "content-type: application/json\r\n", &body).is_ok();
        }
        if request.path == "/api/order" {
            return respond(stream, self.order(&request.body), "", "{}").is_ok();
        }
        let id = request.header("jujubelink-attempt-id").unwrap_or_default();
        let head = format!("Jujubelink-Attempt-Id: {id}\r\n");
        if request.header("jujubelink-expect-instance").is_some_and(|name| name != self.id) {
            let head = format!("{head}Jujubelink-Instance-Id: {}\r\n", self.id);
            return respond(stream, "421 Misdirected Request", &head, "").is_ok();
        }
        self.record("runs", id);
        let head = format!("{head}Jujubelink-Server-Stamp: {}.{id}\r\n", self.id);
        if request.header("jujubelink-model").is_some() {
            let is_sent = self.generate(stream, request, &head).is_ok();
            self.record(if is_sent { "ends" } else { "broke off" }, id);
            return is_sent && !request.path.contains("/unframed/");
        }
        let mut words = request.path.split('/').rev();
        let (last, kind) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let number: u64 = last.parse().unwrap_or(0);
        let is_sent = match kind {
            "unframed" => {
                self.runs.fetch_add(1, Ordering::SeqCst);
                let head = format!("HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n");
                let mut sent = stream.write_all(head.as_bytes());
                for number in 1..=number {
                    sent = sent.and_then(|()| stream.write_all(piece(number).as_bytes()));
                    std::thread::sleep(PIECE_GAP);
                }
                self.record(if sent.is_ok() { "ends" } else { "broke off" }, id);
                self.runs.fetch_sub(1, Ordering::SeqCst);
                while self.is_leaving.load(Ordering::SeqCst) {
                    // The end of the process closes the connection.
                    std::thread::sleep(Duration::from_millis(10));
                }
                return false;
            }
            "wait" => {
                std::thread::sleep(Duration::from_millis(number));
                respond(stream, "200 OK", &head, "done").is_ok()
            }
            "echo" => {
                let body = format!("{} {} {}", request.method, request.path, request.body);
                respond(stream, "200 OK", &head, &body).is_ok()
            }
            _ => respond(stream, "200 OK", &head, "done").is_ok(),
        };
        self.record(if is_sent { "ends" } else { "broke off" }, id);
        is_sent
    }

    /// Reads a prompt with the parts that are kept, keeps the others, and sends three events.
    fn generate(&self, stream: &mut TcpStream, request: &Request, head: &str) -> std::io::Result<()> {
        let header = |name: &str| request.header(name).unwrap_or_default();
        let id = header("jujubelink-attempt-id");
        let (tenant, salt) = (header("jujubelink-tenant"), header("jujubelink-cache-salt"));
        let mut path = format!("{}|{salt}", header("jujubelink-model"));
        let mut reads_kept = true;
        for part in header("jujubelink-prompt-prefix").split(',') {
            path = format!("{path}|{part}");
            let mut parts = self.parts.lock().expect("the lock");
            match parts.get(&path).filter(|_| reads_kept) {
                Some(maker) => {
                    self.record(&format!("tenant {tenant}, salt {salt:?}: part {part} kept, made by {maker}, used by"), id);
                }
                None => {
                    reads_kept = false;
                    parts.insert(path.clone(), tenant.to_owned());
                    self.record(&format!("tenant {tenant}, salt {salt:?}: part {part} read by"), id);
                }
            }
        }
        let last: u64 = header("last-event-id").parse().unwrap_or(0);
        let events: u64 = request.path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(3);
        let has_length = !request.path.contains("/unframed/");
        let framing = if has_length { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let version = self.weights().version;
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
             Jujubelink-Weight-Versions: {version}\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=events {
            let text = format!("id: {event}\ndata: token {event}\n\n");
            let chunk = match has_length {
                true => format!("{:x}\r\n{text}\r\n", text.len()),
                false => text,
            };
            stream.write_all(chunk.as_bytes())?;
            std::thread::sleep(PIECE_GAP);
        }
        match has_length {
            true => stream.write_all(b"0\r\n\r\n"),
            false => stream.shutdown(std::net::Shutdown::Write),
        }
    }

    fn weights(&self) -> MutexGuard<'_, Weights> {
        let mut weights = self.weights.lock().expect("the lock");
        if let Some((version, end)) = weights.loading {
            if Instant::now() >= end {
                weights.version = version;
                weights.loading = None;
            }
        }
        weights
    }

    /// Handles an order for new weights, and logs when it arrived, its holder and its fencing token.
    fn order(&self, body: &str) -> &'static str {
        let mut weights = self.weights();
        let holder = json::string(body, "holder").unwrap_or_default();
        let fence = json::number(body, "fence").unwrap_or(0);
        let version = json::number(body, "version").unwrap_or(0);
        let expected = json::number(body, "expected_rev");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time");
        let is_refused = weights.loading.is_some()
            || expected.is_some_and(|expected| expected != weights.sequence);
        let status = match (is_refused, version == weights.version) {
            (true, _) => "409 Conflict",
            (false, true) => "200 OK",
            (false, false) => {
                weights.sequence += 1;
                weights.loading = Some((version, Instant::now() + LOAD_TIME));
                "202 Accepted"
            }
        };
        self.record(&format!("order {} {holder} {fence} {version} {status}", since_epoch.as_millis()), "");
        status
    }
}
