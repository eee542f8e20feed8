//! Memory for the requests of an HTTP/2 connection: its windows and send buffers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::core::capacity::UNSENT_BYTES;
use crate::util::memory_budget::Reservation;

/// Size of the windows of a connection and of each of its streams. It is the amount that is on its way on a link of
/// 10 Mbit/s with a delay of 100 ms.
pub(super) const WINDOW_BYTES: usize = 128 * 1024;

/// Send buffer of a stream. With a frame that exceeds it, a stream holds [`UNSENT_BYTES`].
pub(super) const SEND_BUFFER_BYTES: usize = UNSENT_BYTES / 2;

/// What the requests in progress of a connection hold.
#[derive(Default)]
pub(super) struct Http2Memory {
    /// `None` without requests.
    reservation: RefCell<Option<Reservation>>,
    requests: Cell<usize>,
    /// Requests that have a body. The window of the connection is charged for all of them together.
    requests_with_body: Cell<usize>,
}

/// Memory of one request, until it is dropped.
pub(super) struct Http2Grant {
    memory: Rc<Http2Memory>,
    has_body: bool,
}

impl Http2Memory {
    /// Charges a request. Returns `None` if too little memory is left. `begin` creates the reservation of the
    /// connection.
    pub(super) fn begin(
        self: &Rc<Self>,
        has_body: bool,
        begin: impl FnOnce() -> Reservation,
    ) -> Option<Http2Grant> {
        let is_first_body = has_body && self.requests_with_body.get() == 0;
        let window_bytes = if is_first_body { WINDOW_BYTES } else { 0 };
        {
            let mut reservation = self.reservation.borrow_mut();
            let granted = reservation
                .get_or_insert_with(begin)
                .grow_if_free(UNSENT_BYTES + window_bytes);
            if !granted {
                if self.requests.get() == 0 {
                    reservation.take();
                }
                return None;
            }
        }
        self.requests.set(self.requests.get() + 1);
        self.requests_with_body
            .set(self.requests_with_body.get() + usize::from(has_body));
        Some(Http2Grant {
            memory: Rc::clone(self),
            has_body,
        })
    }
}

impl Drop for Http2Grant {
    fn drop(&mut self) {
        let memory = &self.memory;
        memory.requests.set(memory.requests.get() - 1);
        let with_body = memory.requests_with_body.get() - usize::from(self.has_body);
        memory.requests_with_body.set(with_body);
        let mut reservation = memory.reservation.borrow_mut();
        if memory.requests.get() == 0 {
            reservation.take();
        } else if let Some(reservation) = &*reservation {
            let window_bytes = if with_body > 0 { WINDOW_BYTES } else { 0 };
            reservation.shrink_to(memory.requests.get() * UNSENT_BYTES + window_bytes);
        }
    }
}
