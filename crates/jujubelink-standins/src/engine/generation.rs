//! A request that is executed by an engine, and the response bodies that stream its events.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::StreamBody;
use jujubelink::util::http::{Body, BodyError};

use super::Engine;

/// State of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Running,
    Done,
    Cancelled,
    Crashed,
}

/// The events generated for a request. They are retained for some time after its end, so that a
/// stream can be resumed.
pub(super) struct Generation {
    events: RefCell<Vec<Bytes>>,
    progress: Cell<Progress>,
    wakers: RefCell<Vec<Waker>>,
    /// Number of response bodies that stream this generation.
    readers: Cell<u32>,
    /// When the last response body was dropped.
    detached_at: Cell<Instant>,
}

impl Generation {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            events: RefCell::default(),
            progress: Cell::new(Progress::Running),
            wakers: RefCell::default(),
            readers: Cell::new(0),
            detached_at: Cell::new(Instant::now()),
        })
    }

    pub(super) fn push(&self, event: String) {
        self.events.borrow_mut().push(event.into());
        self.wake();
    }

    pub(super) fn end(&self, progress: Progress) {
        if self.progress.get() == Progress::Running {
            self.progress.set(progress);
        }
        self.wake();
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Prevents the generation from being abandoned for lack of a response body.
    pub(super) fn keep_running(&self) {
        self.readers.set(self.readers.get() + 1);
    }

    /// Whether no response body has streamed the generation for longer than `window`.
    pub(super) fn is_abandoned(&self, window: std::time::Duration) -> bool {
        self.readers.get() == 0 && self.detached_at.get().elapsed() > window
    }

    fn wake(&self) {
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits for the event at `index`. Returns `None` if the generation completed before that
    /// index, and an error if it was cancelled or the engine crashed.
    pub(super) async fn event(&self, index: u64) -> Result<Option<Bytes>, Progress> {
        std::future::poll_fn(|cx| {
            if self.progress.get() == Progress::Crashed {
                return Poll::Ready(Err(Progress::Crashed));
            }
            if let Some(event) = self.events.borrow().get(index as usize) {
                return Poll::Ready(Ok(Some(event.clone())));
            }
            match self.progress.get() {
                Progress::Running => {
                    self.wakers.borrow_mut().push(cx.waker().clone());
                    Poll::Pending
                }
                Progress::Done => Poll::Ready(Ok(None)),
                ended => Poll::Ready(Err(ended)),
            }
        })
        .await
    }
}

/// Streams the events of a generation into a response body, with the faults of the engine.
struct Reader {
    engine: Rc<Engine>,
    generation: Rc<Generation>,
    index: u64,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let generation = &self.generation;
        generation.readers.set(generation.readers.get() - 1);
        generation.detached_at.set(Instant::now());
    }
}

impl Reader {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, BodyError>, Self)> {
        let index = self.index;
        let event = match self.generation.event(index).await {
            Ok(Some(event)) => event,
            Ok(None) => return None,
            Err(progress) => return Some((Err(format!("{progress:?}").into()), self)),
        };
        if self.engine.take_fault(|faults| &mut faults.crash_at, index) {
            self.engine.crash();
            return Some((Err("crash".into()), self));
        }
        if self.engine.take_fault(|faults| &mut faults.cut_at, index) {
            return Some((Err("cut".into()), self));
        }
        if self
            .engine
            .take_fault(|faults| &mut faults.silent_at, index)
        {
            std::future::pending::<()>().await;
        }
        if self.engine.take_fault(|faults| &mut faults.pause_at, index) {
            let pause = self.engine.faults.borrow().stream_pause;
            compio::time::sleep(pause).await;
        }
        self.index += 1;
        if self.engine.take_fault(|faults| &mut faults.skip_at, index) {
            return Box::pin(self.next()).await;
        }
        let repeats = self
            .engine
            .take_fault(|faults| &mut faults.repeat_at, index);
        let bytes = if repeats {
            [event.clone(), event].concat().into()
        } else {
            event
        };
        Some((Ok(Frame::data(bytes)), self))
    }
}

/// Returns a response body that streams the events of a generation, starting at an event index.
pub(super) fn follow(engine: &Rc<Engine>, generation: &Rc<Generation>, index: u64) -> Body {
    generation.readers.set(generation.readers.get() + 1);
    let reader = Reader {
        engine: Rc::clone(engine),
        generation: Rc::clone(generation),
        index,
    };
    Box::pin(StreamBody::new(futures_util::stream::unfold(
        reader,
        Reader::next,
    )))
}
