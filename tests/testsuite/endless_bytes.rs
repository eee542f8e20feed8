//! Targets and stores that send bytes without end, in a head or a body, until the instance closes the
//! connection. The instance is the real binary on the path of the platform's requests.
//!
//! Each flood has to end with a closed connection, within the memory that the configured limits allow.
//! Clients get a truthful answer, and requests to other services are served meanwhile.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::pin::{Pin, pin};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Poll, ready};
use std::time::{Duration, Instant};

use futures_util::AsyncRead;
use futures_util::future::Either;
use http_body_util::BodyExt;
use jujubelink::util::http::{Client, RequestOptions, full};
use jujubelink::util::net::{Datagram, MAX_BYTES_PER_WAIT, MAX_DATAGRAMS_PER_WAIT, Stream};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{CacheStore, FaultPlan, FleetTarget, ObjectStore, StoreEndpoint};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::support::{
    Flood, FloodProxy, ID, Instance, WAIT_TIMEOUT, eventually, free_address, run,
};

/// Time that clients of flooded requests wait. It ends the floods that no limit of size ends.
const FLOODED_DEADLINE_MS: u64 = 1_000;

/// Time that clients of other requests wait. Only a failing test waits this long.
const OTHER_DEADLINE_MS: u64 = 10_000;

/// Time that a client of a flooded request would wait, if it did not leave before. It is longer than
/// that of other requests, which are thus served during the flood or not at all.
const LONG_DEADLINE_MS: u64 = 20_000;

/// Number of concurrent requests that are flooded.
const CONCURRENT: usize = 4;

/// Memory that the instance may hold for a flooded request: an incomplete event (256 KiB) or a short
/// response (256 KiB), the read buffer of the connection (32 KiB) and the write buffer to the client
/// (512 KiB). Buffers that grow by doubling may need twice as much.
const REQUEST_BYTES: u64 = 2 * (256 + 256 + 32 + 512) * 1024;

/// Memory that the instance may hold for a control call to a target or a store of KV cache, whose
/// responses are limited to 256 KiB.
const CONTROL_CALL_BYTES: u64 = 2 * (256 + 32) * 1024;

/// Memory that the instance may hold for a call to the platform's store, whose responses are limited to
/// 8 MiB.
const STORE_CALL_BYTES: u64 = 2 * (8 * 1024 + 32) * 1024;

/// Number of calls to the platform's store that an instance may have in progress, and of control calls.
const CONCURRENT_CALLS: u64 = 8;

/// Growth of the process that is not due to floods: first use of code and of the allocator's arenas.
const BASE_GROWTH_BYTES: u64 = 16 * 1024 * 1024;

/// Paths of plain requests: idempotent and not.
const PLAIN_PATHS: [&str; 2] = ["/read/x", "/pay/x"];

/// Paths of streams: resumable and not.
const STREAM_PATHS: [&str; 2] = ["/ask/x", "/tell/x"];

/// Seed of the random bytes.
const SEED: u64 = 20_261_204;

/// An instance and the systems around it. Each of these is reached through a proxy that can flood.
struct Site {
    store: Rc<ObjectStore>,
    store_proxy: FloodProxy,
    /// Target of the service `app`.
    plain_proxy: FloodProxy,
    /// Only engine of the service `llm`.
    engine_proxy: FloodProxy,
    /// Store of KV cache.
    cache_proxy: FloodProxy,
    engine: Rc<FleetTarget>,
    cache: Rc<CacheStore>,
    instance: Instance,
    _handles: Vec<StandInHandle>,
}

impl Site {
    async fn start() -> Self {
        let store = ObjectStore::new();
        let faults = FaultPlan::default();
        let target = |id| FleetTarget::new(id, &faults);
        let (plain, engine, healthy) = (target("s1"), target("e1"), target("h1"));
        let cache = CacheStore::new();
        let handles = vec![
            StandInHandle::start(StoreEndpoint::new(&store)).unwrap(),
            StandInHandle::start(plain).unwrap(),
            StandInHandle::start(Rc::clone(&engine)).unwrap(),
            StandInHandle::start(Rc::clone(&cache)).unwrap(),
            StandInHandle::start(healthy).unwrap(),
        ];
        let proxy = |index: usize| FloodProxy::start(handles[index].address());
        let (store_proxy, plain_proxy) = (proxy(0), proxy(1));
        let (engine_proxy, cache_proxy) = (proxy(2), proxy(3));
        let entry = |service: &str, address: SocketAddr, models| {
            json!({ "service": service, "address": address, "zone": "a", "version": "v1",
                "slots": 32, "state": "ready", "models": models, "sequence": 3, "born": 1 })
        };
        let models = json!([{ "name": "m", "version": 1, "adapters": [] }]);
        store.put(
            "servers",
            "s1",
            entry("app", plain_proxy.address(), json!([])),
        );
        store.put(
            "servers",
            "e1",
            entry("llm", engine_proxy.address(), models),
        );
        store.put(
            "servers",
            "h1",
            entry("other", handles[4].address(), json!([])),
        );
        store.put("versions", "m", json!({ "model": "m", "version": 1 }));
        put_configuration(&store, 5, "read", cache_proxy.address());
        let fleet = format!(
            "[fleet]\nmachine = \"n1\"\nready_address = \"{}\"\n[log]\nlevel = \"error\"\n",
            free_address()
        );
        let addresses = [free_address(), free_address(), free_address()];
        let platform = store_proxy.address();
        let instance =
            Instance::start_with(addresses, platform, &[], &fleet, Stdio::inherit()).await;
        let site = Self {
            store,
            store_proxy,
            plain_proxy,
            engine_proxy,
            cache_proxy,
            engine,
            cache,
            instance,
            _handles: handles,
        };
        for path in ["/other/x", "/read/x", "/ask/x"] {
            site.wait_served(path).await;
        }
        site
    }

    async fn request(&self, id: &str, path: &str, deadline_ms: u64) -> Answer {
        request(self.instance.client_address, id, path, deadline_ms).await
    }

    /// Waits until a request is answered completely, as it is without floods.
    async fn wait_served(&self, path: &str) {
        eventually(&format!("requests to {path} are served"), || async {
            let answer = self.request("r", path, OTHER_DEADLINE_MS).await;
            (answer == Answer::Complete(200, expected_body(path))).then_some(())
        })
        .await;
    }

    /// Checks that requests to another service are served.
    async fn check_others_served(&self, flood: &str) {
        let started = Instant::now();
        for number in 0..5 {
            let id = format!("other-{number}");
            let request = self.request(&id, "/other/x", OTHER_DEADLINE_MS);
            let deadline = Duration::from_millis(OTHER_DEADLINE_MS);
            let answer = compio::time::timeout(deadline, request).await;
            assert_eq!(
                answer.ok(),
                Some(Answer::Complete(200, expected_body("/other/x"))),
                "another request during the flood \"{flood}\""
            );
        }
        println!(
            "flood \"{flood}\": five other requests took {:?}",
            started.elapsed()
        );
    }

    /// Returns the proxy of the target that serves a path.
    fn proxy_of(&self, path: &str) -> &FloodProxy {
        match is_stream(path) {
            true => &self.engine_proxy,
            false => &self.plain_proxy,
        }
    }

    /// Returns a field of the process' status, in bytes.
    fn memory_bytes(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.instance.pid());
        let status = std::fs::read_to_string(path).unwrap();
        let mut lines = status.lines();
        let value = lines.find_map(|line| line.strip_prefix(field)).unwrap();
        let kib = value.trim_start_matches(':').trim().strip_suffix(" kB");
        kib.unwrap().parse::<u64>().unwrap() * 1024
    }

    /// Checks that the peak of the process' memory has not exceeded its size before the floods by more
    /// than `limit`.
    fn check_memory(&self, resident_before: u64, limit: u64, flood: &str, sent_bytes: u64) {
        let growth = self.memory_bytes("VmHWM").saturating_sub(resident_before);
        println!("flood \"{flood}\": sent {sent_bytes} bytes, memory grew by {growth} bytes");
        assert!(
            growth <= limit,
            "memory grew by {growth} bytes during the flood \"{flood}\", limit {limit}"
        );
    }

    /// Sends requests to a path whose target floods, and checks what clients, the target and the process
    /// show. The only success that clients may get is one with the body `complete`.
    async fn check_requests(&self, path: &str, flood: Flood, complete: Option<&str>) {
        let name = flood.name;
        let proxy = self.proxy_of(path);
        let resident = self.memory_bytes("VmRSS");
        let sent_before = proxy.sent_bytes();
        let begun_before = proxy.begun();
        proxy.set_flood(Some(flood.clone()));
        let flooded = (0..CONCURRENT).map(|number| async move {
            let id = format!("{name}-{path}-{number}").replace(' ', "-");
            let answer = self.request(&id, path, FLOODED_DEADLINE_MS).await;
            let is_truthful = match &answer {
                Answer::Complete(502 | 504, _) | Answer::Broken | Answer::None => true,
                Answer::Complete(503, _) => !proxy.has_arrived(&id),
                Answer::Complete(200, body) => complete == Some(body),
                Answer::Complete(..) => false,
            };
            assert!(is_truthful, "flood \"{name}\" on {path}: {answer:?}");
        });
        let others = async {
            eventually("a request is flooded", || async {
                (proxy.begun() > begun_before).then_some(())
            })
            .await;
            self.check_others_served(name).await;
        };
        futures_util::join!(futures_util::future::join_all(flooded), others);
        eventually(
            &format!("the connections of \"{name}\" are closed"),
            || async { (proxy.ended() == proxy.begun()).then_some(()) },
        )
        .await;
        let limit = CONCURRENT as u64 * REQUEST_BYTES + BASE_GROWTH_BYTES;
        self.check_memory(resident, limit, name, proxy.sent_bytes() - sent_before);
    }

    /// Sends requests to a path whose target floods, whose clients leave after other requests were served.
    async fn check_abandoned_requests(&self, path: &str, flood: Flood) {
        let name = flood.name;
        let proxy = self.proxy_of(path);
        proxy.set_flood(Some(flood));
        let flooded = (0..CONCURRENT).map(|number| async move {
            let id = format!("{name}-{path}-{number}").replace(' ', "-");
            self.request(&id, path, LONG_DEADLINE_MS).await
        });
        let others = async {
            eventually("all requests are flooded", || async {
                (proxy.begun() >= CONCURRENT).then_some(())
            })
            .await;
            self.check_others_served(name).await;
        };
        // Owned, so that the clients leave when `select` drops the rest.
        let flooded = Box::pin(futures_util::future::join_all(flooded));
        let others = Box::pin(others);
        if let Either::Left((answers, _)) = futures_util::future::select(flooded, others).await {
            panic!("the flood \"{name}\" on {path} has ended: {answers:?}");
        }
        proxy.set_flood(None);
        eventually(
            &format!("the connections of \"{name}\" are closed"),
            || async { (proxy.ended() == proxy.begun()).then_some(()) },
        )
        .await;
    }

    /// Floods the calls that an instance makes by itself, until `calls` of them have ended.
    async fn check_calls(&self, proxy: &FloodProxy, flood: Flood, calls: usize, call_bytes: u64) {
        let name = flood.name;
        let resident = self.memory_bytes("VmRSS");
        let (ended_before, sent_before) = (proxy.ended(), proxy.sent_bytes());
        let begun_before = proxy.begun();
        proxy.set_flood(Some(flood));
        eventually(&format!("a call is flooded by \"{name}\""), || async {
            (proxy.begun() > begun_before).then_some(())
        })
        .await;
        self.check_others_served(name).await;
        eventually(
            &format!("calls flooded by \"{name}\" are closed"),
            || async { (proxy.ended() >= ended_before + calls).then_some(()) },
        )
        .await;
        proxy.set_flood(None);
        eventually(
            &format!("all connections of \"{name}\" are closed"),
            || async { (proxy.ended() == proxy.begun()).then_some(()) },
        )
        .await;
        let limit = CONCURRENT_CALLS * call_bytes + BASE_GROWTH_BYTES;
        self.check_memory(resident, limit, name, proxy.sent_bytes() - sent_before);
    }
}

/// Writes a configuration in which plain requests of `app` have the path `/NAME/`.
fn put_configuration(store: &ObjectStore, version: u64, name: &str, cache: SocketAddr) {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        json!({ "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 20_000, "target_latency_ms": 10_000, "priority": 1,
            "service": service, "max_attempts": 2, "public": true, "resumable": resumable,
            "gap_aim_ms": 250 })
    };
    let config = json!({ "version": version,
        "routes": [
            route(name, "idempotent", "app", false),
            route("pay", "non_idempotent", "app", false),
            route("ask", "streaming", "llm", true),
            route("tell", "streaming", "llm", false),
            route("other", "idempotent", "other", false),
        ],
        "services": [
            { "name": "app", "max_connections": 100 },
            { "name": "other", "max_connections": 100 },
            { "name": "llm", "max_connections": 100,
              "engine": { "slots": 32, "kv_capacity": 1_000_000, "models": [{ "name": "m" }] } },
            { "name": "kv", "kv_store_addr": cache, "zone": "a" },
        ],
        "tenants": [] });
    store.put("config", "main", config);
}

/// What a client received.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    /// Status and complete body.
    Complete(u16, String),
    /// A head and a body that ended early.
    Broken,
    /// The connection was closed before a head.
    None,
}

/// Sends a request and reads its answer. A prompt goes with requests to engines.
async fn request(address: SocketAddr, id: &str, path: &str, deadline_ms: u64) -> Answer {
    let mut request = http::Request::post(path)
        .header("host", "shop.example")
        .header("jujubelink-attempt-id", id)
        .header("jujubelink-deadline-ms", deadline_ms.to_string());
    if is_stream(path) {
        request = request
            .header("jujubelink-model", "m")
            .header("jujubelink-token-count", "1200,50")
            .header("jujubelink-prompt-prefix", "a1:800,b2:400");
    }
    let request = request.body(full("body")).unwrap();
    let options = RequestOptions::default().with_new_connection();
    let exchange = async {
        let Ok(response) = Client::new().send(address, request, options).await else {
            return Answer::None;
        };
        let (head, mut body) = response.into_parts();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Answer::Broken;
            };
            // The start of a body is enough to tell it from the expected one.
            if let (Some(data), true) = (frame.data_ref(), text.len() < 4096) {
                text += &String::from_utf8_lossy(data);
            }
        }
        Answer::Complete(head.status.as_u16(), text)
    };
    let answer = compio::time::timeout(WAIT_TIMEOUT, exchange).await;
    answer.unwrap_or_else(|_| panic!("no end of the answer to {id}"))
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/ask/") || path.starts_with("/tell/")
}

/// Body of the stand-in's answer.
fn expected_body(path: &str) -> String {
    if is_stream(path) {
        let events = (1..=5).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
        return events.collect();
    }
    format!("POST {path} body")
}

/// Returns 64 KiB of random bytes.
fn random_bytes() -> Vec<u8> {
    println!("random bytes with seed {SEED}");
    let mut bytes = vec![0; 64 * 1024];
    ChaCha8Rng::seed_from_u64(SEED).fill_bytes(&mut bytes);
    bytes
}

/// Returns the start of a successful response to the flooded request, up to the given headers.
fn success(headers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {ID}\r\njujubelink-server-stamp: s\r\n{headers}\r\n"
    )
}

fn chunked() -> String {
    success("transfer-encoding: chunked\r\n")
}

/// Returns a chunk with the given data.
fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Guards against a connection whose task never waits because its peer sends faster than its bytes are
/// processed, so that no timer and no other connection gets its turn.
#[test]
fn a_connection_waits_after_a_limited_number_of_bytes() {
    const READ_BYTES: usize = 16 * 1024;
    run(async {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .set_recv_buffer_size(8 * MAX_BYTES_PER_WAIT)
            .unwrap();
        listener
            .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
            .unwrap();
        listener.listen(1).unwrap();
        let listener = TcpListener::from(listener);
        let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (receiver, _) = listener.accept().unwrap();
        sender.set_nonblocking(true).unwrap();
        let block = vec![0; READ_BYTES];
        let mut sent_bytes = 0;
        while let Ok(written) = sender.write(&block) {
            sent_bytes += written;
        }
        let mut peeked = vec![0; 2 * MAX_BYTES_PER_WAIT];
        let waiting = receiver.peek(&mut peeked).unwrap();
        assert_eq!(waiting, peeked.len(), "bytes that can be read at once");
        let mut stream = Stream::new(receiver).unwrap();
        let (mut received_bytes, mut longest_run) = (0, 0);
        std::future::poll_fn(|cx| {
            let mut run_bytes = 0;
            while received_bytes < sent_bytes {
                let mut buffer = [0; READ_BYTES];
                let read = Pin::new(&mut stream).poll_read(cx, &mut buffer);
                let read = ready!(read).unwrap();
                received_bytes += read;
                run_bytes += read;
                longest_run = longest_run.max(run_bytes);
            }
            Poll::Ready(())
        })
        .await;
        assert!(
            longest_run <= MAX_BYTES_PER_WAIT + READ_BYTES,
            "{longest_run} bytes"
        );
    });
}

/// Guards against a receiver of datagrams that never waits because they arrive faster than they are
/// processed.
#[test]
fn a_socket_waits_after_a_limited_number_of_datagrams() {
    run(async {
        let socket = Datagram::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let sender = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        sender.connect(socket.local_addr().unwrap()).unwrap();
        // Few enough for the receive buffer of the socket.
        let sent = 2 * MAX_DATAGRAMS_PER_WAIT;
        for _ in 0..sent {
            sender.send(b"x").unwrap();
        }
        let (mut received, mut longest_run) = (0, 0);
        let mut buffer = [0; 16];
        let receive = std::future::poll_fn(|cx| {
            let mut run = 0;
            while received < sent {
                let receive = pin!(socket.recv_from(&mut buffer));
                ready!(receive.poll(cx)).unwrap();
                received += 1;
                run += 1;
                longest_run = longest_run.max(run);
            }
            Poll::Ready(())
        });
        compio::time::timeout(WAIT_TIMEOUT, receive).await.unwrap();
        assert!(longest_run <= MAX_DATAGRAMS_PER_WAIT, "{longest_run}");
    });
}

/// Floods in the place of a response head.
fn head_floods() -> Vec<Flood> {
    vec![
        Flood::new("header line", "HTTP/1.1 200 OK\r\nx: ", "a"),
        Flood::new("header lines", "HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        Flood::new("status line", "HTTP/1.1 200 ", "O"),
        Flood::new("empty lines", "", "\r\n"),
        Flood::new("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        Flood::new(
            "interim responses with headers",
            "",
            "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n",
        ),
        Flood::new("random bytes", "", random_bytes()),
    ]
}

/// Floods within or after a body that belong to no answer.
fn framing_floods() -> Vec<Flood> {
    vec![
        Flood::new("chunk extension", &format!("{}1;", chunked()), "a"),
        Flood::new("chunk size of zeros", &chunked(), "0"),
        Flood::new("spaces after a chunk size", &format!("{}1", chunked()), " "),
        Flood::new("trailer line", &format!("{}0\r\nx: ", chunked()), "a"),
        Flood::new("trailer lines", &format!("{}0\r\n", chunked()), "x: y\r\n"),
        Flood::new("random bytes as chunks", &chunked(), random_bytes()),
    ]
}

/// Checks each flood with a new instance for each path, because an instance avoids a target that failed.
fn check_floods(floods: Vec<Flood>, paths: [&str; 2], complete: Option<&str>) {
    for flood in floods {
        for path in paths {
            run(async {
                let site = Site::start().await;
                site.check_requests(path, flood.clone(), complete).await;
            });
        }
    }
}

/// Guards against an instance whose event loop reads one connection only, a connection that stays open,
/// and a success, while a target sends a response head without end.
#[test]
fn endless_heads_of_plain_targets() {
    check_floods(head_floods(), PLAIN_PATHS, None);
}

/// As above, for engines.
#[test]
fn endless_heads_of_engines() {
    check_floods(head_floods(), STREAM_PATHS, None);
}

/// Guards against a body without end that fills the memory, looks complete to the client or keeps other
/// requests waiting.
#[test]
fn endless_bodies_of_plain_targets() {
    let body = chunk(&"b".repeat(16 * 1024));
    let failure = chunked().replace("200 OK", "500 Internal Server Error");
    let refusal = "HTTP/1.1 503 Service Unavailable\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut floods = framing_floods();
    floods.extend([
        Flood::new("chunks", &chunked(), &body),
        Flood::new("chunks of one byte", &chunked(), chunk("b")),
        Flood::new("body without a length", &success(""), "b"),
        Flood::new("failure with chunks", &failure, &body),
        Flood::new("unconfirmed refusal with chunks", refusal, &body),
    ]);
    check_floods(floods, PLAIN_PATHS, None);
}

/// Guards against bytes after a complete response that become part of an answer or are read without end.
#[test]
fn endless_bytes_after_a_response() {
    let complete = format!("{}ok", success("content-length: 2\r\n"));
    let floods = vec![
        Flood::new("random bytes after a response", &complete, random_bytes()),
        Flood::new("responses after a response", &complete, &complete),
        Flood::new("empty lines after a response", &complete, "\r\n"),
    ];
    check_floods(floods, PLAIN_PATHS, Some("ok"));
}

/// Guards against a stream without end that fills the memory, looks complete to the client or keeps
/// other requests waiting.
#[test]
fn endless_streams_of_engines() {
    let event = chunk("id: 1\ndata: piece 1\n\n");
    let first = format!("{}{event}", chunked());
    let mut floods = framing_floods();
    floods.extend([
        Flood::new("event line", &chunked(), chunk("data: piece")),
        Flood::new("event lines", &first, chunk("data: piece\n")),
        Flood::new("event in chunks of one byte", &first, chunk("b")),
        Flood::new("comment lines", &first, chunk(": wait\n")),
        Flood::new("comments", &chunked(), chunk(": wait\n\n")),
        Flood::new("empty lines", &chunked(), chunk(&"\n".repeat(4096))),
        Flood::new("events without ids", &chunked(), chunk("data: piece\n\n")),
        Flood::new("events that were sent before", &first, &event),
    ]);
    check_floods(floods, STREAM_PATHS, None);
}

/// Guards against other requests that are served only after a flood has ended, and against a connection
/// to the target that stays open after the client has left. No limit of size ends these floods.
#[test]
fn other_requests_are_served_during_a_flood() {
    let floods = vec![
        Flood::new("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        Flood::new("chunk size of zeros", &chunked(), "0"),
        Flood::new("spaces after a chunk size", &format!("{}1", chunked()), " "),
        Flood::new("chunks", &chunked(), chunk(&": wait\n\n".repeat(2048))),
        Flood::new("body without a length", &success(""), ": wait\n\n"),
    ];
    for flood in floods {
        for path in ["/pay/x", "/tell/x"] {
            run(async {
                let site = Site::start().await;
                site.check_abandoned_requests(path, flood.clone()).await;
            });
        }
    }
}

/// Guards against a resumable stream that stays at an engine which goes on to send bytes but no new
/// event: the client gives up long before the deadline. Another engine has to send the rest.
#[test]
fn a_stream_without_new_events_is_resumed() {
    const PAUSE: Duration = Duration::from_millis(20);
    let event = chunk("id: 1\ndata: piece 1\n\n");
    let first = format!("{}{event}", chunked());
    let data = chunk("data: piece");
    let floods = [
        Flood::paced("slow event line", &first, &data, PAUSE),
        Flood::paced("slow event line at the start", &chunked(), &data, PAUSE),
        Flood::paced("slow events that were sent before", &first, &event, PAUSE),
        Flood::new("events that were sent before", &first, &event),
    ];
    for flood in floods {
        run(async {
            let name = flood.name;
            let site = Site::start().await;
            let other = FleetTarget::new("e2", &FaultPlan::default());
            let other = StandInHandle::start(other).unwrap();
            site.engine_proxy.set_flood(Some(flood));
            let flooded = site.request("r", "/ask/x", OTHER_DEADLINE_MS);
            let changes = async {
                eventually("the request is flooded", || async {
                    (site.engine_proxy.begun() > 0).then_some(())
                })
                .await;
                let models = json!([{ "name": "m", "version": 1, "adapters": [] }]);
                let entry = json!({ "service": "llm", "address": other.address(), "zone": "a",
                    "version": "v1", "slots": 32, "state": "ready", "models": models,
                    "sequence": 3, "born": 1 });
                site.store.put("servers", "e2", entry);
            };
            let (answer, ()) = futures_util::join!(flooded, changes);
            let complete = Answer::Complete(200, expected_body("/ask/x"));
            assert_eq!(answer, complete, "flood \"{name}\"");
            eventually("the flooded connection is closed", || async {
                (site.engine_proxy.ended() == site.engine_proxy.begun()).then_some(())
            })
            .await;
        });
    }
}

/// Floods in responses to calls that the instance makes by itself.
fn call_floods() -> Vec<Flood> {
    let mut floods = head_floods();
    floods.extend(framing_floods());
    let body = chunk(&" ".repeat(16 * 1024));
    floods.push(Flood::new("chunks", &chunked(), &body));
    floods.push(Flood::new("body without a length", &success(""), "["));
    floods
}

/// Guards against status reports and orders that stop the event loop or fill the memory while an engine
/// sends bytes without end, and against an engine that stays on old weights afterwards.
#[test]
fn endless_responses_to_control_calls() {
    run(async {
        let site = Site::start().await;
        let mut version = 1;
        for path in ["/api/report", "/api/order"] {
            for flood in call_floods() {
                version += 1;
                let name = flood.name;
                let announced = json!({ "model": "m", "version": version });
                site.store.put("versions", "m", announced);
                let flood = flood.with_path_prefix(path);
                site.check_calls(&site.engine_proxy, flood, 1, CONTROL_CALL_BYTES)
                    .await;
                eventually(
                    &format!("the weights are loaded after \"{name}\""),
                    || async { (site.engine.version() == version).then_some(()) },
                )
                .await;
            }
        }
    });
}

/// Guards against polls of a store of KV cache that stop the event loop or fill the memory while the
/// store sends bytes without end, and against a store that is not polled afterwards.
#[test]
fn endless_responses_of_a_cache_store() {
    run(async {
        let site = Site::start().await;
        for flood in call_floods() {
            site.check_calls(&site.cache_proxy, flood, 2, CONTROL_CALL_BYTES)
                .await;
            let polls = site.cache.poll_count();
            eventually("the store is polled", || async {
                (site.cache.poll_count() > polls).then_some(())
            })
            .await;
        }
    });
}

/// Guards against calls to the platform's store that stop the event loop or fill the memory while the
/// store sends bytes without end, and against an instance that misses later changes.
#[test]
fn endless_responses_of_the_platform_store() {
    run(async {
        let site = Site::start().await;
        for (number, flood) in call_floods().into_iter().enumerate() {
            site.check_calls(&site.store_proxy, flood, 3, STORE_CALL_BYTES)
                .await;
            let name = format!("read{number}");
            let version = 6 + number as u64;
            put_configuration(&site.store, version, &name, site.cache_proxy.address());
            site.wait_served(&format!("/{name}/x")).await;
        }
    });
}

/// Guards against datagrams without end that stop the event loop, whether or not they can be decoded.
#[test]
fn endless_datagrams() {
    const SENDERS: usize = 3;
    for (name, datagram) in [
        ("random datagrams", random_bytes()),
        ("empty datagrams", vec![]),
    ] {
        run(async {
            let site = Site::start().await;
            let is_stopped = Arc::new(AtomicBool::new(false));
            let senders: Vec<_> = (0..SENDERS)
                .map(|_| {
                    let is_stopped = Arc::clone(&is_stopped);
                    let datagram = datagram[..datagram.len().min(256)].to_vec();
                    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
                    socket.connect(site.instance.peer_address).unwrap();
                    std::thread::spawn(move || {
                        while !is_stopped.load(Ordering::Relaxed) {
                            // Fails if the instance is gone, which requests show.
                            let _ = socket.send(&datagram);
                        }
                    })
                })
                .collect();
            site.check_others_served(name).await;
            is_stopped.store(true, Ordering::Relaxed);
            for sender in senders {
                sender.join().unwrap();
            }
        });
    }
}
