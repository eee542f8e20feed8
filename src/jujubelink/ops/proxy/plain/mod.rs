//! Plain requests, which are streamed to plain services.

mod body;
mod claim;
mod prepare;
mod run;

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Poll, Waker};

use http::request::Parts;
use http::{HeaderMap, Response};
use hyper::body::Incoming;

use super::auth::{Caller, authenticate};
use super::handler::{Proxy, RequestState};
use super::model::charge_refusal;
use super::refusal::{Refusal, RefusalCode};
use super::waits::{Awaited, CurrentWait};
use crate::core::config::{Access, ConfigSnapshot, OnDisconnect, Route};
use crate::core::ids::{RequestId, RouteId, Timestamp};
use crate::ops::services::{Charge, LimitService};
use crate::util::http::Body;
use crate::util::memory_budget::Reservation;
use body::UnreadRest;
use prepare::{PlainRequest, prepare, request_host};

/// A plain request with the state needed to run it.
struct PlainCall {
    proxy: Rc<Proxy>,
    config: Rc<ConfigSnapshot>,
    route_id: RouteId,
    route: Route,
    caller: Option<Caller>,
    id: RequestId,
    /// Deadline for the response head.
    deadline: Timestamp,
    charge: ChargeGuard,
    wait: CurrentWait,
    /// What the request holds until its response has ended.
    memory: Reservation,
}

/// Settles a charge exactly once: in full if the request was sent, with zero otherwise.
struct ChargeGuard {
    proxy: Rc<Proxy>,
    charge: Option<Charge>,
    is_sent: bool,
}

impl ChargeGuard {
    fn settle(&mut self) {
        let Some(charge) = self.charge.take() else {
            return;
        };
        let used = if self.is_sent { charge.tokens } else { 0 };
        let limits = self.proxy.service::<dyn LimitService>();
        limits.settle(charge, used);
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        self.settle();
    }
}

/// Handles a request to a plain route.
pub(super) async fn handle_plain_request(
    proxy: &Rc<Proxy>,
    config: &Rc<ConfigSnapshot>,
    head: Parts,
    body: &mut Option<Incoming>,
    state: RequestState,
) -> Result<Response<Body>, Refusal> {
    let RequestState { id, wait, memory } = state;
    let host = request_host(&head);
    let route_match = config.match_route(host.as_deref(), head.uri.path());
    let (route_id, route) = route_match
        .filter(|_| head.method != http::Method::CONNECT)
        .ok_or_else(|| Refusal::not_run(RefusalCode::UnknownRoute, "no such route"))?;
    let caller = authorize(proxy, config, route, &head.headers)?;
    memory.set_workspace(caller.as_ref().map(|caller| caller.workspace.clone()));
    let now = proxy.context.timers().now();
    let deadline = now + std::time::Duration::from_millis(route.response_timeout_ms);
    let call = PlainCall {
        proxy: Rc::clone(proxy),
        config: Rc::clone(config),
        route_id: route_id.clone(),
        route: route.clone(),
        caller,
        id,
        deadline,
        charge: ChargeGuard {
            proxy: Rc::clone(proxy),
            charge: None,
            is_sent: false,
        },
        wait,
        memory,
    };
    call.wait.set(Awaited::Body);
    let unread = UnreadRest::default();
    let prepared = prepare(&call, head, body, host, &unread).await?;
    call.memory.complete();
    let result = execute(call, prepared).await;
    if result.is_err() {
        *body = unread.take();
    }
    result
}

async fn execute(mut call: PlainCall, prepared: PlainRequest) -> Result<Response<Body>, Refusal> {
    call.wait.set(Awaited::Limit);
    call.charge.charge = acquire_charge(&call).await?;
    let continues_on_disconnect = call.route.on_disconnect == OnDisconnect::Continue;
    match &prepared.idempotency_key {
        // A claimed request is completed even if the client disconnects, so that a retry gets the
        // stored response.
        Some(_) => {
            call.wait.set(Awaited::Claim);
            run_detached(claim::run_claimed(call, prepared)).await
        }
        None if continues_on_disconnect => run_detached(run::run(call, prepared)).await,
        None => run::run(call, prepared).await,
    }
}

/// Runs a request in its own task, so that it continues if the client disconnects.
async fn run_detached(
    run: impl Future<Output = Result<Response<Body>, Refusal>> + 'static,
) -> Result<Response<Body>, Refusal> {
    let sender = Rc::new(RefCell::new((None, None::<Waker>)));
    let receiver = Rc::clone(&sender);
    compio::runtime::spawn(async move {
        let response = run.await;
        let mut state = sender.borrow_mut();
        state.0 = Some(response);
        if let Some(waker) = state.1.take() {
            waker.wake();
        }
    })
    .detach();
    std::future::poll_fn(move |cx| {
        let mut state = receiver.borrow_mut();
        state.1 = Some(cx.waker().clone());
        state.0.take().map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

fn authorize(
    proxy: &Proxy,
    config: &ConfigSnapshot,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Caller>, Refusal> {
    if route.access == Access::Open {
        return Ok(None);
    }
    let caller = authenticate(proxy, config, headers)?;
    let may_use = route.workspaces.is_empty() || route.workspaces.contains(&caller.workspace);
    if !may_use {
        return Err(Refusal::not_run(
            RefusalCode::Forbidden,
            "the workspace may not use this route",
        ));
    }
    Ok(Some(caller))
}

async fn acquire_charge(call: &PlainCall) -> Result<Option<Charge>, Refusal> {
    let (Some(caller), 1..) = (&call.caller, call.route.cost_tokens) else {
        return Ok(None);
    };
    let limits = call.proxy.service::<dyn LimitService>();
    let charge = limits.charge(&caller.workspace, call.route.cost_tokens, call.deadline);
    charge.await.map(Some).map_err(charge_refusal)
}
