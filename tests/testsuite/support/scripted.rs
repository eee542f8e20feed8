//! A target that answers each request with bytes that the test chooses.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A request that has arrived completely.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    /// Number of the connection, from 0.
    pub(crate) connection: usize,
    /// Number of the request on its connection, from 0.
    pub(crate) index: usize,
    pub(crate) path: String,
    /// Attempt id; empty if absent.
    pub(crate) id: String,
}

/// The bytes that answer a request.
pub(crate) struct Reply {
    pub(crate) bytes: String,
    /// Whether the connection is closed afterwards.
    pub(crate) closes: bool,
}

impl Reply {
    /// Keeps the connection open after the bytes.
    pub(crate) fn kept(bytes: impl Into<String>) -> Self {
        Self {
            bytes: bytes.into(),
            closes: false,
        }
    }

    /// Closes the connection after the bytes.
    pub(crate) fn closed(bytes: impl Into<String>) -> Self {
        Self {
            bytes: bytes.into(),
            closes: true,
        }
    }
}

type Script = dyn Fn(&ReceivedRequest) -> Reply + Send + Sync;

struct Shared {
    script: Box<Script>,
    received: Mutex<Vec<ReceivedRequest>>,
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
        let mut index = 0;
        while let Some((path, id)) = read_request(stream) {
            let reply = if path.starts_with("/api/") {
                Reply::kept("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
            } else {
                let request = ReceivedRequest {
                    connection,
                    index,
                    path,
                    id,
                };
                self.received.lock().unwrap().push(request.clone());
                (self.script)(&request)
            };
            index += 1;
            if stream.write_all(reply.bytes.as_bytes()).is_err() || reply.closes {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Reads a request with a body of stated length. Returns its path and attempt id, or `None` if the
/// connection ends.
fn read_request(mut stream: &TcpStream) -> Option<(String, String)> {
    let mut data = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&data);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let header = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
            };
            let length = header("content-length:").map_or(0, |text| text.parse().unwrap_or(0));
            if body.len() >= length {
                let path = head.split(' ').nth(1)?.to_owned();
                return Some((path, header("jujubelink-attempt-id:").unwrap_or_default()));
            }
        }
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        data.extend_from_slice(&buffer[..length]);
    }
}
