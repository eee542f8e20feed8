//! A port that neither accepts nor refuses connections.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// A listener whose queue of connections is full, so that further ones get no response.
pub(crate) struct UnresponsivePort {
    _listener: Socket,
    _queued: Vec<TcpStream>,
    address: SocketAddr,
}

impl UnresponsivePort {
    pub(crate) fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        listener.bind(&any_port.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
        let queued = std::iter::from_fn(|| connect().ok()).collect();
        Self {
            _listener: listener,
            _queued: queued,
            address,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}
