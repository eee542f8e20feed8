//! UDP sockets.

use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, UdpSocket};

use compio::runtime::fd::PollFd;

use super::traffic;

/// A bound UDP socket.
#[derive(Debug)]
pub struct Datagram {
    fd: PollFd<UdpSocket>,
}

impl Datagram {
    /// Binds a socket. Port 0 selects a free port.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            fd: PollFd::new(socket)?,
        })
    }

    /// Waits for a datagram and returns its length and sender.
    pub async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let received =
            poll_fn(|cx| self.fd.poll_read_with(cx, |socket| socket.recv_from(buf))).await?;
        traffic::count(|traffic| {
            traffic.datagrams_received += 1;
            traffic.datagram_received_bytes += received.0 as u64;
        });
        Ok(received)
    }

    /// Sends a datagram. If the socket buffer is full, the datagram is dropped without an error, like
    /// one lost in the network.
    pub fn send_to(&self, bytes: &[u8], address: SocketAddr) -> io::Result<()> {
        match self.fd.send_to(bytes, address) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(sent) => {
                traffic::count(|traffic| {
                    traffic.datagrams_sent += 1;
                    traffic.datagram_sent_bytes += sent as u64;
                });
                Ok(())
            }
        }
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.fd.local_addr()
    }
}
