//! Many clients at once, all driven by one thread.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Pause after each round of writes.
const ROUND_PAUSE: Duration = Duration::from_millis(1);

/// Time without progress of any client after which a crowd is settled.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Longest time for which a crowd runs, also if it still makes progress.
const MAX_RUN_TIME: Duration = Duration::from_secs(20);

/// Time between two reads of a client that reads slowly.
const SLOW_READ_PERIOD: Duration = Duration::from_secs(1);

/// What a client does with the responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reading {
    /// Reads nothing.
    Nothing,
    /// Reads one byte a second.
    Slow,
}

/// What each client of a crowd sends.
#[derive(Debug, Clone)]
pub(super) struct Script {
    /// Sent once.
    pub(super) start: Vec<u8>,
    /// Sent after the start, `repeats` times.
    pub(super) unit: Vec<u8>,
    pub(super) repeats: usize,
    /// Sent after the units by the few clients that finish their request.
    pub(super) end: Vec<u8>,
    /// One client in this many finishes its request. 1 stands for all, 0 for none.
    pub(super) finishing: usize,
    /// Most bytes of a write.
    pub(super) piece_bytes: usize,
    pub(super) reading: Reading,
    /// How often a client whose connection is closed connects again.
    pub(super) reconnects: usize,
}

impl Script {
    /// Creates a script that sends `start` in one piece and stays open.
    pub(super) fn new(start: impl Into<Vec<u8>>) -> Self {
        Self {
            start: start.into(),
            unit: Vec::new(),
            repeats: 0,
            end: Vec::new(),
            finishing: 0,
            piece_bytes: usize::MAX,
            reading: Reading::Nothing,
            reconnects: 0,
        }
    }

    /// Repeats `unit` after the start. The number of repeats may exceed what any client gets to send.
    pub(super) fn with_units(mut self, unit: impl Into<Vec<u8>>, repeats: usize) -> Self {
        self.unit = unit.into();
        self.repeats = repeats;
        self
    }

    /// Ends the request of one client in `finishing` with `end`.
    pub(super) fn with_end(mut self, end: impl Into<Vec<u8>>, finishing: usize) -> Self {
        self.end = end.into();
        self.finishing = finishing;
        self
    }

    pub(super) fn with_pieces(mut self, piece_bytes: usize) -> Self {
        self.piece_bytes = piece_bytes;
        self
    }

    pub(super) fn with_reading(mut self, reading: Reading) -> Self {
        self.reading = reading;
        self
    }

    pub(super) fn with_reconnects(mut self, reconnects: usize) -> Self {
        self.reconnects = reconnects;
        self
    }

    /// Returns the next bytes of the client `number` after `offset` bytes.
    fn next(&self, number: usize, offset: usize) -> &[u8] {
        let units_bytes = self.unit.len().saturating_mul(self.repeats);
        let rest = if offset < self.start.len() {
            &self.start[offset..]
        } else if offset - self.start.len() < units_bytes {
            &self.unit[(offset - self.start.len()) % self.unit.len()..]
        } else if self.finishing > 0 && number.is_multiple_of(self.finishing) {
            let sent = offset - self.start.len() - units_bytes;
            &self.end[sent.min(self.end.len())..]
        } else {
            &[]
        };
        &rest[..rest.len().min(self.piece_bytes)]
    }
}

struct CrowdClient {
    number: usize,
    /// `None` once the instance has closed the connection.
    socket: Option<TcpStream>,
    offset: usize,
    reconnects: usize,
    read_at: Instant,
}

impl CrowdClient {
    fn new(number: usize, address: SocketAddr, script: &Script) -> Self {
        Self {
            number,
            socket: connect(address),
            offset: 0,
            reconnects: script.reconnects,
            read_at: Instant::now(),
        }
    }

    /// Writes the next piece. Returns how many bytes were sent.
    fn advance(&mut self, address: SocketAddr, script: &Script, shared: &Shared) -> usize {
        let Some(socket) = &mut self.socket else {
            return 0;
        };
        if script.reading == Reading::Slow && self.read_at.elapsed() >= SLOW_READ_PERIOD {
            self.read_at = Instant::now();
            if matches!(socket.read(&mut [0]), Ok(1)) {
                *shared.progressed.lock().unwrap() = self.read_at;
            }
        }
        let next = script.next(self.number, self.offset);
        let written = match next {
            [] => return 0,
            next => socket.write(next),
        };
        match written {
            Ok(count) => {
                self.offset += count;
                count
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                self.socket = None;
                if self.reconnects > 0 {
                    self.reconnects -= 1;
                    self.offset = 0;
                    self.socket = connect(address);
                    shared.connections.fetch_add(1, Ordering::Relaxed);
                }
                0
            }
        }
    }
}

/// Opens a connection whose writes do not block.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpStream::connect(address).ok()?;
    socket.set_nonblocking(true).ok()?;
    socket.set_nodelay(true).ok()?;
    Some(socket)
}

struct Shared {
    sent_bytes: AtomicU64,
    connections: AtomicU64,
    /// Whether each client has connected. The kernel delays handshakes that exceed the backlog.
    is_connected: AtomicBool,
    is_stopped: AtomicBool,
    started: Instant,
    progressed: Mutex<Instant>,
}

/// Clients that follow the same script. Their connections stay open until the crowd is dropped.
pub(super) struct Crowd {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Connects the clients and starts to send. Each round of writes sends one piece of each client.
    pub(super) fn start(address: SocketAddr, count: usize, script: Script) -> Self {
        let shared = Arc::new(Shared {
            sent_bytes: AtomicU64::new(0),
            connections: AtomicU64::new(count as u64),
            is_connected: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            started: Instant::now(),
            progressed: Mutex::new(Instant::now()),
        });
        let sending = Arc::clone(&shared);
        let thread = std::thread::spawn(move || {
            let connect = |number| CrowdClient::new(number, address, &script);
            let mut clients: Vec<_> = (0..count).map(connect).collect();
            *sending.progressed.lock().unwrap() = Instant::now();
            sending.is_connected.store(true, Ordering::SeqCst);
            while !sending.is_stopped.load(Ordering::Relaxed) {
                let advance = |client: &mut CrowdClient| client.advance(address, &script, &sending);
                let sent: usize = clients.iter_mut().map(advance).sum();
                if sent > 0 {
                    sending.sent_bytes.fetch_add(sent as u64, Ordering::Relaxed);
                    *sending.progressed.lock().unwrap() = Instant::now();
                }
                std::thread::sleep(ROUND_PAUSE);
            }
        });
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Whether no client makes progress any more, or the crowd has run for long enough.
    pub(super) fn is_settled(&self) -> bool {
        let progressed = *self.shared.progressed.lock().unwrap();
        let is_idle =
            self.shared.is_connected.load(Ordering::SeqCst) && progressed.elapsed() > SETTLE_TIME;
        is_idle || self.shared.started.elapsed() > MAX_RUN_TIME
    }

    pub(super) fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Number of connections that the clients have opened.
    pub(super) fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
