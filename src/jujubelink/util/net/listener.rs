//! TCP listeners.

use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use compio::runtime::fd::PollFd;
use socket2::{SockFilter, SockRef};

use super::Stream;

/// `BPF_LD | BPF_B | BPF_ABS` of the classic socket filters.
const BPF_LOAD_BYTE: u16 = 0x30;

/// `BPF_JMP | BPF_JSET | BPF_K`.
const BPF_JUMP_IF_SET: u16 = 0x45;

/// `BPF_RET | BPF_K`, which returns the number of bytes to keep of the packet.
const BPF_RETURN: u16 = 0x06;

const BPF_DROP_PACKET: u32 = 0;

const BPF_ACCEPT_PACKET: u32 = u32::MAX;

/// Offset of the flags in a TCP header, at which a filter of a TCP socket starts.
const TCP_FLAGS_OFFSET: u32 = 13;

const TCP_FLAG_SYN: u32 = 0x02;

/// Time after which the kernel closes an accepted connection whose peer accepts no data, be it because it
/// does not read or because it is gone. Responses would otherwise stay in memory for as long as the peer
/// keeps its connection open.
pub const MAX_STALL: Duration = Duration::from_secs(20);

/// A listening TCP socket.
#[derive(Debug)]
pub struct Listener {
    fd: PollFd<TcpListener>,
}

impl Listener {
    /// Binds and listens. Port 0 selects a free port.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            fd: PollFd::new(socket)?,
        })
    }

    /// Sets the receive buffer of connections whose handshake begins later. The kernel keeps up to twice as many
    /// bytes that were received and not read, and does not enlarge the buffer of such a connection.
    pub fn set_receive_buffer(&self, bytes: usize) -> io::Result<()> {
        SockRef::from(&*self.fd).set_recv_buffer_size(bytes)
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        let (socket, peer) =
            poll_fn(|cx| self.fd.poll_accept_with(cx, |listener| listener.accept())).await?;
        Ok((accepted(socket)?, peer))
    }

    /// Makes the kernel ignore new handshakes. Clients repeat them and are refused once the listener
    /// has stopped. Handshakes that have begun still complete, and their connections can be accepted.
    ///
    /// A backlog of 0 does not do this: the kernel still completes a handshake while the backlog is
    /// empty.
    pub fn ignore_handshakes(&self) -> io::Result<()> {
        SockRef::from(&*self.fd).attach_filter(&[
            // Load the byte of the TCP header that contains the flags.
            SockFilter::new(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
            SockFilter::new(BPF_JUMP_IF_SET, 0, 1, TCP_FLAG_SYN),
            SockFilter::new(BPF_RETURN, 0, 0, BPF_DROP_PACKET),
            SockFilter::new(BPF_RETURN, 0, 0, BPF_ACCEPT_PACKET),
        ])
    }

    /// Stops listening immediately and returns the connections that were waiting in the backlog.
    ///
    /// The kernel resets a connection whose handshake completes later, although its client may have
    /// sent a request by then. [`Self::ignore_handshakes`] has to be called early enough for all
    /// handshakes to be complete.
    ///
    /// Dropping the listener is not enough: the I/O driver may keep the descriptor open for a while.
    /// In that time the kernel still completes handshakes, and it resets these connections at the
    /// close.
    pub fn stop(&self) -> io::Result<Vec<Stream>> {
        let mut waiting = Vec::new();
        while let Ok((socket, _)) = self.fd.accept() {
            waiting.push(accepted(socket)?);
        }
        SockRef::from(&*self.fd).shutdown(Shutdown::Read)?;
        Ok(waiting)
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.fd.local_addr()
    }
}

fn accepted(socket: TcpStream) -> io::Result<Stream> {
    SockRef::from(&socket).set_tcp_user_timeout(Some(MAX_STALL))?;
    Stream::new(socket)
}
