//! The platform's store: objects by kind and name, one revision counter, watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::Json;
use crate::log;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object as JSON, whether it was removed.
    history: Vec<(u64, String, String, bool)>,
}

struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"create_rev\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":{}}}",
        Json::Text(name.to_owned()),
        object.revision,
        object.created,
        object.spec,
        object.status
    )
}

/// Serves the store until the process ends.
pub fn serve(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the address of the store is free");
    let store = Arc::new(Store {
        state: Mutex::new(State {
            revision: 100,
            ..State::default()
        }),
        changed: Condvar::new(),
    });
    log("store", "listens");
    for stream in listener.incoming().flatten() {
        let store = Arc::clone(&store);
        std::thread::spawn(move || serve_connection(&store, stream));
    }
}

fn serve_connection(store: &Store, stream: TcpStream) {
    let peer = stream.peer_addr().map(|peer| peer.ip().to_string());
    let peer = peer.unwrap_or_default();
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.head() {
        let Ok((body, true)) = conn.body(&head, false) else {
            return;
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        // The store answers within 4 ms.
        std::thread::sleep(Duration::from_millis(2));
        let (status, body) = store.answer(&head, &body, &peer);
        let headers = "Content-Type: application/json\r\n";
        if conn.respond(status, headers, body.as_bytes()).is_err() {
            return;
        }
        if head.header("connection") == Some("close") {
            return;
        }
    }
}

impl Store {
    fn answer(&self, head: &Message, body: &str, peer: &str) -> (&'static str, String) {
        let mut words = head.start.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let mut parts = rest.splitn(3, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        match (method, name) {
            ("GET", None) => match query("watch") {
                Some(after) => {
                    let wait = query("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(&kind, after.parse().unwrap_or(0), wait)
                }
                None => self.list(&kind, &query("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                if kind == "jujubelink-leases" && query("by").is_none() {
                    log("store", &format!("GET {kind}/{name} by a machine"));
                }
                let state = self.state.lock().unwrap();
                let object = state.objects.get(&(kind, name.clone()));
                match object {
                    Some(object) => ("200 OK", encode(&name, object)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST" | "PUT" | "DELETE", name) => self.write(
                method,
                &kind,
                name,
                is_status,
                body,
                query("revision"),
                peer,
            ),
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter();
        let items: Vec<String> = objects
            .filter(|((k, name), _)| k == kind && name.as_str() > after)
            .map(|((_, name), object)| encode(name, object))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"truncated\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let events: Vec<String> = changes
                .filter(|(revision, k, _, _)| *revision > after && k == kind)
                .map(|(_, _, object, removed)| {
                    format!("{{\"removed\":{removed},\"object\":{object}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        is_status: bool,
        body: &str,
        revision: Option<String>,
        peer: &str,
    ) -> (&'static str, String) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let stated = metadata.get("name").and_then(Json::text).map(str::to_owned);
        let Some(name) = name.or(stated) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let expected = metadata.get("revision").and_then(Json::number);
        let expected = expected.or(revision.and_then(|r| r.parse().ok()));
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.clone());
        let current = state.objects.get(&key).cloned();
        let is_conflict = match (method, &current) {
            ("POST", Some(_)) => true,
            ("POST", None) => false,
            (_, None) => return ("404 Not Found", "{}".to_owned()),
            (_, Some(object)) => expected.is_some_and(|expected| expected != object.revision),
        };
        if is_conflict {
            let object = current.map(|object| encode(&name, &object));
            return ("409 Conflict", object.unwrap_or_default());
        }
        let field = |name: &str| body.get(name).map_or("null".to_owned(), Json::to_string);
        let mut object = current.unwrap_or(Object {
            revision: 0,
            created: state.revision + 1,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        let before = (object.spec.clone(), object.status.clone());
        match is_status {
            true => object.status = field("status"),
            false if method != "DELETE" => object.spec = field("spec"),
            false => {}
        }
        let is_same = before == (object.spec.clone(), object.status.clone());
        if method == "PUT" && is_same {
            return ("200 OK", encode(&name, &object));
        }
        state.revision += 1;
        object.revision = state.revision;
        let encoded = encode(&name, &object);
        let revision = state.revision;
        state.history.push((
            revision,
            kind.to_owned(),
            encoded.clone(),
            method == "DELETE",
        ));
        match method {
            "DELETE" => drop(state.objects.remove(&key)),
            _ => drop(state.objects.insert(key, object.clone())),
        }
        self.changed.notify_all();
        drop(state);
        if kind != "servers" || !object.spec.contains("\"ready\"") || method == "DELETE" {
            log(
                "store",
                &format!(
                    "{method} {kind}/{name} by {peer} accepted at revision {revision}: {}",
                    object.spec
                ),
            );
        }
        ("200 OK", encoded)
    }
}
