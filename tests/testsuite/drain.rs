//! Planned stops of an instance under load.

use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{AsyncReadExt, AsyncWriteExt};
use http::Request;
use hyper::client::conn::http1;
use jujubelink::util::http::{Client, RequestOptions, collect_limited, full};
use jujubelink::util::net::{Listener, Stream};
use jujubelink_standins::engine::generated_text;

use crate::support::{
    Fleet, Instance, KEY, TestResponse, canonical_chat_prompt, chat_body, chat_request, eventually,
    run, send, stream_text,
};

/// Guards against a planned stop that interrupts requests. Streams that run when it begins, and requests
/// on connections that are kept alive, have to get complete responses. A second SIGTERM changes nothing.
#[test]
fn a_stop_under_load_interrupts_no_request() {
    run(async {
        let fleet = Rc::new(Fleet::new(2));
        let mut instance = fleet.start_instance().await;
        let address = instance.client_address;
        let streams: Vec<_> = (0..20)
            .map(|number| {
                compio::runtime::spawn(async move {
                    let prompt = format!("verse {number}");
                    let response =
                        send(address, chat_request(), Some(chat_body(&prompt, 150, true))).await;
                    let expected = generated_text(&canonical_chat_prompt(&prompt), 150);
                    assert_eq!(stream_text(&response), expected);
                })
            })
            .collect();
        let served_count = Rc::new(Cell::new(0));
        let callers: Vec<_> = (0..8)
            .map(|_| {
                let served_count = Rc::clone(&served_count);
                compio::runtime::spawn(call_until_refused(address, served_count))
            })
            .collect();
        fleet.running_engine(50).await;
        eventually("plain requests are served", || async {
            (served_count.get() > 50).then_some(())
        })
        .await;
        let threads = std::fs::read_dir(format!("/proc/{}/task", instance.pid())).unwrap();
        assert_eq!(threads.count(), 1);
        instance.terminate();
        instance.terminate();
        for stream in streams {
            stream.await.unwrap();
        }
        for caller in callers {
            caller.await.unwrap();
        }
        let status = eventually("the instance stops", || {
            let status = instance.exit_status();
            async move { status }
        })
        .await;
        assert!(status.success());
    });
}

/// Calls a plain route over kept-alive connections until the listener is closed.
async fn call_until_refused(address: SocketAddr, served_count: Rc<Cell<u32>>) {
    let client = Client::new();
    loop {
        let request = Request::post("/shop/orders")
            .header("host", "shop")
            .header("x-api-key", KEY)
            .body(full("x"))
            .unwrap();
        let options = RequestOptions::default();
        match client.send_or_return(address, request, options).await {
            Ok(response) => {
                assert_eq!(response.status(), 200);
                let body = collect_limited(response.into_body(), 1 << 20)
                    .await
                    .unwrap();
                assert!(body.is_some());
                served_count.set(served_count.get() + 1);
            }
            Err(failure) => {
                let error = failure.error;
                assert!(
                    failure.unsent.is_some(),
                    "a request was interrupted: {error:?}"
                );
                return;
            }
        }
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a reset of connections whose handshake completes between the last accept and the end
/// of the listener: their clients may have sent a request by then. Once handshakes are ignored, no
/// further one may complete, and connections from before must still be accepted.
#[test]
fn a_stopping_listener_resets_no_connection() {
    run(async {
        let listener = Listener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let mut earlier = TcpStream::connect(address).unwrap();
        earlier.write_all(b"x").unwrap();
        listener.ignore_handshakes().unwrap();
        let (mut accepted, _) = listener.accept().await.unwrap();
        // The backlog is empty, as it is after the last accept of a stop.
        for _ in 0..3 {
            let later = TcpStream::connect_timeout(&address, Duration::from_millis(100));
            assert_eq!(later.unwrap_err().kind(), ErrorKind::TimedOut);
        }
        assert!(listener.stop().unwrap().is_empty());
        let refused = TcpStream::connect(address).unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        let mut received = [0];
        accepted.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"x");
        accepted.write_all(b"y").await.unwrap();
        earlier.read_exact(&mut received).unwrap();
        assert_eq!(&received, b"y");
    });
}

/// Waits until the notice to the load balancer has ended, from which on idle connections are closed.
async fn until_connections_close(instance: &Instance) {
    eventually("new connections are not accepted", || async {
        let limit = Duration::from_millis(20);
        TcpStream::connect_timeout(&instance.client_address, limit).err()
    })
    .await;
}

fn plain_request() -> String {
    format!(
        "POST /shop/orders HTTP/1.1\r\nhost: shop\r\nx-api-key: {KEY}\r\ncontent-length: 1\r\n\r\nx"
    )
}

fn write_request(mut connection: &TcpStream) {
    connection.write_all(plain_request().as_bytes()).unwrap();
}

/// Reads until the instance closes the connection.
async fn read_to_close(connection: TcpStream) -> String {
    let mut received = Vec::new();
    Stream::new(connection)
        .unwrap()
        .read_to_end(&mut received)
        .await
        .unwrap();
    String::from_utf8(received).unwrap()
}

/// Guards against closing a kept connection while its client sends the next request: the client has not
/// been told to open a new connection.
#[test]
fn a_stop_serves_a_request_on_a_kept_connection() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        let connection = TcpStream::connect(instance.client_address).unwrap();
        write_request(&connection);
        let stream = Stream::new(connection.try_clone().unwrap()).unwrap();
        read_response(stream).await;
        instance.terminate();
        until_connections_close(&instance).await;
        write_request(&connection);
        let response = read_to_close(connection).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.contains("connection: close"), "{response}");
    });
}

/// Guards against closing a new connection whose first request has arrived but was not read yet: a stall
/// of the instance must not use up the time that the client has for it.
#[test]
fn a_stop_serves_a_first_request_that_waits() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        let connection = TcpStream::connect(instance.client_address).unwrap();
        // Answered on a later connection, so that the first one has been accepted.
        send(instance.client_address, Request::get("/readyz"), None).await;
        instance.terminate();
        until_connections_close(&instance).await;
        instance.pause();
        write_request(&connection);
        compio::time::sleep(Duration::from_millis(1_000)).await;
        instance.resume();
        let response = read_to_close(connection).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    });
}

/// Reads a response of a plain route, whose length is stated.
async fn read_response(mut stream: Stream) -> String {
    let mut received = String::new();
    loop {
        let mut chunk = [0; 1024];
        let count = stream.read(&mut chunk).await.unwrap();
        assert_ne!(count, 0, "closed after: {received}");
        received.push_str(std::str::from_utf8(&chunk[..count]).unwrap());
        if let Some((head, body)) = received.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .unwrap();
            if body.len() >= length.parse::<usize>().unwrap() {
                return received;
            }
        }
    }
}

/// Guards against an instance that ends while a client still sends a request: the rest of its head may
/// come at any time within the limit for heads.
#[test]
fn a_stop_serves_a_request_whose_head_arrives_slowly() {
    run(async {
        let fleet = Fleet::new(1);
        let mut instance = fleet.start_instance().await;
        let mut connection = TcpStream::connect(instance.client_address).unwrap();
        let request = plain_request();
        let (first, rest) = request.split_at(request.len() / 2);
        connection.write_all(first.as_bytes()).unwrap();
        instance.terminate();
        until_connections_close(&instance).await;
        compio::time::sleep(Duration::from_millis(2_500)).await;
        connection.write_all(rest.as_bytes()).unwrap();
        let response = read_to_close(connection).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        let status = eventually("the instance stops", || {
            let status = instance.exit_status();
            async move { status }
        })
        .await;
        assert!(status.success());
    });
}

/// Settings of a stop with a limit that the streams of [`stream_until_closed`] observe only if none is
/// taken after the second one. At the limit an error is logged.
const LIMITED_STOP: &str =
    "[stop]\nbalancer_notice_ms = 100\ndrain_limit_ms = 10000\n[log]\nlevel = \"error\"\n";

/// Output tokens of the streams of [`stream_until_closed`]. The second stream runs when the stop begins,
/// for longer than connections take requests. A third one would run for longer than the stop.
const STREAM_TOKENS: [u64; 3] = [5, 1_000, 6_000];

/// Numbers of responses whose head has arrived, and of those that are complete.
#[derive(Default)]
struct Streams {
    begun: Cell<u64>,
    complete: Cell<u64>,
}

/// Requests streams on one connection, each as soon as the last one is complete, until the instance
/// closes the connection. Each response that begins has to be complete.
async fn stream_until_closed(address: SocketAddr, client: usize, streams: Rc<Streams>) {
    let stream = Stream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(stream).await.unwrap();
    compio::runtime::spawn(connection).detach();
    for number in 0.. {
        if sender.ready().await.is_err() {
            return;
        }
        let prompt = format!("verse {number} of {client}");
        let tokens = STREAM_TOKENS[number.min(STREAM_TOKENS.len() - 1)];
        let request = chat_request()
            .header("host", "shop")
            .body(full(chat_body(&prompt, tokens, true)))
            .unwrap();
        let Ok(response) = sender.send_request(request).await else {
            return;
        };
        streams.begun.set(streams.begun.get() + 1);
        let (head, body) = response.into_parts();
        let body = collect_limited(body, 64 << 20).await;
        let body = body.unwrap_or_else(|error| panic!("request {number} was cut: {error}"));
        let response = TestResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8(body.unwrap().to_vec()).unwrap(),
        };
        let expected = generated_text(&canonical_chat_prompt(&prompt), tokens);
        assert_eq!(stream_text(&response), expected);
        streams.complete.set(streams.complete.get() + 1);
    }
}

/// Waits until the process has ended by itself. Fails if its time for the stop was not enough.
async fn check_stopped_in_time(instance: &mut Instance) {
    let status = eventually("the instance stops", || {
        let status = instance.exit_status();
        async move { status }
    })
    .await;
    assert!(status.success());
    let mut log = String::new();
    instance.take_log().read_to_string(&mut log).unwrap();
    assert_eq!(log, "", "errors in the log");
}

/// Guards against a stop that takes requests on a busy connection for as long as its client sends them:
/// the last ones are cut when the time for the stop ends.
#[test]
fn a_stop_cuts_no_request_on_a_busy_connection() {
    run(async {
        const CLIENTS: usize = 4;
        let fleet = Fleet::new(2);
        let mut instance = fleet
            .start_instance_with(LIMITED_STOP, Stdio::piped())
            .await;
        let address = instance.client_address;
        let streams = Rc::new(Streams::default());
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let streams = Rc::clone(&streams);
                compio::runtime::spawn(stream_until_closed(address, client, streams))
            })
            .collect();
        eventually("all clients receive their second stream", || async {
            (streams.begun.get() == 2 * CLIENTS as u64).then_some(())
        })
        .await;
        instance.terminate();
        for client in clients {
            client.await.unwrap();
        }
        assert_eq!(streams.complete.get(), fleet.started_requests());
        check_stopped_in_time(&mut instance).await;
    });
}

/// Guards against a stop that a client which sends without a pause holds up, and against a response that
/// is lost because its connection is closed while further requests wait in it.
#[test]
fn a_stop_answers_what_it_took_of_pipelined_requests() {
    run(async {
        let fleet = Fleet::new(1);
        let mut instance = fleet
            .start_instance_with(LIMITED_STOP, Stdio::piped())
            .await;
        let socket = TcpStream::connect(instance.client_address).unwrap();
        let mut receiver = Stream::new(socket.try_clone().unwrap()).unwrap();
        let sender = compio::runtime::spawn(async move {
            let mut sender = Stream::new(socket).unwrap();
            let requests = plain_request().repeat(100);
            while sender.write_all(requests.as_bytes()).await.is_ok() {}
        });
        let receiver = compio::runtime::spawn(async move {
            let mut received = Vec::new();
            let mut chunk = [0; 16 * 1024];
            loop {
                match receiver.read(&mut chunk).await {
                    Ok(count @ 1..) => received.extend_from_slice(&chunk[..count]),
                    Ok(0) => return received,
                    Err(error) => {
                        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
                        return received;
                    }
                }
            }
        });
        eventually("requests are served", || async {
            (fleet.service_runs() > 50).then_some(())
        })
        .await;
        instance.terminate();
        let received = String::from_utf8(receiver.await.unwrap()).unwrap();
        sender.await.unwrap();
        assert_eq!(count_responses(&received), fleet.service_runs());
        check_stopped_in_time(&mut instance).await;
    });
}

/// Returns the number of successful responses in a text that consists of these.
fn count_responses(mut text: &str) -> u64 {
    let mut count = 0;
    while let Some((head, rest)) = text.split_once("\r\n\r\n") {
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.unwrap().parse().unwrap();
        text = rest.get(length..).expect("a complete body");
        count += 1;
    }
    assert_eq!(text, "");
    count
}

/// Guards against signals that interrupt a stop, and against a stop that waits for clients to close
/// connections: they keep theirs until the process is gone.
#[test]
fn signals_and_open_connections_do_not_disturb_a_stop() {
    run(async {
        let fleet = Fleet::new(2);
        let mut instance = fleet
            .start_instance_with(LIMITED_STOP, Stdio::piped())
            .await;
        let address = instance.client_address;
        let never_used = TcpStream::connect(address).unwrap();
        let mut kept = Vec::new();
        for _ in 0..8 {
            let connection = TcpStream::connect(address).unwrap();
            write_request(&connection);
            read_response(Stream::new(connection.try_clone().unwrap()).unwrap()).await;
            kept.push(connection);
        }
        let streams = Rc::new(Streams::default());
        let client = stream_until_closed(address, 0, Rc::clone(&streams));
        let client = compio::runtime::spawn(client);
        eventually("the client receives its second stream", || async {
            (streams.begun.get() == 2).then_some(())
        })
        .await;
        instance.terminate();
        instance.reload();
        instance.terminate();
        until_connections_close(&instance).await;
        instance.reload();
        instance.terminate();
        client.await.unwrap();
        assert_eq!(streams.complete.get(), fleet.started_requests());
        check_stopped_in_time(&mut instance).await;
        for connection in kept.into_iter().chain([never_used]) {
            assert_eq!(read_to_close(connection).await, "");
        }
    });
}

/// Guards against a connection that is closed without a response to a request that an engine still runs
/// when the stop ends.
#[test]
fn a_stop_answers_requests_that_engines_still_run() {
    run(async {
        const CLIENTS: u64 = 4;
        let fleet = Fleet::new(2);
        let stop = "[stop]\nbalancer_notice_ms = 100\ndrain_limit_ms = 1500\n";
        let mut instance = fleet.start_instance_with(stop, Stdio::inherit()).await;
        let address = instance.client_address;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                compio::runtime::spawn(async move {
                    let prompt = format!("verse of {client}");
                    let body = full(chat_body(&prompt, 60_000, false));
                    let request = chat_request().header("host", "shop").body(body).unwrap();
                    let options = RequestOptions::default();
                    let response = Client::new().send(address, request, options).await;
                    response.map_or(0, |response| response.status().as_u16())
                })
            })
            .collect();
        eventually("all requests run", || async {
            (fleet.started_requests() == CLIENTS).then_some(())
        })
        .await;
        instance.terminate();
        let mut statuses = Vec::new();
        for client in clients {
            statuses.push(client.await.unwrap());
        }
        assert_eq!(
            statuses, [504; CLIENTS as usize],
            "0 stands for no response"
        );
        let status = eventually("the instance stops", || {
            let status = instance.exit_status();
            async move { status }
        })
        .await;
        assert!(status.success());
    });
}
