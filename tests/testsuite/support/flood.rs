//! A proxy in front of a stand-in that answers chosen requests with bytes that never end.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Size of the writes of a flood. They are larger than every buffer of the instance, so that its
/// sockets are never empty.
const BLOCK_BYTES: usize = 256 * 1024;

/// Text in the start of a flood that stands for the attempt id of the request.
pub(crate) const ID: &str = "{id}";

/// Bytes without end.
#[derive(Debug, Clone)]
pub(crate) struct Flood {
    /// Name for messages.
    pub(crate) name: &'static str,
    /// Only requests whose path begins with this text are flooded.
    path_prefix: &'static str,
    start: String,
    /// Sent again and again until the peer closes the connection.
    block: Vec<u8>,
    /// Pause after each block.
    pause: Duration,
    /// Time in which nothing is sent after the start.
    silence: Duration,
}

impl Flood {
    /// Creates a flood that sends `start` once and then `unit` without end.
    pub(crate) fn new(name: &'static str, start: &str, unit: impl AsRef<[u8]>) -> Self {
        let unit = unit.as_ref();
        Self {
            name,
            path_prefix: "",
            start: start.to_owned(),
            block: unit.repeat(BLOCK_BYTES.div_ceil(unit.len())),
            pause: Duration::ZERO,
            silence: Duration::ZERO,
        }
    }

    /// Creates a flood that sends `start` once and then one `unit` after each pause.
    pub(crate) fn paced(name: &'static str, start: &str, unit: &str, pause: Duration) -> Self {
        Self {
            block: unit.into(),
            pause,
            ..Self::new(name, start, unit)
        }
    }

    /// Sends nothing for this time after the start.
    pub(crate) fn with_silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Restricts the flood to requests whose path begins with `path_prefix`.
    pub(crate) fn with_path_prefix(mut self, path_prefix: &'static str) -> Self {
        self.path_prefix = path_prefix;
        self
    }
}

#[derive(Default)]
struct Shared {
    flood: Mutex<Option<Arc<Flood>>>,
    /// Attempt ids of all requests that have arrived.
    arrived: Mutex<BTreeSet<String>>,
    begun: AtomicUsize,
    ended: AtomicUsize,
    sent_bytes: AtomicU64,
    is_stopped: AtomicBool,
}

/// The proxy. It forwards requests to the stand-in unless they are flooded. It runs on threads of its
/// own, so that the test's event loop does not slow the floods down.
pub(crate) struct FloodProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FloodProxy {
    /// Starts a proxy of the stand-in at `upstream`.
    pub(crate) fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind the proxy");
        let address = listener.local_addr().expect("the proxy's address");
        let shared = Arc::<Shared>::default();
        let accepting = Arc::clone(&shared);
        std::thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                if accepting.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&accepting);
                std::thread::spawn(move || shared.serve(&connection, upstream));
            }
        });
        Self { address, shared }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the flood of the next requests. `None` forwards them again.
    pub(crate) fn set_flood(&self, flood: Option<Flood>) {
        *self.shared.flood.lock().unwrap() = flood.map(Arc::new);
    }

    /// Number of requests that were flooded so far.
    pub(crate) fn begun(&self) -> usize {
        self.shared.begun.load(Ordering::SeqCst)
    }

    /// Number of floods whose connection the instance has closed.
    pub(crate) fn ended(&self) -> usize {
        self.shared.ended.load(Ordering::SeqCst)
    }

    /// Number of bytes of all floods so far.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Whether a request with this attempt id has arrived.
    pub(crate) fn has_arrived(&self, id: &str) -> bool {
        self.shared.arrived.lock().unwrap().contains(id)
    }
}

impl Drop for FloodProxy {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // Ends the wait for the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    /// Serves the requests of a connection, each of which arrives in one read.
    fn serve(&self, mut client: &TcpStream, upstream: SocketAddr) {
        let mut buffer = vec![0; BLOCK_BYTES];
        let mut forwarded: Option<TcpStream> = None;
        while let Ok(length @ 1..) = client.read(&mut buffer) {
            let data = &buffer[..length];
            if let Some((path, id)) = parse_request(data) {
                self.arrived.lock().unwrap().insert(id.clone());
                let flood = self.flood.lock().unwrap().clone();
                if let Some(flood) = flood.filter(|flood| path.starts_with(flood.path_prefix)) {
                    self.begun.fetch_add(1, Ordering::SeqCst);
                    let start = flood.start.replace(ID, &id);
                    self.send_without_end(client, start.as_bytes(), &flood);
                    self.ended.fetch_add(1, Ordering::SeqCst);
                    break;
                }
            }
            if forwarded.is_none() {
                let Ok(server) = TcpStream::connect(upstream) else {
                    break;
                };
                let (from, to) = (server.try_clone().unwrap(), client.try_clone().unwrap());
                std::thread::spawn(move || {
                    let _ = std::io::copy(&mut &from, &mut &to);
                    let _ = to.shutdown(Shutdown::Both);
                });
                forwarded = Some(server);
            }
            let server = forwarded.as_mut().expect("just connected");
            if server.write_all(data).is_err() {
                break;
            }
        }
        let _ = client.shutdown(Shutdown::Both);
        if let Some(server) = forwarded {
            let _ = server.shutdown(Shutdown::Both);
        }
    }

    /// Returns once the peer has closed the connection.
    fn send_without_end(&self, mut client: &TcpStream, start: &[u8], flood: &Flood) {
        let mut next = start;
        let mut pause = flood.silence.max(flood.pause);
        while client.write_all(next).is_ok() {
            self.sent_bytes
                .fetch_add(next.len() as u64, Ordering::Relaxed);
            next = &flood.block;
            std::thread::sleep(pause);
            pause = flood.pause;
        }
    }
}

/// Returns path and attempt id (empty if absent) if the data is the start of a request.
fn parse_request(data: &[u8]) -> Option<(String, String)> {
    let text = String::from_utf8_lossy(data);
    let (first, rest) = text.split_once("\r\n")?;
    let path = first.strip_suffix(" HTTP/1.1")?.split(' ').nth(1)?;
    let mut lines = rest.lines();
    let id = lines.find_map(|line| line.strip_prefix("jujubelink-attempt-id: "));
    Some((path.to_owned(), id.unwrap_or_default().to_owned()))
}

/// A client that sends bytes without end and reads nothing.
pub(crate) struct FloodClient {
    socket: TcpStream,
    shared: Arc<ClientShared>,
}

#[derive(Default)]
struct ClientShared {
    sent_bytes: AtomicU64,
    is_ended: AtomicBool,
}

impl FloodClient {
    /// Connects and sends `start` once and then `unit` without end, unless it is empty.
    pub(crate) fn start(address: SocketAddr, start: &[u8], unit: &[u8]) -> Self {
        let socket = TcpStream::connect(address).expect("connect to the instance");
        let shared = Arc::<ClientShared>::default();
        let mut sender = socket.try_clone().expect("clone the socket");
        let sending = Arc::clone(&shared);
        let start = start.to_vec();
        let block = unit.repeat(BLOCK_BYTES.checked_div(unit.len()).unwrap_or(0) + 1);
        std::thread::spawn(move || {
            let mut next = &start[..];
            while sender.write_all(next).is_ok() {
                let sent = next.len() as u64;
                sending.sent_bytes.fetch_add(sent, Ordering::Relaxed);
                if block.is_empty() {
                    return;
                }
                next = &block;
            }
            sending.is_ended.store(true, Ordering::SeqCst);
        });
        Self { socket, shared }
    }

    /// Number of bytes that were sent so far.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Whether a write has failed because the instance has closed the connection.
    pub(crate) fn is_ended(&self) -> bool {
        self.shared.is_ended.load(Ordering::SeqCst)
    }

    /// Reads until the instance closes the connection. Fails if it stays open for `limit` without bytes.
    pub(crate) fn read_to_end(&self, limit: Duration) -> std::io::Result<Vec<u8>> {
        self.socket.set_read_timeout(Some(limit))?;
        let mut read = Vec::new();
        match (&self.socket).read_to_end(&mut read) {
            Err(error) if error.kind() != std::io::ErrorKind::ConnectionReset => Err(error),
            _ => Ok(read),
        }
    }
}

impl Drop for FloodClient {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}
