//! Relays requests without interpreting them: method, path and body are passed to the target
//! unchanged, and the request head names the workspace, the model and the prompt.
//!
//! A request is authenticated, charged, placed by the scheduler and sent, and sent again if that is
//! allowed. Its response is forwarded as it arrives; an incomplete response is aborted, so that the
//! client can detect that it is incomplete.

mod admission;
mod body;
mod cache_isolation;
mod crashes;
mod exchange;
mod expiry;
mod overload;
mod placement;
mod readmission;
mod ready;
mod resend;
mod send;
mod stop;
mod takeover;
mod versions;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;

use self::exchange::Exchange;
pub(super) use self::exchange::NO_TARGET_RETRY_AFTER;
use self::stop::no_time_left;
use super::handler::Proxy;
use super::refusal::{Outcome, Refusal, RefusalCode};
use crate::core::fleet::model_key;
use crate::core::ids::{RequestId, TargetId};
use crate::core::quota::{ResendBudget, ResendPolicy};
use crate::core::routing::LoadReport;
use crate::ops::canary::Canary;
use crate::ops::fleet::Fleet;
use crate::ops::kernel::Context;
use crate::ops::kvcache::CacheStores;
use crate::ops::quarantine::Quarantine;
use crate::ops::services::{ConfigService, SchedulerService};
use crate::ops::share::Peers;
use crate::platform::decode_request;
use crate::util::http::{Body, DEFAULT_SEND_TIME, UnreadBody};
use crate::util::memory_budget::ConnectionMemory;

/// Time after a configuration change by which the scheduler has applied it.
const SCHEDULER_UPDATE_DELAY: Duration = Duration::from_millis(5);

/// State shared by all relayed requests.
pub(super) struct Relay {
    fleet: Rc<Fleet>,
    peers: Rc<Peers>,
    cache_stores: Rc<CacheStores>,
    quarantine: Rc<Quarantine>,
    canary: Rc<Canary>,
    /// Resend budgets by service.
    resend_budgets: RefCell<HashMap<Arc<str>, ResendBudget>>,
    /// Targets that are being polled for their weights version.
    targets_being_polled: RefCell<BTreeSet<TargetId>>,
}

impl Relay {
    /// Creates the relay, or returns `None` in deployments without a platform.
    pub(super) fn new(context: &Context) -> Option<Rc<Self>> {
        context.settings().fleet.as_ref()?;
        Some(Rc::new(Self {
            fleet: context.service(),
            peers: context.service(),
            cache_stores: context.service(),
            quarantine: context.service(),
            canary: context.service(),
            resend_budgets: RefCell::default(),
            targets_being_polled: RefCell::default(),
        }))
    }

    /// Reports the incarnations and weights of all targets to the scheduler after each
    /// configuration change.
    pub(super) async fn watch_engine_states(self: Rc<Self>, context: Context) {
        let config = context.service::<dyn ConfigService>();
        let scheduler = context.service::<dyn SchedulerService>();
        loop {
            let changed = config.changed();
            // The scheduler adds new targets in response to the same change.
            context.timers().sleep(SCHEDULER_UPDATE_DELAY).await;
            self.report_target_states(&*scheduler);
            changed.await;
        }
    }

    /// Reports the incarnations of all targets and the weights of engines to the scheduler.
    fn report_target_states(&self, scheduler: &dyn SchedulerService) {
        let state = self.fleet.state();
        for record in state.targets() {
            let state_without_weights = LoadReport {
                incarnation: record.incarnation,
                ..LoadReport::default()
            };
            if record.weights.is_empty() {
                scheduler.record_engine_state(&record.id, &state_without_weights);
            }
            for (model, _) in &record.weights {
                let weights = state.weights_of(record, model).unwrap_or(0);
                let report = LoadReport {
                    model: model_key(&record.service, model).to_string(),
                    weights_version: weights.to_string(),
                    ..state_without_weights.clone()
                };
                scheduler.record_engine_state(&record.id, &report);
            }
        }
    }

    fn with_resend_budget<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut ResendBudget) -> T,
    ) -> T {
        let settings = self.fleet.settings();
        let policy = ResendPolicy {
            ratio: settings.resend_ratio,
            slack: settings.resend_slack,
            window: Duration::from_secs_f64(settings.resend_window_s),
        };
        let mut resend_budgets = self.resend_budgets.borrow_mut();
        let budget = resend_budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| ResendBudget::new(policy));
        budget.set_policy(policy);
        act(budget)
    }
}

/// Handles a client request.
pub(super) async fn handle_relayed_request(
    proxy: Rc<Proxy>,
    relay: Rc<Relay>,
    connection: &ConnectionMemory,
    request: Request<Incoming>,
) -> Response<Body> {
    let guard = proxy.load.begin_request();
    let version = request.version();
    let (head, body) = request.into_parts();
    let mut body = Some(body);
    let memory = proxy.reserve_request(connection, &head);
    let result = match (decode_request(&head), memory) {
        (Ok(relayed), Err(refusal)) => {
            slog::info!(proxy.context.log(), "request refused"; "request" => &*relayed.id,
                "reason" => &refusal.message, "connections" => proxy.load.connections());
            Err((refusal, relayed.id, DEFAULT_SEND_TIME))
        }
        (Ok(relayed), Ok(memory)) => {
            let mut exchange = Exchange::new(&proxy, &relay, head, relayed, memory);
            let stopped = no_time_left(proxy.context.clone(), Rc::clone(&exchange.progress));
            let ran = {
                let mut run = pin!(exchange.run(&mut body).fuse());
                let mut stopped = pin!(stopped.fuse());
                futures_util::select_biased! {
                    ran = run => ran,
                    refusal = stopped => Err(refusal),
                }
            };
            match ran {
                Ok(response) => Ok(response.into_response(exchange)),
                Err(refusal) => {
                    exchange.log_refusal(&refusal);
                    Err((refusal, exchange.head.id.clone(), exchange.send_time()))
                }
            }
        }
        (Err(fault), _) => {
            slog::info!(proxy.context.log(), "request malformed"; "fault" => &fault);
            let refusal = Refusal::not_run(RefusalCode::InvalidRequest, fault);
            Err((refusal, "".into(), DEFAULT_SEND_TIME))
        }
    };
    let mut response = match result {
        Ok(response) => response,
        Err((refusal, id, send_time)) => {
            let mut response = refusal_response(&refusal, &id);
            if let Some(unread_body) = body {
                UnreadBody::attach(&mut response, unread_body, send_time);
            }
            response
        }
    };
    if !proxy.is_running() && version <= Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| guard.attach_to(body))
}

/// Refuses a request that has not been looked at.
pub(super) fn refuse_relayed_request(
    refusal: &Refusal,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let id = decode_request(&head).map_or_else(|_| "".into(), |relayed| relayed.id);
    let mut response = refusal_response(refusal, &id);
    UnreadBody::attach(&mut response, body, DEFAULT_SEND_TIME);
    response
}

/// Builds the response for a refusal. Statuses that promise that the request was not run are used
/// only if that is certain.
fn refusal_response(refusal: &Refusal, id: &RequestId) -> Response<Body> {
    let mut response = refusal.to_response(id);
    let status = match (refusal.outcome, refusal.code) {
        (Outcome::NotRun, RefusalCode::Quarantined) => http::StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::NotRun, code) => code.status(),
        (_, RefusalCode::DeadlineExceeded) => http::StatusCode::GATEWAY_TIMEOUT,
        _ => http::StatusCode::BAD_GATEWAY,
    };
    *response.status_mut() = status;
    if let Some(after) = refusal.retry_after {
        // Clients of the platform accept fractions of a second.
        let value = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(value) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
