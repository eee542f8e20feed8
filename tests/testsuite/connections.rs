//! Connections of clients that are kept alive.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, pending, ready};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use jujubelink::core::connection::{
    KnownLimits, LimitHistory, Wait, WaitDecision, WaitKind, WaitLimits,
};
use jujubelink::util::http::{
    Body, ConnectionEnd, Handler, ServerOptions, empty, serve_connection,
};
use jujubelink::util::net::{Listener, Stream};

use crate::support::run;

#[derive(Clone)]
struct Succeed {
    known: Rc<Cell<KnownLimits>>,
    /// How connections ended.
    ends: Rc<RefCell<Vec<String>>>,
}

impl Succeed {
    fn new(limits: WaitLimits) -> Self {
        Self {
            known: Rc::new(Cell::new(KnownLimits::fixed(limits))),
            ends: Rc::default(),
        }
    }
}

impl Handler for Succeed {
    fn handle(self, _: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        ready(Response::new(empty()))
    }

    fn known_limits(&self) -> KnownLimits {
        self.known.get()
    }

    fn on_end(&self, end: &ConnectionEnd<'_>) {
        self.ends.borrow_mut().push(end.to_string());
    }
}

/// Serves one connection. Returns the address to connect to.
fn serve_one(handler: Succeed) -> SocketAddr {
    let listener = Listener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    compio::runtime::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_connection(stream, handler, ServerOptions::default(), pending()).await
    })
    .detach();
    address
}

fn limits(header_ms: u64, idle_ms: u64) -> WaitLimits {
    WaitLimits {
        header_timeout: Duration::from_millis(header_ms),
        idle_timeout: Duration::from_millis(idle_ms),
    }
}

fn known(limits: WaitLimits, age_ms: Option<u64>) -> KnownLimits {
    KnownLimits {
        limits,
        age: age_ms.map(Duration::from_millis),
        is_crowded: false,
    }
}

/// Guards against a connection that is closed while its client may still use it: a request that crosses
/// the close is lost.
#[test]
fn connections_may_be_idle_for_longer_than_a_head_may_take() {
    run(async {
        let address = serve_one(Succeed::new(limits(200, 60_000)));
        let stream = Stream::connect(address).await.unwrap();
        let (mut sender, connection) = http1::handshake(stream).await.unwrap();
        compio::runtime::spawn(connection).detach();
        for _ in 0..2 {
            let request = Request::get("/").header("host", "h").body(empty()).unwrap();
            let response = sender.send_request(request).await.unwrap();
            assert_eq!(response.status(), 200);
            compio::time::sleep(Duration::from_millis(600)).await;
        }
    });
}

/// Guards against limits that stay as they were when the connection was opened, and against closing a
/// connection on the strength of limits that may be outdated.
#[test]
fn open_connections_follow_the_limits() {
    run(async {
        /// What holds while the connection is idle for 1 s, and whether it is then open.
        type Row = (&'static str, KnownLimits, KnownLimits, bool);
        let (short, long) = (limits(100, 300), limits(100, 60_000));
        let rows: [Row; 5] = [
            (
                "unchanged",
                known(short, Some(0)),
                known(short, Some(0)),
                false,
            ),
            ("raised", known(short, Some(0)), known(long, Some(0)), true),
            ("lowered", known(long, Some(0)), known(short, Some(0)), true),
            (
                "not proved",
                known(short, Some(0)),
                known(short, Some(60_000)),
                true,
            ),
            ("unknown", known(short, None), known(short, None), true),
        ];
        for (what, before, after, is_open) in rows {
            let handler = Succeed::new(before.limits);
            handler.known.set(before);
            let address = serve_one(handler.clone());
            let stream = Stream::connect(address).await.unwrap();
            let (mut sender, connection) = http1::handshake(stream).await.unwrap();
            compio::runtime::spawn(connection).detach();
            let send = |sender: &mut http1::SendRequest<Body>| {
                let request = Request::get("/").header("host", "h").body(empty()).unwrap();
                sender.send_request(request)
            };
            assert_eq!(send(&mut sender).await.unwrap().status(), 200, "{what}");
            handler.known.set(after);
            compio::time::sleep(Duration::from_millis(1_000)).await;
            assert_eq!(send(&mut sender).await.is_ok(), is_open, "{what}");
        }
    });
}

/// Guards against a request that arrives in time, but is cut because the process was stalled when it
/// arrived and finds the end of the wait first.
#[test]
fn requests_that_arrive_while_the_process_is_stalled_are_read() {
    run(async {
        let head = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        let (first, rest) = head.split_at(10);
        for (parts, limits) in [
            (["", head], limits(50, 450)),
            ([first, rest], limits(500, 60_000)),
        ] {
            for _ in 0..10 {
                let address = serve_one(Succeed::new(limits));
                let mut client = TcpStream::connect(address).unwrap();
                client.write_all(parts[0].as_bytes()).unwrap();
                compio::time::sleep(Duration::from_millis(400)).await;
                client.write_all(parts[1].as_bytes()).unwrap();
                // Nothing else runs on the thread meanwhile.
                std::thread::sleep(Duration::from_millis(400));
                compio::time::sleep(Duration::from_millis(100)).await;
                let mut response = [0; 12];
                client.set_nonblocking(true).unwrap();
                let read = client.read(&mut response);
                assert_eq!(read.ok(), Some(12), "{parts:?}");
                assert_eq!(&response, b"HTTP/1.1 200");
            }
        }
    });
}

/// A client whose bytes are found only some time after it has sent them.
struct LateBytes {
    /// Parts of what the client sends, with the time at which each is found.
    parts: VecDeque<(Instant, &'static str)>,
    received: Rc<RefCell<Vec<u8>>>,
    wake: Pin<Box<dyn Future<Output = ()>>>,
}

impl LateBytes {
    fn new(parts: impl IntoIterator<Item = (Instant, &'static str)>) -> Self {
        Self {
            parts: parts.into_iter().collect(),
            received: Rc::default(),
            wake: Box::pin(pending()),
        }
    }
}

impl hyper::rt::Read for LateBytes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Some((found_at, part)) = self.parts.front().copied() else {
            return Poll::Pending;
        };
        if Instant::now() < found_at {
            self.wake = Box::pin(compio::time::sleep_until(found_at));
            if self.wake.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let (now, later) = part.split_at(part.len().min(buffer.remaining()));
        buffer.put_slice(now.as_bytes());
        match later.is_empty() {
            true => drop(self.parts.pop_front()),
            false => self.parts[0].1 = later,
        }
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for LateBytes {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.received.borrow_mut().extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a close before bytes that have arrived are found, as the end of the wait is found first.
#[test]
fn a_connection_is_read_once_more_before_it_is_closed() {
    run(async {
        let head = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        let (first, rest) = head.split_at(10);
        for (has_begun, limits) in [(false, limits(50, 450)), (true, limits(500, 60_000))] {
            let began_at = Instant::now();
            // The wait is over after 500 ms.
            let late = began_at + Duration::from_millis(520);
            let client = match has_begun {
                false => LateBytes::new([(late, head)]),
                true => LateBytes::new([(began_at, first), (late, rest)]),
            };
            let received = Rc::clone(&client.received);
            let handler = Succeed::new(limits);
            let served = serve_connection(client, handler, ServerOptions::default(), pending());
            let _ = compio::time::timeout(Duration::from_millis(800), served).await;
            let received = String::from_utf8(received.take()).unwrap();
            assert!(
                received.starts_with("HTTP/1.1 200"),
                "{has_begun}: {received:?}"
            );
        }
    });
}

/// Guards against a head that is cut by the time that its connection was idle, and against one without
/// end.
#[test]
fn the_time_for_a_head_counts_from_its_first_byte() {
    run(async {
        let address = serve_one(Succeed::new(limits(500, 700)));
        let mut client = TcpStream::connect(address).unwrap();
        compio::time::sleep(Duration::from_millis(900)).await;
        client.write_all(b"GET / HTTP/1.1\r\n").unwrap();
        compio::time::sleep(Duration::from_millis(400)).await;
        client.write_all(b"host: h\r\n\r\n").unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        let mut response = [0; 1024];
        client.set_nonblocking(true).unwrap();
        let count = client.read(&mut response).unwrap();
        assert!(response[..count].starts_with(b"HTTP/1.1 200"));
        client.write_all(b"GET / HTTP/1.1\r\n").unwrap();
        compio::time::sleep(Duration::from_millis(900)).await;
        let is_closed = matches!(client.read(&mut response), Ok(0))
            || client
                .read(&mut response)
                .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
        assert!(is_closed, "the head may take for ever");
    });
}

/// Guards against a connection without a request that stays open although it has been idle for too long.
#[test]
fn connections_without_a_request_are_closed() {
    run(async {
        for sent in ["", "\r\n"] {
            let handler = Succeed::new(limits(100, 200));
            let address = serve_one(handler.clone());
            let mut client = TcpStream::connect(address).unwrap();
            client.write_all(sent.as_bytes()).unwrap();
            compio::time::sleep(Duration::from_millis(600)).await;
            client.set_nonblocking(true).unwrap();
            assert_eq!(client.read(&mut [0; 8]).ok(), Some(0), "{sent:?}");
            assert_eq!(*handler.ends.borrow(), ["idle for more than 300 ms"]);
        }
    });
}

/// Guards against a connection that ends within the head of a request without a record.
#[test]
fn ends_within_a_head_are_reported() {
    run(async {
        let rows = [
            (
                "GET / HTTP/1.1\r\nhost",
                false,
                "no whole head after 200 ms",
            ),
            (
                "GET / HTTP/1.1\r\nhost",
                true,
                "connection closed before message completed",
            ),
            (
                "\u{1} / HTTP/1.1\r\n\r\n",
                false,
                "invalid HTTP method parsed",
            ),
        ];
        for (sent, is_closed, expected) in rows {
            let handler = Succeed::new(limits(200, 60_000));
            let address = serve_one(handler.clone());
            let mut client = TcpStream::connect(address).unwrap();
            client.write_all(sent.as_bytes()).unwrap();
            compio::time::sleep(Duration::from_millis(50)).await;
            if is_closed {
                client.shutdown(Shutdown::Write).unwrap();
            }
            compio::time::sleep(Duration::from_millis(400)).await;
            assert_eq!(*handler.ends.borrow(), [expected]);
        }
    });
}

/// Guards against a wait that ends by a limit which a client need not know, and against one without end.
#[test]
fn waits_end_by_the_longest_limit_that_a_client_may_know() {
    let (short, long) = (limits(1_000, 15_000), limits(2_000, 40_000));
    let seconds = Duration::from_secs;
    let check = |began_under: &WaitLimits, kind, elapsed_s, known: &KnownLimits| {
        Wait::new(kind, began_under).check(seconds(elapsed_s), known)
    };
    use WaitDecision::{Close, Wait as Continue};
    use WaitKind::{Head, Request};
    let rows = [
        (
            "unchanged, in time",
            short,
            Request,
            15,
            known(short, Some(0)),
            Continue(seconds(1)),
        ),
        (
            "unchanged, over",
            short,
            Request,
            16,
            known(short, Some(0)),
            Close,
        ),
        (
            "raised",
            short,
            Request,
            16,
            known(long, Some(0)),
            Continue(seconds(26)),
        ),
        (
            "raised, over",
            short,
            Request,
            42,
            known(long, Some(0)),
            Close,
        ),
        (
            "lowered",
            long,
            Request,
            16,
            known(short, Some(0)),
            Continue(seconds(26)),
        ),
        (
            "head, raised",
            short,
            Head,
            1,
            known(long, Some(0)),
            Continue(seconds(1)),
        ),
        (
            "head, lowered",
            long,
            Head,
            1,
            known(short, Some(0)),
            Continue(seconds(1)),
        ),
        ("head, over", long, Head, 2, known(short, Some(0)), Close),
        (
            "proved before the end",
            short,
            Request,
            20,
            known(short, Some(4_001)),
            Continue(seconds(2)),
        ),
        (
            "proved at the end",
            short,
            Request,
            20,
            known(short, Some(4_000)),
            Close,
        ),
        (
            "never proved",
            short,
            Request,
            3_600,
            known(short, None),
            Continue(seconds(15)),
        ),
    ];
    for (what, began_under, kind, elapsed_s, known, expected) in rows {
        let decision = check(&began_under, kind, elapsed_s, &known);
        assert_eq!(decision, expected, "{what}");
    }
    let crowded = KnownLimits {
        is_crowded: true,
        ..known(short, None)
    };
    assert_eq!(check(&short, Request, 16, &crowded), Close);
    assert_eq!(check(&short, Request, 15, &crowded), Continue(seconds(1)));
}

/// Guards against a new wait under limits that a client which learns late does not know yet.
#[test]
fn lowered_limits_apply_once_all_clients_know_them() {
    let (short, long, other) = (
        limits(1_000, 15_000),
        limits(500, 40_000),
        limits(2_000, 1_000),
    );
    let seconds = Duration::from_secs;
    let mut history = LimitHistory::new(short, seconds(3));
    history.on_limits(long, seconds(10));
    assert_eq!(history.limits(seconds(10)), limits(1_000, 40_000));
    assert_eq!(history.limits(seconds(13)), long);
    history.on_limits(short, seconds(20));
    history.on_limits(other, seconds(21));
    assert_eq!(history.limits(seconds(23)), limits(2_000, 40_000));
    assert_eq!(history.limits(seconds(24)), other);
}

/// Guards against a bound of the configuration that stays as it was at the start of the process.
#[test]
fn a_changed_change_time_applies_to_later_changes() {
    let (short, long) = (limits(1_000, 15_000), limits(1_000, 40_000));
    let seconds = Duration::from_secs;
    let mut history = LimitHistory::new(long, seconds(2));
    history.set_change_time(seconds(5));
    history.on_limits(short, seconds(10));
    assert_eq!(history.limits(seconds(14)), long);
    assert_eq!(history.limits(seconds(15)), short);
}

/// Guards against a connection that is closed under a client which believes in a raise that was superseded
/// before the instance read it.
#[test]
fn a_version_that_was_not_read_may_have_raised_the_limits() {
    let seconds = Duration::from_secs;
    let mut history = LimitHistory::new(limits(1_000, 15_000), seconds(2));
    history.on_version(7, seconds(1));
    history.on_version(8, seconds(10));
    assert!(!history.may_have_skipped(seconds(10)));
    history.on_version(10, seconds(20));
    assert!(history.may_have_skipped(seconds(21)));
    assert!(!history.may_have_skipped(seconds(22)));
    history.on_version(10, seconds(23));
    assert!(!history.may_have_skipped(seconds(23)));
}
