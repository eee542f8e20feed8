//! Request processing around the handlers: authentication, authorization, idempotency and audit.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Poll};
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use http::{HeaderMap, Request, Response, request};
use hyper::body::Incoming;

use super::audit::{AuditEntry, AuditLog, unix_ms};
use super::auth::{Caller, authenticate};
use super::endpoint::{Endpoint, EndpointMatch, match_path};
use super::handlers::{self, AdminCall};
use super::idempotency::{ChangeId, ChangeStart, IdempotencyCache};
use super::reply::{ApiError, ApiErrorCode, Reply};
use super::writer::ConfigWriter;
use crate::ops::kernel::Context;
use crate::util::http::{Body, Handler, collect_limited};

/// Maximum size of a request body. A configuration of 1 MB, the limit of the platform, can be larger
/// in a less compact encoding.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Time within which the request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by all handlers.
pub(super) struct AdminState {
    pub(super) context: Context,
    pub(super) writer: ConfigWriter,
    pub(super) audit: AuditLog,
    idempotency: IdempotencyCache,
}

/// HTTP handler of the administration API.
#[derive(Clone)]
pub(super) struct AdminHandler {
    state: Rc<AdminState>,
}

impl AdminHandler {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            state: Rc::new(AdminState {
                context: context.clone(),
                writer: ConfigWriter::new(context),
                audit: AuditLog::default(),
                idempotency: IdempotencyCache::new(),
            }),
        }
    }
}

impl Handler for AdminHandler {
    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let reply = self.state.handle_request(request).await;
        reply.unwrap_or_else(Reply::from).into_response()
    }
}

impl AdminState {
    async fn handle_request(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, ApiError> {
        let (head, body) = request.into_parts();
        let (endpoint, parameter) = find_endpoint(&head)?;
        let caller = self.authorize(endpoint, &head.headers)?;
        let call = AdminCall {
            action: endpoint.action,
            parameter: parameter.unwrap_or_default(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            body: self.read_body(body).await?,
            metadata: None,
        };
        match caller {
            Some(caller) if endpoint.is_change() => self.handle_change(caller, &head, call).await,
            _ => handlers::dispatch(&self, call).await,
        }
    }

    /// Authenticates the caller and checks its role. Returns `None` if the endpoint requires no key.
    fn authorize(
        &self,
        endpoint: &Endpoint,
        headers: &HeaderMap,
    ) -> Result<Option<Caller>, ApiError> {
        let Some(required_role) = endpoint.role else {
            return Ok(None);
        };
        let caller = authenticate(headers, &self.context.settings().admin).ok_or_else(|| {
            self.context.metrics().count("admin.unauthorized", 1);
            ApiError::new(
                ApiErrorCode::InvalidKey,
                "a key of the administration API is needed",
            )
        })?;
        if caller.role < required_role {
            let message = format!(
                "role {required_role} is needed; the key has role {}",
                caller.role
            );
            return Err(ApiError::new(ApiErrorCode::Forbidden, message));
        }
        Ok(Some(caller))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ApiError> {
        let read = collect_limited(body, MAX_BODY_BYTES);
        let read = self.context.timers().timeout(BODY_TIMEOUT, read).await;
        match read {
            None => Err(ApiError::invalid("the body did not arrive in time")),
            Some(Err(_)) => Err(ApiError::invalid("the body broke off")),
            Some(Ok(None)) => Err(ApiError::new(
                ApiErrorCode::TooLarge,
                format!("the body is larger than {MAX_BODY_BYTES} bytes"),
            )),
            Some(Ok(Some(body))) => Ok(body),
        }
    }

    /// Makes a change, or returns the earlier reply if the request is a repeat. The change runs in a
    /// task of its own, so that it completes even if the client disconnects.
    async fn handle_change(
        self: Rc<Self>,
        caller: Caller,
        head: &request::Parts,
        mut call: AdminCall,
    ) -> Result<Reply, ApiError> {
        let request = format!("{} {}", head.method, head.uri);
        let id = ChangeId::new(&caller.name, &head.headers, &request, &call.body)?;
        if let ChangeStart::Repeat(reply) = self.idempotency.begin(&id)? {
            self.record_audit(&caller, request, &reply, true);
            return Ok(reply);
        }
        call.metadata = Some(super::writer::ChangeMetadata {
            author: caller.name.clone(),
            nonce: id.nonce(),
        });
        let task = compio::runtime::spawn(async move {
            let reply = handlers::dispatch(&self, call)
                .await
                .unwrap_or_else(Reply::from);
            self.idempotency.finish(&id, &reply);
            self.record_audit(&caller, request, &reply, false);
            reply
        });
        DetachOnDrop(Some(task)).await.ok_or_else(|| {
            ApiError::new(ApiErrorCode::OutcomeUnknown, "the change was interrupted")
        })
    }

    fn record_audit(&self, caller: &Caller, request: String, reply: &Reply, is_repeat: bool) {
        let entry = AuditEntry {
            unix_ms: unix_ms(),
            actor: caller.name.clone(),
            role: caller.role.to_string(),
            request,
            status: reply.status.as_u16(),
            is_repeat,
        };
        slog::info!(self.context.log(), "administration change";
            "actor" => &entry.actor, "role" => &entry.role, "request" => &entry.request,
            "status" => entry.status, "is_repeat" => entry.is_repeat);
        self.context.metrics().count("admin.changes", 1);
        self.audit.add(entry);
    }
}

fn find_endpoint(head: &request::Parts) -> Result<(&'static Endpoint, Option<String>), ApiError> {
    match match_path(&head.method, head.uri.path()) {
        EndpointMatch::Found(endpoint, parameter) => Ok((endpoint, parameter)),
        EndpointMatch::WrongMethod => Err(ApiError::new(
            ApiErrorCode::MethodNotAllowed,
            "the path has no such method",
        )),
        EndpointMatch::NotFound => Err(ApiError::not_found("no such path")),
    }
}

/// Waits for a task and detaches it when dropped, so that the task always runs to completion.
struct DetachOnDrop(Option<JoinHandle<Reply>>);

impl Future for DetachOnDrop {
    type Output = Option<Reply>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<Option<Reply>> {
        let Some(task) = &mut self.0 else {
            return Poll::Ready(None);
        };
        let result = std::task::ready!(Pin::new(task).poll(cx));
        self.0 = None;
        Poll::Ready(result.ok())
    }
}

impl Drop for DetachOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.detach();
        }
    }
}
