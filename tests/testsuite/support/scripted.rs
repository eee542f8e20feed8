//! A target that answers each request with bytes that the test chooses.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that has arrived completely.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    pub(crate) arrived_at: Instant,
    /// Number of the connection, from 0.
    pub(crate) connection: usize,
    /// Number of the request on its connection, from 0.
    pub(crate) index: usize,
    pub(crate) path: String,
    /// Attempt id; empty if absent.
    pub(crate) id: String,
    /// Number of the last stream event that the client has, if the request resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// Priority of the request at an engine; `None` if absent.
    pub(crate) priority: Option<u8>,
    /// Request line and headers.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// A part of a reply.
pub(crate) enum Step {
    Send(String),
    /// Sends nothing for this time.
    Pause(Duration),
}

/// The bytes that answer a request, and pauses between them.
pub(crate) struct Reply {
    pub(crate) steps: Vec<Step>,
    /// Whether the connection is closed afterwards.
    pub(crate) closes: bool,
}

impl Reply {
    /// Keeps the connection open after the bytes.
    pub(crate) fn kept(bytes: impl Into<String>) -> Self {
        Self {
            steps: vec![Step::Send(bytes.into())],
            closes: false,
        }
    }

    /// Closes the connection after the bytes.
    pub(crate) fn closed(bytes: impl Into<String>) -> Self {
        Self {
            steps: vec![Step::Send(bytes.into())],
            closes: true,
        }
    }

    /// Sends nothing for the given time before the rest of the reply.
    pub(crate) fn with_delay(mut self, delay: Duration) -> Self {
        self.steps.insert(0, Step::Pause(delay));
        self
    }
}

/// When parts of a reply were sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplyTimes {
    pub(crate) parts_sent_at: Vec<Instant>,
    /// When the reply was complete or its connection closed.
    pub(crate) ended_at: Option<Instant>,
}

type Script = dyn Fn(&ReceivedRequest) -> Reply + Send + Sync;

struct Shared {
    script: Box<Script>,
    received: Mutex<Vec<ReceivedRequest>>,
    /// By the numbers of connection and request.
    reply_times: Mutex<HashMap<(usize, usize), ReplyTimes>>,
    control_calls: AtomicUsize,
    is_stopped: AtomicBool,
}

/// The target. It runs on threads of its own.
pub(crate) struct ScriptedTarget {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl ScriptedTarget {
    /// Starts a target that answers each request with the result of `script`. Requests to paths of the
    /// platform's control calls get 404 and are not recorded.
    pub(crate) fn start(
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind the target");
        let address = listener.local_addr().expect("the target's address");
        let shared = Arc::new(Shared {
            script: Box::new(script),
            received: Mutex::default(),
            reply_times: Mutex::default(),
            control_calls: AtomicUsize::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        std::thread::spawn(move || {
            let connections = listener.incoming().map_while(Result::ok);
            for (number, connection) in connections.enumerate() {
                if accepting.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&accepting);
                std::thread::spawn(move || shared.serve(number, &connection));
            }
        });
        Self { address, shared }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.shared.received.lock().unwrap().clone()
    }

    /// Returns the number of requests so far to paths of the platform's control calls.
    pub(crate) fn control_calls(&self) -> usize {
        self.shared.control_calls.load(Ordering::Relaxed)
    }

    /// Returns the times of the reply to a request.
    pub(crate) fn reply_times(&self, request: &ReceivedRequest) -> ReplyTimes {
        let reply_times = self.shared.reply_times.lock().unwrap();
        let times = reply_times.get(&(request.connection, request.index));
        times.cloned().unwrap_or_default()
    }
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // Ends the wait for the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn serve(&self, connection: usize, mut stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut index = 0;
        // Bytes that follow the body of a request are the start of the next one.
        let mut unread = Vec::new();
        while let Some(RequestParts {
            path,
            id,
            last_event,
            priority,
            head,
            body,
        }) = read_request(stream, &mut unread)
        {
            let reply = if path.starts_with("/api/") {
                self.control_calls.fetch_add(1, Ordering::Relaxed);
                Reply::kept("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
            } else {
                let request = ReceivedRequest {
                    arrived_at: Instant::now(),
                    connection,
                    index,
                    path,
                    id,
                    last_event,
                    priority,
                    head,
                    body,
                };
                self.received.lock().unwrap().push(request.clone());
                (self.script)(&request)
            };
            let record = |act: &dyn Fn(&mut ReplyTimes, Instant)| {
                let mut reply_times = self.reply_times.lock().unwrap();
                let times = reply_times.entry((connection, index)).or_default();
                act(times, Instant::now());
            };
            let is_open = reply.steps.iter().all(|step| match step {
                Step::Send(bytes) => {
                    record(&|times, now| times.parts_sent_at.push(now));
                    stream.write_all(bytes.as_bytes()).is_ok()
                }
                Step::Pause(pause) => !closes_within(stream, *pause),
            });
            record(&|times, now| times.ended_at = Some(now));
            index += 1;
            if !is_open || reply.closes {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Waits for the given time, or until the peer closes the connection. Returns whether it did.
fn closes_within(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let _ = stream.set_read_timeout(None);
            return false;
        }
        let _ = stream.set_read_timeout(Some(remaining));
        match stream.peek(&mut [0]) {
            Ok(0) => return true,
            Ok(_) => std::thread::sleep(remaining.min(Duration::from_millis(10))),
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {}
                _ => return true,
            },
        }
    }
}

struct RequestParts {
    path: String,
    id: String,
    last_event: Option<u64>,
    priority: Option<u8>,
    head: String,
    body: Vec<u8>,
}

/// Reads a request with a body of stated length, or returns `None` if the connection ends. `unread` holds what
/// was read beyond the request before, and afterwards what was read beyond this one.
fn read_request(mut stream: &TcpStream, unread: &mut Vec<u8>) -> Option<RequestParts> {
    let mut buffer = [0; 4096];
    loop {
        let head_end = unread.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&unread[..head_end]).into_owned();
            let header = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
            };
            let length = header("content-length:").map_or(0, |text| text.parse().unwrap_or(0));
            let body_start = head_end + 4;
            if unread.len() >= body_start + length {
                let rest = unread.split_off(body_start + length);
                let body = std::mem::replace(unread, rest).split_off(body_start);
                let path = head.split(' ').nth(1)?.to_owned();
                let id = header("jujubelink-attempt-id:").unwrap_or_default();
                let last_event = header("last-event-id:").and_then(|text| text.parse().ok());
                let priority = header("jujubelink-request-priority:");
                return Some(RequestParts {
                    path,
                    id,
                    last_event,
                    priority: priority.and_then(|text| text.parse().ok()),
                    head,
                    body,
                });
            }
        }
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        unread.extend_from_slice(&buffer[..length]);
    }
}
