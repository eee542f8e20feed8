//! Responses of which the client has not taken everything.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::{Body, BodyError};
use crate::core::capacity::UNSENT_BYTES;
use crate::util::memory_budget::Reservation;

/// Largest frame that is passed on to HTTP/2. A larger one would be held whole, whatever the size of the send
/// buffer.
const MAX_HTTP2_FRAME_BYTES: usize = 16 * 1024;

/// What is reported about unsent bytes.
pub(super) enum UnsentEvent {
    /// Memory for them is needed; the result is its reservation.
    Begun,
    /// No memory is left for more of them.
    HeldBack,
}

/// Bytes of an HTTP/1.1 connection's responses that were read, and that the socket has not taken.
pub(super) struct Unsent {
    /// At most what hyper holds, as hyper adds heads and chunk sizes.
    bytes: Cell<usize>,
    /// Whether the client has no room for further bytes.
    is_write_blocked: Cell<bool>,
    /// Whether a frame of the response was read while the client had no room. It shows that the request waits
    /// for its client and not for the target.
    has_frame_waiting: Cell<bool>,
    /// Memory for the bytes, and how much is reserved. `None` while the client has room.
    memory: RefCell<Option<(Reservation, usize)>>,
    /// Whether a frame was not read because a write has to come first. The connection is polled again after it.
    awaits_write: Cell<bool>,
    /// Whether [`UnsentEvent::HeldBack`] was reported since the client last had room.
    is_held_back: Cell<bool>,
    report: Box<dyn Fn(UnsentEvent) -> Option<Reservation>>,
}

impl Unsent {
    pub(super) fn new(report: Box<dyn Fn(UnsentEvent) -> Option<Reservation>>) -> Self {
        Self {
            bytes: Cell::default(),
            is_write_blocked: Cell::default(),
            has_frame_waiting: Cell::default(),
            memory: RefCell::default(),
            awaits_write: Cell::default(),
            is_held_back: Cell::default(),
            report,
        }
    }

    /// Records the result of a write of `length` bytes.
    pub(super) fn on_write(&self, written: &Poll<io::Result<usize>>, length: usize) {
        match written {
            Poll::Pending => {
                self.is_write_blocked.set(true);
                self.reserve();
            }
            Poll::Ready(Ok(count)) => {
                self.bytes.set(self.bytes.get().saturating_sub(*count));
                // After a part, hyper writes the rest before it reads the body again.
                if *count >= length {
                    self.on_room();
                }
            }
            Poll::Ready(Err(_)) => self.on_room(),
        }
    }

    /// Whether the connection has to be polled again, as a frame may be read now that was not read before.
    pub(super) fn take_readable(&self) -> bool {
        self.bytes.get() < UNSENT_BYTES && self.awaits_write.replace(false)
    }

    /// Whether the client has no room for further bytes.
    pub(super) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    fn on_room(&self) {
        self.is_write_blocked.set(false);
        self.has_frame_waiting.set(false);
        self.is_held_back.set(false);
        self.memory.take();
    }

    /// Reserves memory for all unsent bytes. Returns whether it was left.
    fn reserve(&self) -> bool {
        let mut memory = self.memory.borrow_mut();
        if memory.is_none() {
            *memory = (self.report)(UnsentEvent::Begun).map(|memory| (memory, 0));
        }
        let Some((memory, reserved_bytes)) = &mut *memory else {
            return true;
        };
        let missing = self.bytes.get().saturating_sub(*reserved_bytes);
        if missing > 0 && !memory.grow_if_free(missing) {
            return false;
        }
        *reserved_bytes += missing;
        true
    }

    /// Whether a further frame of the response may be read.
    fn may_read(&self) -> bool {
        if !self.is_write_blocked.get() {
            // Under HTTP/1.1 they are written before more of the response is read.
            let is_full = self.bytes.get() >= UNSENT_BYTES;
            self.awaits_write.set(is_full);
            return !is_full;
        }
        if self.has_frame_waiting.get() {
            return false;
        }
        let is_reserved = self.reserve();
        if !is_reserved && !self.is_held_back.replace(true) {
            (self.report)(UnsentEvent::HeldBack);
        }
        is_reserved
    }

    fn on_frame(&self, length: usize) {
        self.bytes.set(self.bytes.get() + length);
        let is_blocked = self.is_write_blocked.get();
        self.has_frame_waiting.set(is_blocked);
        if is_blocked {
            self.reserve();
        }
    }
}

/// A response body that is read no further than its client takes it.
///
/// Under HTTP/1.1 one frame is read while the client has no room. hyper would read on until its write buffer is full,
/// which is as large as the largest head. HTTP/2 has windows and a send buffer, to which large frames are adapted.
pub(super) struct GatedBody {
    body: Body,
    unsent: Rc<Unsent>,
    /// Set for HTTP/2.
    stream: Option<UnreadStream>,
    /// Rest of a frame that is passed on in parts.
    rest: Bytes,
}

/// Whether the client of an HTTP/2 response has taken its last frame. hyper asks for the next one once it has.
struct UnreadStream {
    is_unread: bool,
    /// Called when it changes.
    report: Box<dyn Fn(bool)>,
}

impl UnreadStream {
    fn set_unread(&mut self, is_unread: bool) {
        if self.is_unread != is_unread {
            self.is_unread = is_unread;
            (self.report)(is_unread);
        }
    }
}

impl Drop for UnreadStream {
    fn drop(&mut self) {
        self.set_unread(false);
    }
}

impl GatedBody {
    pub(super) fn new(body: Body, unsent: Rc<Unsent>) -> Self {
        Self {
            body,
            unsent,
            stream: None,
            rest: Bytes::new(),
        }
    }

    /// Adapts the body to HTTP/2. `report` is told whether the client has not taken the last frame.
    pub(super) fn with_http2(mut self, report: Box<dyn Fn(bool)>) -> Self {
        self.stream = Some(UnreadStream {
            is_unread: false,
            report,
        });
        self
    }

    /// Returns the next frame for HTTP/2.
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.rest.is_empty() {
            let frame = ready!(self.body.as_mut().poll_frame(cx));
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) if data.len() > MAX_HTTP2_FRAME_BYTES => self.rest = data,
                Some(Ok(Ok(data))) => return Poll::Ready(Some(Ok(Frame::data(data)))),
                Some(Ok(Err(frame))) => return Poll::Ready(Some(Ok(frame))),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => return Poll::Ready(None),
            }
        }
        Poll::Ready(Some(Ok(Frame::data(self.take_part()))))
    }

    /// Returns the next part of the rest. It is a copy, so that an unsent part does not keep the whole frame.
    fn take_part(&mut self) -> Bytes {
        let length = self.rest.len().min(MAX_HTTP2_FRAME_BYTES);
        Bytes::copy_from_slice(&self.rest.split_to(length))
    }
}

impl http_body::Body for GatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(stream) = &mut self.stream {
            stream.set_unread(false);
            let part = ready!(self.poll_part(cx));
            if let (Some(stream), Some(Ok(_))) = (&mut self.stream, &part) {
                stream.set_unread(true);
            }
            return Poll::Ready(part);
        }
        // hyper polls the body again after a write.
        if !self.unsent.may_read() {
            return Poll::Pending;
        }
        let frame = ready!(self.body.as_mut().poll_frame(cx));
        let data = frame
            .as_ref()
            .and_then(|frame| frame.as_ref().ok()?.data_ref());
        self.unsent.on_frame(data.map_or(0, Bytes::len));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.rest.is_empty() {
            true => self.body.size_hint(),
            false => SizeHint::default(),
        }
    }
}
