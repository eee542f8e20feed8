//! Responses to calls that the instance makes by itself, and datagrams.

use std::net::{Ipv4Addr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::json;

use super::floods::{call_floods, random_bytes};
use super::site::{CONTROL_CALL_BYTES, STORE_CALL_BYTES, Site, put_configuration};
use crate::support::{eventually, run};

/// Guards against status reports and orders that stop the event loop or fill the memory while an engine
/// sends bytes without end, and against an engine that stays on old weights afterwards.
#[test]
fn endless_responses_to_control_calls() {
    run(async {
        let site = Site::start().await;
        let mut version = 1;
        for path in ["/api/report", "/api/order"] {
            for flood in call_floods() {
                version += 1;
                let name = flood.name;
                let announced = json!({ "model": "m", "version": version });
                site.store.put("versions", "m", announced);
                let flood = flood.with_path_prefix(path);
                site.check_calls(&site.engine_proxy, flood, 1, CONTROL_CALL_BYTES)
                    .await;
                eventually(
                    &format!("the weights are loaded after \"{name}\""),
                    || async { (site.engine.version() == version).then_some(()) },
                )
                .await;
            }
        }
    });
}

/// Guards against polls of a store of KV cache that stop the event loop or fill the memory while the
/// store sends bytes without end, and against a store that is not polled afterwards.
#[test]
fn endless_responses_of_a_cache_store() {
    run(async {
        let site = Site::start().await;
        for flood in call_floods() {
            site.check_calls(&site.cache_proxy, flood, 2, CONTROL_CALL_BYTES)
                .await;
            let polls = site.cache.poll_count();
            eventually("the store is polled", || async {
                (site.cache.poll_count() > polls).then_some(())
            })
            .await;
        }
    });
}

/// Guards against calls to the platform's store that stop the event loop or fill the memory while the
/// store sends bytes without end, and against an instance that misses later changes.
#[test]
fn endless_responses_of_the_platform_store() {
    run(async {
        let site = Site::start().await;
        for (number, flood) in call_floods().into_iter().enumerate() {
            site.check_calls(&site.store_proxy, flood, 3, STORE_CALL_BYTES)
                .await;
            let name = format!("read{number}");
            let version = 6 + number as u64;
            put_configuration(&site.store, version, &name, site.cache_proxy.address());
            site.wait_served(&format!("/{name}/x")).await;
        }
    });
}

/// Guards against datagrams without end that stop the event loop, whether or not they can be decoded.
#[test]
fn endless_datagrams() {
    const SENDERS: usize = 3;
    for (name, datagram) in [
        ("random datagrams", random_bytes()),
        ("empty datagrams", vec![]),
    ] {
        run(async {
            let site = Site::start().await;
            let is_stopped = Arc::new(AtomicBool::new(false));
            let senders: Vec<_> = (0..SENDERS)
                .map(|_| {
                    let is_stopped = Arc::clone(&is_stopped);
                    let datagram = datagram[..datagram.len().min(256)].to_vec();
                    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
                    socket.connect(site.instance.peer_address).unwrap();
                    std::thread::spawn(move || {
                        while !is_stopped.load(Ordering::Relaxed) {
                            // Fails if the instance is gone, which requests show.
                            let _ = socket.send(&datagram);
                        }
                    })
                })
                .collect();
            site.check_others_served(name).await;
            is_stopped.store(true, Ordering::Relaxed);
            for sender in senders {
                sender.join().unwrap();
            }
        });
    }
}
