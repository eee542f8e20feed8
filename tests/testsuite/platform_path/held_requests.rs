//! Bounds on what an instance holds for its clients.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use futures_util::future::join_all;
use jujubelink::core::capacity::{CONNECTION_BYTES, ClientBounds, MachineLimits, PROGRAM_BYTES};
use jujubelink_standins::fleet::TargetFault;

use super::{Deployment, KEY, header, send_with_host};
use crate::support::run;

const MEGABYTE: usize = 1_000_000;

/// Memory of the machine.
const MEMORY_MB: usize = 64;

/// Size of the body of each long request. Together they do not fit into the memory.
const LONG_BODY_BYTES: usize = 2 * MEGABYTE;
const LONG_REQUESTS: usize = 40;

/// Number of clients that send the start of a head.
const UNFINISHED_HEADS: usize = 960;

/// Returns the peak of the memory of a process.
fn peak_memory_bytes(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<usize>().unwrap() * 1024
}

/// Guards against long bodies of some clients that fill the memory, so that the process ends and the
/// requests of all clients with it.
#[test]
fn long_bodies_do_not_fill_the_memory() {
    run(async {
        let settings = format!("[machine]\nmemory_mb = {MEMORY_MB}");
        let (deployment, instance) = Deployment::start_ready(&settings).await;
        let run_time = TargetFault::Delay(Duration::from_secs(2));
        let faults = &deployment.service_faults;
        faults
            .borrow_mut()
            .extend(vec![Some(run_time); LONG_REQUESTS]);
        let address = instance.process.client_address;
        let body = "x".repeat(LONG_BODY_BYTES);
        let long = join_all((0..LONG_REQUESTS).map(|number| {
            let request = http::Request::post("/pay/x")
                .header("host", "shop.example")
                .header("jujubelink-attempt-id", format!("long{number}"))
                .header("jujubelink-deadline-ms", "4000")
                .header("authorization", format!("Bearer {KEY}"));
            send_with_host(address, request, &body)
        }));
        let short = async {
            compio::time::sleep(Duration::from_secs(1)).await;
            instance.send_request("short", "GET", "/read/x").await
        };
        let (long, short) = futures_util::join!(long, short);
        assert_eq!(short.status, 200);
        let statuses: Vec<u16> = long.iter().map(|response| response.status).collect();
        let served = statuses.iter().filter(|status| **status == 200).count();
        let allowed = statuses.iter().all(|status| matches!(status, 200 | 503));
        assert!(served > 0 && allowed, "{statuses:?}");
        for refused in long.iter().filter(|response| response.status == 503) {
            assert_ne!(header(&refused.headers, "retry-after"), "");
        }
        let peak_bytes = peak_memory_bytes(instance.process.pid());
        println!("peak of the memory: {peak_bytes} bytes with {served} bodies");
        assert!(peak_bytes < MEMORY_MB * MEGABYTE, "{peak_bytes} bytes");
    });
}

/// Guards against connections and requests that a small machine has no memory or descriptors for.
#[test]
fn bounds_follow_the_size_of_the_machine() {
    let rows = [
        (None, None, 16_384, usize::MAX, 134_217_728),
        (Some(88), Some(4_100), 2_466, 49_000_000, 36_750_000),
        (Some(512), Some(4_100), 2_466, 420_000_000, 134_217_728),
        (Some(512), Some(8_192), 5_194, 420_000_000, 134_217_728),
        (
            Some(4_000),
            Some(100_000),
            16_384,
            3_472_000_000,
            134_217_728,
        ),
    ];
    for (memory_mb, descriptors, connections, total_bytes, request_bytes) in rows {
        let bounds = client_bounds(memory_mb, descriptors);
        let derived = (bounds.connections, bounds.total_bytes, bounds.request_bytes);
        let expected = (connections, total_bytes, request_bytes);
        assert_eq!(derived, expected, "{memory_mb:?} MB, {descriptors:?}");
    }
}

fn client_bounds(memory_mb: Option<u64>, descriptors: Option<u64>) -> ClientBounds {
    ClientBounds::new(&MachineLimits {
        memory_bytes: memory_mb.map(|mb| mb * 1_000_000),
        descriptors,
        program_bytes: None,
    })
}

/// Guards against bounds that each are kept and together exceed the memory of the machine.
#[test]
fn the_bounds_together_stay_within_the_memory() {
    /// Smallest read of a connection, and smallest receive buffer, both of which its own charge covers.
    const COVERED_BYTES: usize = 8 * 1024;
    for memory_mb in [64, 88, 110, 260, 512, 4_000] {
        let bounds = client_bounds(Some(memory_mb), Some(1_000_000));
        let most_connections = bounds
            .connections
            .min(bounds.total_bytes / CONNECTION_BYTES);
        let receive_bytes: usize = (0..most_connections)
            .map(|open| 2 * (bounds.receive_bytes(open).unwrap() - COVERED_BYTES))
            .sum();
        let read_bytes = (1..=most_connections)
            .map(|open| 2 * open * bounds.read_bytes(open).saturating_sub(COVERED_BYTES))
            .max()
            .unwrap();
        let sum_bytes = bounds.total_bytes + receive_bytes + read_bytes + PROGRAM_BYTES;
        let memory_bytes = memory_mb as usize * MEGABYTE;
        assert!(
            sum_bytes <= memory_bytes,
            "{sum_bytes} bytes of {memory_mb} MB"
        );
    }
}

/// Guards against heads without an end that fill the memory before any key is checked.
#[test]
fn unfinished_heads_do_not_fill_the_memory() {
    run(async {
        let settings = format!("[machine]\nmemory_mb = {MEMORY_MB}");
        let (_deployment, instance) = Deployment::start_ready(&settings).await;
        let head = format!("GET / HTTP/1.1\r\nx-long: {}", "x".repeat(60_000));
        let mut sockets = Vec::new();
        for _ in 0..UNFINISHED_HEADS {
            let socket = TcpStream::connect(instance.process.client_address).unwrap();
            socket.set_nonblocking(true).unwrap();
            sockets.push((socket, 0));
        }
        for _ in 0..200 {
            for (socket, sent_bytes) in &mut sockets {
                *sent_bytes += socket.write(&head.as_bytes()[*sent_bytes..]).unwrap_or(0);
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let peak_bytes = peak_memory_bytes(instance.process.pid());
        println!("peak of the memory: {peak_bytes} bytes");
        assert!(peak_bytes < MEMORY_MB * MEGABYTE, "{peak_bytes} bytes");
    });
}
