//! Servers: a model server (`engine`) and a plain one (`plain`). Both register in the store and answer as the
//! pages of the platform say. How a case's requests are answered is chosen by their path.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, call};
use crate::json::Json;
use crate::{log, unix_ms};

pub struct Options {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub zone: String,
    pub is_engine: bool,
    pub slots: u32,
}

struct Server {
    options: Options,
    born: u64,
    is_leaving: AtomicBool,
    /// Writes of the entry.
    writes: AtomicU64,
    running: AtomicU64,
    model: Mutex<ModelState>,
}

struct ModelState {
    version: u64,
    /// End of the running load, and the version that it loads.
    loading: Option<(Instant, u64)>,
    orders: u64,
}

/// Time that new weights take.
const LOAD_TIME: Duration = Duration::from_millis(1_300);

pub fn serve(options: Options) {
    let listener = TcpListener::bind(options.address).expect("the address of the server is free");
    let version = announced_version(options.store);
    let server = Arc::new(Server {
        options,
        born: unix_ms(),
        is_leaving: AtomicBool::new(false),
        writes: AtomicU64::new(0),
        running: AtomicU64::new(0),
        model: Mutex::new(ModelState {
            version,
            loading: None,
            orders: 0,
        }),
    });
    server.log("starts");
    let heart = Arc::clone(&server);
    std::thread::spawn(move || {
        loop {
            heart.register();
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        std::thread::spawn(move || server.serve_connection(stream));
    }
}

/// A new server has the newest version.
fn announced_version(store: SocketAddr) -> u64 {
    let found = call(store, "GET", "/api/objects/versions/m", "").ok();
    let object = found.and_then(|(_, body)| Json::parse(&body));
    let version = object.and_then(|object| object.get("spec")?.get("version")?.number());
    version.unwrap_or(1)
}

impl Server {
    fn log(&self, text: &str) {
        log(
            &format!("server {} (born {})", self.options.id, self.born),
            text,
        );
    }

    /// Loaded version, and whether an order is in progress.
    fn version(&self) -> (u64, bool) {
        let mut model = self.model.lock().unwrap();
        if let Some((end, version)) = model.loading
            && Instant::now() >= end
        {
            model.version = version;
            model.loading = None;
        }
        (model.version, model.loading.is_some())
    }

    fn models(&self) -> String {
        match self.options.is_engine {
            true => format!(
                "[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}]",
                self.version().0
            ),
            false => "[]".to_owned(),
        }
    }

    /// Writes the entry into the store.
    fn register(&self) {
        let state = match self.is_leaving.load(SeqCst) {
            true => "draining",
            false => "ready",
        };
        let options = &self.options;
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":{},\
             \"sequence\":{},\"born\":{}}}",
            options.service,
            options.address,
            options.zone,
            options.slots,
            self.models(),
            self.writes.fetch_add(1, SeqCst) + 1,
            self.born
        );
        let body = format!(
            "{{\"metadata\":{{\"name\":\"{}\"}},\"spec\":{spec}}}",
            options.id
        );
        let path = format!("/api/objects/servers/{}", options.id);
        let put = call(options.store, "PUT", &path, &body);
        if matches!(put, Ok((404, _))) {
            let _ = call(options.store, "POST", "/api/objects/servers", &body);
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let Ok((body, true)) = conn.body(&head, false) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            match self.answer(&mut conn, &head, &body) {
                Ok(true) => {}
                _ => return,
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, conn: &mut Conn, head: &Message, body: &str) -> std::io::Result<bool> {
        let mut words = head.start.split(' ');
        let method = words.next().unwrap_or_default();
        let path = words.next().unwrap_or_default().to_owned();
        let running = self.running.load(SeqCst);
        let leaving = match self.is_leaving.load(SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let common = format!(
            "{leaving}Jujubelink-Instance-Id: {}\r\nJujubelink-Server-Load: {running},0,{}\r\n",
            self.options.id, self.options.slots
        );
        if path == "/control/drain" {
            self.is_leaving.store(true, SeqCst);
            self.register();
            self.log("has told the store that it is draining");
            conn.respond("200 OK", "", b"")?;
            return Ok(true);
        }
        if path == "/healthz" {
            conn.respond("200 OK", &common, b"")?;
            return Ok(true);
        }
        let expected = head.header("jujubelink-expect-instance");
        if expected.is_some_and(|id| id != self.options.id) {
            conn.respond("421 Misdirected Request", &common, b"")?;
            return Ok(true);
        }
        if self.options.is_engine && path == "/api/report" {
            let (_, is_busy) = self.version();
            let orders = self.model.lock().unwrap().orders;
            let report = format!(
                "{{\"phase\":\"both\",\"models\":{},\"busy\":{is_busy},\"sequence\":{orders},\
                 \"waiting\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":106556,\
                 \"handles\":0,\"born\":{}}}",
                self.models(),
                self.born
            );
            let headers = format!("{common}Content-Type: application/json\r\n");
            conn.respond("200 OK", &headers, report.as_bytes())?;
            return Ok(true);
        }
        if self.options.is_engine && path == "/api/order" {
            let status = self.order(body);
            conn.respond(status, &common, b"")?;
            return Ok(true);
        }
        let Some(id) = head.header("jujubelink-attempt-id").map(str::to_owned) else {
            let headers = format!("{common}Jujubelink-Not-Executed: 1\r\n");
            conn.respond("400 Bad Request", &headers, b"")?;
            return Ok(true);
        };
        let version = head.header("jujubelink-expect-version");
        if version.is_some_and(|v| v != self.version().0.to_string()) {
            let headers = format!("{common}Jujubelink-Attempt-Id: {id}\r\n");
            conn.respond("421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if running >= u64::from(self.options.slots) {
            let headers =
                format!("{common}Jujubelink-Attempt-Id: {id}\r\nJujubelink-Not-Executed: 1\r\n");
            conn.respond("503 Service Unavailable", &headers, b"")?;
            return Ok(true);
        }
        self.running.fetch_add(1, SeqCst);
        self.log(&format!("runs request {id} ({method} {path})"));
        let stamp = format!(
            "{common}Jujubelink-Attempt-Id: {id}\r\nJujubelink-Server-Stamp: {}.{id}\r\n",
            self.options.id
        );
        let answered = self.run(conn, head, &id, &path, &stamp);
        self.running.fetch_sub(1, SeqCst);
        match &answered {
            Ok(_) => self.log(&format!("has answered {id} completely")),
            Err(error) => self.log(&format!("the answer to {id} broke off: {error}")),
        }
        answered
    }

    fn order(&self, body: &str) -> &'static str {
        let order = Json::parse(body).unwrap_or(Json::Null);
        let number = |name: &str| order.get(name).and_then(Json::number);
        let holder = order.get("holder").and_then(Json::text).unwrap_or_default();
        let (version, is_busy) = self.version();
        let mut model = self.model.lock().unwrap();
        let wanted = number("version").unwrap_or(0);
        let status = if version == wanted {
            "200 OK"
        } else if is_busy || number("expected_rev").is_some_and(|rev| rev != model.orders) {
            "409 Conflict"
        } else {
            model.orders += 1;
            model.loading = Some((Instant::now() + LOAD_TIME, wanted));
            "202 Accepted"
        };
        drop(model);
        self.log(&format!(
            "order from {holder} with fence {}: version {wanted}, answered {status}",
            number("fence").unwrap_or(0)
        ));
        status
    }

    /// Answers a request that runs.
    fn run(
        &self,
        conn: &mut Conn,
        head: &Message,
        id: &str,
        path: &str,
        stamp: &str,
    ) -> std::io::Result<bool> {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str, default: u64| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(n, _)| *n == name);
            found.and_then(|(_, v)| v.parse().ok()).unwrap_or(default)
        };
        let last = head.header("last-event-id").and_then(|v| v.parse().ok());
        let first = last.map_or(1, |last: u64| last + 1);
        let events = number("events", 10);
        let gap = Duration::from_millis(number("gap_ms", 100));
        if path.starts_with("/unframed/") || path.starts_with("/resumable/") {
            // A stream that ends with its connection.
            let head = format!(
                "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            );
            conn.send(head.as_bytes())?;
            for event in first..=events {
                std::thread::sleep(gap);
                conn.send(format!("id: {event}\ndata: piece {event} of {events}\n\n").as_bytes())?;
                self.log(&format!("has sent piece {event} of {events} of {id}"));
            }
            return Ok(false);
        }
        if path.starts_with("/large/") {
            // A body of lines that ends with the connection.
            let head = format!(
                "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/plain\r\nConnection: close\r\n\r\n"
            );
            conn.send(head.as_bytes())?;
            let lines = number("lines", 1_000);
            for line in 1..=lines {
                // 64 bytes each.
                conn.send(format!("{line:>8} of {lines:>8} {:->42}\n", "").as_bytes())?;
            }
            return Ok(false);
        }
        if path.starts_with("/measured/") {
            // A stream with a length. The pieces of a run depend on the server that makes it.
            let word = match number("long_at", 0).to_string()
                == self.options.id[self.options.id.len() - 1..]
            {
                true => "a longer piece",
                false => "piece",
            };
            let body: Vec<String> = (first..=events)
                .map(|event| format!("id: {event}\ndata: {word} {event} of {events}\n\n"))
                .collect();
            let length: usize = body.iter().map(String::len).sum();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n"
            );
            conn.send(head.as_bytes())?;
            for (event, text) in (first..).zip(body) {
                std::thread::sleep(gap);
                conn.send(text.as_bytes())?;
                self.log(&format!("has sent piece {event} of {events} of {id}"));
            }
            return Ok(true);
        }
        if path.starts_with("/endless/") {
            // Bytes that are no event and do not end, until the caller closes.
            let head = format!(
                "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            conn.send(head.as_bytes())?;
            let (parts, part_bytes) = (number("parts", 60), number("part_bytes", 4_096) as usize);
            let chunk = format!("{part_bytes:x}\r\n{}\r\n", "x".repeat(part_bytes));
            for part in 0.. {
                match part < parts {
                    true => conn.send(chunk.as_bytes())?,
                    false => conn.send(b"1\r\nx\r\n")?,
                }
                std::thread::sleep(gap);
            }
        }
        let body = format!("answer to {id}");
        let headers = format!("{stamp}Content-Type: text/plain\r\n");
        conn.respond("200 OK", &headers, body.as_bytes())?;
        Ok(true)
    }
}
