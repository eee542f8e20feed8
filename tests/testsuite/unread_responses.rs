//! Memory for responses that clients do not read, and for HTTP/2.

use std::cell::Cell;
use std::future::{Future, pending, ready};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::stream;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use jujubelink::core::capacity::{Grant, Ledger, Owner};
use jujubelink::util::http::{
    Body, BodyError, Handler, LocalExecutor, ServerOptions, empty, serve_connection,
};
use jujubelink::util::memory_budget::{MemoryBudget, Reservation};
use jujubelink::util::net::{Listener, Stream};

use crate::endless_bytes::site::Site;
use crate::support::http2::{
    END_HEADERS, END_STREAM, HEADERS, HTTP2_PREFACE, SETTINGS, http2_frame,
};
use crate::support::{Flood, WAIT_TIMEOUT, eventually, run};

const FRAME_BYTES: usize = 16 * 1024;

/// Frames of a response, which exceeds what the kernel holds for a connection.
const FRAMES: usize = 4_000;

/// Bytes that a client reads before it stops again. They are more than the kernel frees at once.
const READ_BYTES: usize = 8 << 20;

/// Time without a further frame after which a response counts as held back.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Answers each request with [`FRAMES`] frames and counts those that are read.
#[derive(Clone)]
struct LongResponses {
    budget: MemoryBudget,
    frames_read: Rc<Cell<usize>>,
    held_back: Rc<Cell<usize>>,
}

impl LongResponses {
    fn new(memory_bytes: usize) -> Self {
        Self {
            budget: MemoryBudget::new(memory_bytes),
            frames_read: Rc::default(),
            held_back: Rc::default(),
        }
    }

    /// Serves one connection and returns its client, which has sent `bytes`.
    async fn connect(&self, options: ServerOptions, bytes: &[u8]) -> TcpStream {
        let listener = Listener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let handler = self.clone();
        compio::runtime::spawn(serve_connection(stream, handler, options, pending())).detach();
        client.write_all(bytes).unwrap();
        client
    }

    /// Waits until no further frames are read, and returns their number.
    async fn wait_quiet(&self) -> usize {
        let last = Cell::new((self.frames_read.get(), Instant::now()));
        eventually("no further frames are read", || async {
            let read = self.frames_read.get();
            if read != last.get().0 {
                last.set((read, Instant::now()));
            }
            (read > 0 && last.get().1.elapsed() > QUIET_TIME).then_some(read)
        })
        .await
    }
}

impl Handler for LongResponses {
    fn handle(self, _: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        let frames = stream::unfold(0, move |sent| {
            self.frames_read
                .set(self.frames_read.get() + usize::from(sent < FRAMES));
            let frame = (sent < FRAMES).then(|| {
                let frame = Frame::data(Bytes::from(vec![b'x'; FRAME_BYTES]));
                (Ok::<_, BodyError>(frame), sent + 1)
            });
            ready(frame)
        });
        let body: Body = Box::pin(StreamBody::new(frames));
        ready(Response::new(body))
    }

    fn begin_response(&self) -> Option<Reservation> {
        let reservation = self.budget.begin(Owner::default());
        reservation.complete();
        Some(reservation)
    }

    fn on_held_back(&self) {
        self.held_back.set(self.held_back.get() + 1);
    }
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

/// Reads [`READ_BYTES`] of a response.
async fn read_part(mut client: TcpStream) -> TcpStream {
    let reading = std::thread::spawn(move || {
        client.read_exact(&mut vec![0; READ_BYTES]).unwrap();
        client
    });
    eventually("a part is read", || async {
        reading.is_finished().then_some(())
    })
    .await;
    reading.join().unwrap()
}

/// Reads a response to its end, and returns its size.
async fn read_all(mut client: TcpStream) -> usize {
    let reading = std::thread::spawn(move || {
        let mut received = Vec::new();
        client.read_to_end(&mut received).unwrap();
        received.len()
    });
    eventually("the response ends", || async {
        reading.is_finished().then_some(())
    })
    .await;
    reading.join().unwrap()
}

/// Guards against unread responses that count against no bound, and against ones that stay charged once they are
/// read.
#[test]
fn unread_responses_are_charged_until_they_are_read() {
    run(async {
        let server = LongResponses::new(1_000_000);
        let client = server.connect(ServerOptions::default(), REQUEST).await;
        server.wait_quiet().await;
        let held = server.budget.held_bytes();
        assert!((FRAME_BYTES..1_000_000).contains(&held), "{held} bytes");
        assert!(read_all(client).await > FRAMES * FRAME_BYTES);
        eventually("nothing is charged", || async {
            (server.budget.held_bytes() == 0).then_some(())
        })
        .await;
        assert_eq!(server.frames_read.get(), FRAMES);
    });
}

/// Guards against a response that is read further although no memory is left, that takes the memory of bodies
/// which arrive, or that does not go on once its client reads it.
#[test]
fn responses_are_held_back_without_memory() {
    run(async {
        let server = LongResponses::new(200_000);
        let body = server.budget.begin(Owner::default());
        assert!(body.grow(140_000));
        let client = server.connect(ServerOptions::default(), REQUEST).await;
        server.wait_quiet().await;
        // A client that takes a part shows whether more than that part is read for it.
        let client = read_part(client).await;
        server.wait_quiet().await;
        assert!(server.held_back.get() > 0);
        let held = server.budget.held_bytes();
        assert!((140_000..=150_000).contains(&held), "{held} bytes");
        assert!(READ_BYTES + read_all(client).await > FRAMES * FRAME_BYTES);
        assert_eq!(server.budget.held_bytes(), 140_000);
    });
}

/// Guards against charges for responses that end transfers, or that take what is left to small ones.
#[test]
fn memory_that_is_taken_as_far_as_it_is_left_ends_nothing() {
    let mut ledger = Ledger::new(1_000);
    let start = Duration::ZERO;
    let (body, response) = (
        ledger.begin(Owner::default(), start),
        ledger.begin(Owner::default(), start),
    );
    assert_eq!(
        ledger.grow(body, 700, start),
        Grant::Granted { ended: vec![] }
    );
    assert!(!ledger.grow_if_free(response, 51));
    assert!(ledger.grow_if_free(response, 50));
    assert_eq!(ledger.held_bytes(), 750);
    ledger.end(response);
    assert_eq!(ledger.held_bytes(), 700);
    assert!(!ledger.grow_if_free(response, 1));
}

/// Guards against streams whose windows are open and whose connection is not read, each of which would hold a large
/// send buffer.
#[test]
fn unread_http2_streams_hold_little() {
    const STREAMS: u32 = 100;
    /// What the kernel takes from a connection that is not read.
    const KERNEL_BYTES: usize = 8 << 20;
    run(async {
        let server = LongResponses::new(1_000_000);
        let mut bytes = HTTP2_PREFACE.to_vec();
        let largest_window = (i32::MAX as u32).to_be_bytes();
        bytes.extend(http2_frame(
            SETTINGS,
            0,
            0,
            &[&[0, 4], &largest_window[..]].concat(),
        ));
        let increment = (i32::MAX as u32 - 65_535).to_be_bytes();
        bytes.extend(http2_frame(8, 0, 0, &increment));
        for stream in 0..STREAMS {
            // `:method: GET`, `:scheme: http`, `:path: /` and `:authority: h`.
            let flags = END_HEADERS | END_STREAM;
            let head = b"\x82\x86\x84\x41\x01h";
            bytes.extend(http2_frame(HEADERS, flags, 2 * stream + 1, head));
        }
        let options = ServerOptions {
            send_buffer_bytes: FRAME_BYTES,
            ..ServerOptions::default()
        };
        let _client = server.connect(options, &bytes).await;
        let read = server.wait_quiet().await * FRAME_BYTES;
        let limit = KERNEL_BYTES + STREAMS as usize * 3 * FRAME_BYTES;
        assert!(read < limit, "{read} bytes are held, limit {limit}");
    });
}

/// Guards against HTTP/2 requests that are not counted against the memory for clients, that are refused without
/// saying when to come again, or whose memory stays charged after they have ended.
#[test]
fn http2_requests_are_refused_without_memory() {
    run(async {
        let site = Site::start_with("[machine]\nclient_memory_mb = 1\n").await;
        let silence = Flood::new("silence", "", "x").with_silence(WAIT_TIMEOUT);
        site.proxy_of("/read/x").set_flood(Some(silence));
        let address = site.instance.client_address;
        let stream = Stream::connect(address).await.unwrap();
        let (sender, connection) = http2::handshake(LocalExecutor, stream).await.unwrap();
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        let send = |number: usize, path: &str| {
            let request = Request::get(format!("http://shop.example{path}"))
                .header("jujubelink-attempt-id", format!("h2-{number}"))
                .header("jujubelink-deadline-ms", "2000")
                .body(empty())
                .unwrap();
            let mut sender = sender.clone();
            async move {
                let (head, body) = sender.send_request(request).await.unwrap().into_parts();
                let body = body.collect().await.unwrap().to_bytes();
                (head, String::from_utf8_lossy(&body).into_owned())
            }
        };
        let responses = join_all((0..60).map(|number| send(number, "/read/x"))).await;
        let of_memory = |body: &str| body.contains("no memory is left for the stream");
        let refused: Vec<_> = responses
            .iter()
            .filter(|(_, body)| of_memory(body))
            .collect();
        // 32 KiB of three quarters of 1 MB are charged for each request.
        let served = (1_000_000 / 4 * 3) / (32 * 1024);
        assert_eq!(refused.len(), 60 - served);
        for (head, _) in refused {
            assert_eq!(head.status, 503);
            assert!(head.headers.contains_key("retry-after"));
        }
        eventually("requests are served", || async {
            let responses = join_all((100..110).map(|number| send(number, "/other/x"))).await;
            let mut heads = responses.iter().map(|(head, _)| head);
            heads.all(|head| head.status == 200).then_some(())
        })
        .await;
    });
}
