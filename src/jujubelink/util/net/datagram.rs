//! UDP sockets.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::task::{Context, Poll, ready};

use compio::runtime::fd::PollFd;

use super::traffic;

/// Maximum number of datagrams that are received before the task waits for readiness again. Datagrams
/// that arrive faster than they are processed would otherwise keep the task running without end, and
/// neither other tasks nor timers would run.
pub const MAX_DATAGRAMS_PER_WAIT: usize = 64;

/// A bound UDP socket.
#[derive(Debug)]
pub struct Datagram {
    fd: PollFd<UdpSocket>,
    /// Number of datagrams that were received since the last wait for readiness.
    datagrams_since_wait: Cell<usize>,
}

impl Datagram {
    /// Binds a socket. Port 0 selects a free port.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            fd: PollFd::new(socket)?,
            datagrams_since_wait: Cell::new(0),
        })
    }

    /// Waits for a datagram and returns its length and sender.
    pub async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let received = poll_fn(|cx| self.poll_recv_from(cx, buf)).await?;
        traffic::count(|traffic| {
            traffic.datagrams_received += 1;
            traffic.datagram_received_bytes += received.0 as u64;
        });
        Ok(received)
    }

    fn poll_recv_from(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<(usize, SocketAddr)>> {
        if self.datagrams_since_wait.get() >= MAX_DATAGRAMS_PER_WAIT {
            ready!(self.fd.poll_read_ready(cx))?;
            self.datagrams_since_wait.set(0);
        }
        let received = ready!(
            self.fd
                .poll_read_with(cx, |socket| socket.recv_from(&mut *buf))
        )?;
        self.datagrams_since_wait
            .set(self.datagrams_since_wait.get() + 1);
        Poll::Ready(Ok(received))
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
