//! Property tests of requests as bytes: heads, chunk sizes and trailers, valid and malformed, through the real
//! parser and relay. The target records what reaches it.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jujubelink::util::hash::stable_hash;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config as ProptestConfig, TestRunner};
use serde_json::json;

use super::faulty_responses::success;
use super::request_wire::{Framing, Outcome, Request, any_request, good_request};
use super::{Deployment, KEY, RunningInstance};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, eventually, property_config, run};

/// Number of connections that the test of whole requests opens.
const CONNECTIONS: u32 = 400;

/// Number of connections of each test in which a client stops sending, and how many are open at once.
const STOPPING_CONNECTIONS: usize = 96;
const CONCURRENT: usize = 48;

/// Bounds of the configuration.
pub(super) const MAX_BODY_BYTES: usize = 4_096;
pub(super) const MAX_HEADER_BYTES: usize = 8_192;
const HEADER_TIMEOUT_MS: u64 = 1_500;
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// Time after which a connection counts as one that hangs. It exceeds the times that the configuration and the requests
/// state, all together.
const HANG_TIME: Duration = Duration::from_secs(15);

/// An instance whose only target records requests and answers each with what it has received.
struct RecordingSite {
    _deployment: Deployment,
    instance: RunningInstance,
    target: Arc<ScriptedTarget>,
}

/// Body of the target's response.
fn echo(id: &str, method: &str, path: &str, body: &[u8]) -> String {
    format!(
        "{id} {method} {path} {} {:x}",
        body.len(),
        stable_hash(0, body)
    )
}

impl RecordingSite {
    async fn start() -> Self {
        let deployment = Deployment::new();
        for (id, _) in &deployment.handles {
            deployment.store.remove("servers", id);
        }
        let target = ScriptedTarget::start(|request| {
            let method = request.head.split(' ').next().unwrap_or_default();
            let body = echo(&request.id, method, &request.path, &request.body);
            Reply::kept(success(request, &body))
        });
        deployment.put_target_at("s1", target.address(), "ready", 2, 1);
        let mut config = Deployment::configuration(6, &[KEY], &[]);
        config["limits"] = json!({ "max_body_bytes": MAX_BODY_BYTES,
            "max_header_bytes": MAX_HEADER_BYTES, "header_timeout_ms": HEADER_TIMEOUT_MS,
            "idle_timeout_ms": IDLE_TIMEOUT_MS });
        deployment.store.put("config", "main", config);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        instance.wait_status("a request is served", 200).await;
        Self {
            _deployment: deployment,
            instance,
            target: Arc::new(target),
        }
    }

    /// Runs `check` on a thread, as the stand-ins need the event loop. Afterwards the process has to live and to
    /// serve an ordinary request.
    async fn check(mut self, check: impl FnOnce(SocketAddr, &ScriptedTarget) + Send + 'static) {
        let (address, target) = (
            self.instance.process.client_address,
            Arc::clone(&self.target),
        );
        let thread = std::thread::spawn(move || check(address, &target));
        while !thread.is_finished() {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        if let Err(panic) = thread.join() {
            std::panic::resume_unwind(panic);
        }
        let status = self.instance.process.exit_status();
        assert_eq!(status, None, "the process has ended");
        eventually("an ordinary request is served", || async {
            let response = self
                .instance
                .send_request("last", "POST", "/read/last")
                .await;
            let expected = echo("last", "POST", "/read/last", b"body");
            (response.status == 200).then(|| assert_eq!(response.body, expected))
        })
        .await;
    }
}

/// A response with its status and its body.
#[derive(Debug, PartialEq, Eq)]
struct Response {
    status: u16,
    body: String,
}

/// What a client received on a connection until its end.
#[derive(Debug)]
struct Received {
    responses: Vec<Response>,
    /// Bytes after the last complete response.
    rest: String,
    /// Whether the instance closed the connection.
    has_ended: bool,
}

/// Sends bytes in pieces that end at `cuts`, and reads until the connection ends or so many responses have arrived.
fn exchange(address: SocketAddr, bytes: &[u8], cuts: &[Index], max_responses: usize) -> Received {
    let stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a second handle");
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let bytes = bytes.to_vec();
    // The instance may close the connection before it has read everything.
    let sending = std::thread::spawn(move || {
        let mut start = 0;
        for end in ends {
            if writer.write_all(&bytes[start..end]).is_err() {
                return;
            }
            start = end;
        }
    });
    let received = read_responses(stream, max_responses);
    let _ = sending.join();
    received
}

fn read_responses(mut stream: TcpStream, max_responses: usize) -> Received {
    let end = Instant::now() + HANG_TIME;
    let mut received = Received {
        responses: Vec::new(),
        rest: String::new(),
        has_ended: false,
    };
    let mut buffer = [0; 4096];
    while received.responses.len() < max_responses {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            break;
        }
        let _ = stream.set_read_timeout(Some(remaining));
        match stream.read(&mut buffer) {
            Ok(0) => received.has_ended = true,
            Ok(length) => received.rest += &String::from_utf8_lossy(&buffer[..length]),
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {}
                _ => received.has_ended = true,
            },
        }
        while let Some((response, length)) = parse_response(&received.rest) {
            received.responses.push(response);
            received.rest.drain(..length);
        }
        if received.has_ended {
            break;
        }
    }
    // Ends the sending as well.
    let _ = stream.shutdown(Shutdown::Both);
    received
}

/// Returns the first response of a text and its length.
fn parse_response(text: &str) -> Option<(Response, usize)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    let length = length.map_or(Some(0), |length| length.trim().parse().ok())?;
    let body = rest.get(..length)?.to_owned();
    Some((Response { status, body }, head.len() + 4 + length))
}

/// Checks the responses to requests that were sent on one connection, and what the target has received of
/// them. The last request asks for the connection to be closed.
fn check_connection(
    requests: &[Request],
    received: &Received,
    at_target: &HashMap<String, Vec<ReceivedRequest>>,
) -> Result<(), TestCaseError> {
    prop_assert!(received.has_ended, "the connection hangs: {received:?}");
    prop_assert_eq!(&received.rest, "", "an incomplete response");
    let mut responses = received.responses.iter();
    // Whether the connection may be closed before the next response.
    let mut may_have_ended = false;
    let mut has_ended = false;
    for request in requests {
        let arrivals = at_target.get(&request.id).map_or(&[][..], Vec::as_slice);
        let response = responses.next().filter(|_| !has_ended);
        match (request.outcome, response) {
            _ if has_ended => {
                prop_assert!(arrivals.is_empty(), "{} ran after the end", request.id);
            }
            (_, None) => {
                let may_end = may_have_ended || request.outcome == Outcome::Malformed;
                prop_assert!(may_end, "no response to {}: {received:?}", request.id);
                prop_assert!(arrivals.is_empty(), "{} ran unanswered", request.id);
                has_ended = true;
            }
            (Outcome::Served, Some(response)) => {
                let (method, path) = (&request.method, &request.path);
                let body = echo(&request.id, method, path, &request.body);
                prop_assert_eq!(response, &Response { status: 200, body });
                prop_assert_eq!(arrivals.len(), 1, "{} ran more than once", request.id);
                let head = &arrivals[0].head;
                prop_assert!(!head.contains("hidden"), "{head}");
                prop_assert!(!head.contains(KEY), "{head}");
            }
            (Outcome::Refused | Outcome::Malformed, Some(response)) => {
                let is_refusal = (400..500).contains(&response.status);
                prop_assert!(is_refusal, "{} got {response:?}", request.id);
                prop_assert!(arrivals.is_empty(), "{} ran although refused", request.id);
                has_ended = request.outcome == Outcome::Malformed;
            }
        }
        // The rest of a refused body is read for a while only.
        may_have_ended |= request.outcome == Outcome::Refused || request.closes;
    }
    let further = responses.count();
    prop_assert!(further == 0, "{further} responses to no request");
    Ok(())
}

/// Returns the requests at the target by their ids. None may carry the id of a request that is hidden in a body,
/// a chunk extension or a trailer.
fn arrivals_by_id(target: &ScriptedTarget) -> HashMap<String, Vec<ReceivedRequest>> {
    let mut arrivals: HashMap<String, Vec<_>> = HashMap::new();
    for request in target.received() {
        arrivals
            .entry(request.id.clone())
            .or_default()
            .push(request);
    }
    arrivals
}

/// Guards against a request that is taken for another or runs although it is refused, a response that answers
/// another request, and a connection that hangs, for requests that follow one another on one connection.
#[test]
fn each_request_is_served_or_refused_as_itself() {
    run(async {
        let site = RecordingSite::start().await;
        let case = AtomicUsize::new(0);
        let check = move |address: SocketAddr, target: &ScriptedTarget| {
            let config = ProptestConfig {
                cases: CONNECTIONS,
                ..property_config()
            };
            let requests = prop::collection::vec(any_request(), 1..5);
            let cuts = prop::collection::vec(any::<Index>(), 0..6);
            let property = |(mut requests, cuts): (Vec<Request>, Vec<Index>)| {
                let case = case.fetch_add(1, Ordering::Relaxed);
                let mut last = good_request(Framing::None);
                last.asks_for_close = true;
                requests.push(last);
                let mut bytes = Vec::new();
                for (index, request) in requests.iter_mut().enumerate() {
                    request.set_id(format!("r{case}-{index}"));
                    bytes.extend_from_slice(&request.encode());
                }
                let received = exchange(address, &bytes, &cuts, usize::MAX);
                let at_target = arrivals_by_id(target);
                let hidden = at_target.get("hidden");
                prop_assert!(hidden.is_none(), "a hidden request ran: {hidden:?}");
                check_connection(&requests, &received, &at_target)
            };
            TestRunner::new(config)
                .run(&(requests, cuts), property)
                .unwrap_or_else(|error| panic!("{error}"));
        };
        site.check(check).await;
    });
}

/// Sends each text on a connection of its own that stays open, several at once, and checks that each is answered or
/// its connection closed.
fn check_that_all_end(address: SocketAddr, texts: &[Vec<u8>]) -> Vec<Received> {
    let mut received = Vec::new();
    for group in texts.chunks(CONCURRENT) {
        let threads: Vec<_> = group
            .iter()
            .map(|text| {
                let text = text.clone();
                std::thread::spawn(move || exchange(address, &text, &[], 1))
            })
            .collect();
        for (thread, text) in threads.into_iter().zip(group) {
            let ended = thread.join().expect("an exchange");
            assert!(
                ended.has_ended || !ended.responses.is_empty(),
                "neither an answer nor an end after {:?}: {ended:?}",
                String::from_utf8_lossy(text)
            );
            received.push(ended);
        }
    }
    received
}

/// Generates values outside of a property, with the seed of the property tests.
fn generate<T>(strategy: impl Strategy<Value = T>, count: usize) -> Vec<T> {
    let mut runner = TestRunner::new(property_config());
    let values = (0..count).map(|_| {
        let tree = strategy.new_tree(&mut runner).expect("a value");
        proptest::strategy::ValueTree::current(&tree)
    });
    values.collect()
}

/// Guards against a request that is neither answered nor given up, and one that runs, if its client stops within it.
#[test]
fn requests_that_stop_at_any_byte_end_without_a_run() {
    run(async {
        let site = RecordingSite::start().await;
        site.check(|address, target| {
            let stopping = generate((any_request(), any::<Index>()), STOPPING_CONNECTIONS);
            let mut texts = Vec::new();
            for (index, (mut request, cut)) in stopping.into_iter().enumerate() {
                request.set_id(format!("cut-{index}"));
                request.deadline_ms = 400;
                let mut text = request.encode();
                text.truncate(cut.index(text.len()));
                texts.push(text);
            }
            let received = check_that_all_end(address, &texts);
            let at_target = arrivals_by_id(target);
            for (index, received) in received.iter().enumerate() {
                let id = format!("cut-{index}");
                let text = String::from_utf8_lossy(&texts[index]);
                assert!(!at_target.contains_key(&id), "a part has run: {text:?}");
                let served = received
                    .responses
                    .iter()
                    .find(|response| response.status < 400);
                assert!(served.is_none(), "{served:?} to {text:?}");
            }
        })
        .await;
    });
}

/// Guards against bytes that end or block the process, wherever they are within otherwise valid requests.
#[test]
fn changed_bytes_end_with_their_connection() {
    run(async {
        let site = RecordingSite::start().await;
        site.check(|address, _| {
            let edits = prop::collection::vec((any::<Index>(), any::<Option<u8>>()), 1..6);
            let changed = generate((any_request(), edits), STOPPING_CONNECTIONS);
            let mut texts = Vec::new();
            for (index, (mut request, edits)) in changed.into_iter().enumerate() {
                request.set_id(format!("changed-{index}"));
                request.deadline_ms = 400;
                let mut text = request.encode();
                for (at, byte) in edits {
                    let at = at.index(text.len());
                    match byte {
                        Some(byte) => text[at] = byte,
                        None => drop(text.remove(at)),
                    }
                }
                texts.push(text);
            }
            check_that_all_end(address, &texts);
        })
        .await;
    });
}
