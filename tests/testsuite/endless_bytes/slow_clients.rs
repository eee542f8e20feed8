//! Clients that read their responses slowly or not at all.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::floods::{chunk, chunked, success};
use super::site::{
    BASE_GROWTH_BYTES, CONCURRENT, FLOODED_DEADLINE_MS, LONG_DEADLINE_MS, OTHER_DEADLINE_MS,
    REQUEST_BYTES, Site, is_stream,
};
use crate::support::{Flood, FloodClient, FloodProxy, WAIT_TIMEOUT, eventually, run};

/// Number of concurrent clients that read slowly.
const CLIENTS: usize = 40;

/// Time within which a response ends at its deadline. It is shorter than that after which the kernel closes
/// a connection whose peer does not read.
const BEFORE_STALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Returns the bytes of a request with a body.
fn request_bytes(path: &str, id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let prompt = match is_stream(path) {
        true => {
            "jujubelink-model: m\r\njujubelink-token-count: 1200,50\r\n\
             jujubelink-prompt-prefix: a1:800,b2:400\r\n"
        }
        false => "",
    };
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: {id}\r\n\
         jujubelink-deadline-ms: {deadline_ms}\r\n{prompt}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a request and reads nothing.
fn start_client(address: SocketAddr, path: &str, number: usize, deadline_ms: u64) -> FloodClient {
    let request = request_bytes(path, &format!("slow-{number}"), deadline_ms, "body");
    FloodClient::start(address, &request, &[])
}

/// Responses that go on until they are closed.
fn endless_responses() -> [(&'static str, Flood); 3] {
    let plain = chunk(&"b".repeat(16 * 1024));
    [
        ("/read/x", Flood::new("chunks", &chunked(), plain)),
        (
            "/read/x",
            Flood::new("body without a length", &success(""), "b"),
        ),
        (
            "/tell/x",
            Flood::new("events", &chunked(), chunk("data: piece\n\n")),
        ),
    ]
}

async fn wait_closed(site: &Site, path: &str, name: &str) {
    let proxy = site.proxy_of(path);
    eventually(
        &format!("the connections of \"{name}\" are closed"),
        || async { (proxy.ended() == proxy.begun()).then_some(()) },
    )
    .await;
}

/// Waits until no further request reaches the target. The scheduler may refuse some of them.
async fn wait_begun(proxy: &FloodProxy) {
    eventually("the requests are flooded", || async {
        let begun = proxy.begun();
        compio::time::sleep(Duration::from_millis(300)).await;
        (begun > 0 && proxy.begun() == begun).then_some(())
    })
    .await;
    println!("{} requests are flooded", proxy.begun());
}

/// Guards against a client that stops reading and keeps its target at work after the deadline.
#[test]
fn a_client_that_reads_nothing_keeps_no_target_past_its_deadline() {
    for (path, flood) in endless_responses() {
        run(async {
            let site = Site::start().await;
            let name = flood.name;
            let proxy = site.proxy_of(path);
            proxy.set_flood(Some(flood));
            let start = |number| {
                let address = site.instance.client_address;
                start_client(address, path, number, FLOODED_DEADLINE_MS)
            };
            let clients: Vec<_> = (0..CONCURRENT).map(start).collect();
            eventually("all requests are flooded", || async {
                (proxy.begun() == CONCURRENT).then_some(())
            })
            .await;
            site.check_others_served(name).await;
            let closed = wait_closed(&site, path, name);
            let closed = compio::time::timeout(BEFORE_STALL_TIMEOUT, closed).await;
            assert!(closed.is_ok(), "{name}: the target is still connected");
            for client in clients {
                let response = client.read_to_end(WAIT_TIMEOUT).unwrap();
                let is_complete = response.ends_with(b"0\r\n\r\n");
                assert!(!is_complete, "an incomplete response looks complete");
            }
        });
    }
}

/// Guards against responses that fill the memory because their clients read slower than their targets
/// send, and against a target that goes on sending meanwhile.
#[test]
fn slow_readers_hold_back_their_targets() {
    for (path, flood) in endless_responses() {
        run(async {
            let site = Site::start().await;
            let name = flood.name;
            let proxy = site.proxy_of(path);
            let resident = site.memory_bytes("VmRSS");
            proxy.set_flood(Some(flood));
            let address = site.instance.client_address;
            let clients: Vec<TcpStream> = (0..CLIENTS)
                .map(|number| {
                    let id = format!("slow-{number}");
                    let request = request_bytes(path, &id, LONG_DEADLINE_MS, "body");
                    let mut stream = TcpStream::connect(address).unwrap();
                    std::io::Write::write_all(&mut stream, &request).unwrap();
                    stream
                })
                .collect();
            wait_begun(proxy).await;
            site.check_others_served(name).await;
            // Each client reads a little, again and again.
            let mut buffer = vec![0; 16 * 1024];
            for _ in 0..20 {
                for client in &clients {
                    client.set_nonblocking(true).unwrap();
                    let _ = (&mut &*client).read(&mut buffer);
                }
                compio::time::sleep(Duration::from_millis(20)).await;
            }
            site.check_others_served(name).await;
            eventually("the targets are held back", || async {
                let sent = proxy.sent_bytes();
                compio::time::sleep(Duration::from_millis(300)).await;
                (proxy.sent_bytes() == sent).then_some(())
            })
            .await;
            let limit = CLIENTS as u64 * REQUEST_BYTES + BASE_GROWTH_BYTES;
            site.check_memory(resident, limit, name, proxy.sent_bytes());
            proxy.set_flood(None);
            drop(clients);
            wait_closed(&site, path, name).await;
        });
    }
}

/// Guards against a client that sends requests without end and reads no response: its responses fill the
/// memory, or its connection stays open for good.
#[test]
fn pipelined_requests_of_clients_that_read_nothing() {
    run(async {
        let site = Site::start().await;
        let resident = site.memory_bytes("VmRSS");
        let body = "b".repeat(128 * 1024);
        let request = request_bytes("/read/x", "pipelined", OTHER_DEADLINE_MS, &body);
        let address = site.instance.client_address;
        let clients: Vec<_> = (0..CONCURRENT)
            .map(|_| FloodClient::start(address, &request, &request))
            .collect();
        let sent_bytes = || clients.iter().map(FloodClient::sent_bytes).sum::<u64>();
        eventually("the clients are held back", || async {
            let sent = sent_bytes();
            compio::time::sleep(Duration::from_millis(300)).await;
            (sent > 0 && sent_bytes() == sent).then_some(())
        })
        .await;
        site.check_others_served("pipelined requests").await;
        let limit = CONCURRENT as u64 * REQUEST_BYTES + BASE_GROWTH_BYTES;
        site.check_memory(resident, limit, "pipelined requests", sent_bytes());
        eventually("the connections are closed", || async {
            clients.iter().all(FloodClient::is_ended).then_some(())
        })
        .await;
    });
}
