//! Adapter from the I/O traits of `futures` to those of hyper.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;

/// Maximum number of bytes per read: the maximum payload of a TLS record.
const READ_BYTES: usize = 16 * 1024;

/// Implements hyper's I/O traits for a stream that implements the traits of `futures`.
#[derive(Debug)]
pub struct HyperIo<S>(S);

impl<S> HyperIo<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self(stream)
    }
}

impl<S: AsyncRead + Unpin> hyper::rt::Read for HyperIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let limit = buf.remaining().min(READ_BYTES);
        let read = ready!(Pin::new(&mut self.0).poll_read(cx, &mut bytes[..limit]))?;
        buf.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for HyperIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
