//! Server of the `Limits` gRPC service, which other instances call.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use jujubelink_proto::limits::charge_reply::Status as ChargeReplyStatus;
use jujubelink_proto::limits::limits_server::Limits as LimitsApi;
use jujubelink_proto::limits::{
    ChargeReply, ChargeRequest, DenyReply, DenyRequest, DirectoryReply, DirectoryRequest,
    HandOverReply, HandOverRequest, RefundReply, RefundRequest, VouchReply, VouchRequest,
};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use super::Limits;
use crate::core::lease::SessionId;
use crate::core::limit::{ChargeStatus, SlotKey};

/// Implementation of the gRPC service. tonic requires `Send`, although the service runs only on the
/// single thread of the event loop.
#[derive(Clone)]
pub(super) struct LimitsServer {
    limits: SendWrapper<Rc<Limits>>,
}

impl LimitsServer {
    pub(super) fn new(limits: Rc<Limits>) -> Self {
        Self {
            limits: SendWrapper::new(limits),
        }
    }
}

type RpcFuture<'a, T> = Pin<Box<dyn Future<Output = Result<Response<T>, Status>> + Send + 'a>>;

fn ready<'a, T: Send + 'a>(reply: T) -> RpcFuture<'a, T> {
    Box::pin(std::future::ready(Ok(Response::new(reply))))
}

fn session(instance: String, incarnation: u64) -> SessionId {
    SessionId {
        instance: instance.into(),
        incarnation,
    }
}

// The signatures match those that `async_trait` generates for the trait.
impl LimitsApi for LimitsServer {
    fn charge<'a, 'async_trait>(
        &'a self,
        request: Request<ChargeRequest>,
    ) -> RpcFuture<'async_trait, ChargeReply>
    where
        'a: 'async_trait,
        Self: 'async_trait,
    {
        ready(charge(&self.limits, request.into_inner()))
    }

    fn refund<'a, 'async_trait>(
        &'a self,
        request: Request<RefundRequest>,
    ) -> RpcFuture<'async_trait, RefundReply>
    where
        'a: 'async_trait,
        Self: 'async_trait,
    {
        let request = request.into_inner();
        if let Some(limited) = self.limits.limited_workspace(&request.workspace) {
            self.limits
                .refund_here(request.charge_id, request.unused_tokens, &limited);
        }
        ready(RefundReply {})
    }

    fn hand_over<'a, 'async_trait>(
        &'a self,
        request: Request<HandOverRequest>,
    ) -> RpcFuture<'async_trait, HandOverReply>
    where
        'a: 'async_trait,
        Self: 'async_trait,
    {
        let request = request.into_inner();
        let limits = Rc::clone(&self.limits);
        let key = SlotKey {
            shard: request.shard,
            slot: request.slot,
        };
        let is_for_us = request.remaining_ms == 0
            && request.session_incarnation == limits.sessions().id().incarnation;
        if is_for_us {
            // Claiming reads the slot's object, so a wrong or delayed notification has no effect.
            compio::runtime::spawn(async move { limits.claim(key).await }).detach();
        }
        ready(HandOverReply {
            accepted: is_for_us,
        })
    }

    fn vouch<'a, 'async_trait>(
        &'a self,
        request: Request<VouchRequest>,
    ) -> RpcFuture<'async_trait, VouchReply>
    where
        'a: 'async_trait,
        Self: 'async_trait,
    {
        let request = request.into_inner();
        let holder = session(request.instance, request.incarnation);
        let vouched = self
            .limits
            .sessions()
            .on_vouch(&holder, request.witness_incarnation);
        ready(VouchReply { vouched })
    }

    fn deny<'a, 'async_trait>(
        &'a self,
        request: Request<DenyRequest>,
    ) -> RpcFuture<'async_trait, DenyReply>
    where
        'a: 'async_trait,
        Self: 'async_trait,
    {
        let request = request.into_inner();
        let holder = session(request.instance, request.incarnation);
        let denied = self
            .limits
            .sessions()
            .on_deny(&holder, request.witness_incarnation);
        ready(DenyReply { denied })
    }

    fn directory<'a, 'async_trait>(
        &'a self,
        _request: Request<DirectoryRequest>,
    ) -> RpcFuture<'async_trait, DirectoryReply>
    where
        'a: 'async_trait,
        Self: 'async_trait,
    {
        let settings = &self.limits.context.settings().instance;
        ready(DirectoryReply {
            holders: self.limits.holder_messages(None),
            incarnation: self.limits.context.incarnation(),
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
        })
    }
}

fn charge(limits: &Rc<Limits>, request: ChargeRequest) -> ChargeReply {
    let Some(limited) = limits.limited_workspace(&request.workspace) else {
        return ChargeReply {
            status: ChargeReplyStatus::NotHolder.into(),
            ..Default::default()
        };
    };
    let outcome = limits.charge_here(request.charge_id, &limited, request.tokens, request.partial);
    let (status, holders) = match outcome.status {
        ChargeStatus::Granted => (ChargeReplyStatus::Granted, Vec::new()),
        ChargeStatus::Short => (ChargeReplyStatus::Short, Vec::new()),
        ChargeStatus::NotHolder => (
            ChargeReplyStatus::NotHolder,
            limits.holder_messages(Some(limited.shard)),
        ),
    };
    ChargeReply {
        status: status.into(),
        granted_tokens: outcome.granted_tokens,
        level_tokens: i64::try_from(outcome.level_tokens).unwrap_or(i64::MAX),
        retry_after_ms: u32::try_from(outcome.retry_after.as_millis()).unwrap_or(u32::MAX),
        held_slots: limits.table.borrow().slot_count(limited.shard),
        holders,
    }
}
