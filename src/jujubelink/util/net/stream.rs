//! TCP streams for hyper and rustls.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use super::traffic;
use compio::runtime::fd::PollFd;
use hyper::rt::ReadBufCursor;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Maximum number of bytes that are read before the task waits for readiness again. A peer
/// that sends faster than its bytes are processed would otherwise keep the task running without end,
/// and neither other tasks nor timers would run.
pub const MAX_BYTES_PER_WAIT: usize = 64 * 1024;

/// TCP settings by which the kernel closes a connection whose peer no longer responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeepaliveSettings {
    /// Idle time before the first probe.
    pub idle: Duration,
    /// Time between probes.
    pub interval: Duration,
    /// Number of unacknowledged probes after which the connection is closed.
    pub probes: u32,
    /// Maximum time for which sent data may stay unacknowledged.
    pub user_timeout: Duration,
}

impl Default for KeepaliveSettings {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(5),
            interval: Duration::from_secs(1),
            probes: 3,
            user_timeout: Duration::from_secs(8),
        }
    }
}

/// A connected TCP stream.
#[derive(Debug)]
pub struct Stream {
    fd: PollFd<TcpStream>,
    /// Whether the next read first waits for readiness: the last one emptied the receive buffer, so
    /// that another would fail, or [`MAX_BYTES_PER_WAIT`] is reached.
    waits_for_readiness: Cell<bool>,
    /// Number of bytes that were read since the last wait for readiness.
    bytes_since_wait: Cell<usize>,
}

impl Stream {
    /// Wraps a connected socket of the standard library.
    pub fn new(socket: TcpStream) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        Ok(Self {
            fd: PollFd::new(socket)?,
            waits_for_readiness: Cell::new(true),
            bytes_since_wait: Cell::new(0),
        })
    }

    /// Connects to `address`. There is no timeout; the caller has to set one.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::connect_with(address, None).await
    }

    /// Like [`Self::connect`] with a receive buffer of this size, of which the kernel fills up to twice as much.
    /// `None` leaves the size to the kernel.
    pub async fn connect_with(
        address: SocketAddr,
        receive_bytes: Option<usize>,
    ) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        if let Some(bytes) = receive_bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error)
                if error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(error) => return Err(error),
        }
        let stream = Self::new(socket.into())?;
        stream.fd.write_ready().await?;
        if let Some(error) = stream.fd.take_error()? {
            return Err(error);
        }
        Ok(stream)
    }

    /// Sets TCP keepalive and the timeout of unacknowledged data.
    pub fn set_keepalive(&self, settings: KeepaliveSettings) -> io::Result<()> {
        let socket = SockRef::from(&*self.fd);
        let keepalive = TcpKeepalive::new()
            .with_time(settings.idle)
            .with_interval(settings.interval)
            .with_retries(settings.probes);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(settings.user_timeout))
    }

    /// Returns the address of the peer.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.fd.peer_addr()
    }

    fn poll_read_slice(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let capacity = buf.len();
        self.poll_read_with(cx, capacity, |mut socket| socket.read(buf))
    }

    /// Reads once the socket is ready. `read_socket` reads up to `capacity` bytes.
    fn poll_read_with(
        &self,
        cx: &mut Context<'_>,
        capacity: usize,
        mut read_socket: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.waits_for_readiness.get() {
                ready!(self.fd.poll_read_ready(cx))?;
                self.waits_for_readiness.set(false);
                self.bytes_since_wait.set(0);
            }
            match read_socket(&self.fd) {
                Ok(read) => {
                    // At the end of the stream (0 bytes) the socket stays readable.
                    let bytes_since_wait = self.bytes_since_wait.get() + read;
                    self.bytes_since_wait.set(bytes_since_wait);
                    let must_wait = read < capacity || bytes_since_wait >= MAX_BYTES_PER_WAIT;
                    self.waits_for_readiness.set(read > 0 && must_wait);
                    return count_received(Poll::Ready(Ok(read)));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.waits_for_readiness.set(true);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_write_slice(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        count_sent(self.fd.poll_write_with(cx, |mut socket| socket.write(buf)))
    }

    fn poll_write_slices(
        &self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        count_sent(
            self.fd
                .poll_write_with(cx, |mut socket| socket.write_vectored(bufs)),
        )
    }

    fn shutdown_write(&self) -> io::Result<()> {
        match self.fd.shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }
}

/// Counts the bytes of a successful write.
fn count_sent(result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &result {
        traffic::count(|traffic| traffic.tcp_sent_bytes += *bytes as u64);
    }
    result
}

/// Counts the bytes of a successful read.
fn count_received(result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &result {
        traffic::count(|traffic| traffic.tcp_received_bytes += *bytes as u64);
    }
    result
}

impl hyper::rt::Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // SAFETY: the slice is only passed to `recv`, which writes to it and never reads it.
        let unfilled = unsafe { buf.as_mut() };
        let capacity = unfilled.len();
        let receive = |socket: &TcpStream| SockRef::from(socket).recv(unfilled);
        let read = ready!(self.poll_read_with(cx, capacity, receive))?;
        // SAFETY: `recv` has initialized the first `read` bytes.
        unsafe { buf.advance(read) };
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_slice(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_slices(cx, bufs)
    }
}

impl futures_util::AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_read_slice(cx, buf)
    }
}

impl futures_util::AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_slice(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
