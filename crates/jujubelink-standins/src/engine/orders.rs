//! Orders to an engine, its load report and cache events, and the transfer of cache blocks.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use jujubelink::util::http::Body;
use serde_json::{Value, json};

use super::{Engine, answer};

/// Maximum time that a poll for cache events waits.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(30);

/// Interval at which a waiting poll checks for visible events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Engine {
    pub(super) fn load(&self) -> Response<Body> {
        let mut report = self.load_report.borrow_mut();
        let is_old = report
            .as_ref()
            .is_none_or(|(made, _)| made.elapsed() >= self.settings.load_report_max_age);
        if is_old {
            *report = Some((Instant::now(), self.current_load()));
        }
        answer(
            StatusCode::OK,
            &report.as_ref().expect("the report was set above").1,
        )
    }

    fn current_load(&self) -> Value {
        let state = match (self.is_loading.get(), self.faults.borrow().is_leaving) {
            (_, true) => "leaving",
            (true, _) => "loading",
            _ => "ready",
        };
        json!({
            "incarnation": self.incarnation.get(),
            "model": *self.model.borrow(),
            "weights_version": *self.weights_version.borrow(),
            "running": self.running.get(),
            "waiting": self.waiting.borrow().len(),
            "max_running": self.settings.max_running,
            "cached_blocks": self.cache.borrow().len(),
            "state": state,
        })
    }

    pub(super) async fn cache_events(&self, after: u64, limit: Duration) -> Response<Body> {
        let deadline = Instant::now() + limit.min(MAX_EVENT_WAIT);
        loop {
            let (first, next, events) = self.cache.borrow().events_from(after);
            if next > after || Instant::now() >= deadline {
                let body = json!({ "incarnation": self.incarnation.get(), "first": first,
                    "next": next, "events": events });
                return answer(StatusCode::OK, &body);
            }
            compio::time::sleep(EVENT_POLL_INTERVAL).await;
        }
    }

    pub(super) async fn order(self: &Rc<Self>, order: Value) -> Response<Body> {
        let fence = order["fence"].as_u64().unwrap_or(0);
        if self.settings.checks_fencing && fence < self.fence.get() {
            return answer(StatusCode::CONFLICT, &json!({ "error": "stale fence" }));
        }
        self.fence.set(fence.max(self.fence.get()));
        self.orders.borrow_mut().push(order.clone());
        match order["kind"].as_str() {
            Some("load") => self.load_weights(&order).await,
            Some("unload") => self.model.borrow_mut().clear(),
            _ => {}
        }
        answer(StatusCode::OK, &json!({ "order_id": order["order_id"] }))
    }

    async fn load_weights(self: &Rc<Self>, order: &Value) {
        let incarnation = self.incarnation.get();
        self.is_loading.set(true);
        compio::time::sleep(self.settings.load_time).await;
        if self.incarnation.get() != incarnation {
            return;
        }
        self.is_loading.set(false);
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        self.model.replace(text("model"));
        self.weights_version.replace(text("weights_version"));
        self.clear_cache();
    }

    pub(super) fn import_blocks(&self, body: &Value) -> Response<Body> {
        let blocks = fingerprints(body);
        let workspace = body["workspace"].as_str().unwrap_or_default();
        self.cache.borrow_mut().store(workspace, &blocks);
        answer(StatusCode::OK, &json!({ "imported": blocks.len() }))
    }

    pub(super) fn export_blocks(&self, body: &Value) -> Response<Body> {
        let cache = self.cache.borrow();
        let mut blocks = fingerprints(body);
        blocks.retain(|block| cache.contains(*block));
        answer(StatusCode::OK, &json!({ "exported": blocks }))
    }
}

fn fingerprints(body: &Value) -> Vec<u64> {
    let list = body["fingerprints"].as_array();
    list.map_or_else(Vec::new, |list| {
        list.iter().filter_map(Value::as_u64).collect()
    })
}
