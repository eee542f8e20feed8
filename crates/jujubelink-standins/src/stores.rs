//! Stand-ins for the KV cache store and the weight store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::util::http::{Body, collect_limited, empty, full};

use crate::StandIn;

/// Maximum size of a block in the KV cache store.
const MAX_BLOCK_BYTES: usize = 16 << 20;

/// Stores KV cache blocks by fingerprint.
#[derive(Default)]
pub struct KvStore {
    blocks: RefCell<BTreeMap<String, Bytes>>,
}

impl KvStore {
    /// Creates an empty store.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Returns the number of stored blocks.
    pub fn len(&self) -> usize {
        self.blocks.borrow().len()
    }

    /// Whether no block is stored.
    pub fn is_empty(&self) -> bool {
        self.blocks.borrow().is_empty()
    }
}

impl StandIn for KvStore {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let Some(fingerprint) = path.strip_prefix("/v1/kv/") else {
            return status(StatusCode::NOT_FOUND);
        };
        if request.method() == Method::GET {
            let block = self.blocks.borrow().get(fingerprint).cloned();
            return block.map_or_else(
                || status(StatusCode::NOT_FOUND),
                |block| Response::new(full(block)),
            );
        }
        match collect_limited(request.into_body(), MAX_BLOCK_BYTES).await {
            Ok(Some(block)) => {
                self.blocks
                    .borrow_mut()
                    .insert(fingerprint.to_owned(), block);
                status(StatusCode::OK)
            }
            _ => status(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }
}

/// Serves model weights, with a limit on the number of loads per time window.
pub struct WeightStore {
    loads_per_window: u32,
    window: Duration,
    load_time: Duration,
    /// Start of the current window and the loads requested in it.
    current: Cell<(Instant, u32)>,
    served: Cell<u64>,
}

impl WeightStore {
    /// Creates a store that serves up to `loads_per_window` loads in each `window` and delays each
    /// response by `load_time`. Further loads are answered with 429.
    pub fn new(loads_per_window: u32, window: Duration, load_time: Duration) -> Rc<Self> {
        Rc::new(Self {
            loads_per_window,
            window,
            load_time,
            current: Cell::new((Instant::now(), 0)),
            served: Cell::new(0),
        })
    }

    /// Returns the number of loads served so far.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// Counts a load in the current window and returns whether it is within the limit.
    fn try_admit_load(&self) -> bool {
        let (mut start, mut loads) = self.current.get();
        if start.elapsed() >= self.window {
            (start, loads) = (Instant::now(), 0);
        }
        self.current.set((start, loads + 1));
        loads < self.loads_per_window
    }
}

impl StandIn for WeightStore {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if !request.uri().path().starts_with("/v1/weights/") {
            return status(StatusCode::NOT_FOUND);
        }
        if !self.try_admit_load() {
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        compio::time::sleep(self.load_time).await;
        self.served.set(self.served.get() + 1);
        Response::new(full(request.uri().path().to_owned()))
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
