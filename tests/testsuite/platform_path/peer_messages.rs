//! Messages that instances send to each other.

use std::net::{Ipv4Addr, UdpSocket};
use std::time::{Duration, Instant};

use prost::Message;

use super::Deployment;
use crate::support::run;

/// A datagram that fits into one packet on all links.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Instances of a large fleet.
const PEERS: usize = 300;

/// The parts of a message by which an instance learns of its sender.
#[derive(Clone, PartialEq, prost::Message)]
struct Introduction {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sent_at_ms: u64,
}

/// The confirmations in a message.
#[derive(Clone, PartialEq, prost::Message)]
struct Confirmations {
    #[prost(message, repeated, tag = "4")]
    heard: Vec<Confirmation>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Confirmation {
    #[prost(fixed64, tag = "1")]
    name_hash: u64,
    #[prost(uint64, tag = "2")]
    sent_at_ms: u64,
}

/// Guards against messages that grow with the fleet, and against a message without the confirmation that its
/// receiver needs.
#[test]
fn messages_do_not_grow_with_the_fleet_and_confirm_the_receiver() {
    run(async {
        let deployment = Deployment::new();
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let sockets: Vec<_> = (0..PEERS)
            .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap())
            .collect();
        for (number, socket) in (1..).zip(&sockets) {
            socket.set_nonblocking(true).unwrap();
            let introduction = Introduction {
                name: format!("peer-{number}"),
                incarnation: 1,
                sent_at_ms: number,
            };
            let message = introduction.encode_to_vec();
            let peer_address = instance.process.peer_address;
            socket.send_to(&message, peer_address).unwrap();
        }
        let mut confirmed = 0;
        let mut buffer = vec![0; 64 * 1024];
        let started = Instant::now();
        while confirmed < PEERS / 10 && started.elapsed() < Duration::from_secs(20) {
            compio::time::sleep(Duration::from_millis(50)).await;
            for (number, socket) in (1..).zip(&sockets) {
                while let Ok(length) = socket.recv(&mut buffer) {
                    assert!(length <= MAX_DATAGRAM_BYTES, "{length} bytes");
                    let message = Confirmations::decode(&buffer[..length]).unwrap();
                    let confirms = |heard: &Confirmation| heard.sent_at_ms == number;
                    assert!(message.heard.iter().all(confirms), "of another peer");
                    // A message sent before the introduction arrived confirms nothing.
                    confirmed += message.heard.len();
                }
            }
        }
        assert!(confirmed >= PEERS / 10, "{confirmed} confirmations");
    });
}
