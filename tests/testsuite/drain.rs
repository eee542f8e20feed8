//! Planned stops of an instance under load.

use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use futures_util::{AsyncReadExt, AsyncWriteExt};
use http::Request;
use jujubelink::util::http::{Client, RequestOptions, collect_limited, full};
use jujubelink::util::net::{Listener, Stream};
use jujubelink_standins::engine::generated_text;

use crate::support::{
    Fleet, Instance, KEY, canonical_chat_prompt, chat_body, chat_request, eventually, run, send,
    stream_text,
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
