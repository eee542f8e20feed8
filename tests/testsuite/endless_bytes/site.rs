//! The instance under test, the systems around it and requests of clients.

use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::Either;
use http_body_util::BodyExt;
use jujubelink::util::http::{Client, RequestOptions, full};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{CacheStore, FaultPlan, FleetTarget, ObjectStore, StoreEndpoint};
use serde_json::json;

use crate::support::{
    Flood, FloodProxy, Instance, WAIT_TIMEOUT, eventually, free_address, process_memory_bytes,
};

/// Time that clients of flooded requests wait. It ends the floods that no limit of size ends.
pub(crate) const FLOODED_DEADLINE_MS: u64 = 1_000;

/// Time that clients of other requests wait. Only a failing test waits this long.
pub(crate) const OTHER_DEADLINE_MS: u64 = 10_000;

/// Time that a client of a flooded request would wait, if it did not leave before. It is longer than
/// that of other requests, which are thus served during the flood or not at all.
pub(crate) const LONG_DEADLINE_MS: u64 = 20_000;

/// Number of concurrent requests that are flooded.
pub(crate) const CONCURRENT: usize = 4;

/// Memory that the instance may hold for a flooded request: an incomplete event (256 KiB) or a short
/// response (256 KiB), the read buffer of the connection (32 KiB) and the write buffer to the client
/// (512 KiB). Buffers that grow by doubling may need twice as much.
pub(crate) const REQUEST_BYTES: u64 = 2 * (256 + 256 + 32 + 512) * 1024;

/// Memory that the instance may hold for a control call to a target or a store of KV cache, whose
/// responses are limited to 256 KiB.
pub(crate) const CONTROL_CALL_BYTES: u64 = 2 * (256 + 32) * 1024;

/// Memory that the instance may hold for a call to the platform's store, whose responses are limited to
/// 8 MiB.
pub(crate) const STORE_CALL_BYTES: u64 = 2 * (8 * 1024 + 32) * 1024;

/// Number of calls to the platform's store that an instance may have in progress, and of control calls.
pub(crate) const CONCURRENT_CALLS: u64 = 8;

/// Growth of the process that is not due to floods: first use of code and of the allocator's arenas.
pub(crate) const BASE_GROWTH_BYTES: u64 = 16 * 1024 * 1024;
/// An instance and the systems around it. Each of these is reached through a proxy that can flood.
pub(crate) struct Site {
    pub(crate) store: Rc<ObjectStore>,
    pub(crate) store_proxy: FloodProxy,
    /// Target of the service `app`.
    pub(crate) plain_proxy: FloodProxy,
    /// Only engine of the service `llm`.
    pub(crate) engine_proxy: FloodProxy,
    /// Store of KV cache.
    pub(crate) cache_proxy: FloodProxy,
    pub(crate) engine: Rc<FleetTarget>,
    pub(crate) cache: Rc<CacheStore>,
    pub(crate) instance: Instance,
    pub(crate) ready_address: SocketAddr,
    _handles: Vec<StandInHandle>,
}

impl Site {
    pub(crate) async fn start() -> Self {
        Self::start_with("").await
    }

    /// Starts the instance with further settings (TOML).
    pub(crate) async fn start_with(settings: &str) -> Self {
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
        let ready_address = free_address();
        let fleet = format!(
            "[fleet]\nmachine = \"n1\"\nready_address = \"{ready_address}\"\n\
             [log]\nlevel = \"error\"\n{settings}\n",
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
            ready_address,
            _handles: handles,
        };
        for path in ["/other/x", "/read/x", "/ask/x"] {
            site.wait_served(path).await;
        }
        site
    }

    pub(crate) async fn request(&self, id: &str, path: &str, deadline_ms: u64) -> Answer {
        request(self.instance.client_address, id, path, deadline_ms).await
    }

    /// Waits until a request is answered completely, as it is without floods.
    pub(crate) async fn wait_served(&self, path: &str) {
        eventually(&format!("requests to {path} are served"), || async {
            let answer = self.request("r", path, OTHER_DEADLINE_MS).await;
            (answer == Answer::Complete(200, expected_body(path))).then_some(())
        })
        .await;
    }

    /// Checks that requests to another service are served.
    pub(crate) async fn check_others_served(&self, flood: &str) {
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
    pub(crate) fn proxy_of(&self, path: &str) -> &FloodProxy {
        match is_stream(path) {
            true => &self.engine_proxy,
            false => &self.plain_proxy,
        }
    }

    /// Returns a field of the process' status, in bytes.
    pub(crate) fn memory_bytes(&self, field: &str) -> u64 {
        process_memory_bytes(self.instance.pid(), field).expect("a running process")
    }

    /// Checks that the peak of the process' memory has not exceeded its size before the floods by more
    /// than `limit`.
    pub(crate) fn check_memory(
        &self,
        resident_before: u64,
        limit: u64,
        flood: &str,
        sent_bytes: u64,
    ) {
        let growth = self.memory_bytes("VmHWM").saturating_sub(resident_before);
        println!("flood \"{flood}\": sent {sent_bytes} bytes, memory grew by {growth} bytes");
        assert!(
            growth <= limit,
            "memory grew by {growth} bytes during the flood \"{flood}\", limit {limit}"
        );
    }

    /// Sends requests to a path whose target floods, and checks what clients, the target and the process
    /// show. The only success that clients may get is one with the body `complete`.
    pub(crate) async fn check_requests(&self, path: &str, flood: Flood, complete: Option<&str>) {
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
    pub(crate) async fn check_abandoned_requests(&self, path: &str, flood: Flood) {
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
    pub(crate) async fn check_calls(
        &self,
        proxy: &FloodProxy,
        flood: Flood,
        calls: usize,
        call_bytes: u64,
    ) {
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
pub(crate) fn put_configuration(store: &ObjectStore, version: u64, name: &str, cache: SocketAddr) {
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
pub(crate) enum Answer {
    /// Status and complete body.
    Complete(u16, String),
    /// A head and a body that ended early.
    Broken,
    /// The connection was closed before a head.
    None,
}

/// Sends a request and reads its answer. A prompt goes with requests to engines.
pub(crate) async fn request(address: SocketAddr, id: &str, path: &str, deadline_ms: u64) -> Answer {
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

pub(crate) fn is_stream(path: &str) -> bool {
    path.starts_with("/ask/") || path.starts_with("/tell/")
}

/// Body of the stand-in's answer.
pub(crate) fn expected_body(path: &str) -> String {
    if is_stream(path) {
        let events = (1..=5).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
        return events.collect();
    }
    format!("POST {path} body")
}
