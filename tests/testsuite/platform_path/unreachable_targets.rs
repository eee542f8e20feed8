//! Targets that have ended a moment ago and refuse connections, while their entries still stand in the store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::Deployment;
use crate::support::run;

/// Unreachable targets beside each one that serves.
const UNREACHABLE: usize = 12;

/// Time for which an instance prefers other targets after a connection failed.
const UNRELIABLE_PERIOD: Duration = Duration::from_millis(1500);

/// A port that is in use, but refuses connections.
pub(super) struct RefusingPort {
    _socket: Socket,
    pub(super) address: SocketAddr,
}

impl RefusingPort {
    pub(super) fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any_port.into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Self {
            _socket: socket,
            address,
        }
    }
}

/// Guards against requests that are refused after a few refused connections, although they have run nowhere,
/// a target is free and time is left.
#[test]
fn requests_are_served_by_the_one_target_that_can_be_reached() {
    run(async {
        let deployment = Deployment::new();
        deployment.store.remove("servers", "s2");
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        instance.wait_status("the service is reached", 200).await;
        let ports: Vec<_> = (0..UNREACHABLE).map(|_| RefusingPort::new()).collect();
        for (number, port) in ports.iter().enumerate() {
            deployment.put_target_at(&format!("s-{number}"), port.address, "ready", 1, 1);
        }
        for round in 0..4 {
            compio::time::sleep(UNRELIABLE_PERIOD).await;
            let id = format!("r{round}");
            let response = instance.send_request(&id, "POST", "/pay/x").await;
            assert_eq!(response.status, 200, "{id}: {}", response.body);
        }
    });
}
