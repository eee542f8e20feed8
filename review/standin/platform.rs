//! The platform's store: objects of several kinds with revisions, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_request, respond, serve, Request};
use crate::json;

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision of the last change, revision of the creation, and spec, by kind and name.
    objects: BTreeMap<(String, String), (u64, u64, String)>,
    /// Revision, kind, object, and whether it was removed.
    history: Vec<(u64, String, String, bool)>,
}

/// The store. Clones share its objects.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn render(name: &str, (revision, created, spec): &(u64, u64, String)) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"create_rev\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    /// Serves the store at a free port. While `is_silent` holds, calls there are neither executed nor answered.
    pub fn start(&self, is_silent: &Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, is_silent) = (self.clone(), Arc::clone(is_silent));
        serve(listener, move |stream| store.serve_connection(stream, &is_silent));
        address
    }

    /// Removes an object on behalf of a server.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("the lock");
        Self::delete(&mut state, kind, name);
        self.state.1.notify_all();
    }

    /// Writes an object on behalf of the operator or of a server.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().expect("the lock");
        Self::write(&mut state, kind, name, spec);
        self.state.1.notify_all();
    }

    fn write(state: &mut State, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.get(&key).filter(|object| object.2 == spec) {
            return render(name, object);
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state.objects.get(&key).map_or(revision, |object| object.1);
        let object = (revision, created, spec.to_owned());
        let text = render(name, &object);
        state.objects.insert(key, object);
        state.history.push((revision, kind.to_owned(), text.clone(), false));
        text
    }

    fn delete(state: &mut State, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let text = render(name, &object);
        state.history.push((state.revision, kind.to_owned(), text, true));
        true
    }

    fn serve_connection(&self, mut stream: TcpStream, is_silent: &AtomicBool) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = BufReader::new(reading);
        while let Some(request) = read_request(&mut reading) {
            let is_unheard = || is_silent.load(Ordering::SeqCst);
            let answer = (!is_unheard()).then(|| self.call(&request));
            let Some((status, body)) = answer.filter(|_| !is_unheard()) else {
                // The caller has to give the connection up.
                while read_request(&mut reading).is_some() {}
                return;
            };
            let headers = "content-type: application/json\r\n";
            if respond(&mut stream, status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Request) -> (&'static str, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let path = path.strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
        };
        let body = request.body.as_str();
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let spec = json::field(body, "spec").unwrap_or("null");
        let expected = json::number(metadata, "revision").or(parameter("revision"));
        let mut state = self.state.0.lock().expect("the lock");
        match (request.method.as_str(), name) {
            ("GET", "") => match parameter("watch") {
                Some(after) => {
                    let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
                    let until = Instant::now() + wait;
                    loop {
                        let changes = state.history.iter();
                        let events: Vec<String> = changes
                            .filter(|(revision, changed, ..)| *revision > after && changed == kind)
                            .map(|(_, _, object, removed)| {
                                format!("{{\"object\":{object},\"removed\":{removed}}}")
                            })
                            .collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let (events, now) = (events.join(","), state.revision);
                            let text = format!("{{\"events\":[{events}],\"current_rev\":{now}}}");
                            return ("200 OK", text);
                        }
                        state = self.state.1.wait_timeout(state, left).expect("the lock").0;
                    }
                }
                None => {
                    let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
                    let items: Vec<String> =
                        of_kind.map(|((_, name), object)| render(name, object)).collect();
                    let (items, now) = (items.join(","), state.revision);
                    let text =
                        format!("{{\"items\":[{items}],\"truncated\":false,\"current_rev\":{now}}}");
                    ("200 OK", text)
                }
            },
            ("GET", name) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => ("200 OK", render(name, object)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("POST", "") => {
                let name = json::string(metadata, "name").unwrap_or_default().to_owned();
                let key = (kind.to_owned(), name.clone());
                if let Some(object) = state.objects.get(&key) {
                    return ("409 Conflict", render(&name, object));
                }
                let text = Self::write(&mut state, kind, &name, spec);
                self.state.1.notify_all();
                ("200 OK", text)
            }
            ("PUT", name) => {
                let key = (kind.to_owned(), name.to_owned());
                match state.objects.get(&key) {
                    None => ("404 Not Found", "{}".to_owned()),
                    Some(object) if expected.is_some_and(|revision| revision != object.0) => {
                        ("409 Conflict", render(name, object))
                    }
                    Some(_) => {
                        let text = Self::write(&mut state, kind, name, spec);
                        self.state.1.notify_all();
                        ("200 OK", text)
                    }
                }
            }
            ("DELETE", name) => {
                let found = Self::delete(&mut state, kind, name);
                self.state.1.notify_all();
                (if found { "200 OK" } else { "404 Not Found" }, "{}".to_owned())
            }
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        }
    }
}
