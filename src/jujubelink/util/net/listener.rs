//! TCP listeners.

use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};

use compio::runtime::fd::PollFd;
use socket2::SockRef;

use super::Stream;

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

    /// Waits for the next connection.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        let (socket, peer) =
            poll_fn(|cx| self.fd.poll_accept_with(cx, |listener| listener.accept())).await?;
        Ok((Stream::new(socket)?, peer))
    }

    /// Stops listening immediately and returns the connections that were waiting in the backlog.
    ///
    /// Dropping the listener is not enough: the I/O driver may keep the descriptor open for a while.
    /// In that time the kernel still completes handshakes, and it resets these connections at the
    /// close.
    pub fn stop(&self) -> io::Result<Vec<Stream>> {
        let socket = SockRef::from(&*self.fd);
        // With a backlog of 0 the kernel ignores further handshakes, so that clients retry them
        // instead of receiving a reset between the last accept and the shutdown.
        socket.listen(0)?;
        let mut waiting = Vec::new();
        while let Ok((accepted, _)) = self.fd.accept() {
            waiting.push(Stream::new(accepted)?);
        }
        socket.shutdown(Shutdown::Read)?;
        Ok(waiting)
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.fd.local_addr()
    }
}
