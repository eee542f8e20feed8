//! Server side of the `Spread` service.

use std::net::SocketAddr;
use std::rc::Rc;

use jujubelink_proto::spread as proto;
use jujubelink_proto::spread::spread_server::Spread;
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use super::calls;
use super::gossip::GossipState;
use super::state::ConfigState;
use crate::core::spread::ConfigDelta;
use crate::ops::kernel::Context;
use crate::ops::members::MemberTable;
use crate::ops::services::{ConfigService, MemberService};

/// State that the RPC handlers and the background tasks work on.
pub(super) struct Components {
    pub(super) context: Context,
    pub(super) state: ConfigState,
    pub(super) gossip: Rc<GossipState>,
    pub(super) members: Rc<MemberTable>,
}

/// Implements the generated server trait. The trait requires `Send`, which [`SendWrapper`]
/// provides; the event loop runs on a single thread.
pub(super) struct SpreadServer {
    components: SendWrapper<Rc<Components>>,
}

impl SpreadServer {
    pub(super) fn new(components: Rc<Components>) -> Self {
        Self {
            components: SendWrapper::new(components),
        }
    }
}

impl Components {
    fn config_since(&self, have_version: u64) -> proto::FetchConfigReply {
        let hashes = self.state.revocations();
        let mut reply = proto::FetchConfigReply {
            version: self.state.version(),
            revoked_key_hashes: hashes.iter().map(|hash| hash.to_string()).collect(),
            quarantine: self.gossip.quarantine(),
            ..Default::default()
        };
        let Some(config) = self.state.current() else {
            return reply;
        };
        if config.version <= have_version {
            return reply;
        }
        if let Some(deltas) = self.state.deltas_since(have_version) {
            reply.is_delta = true;
            reply.payload_json = deltas;
        } else {
            reply.payload_json = serde_json::to_vec(&config.fleet).unwrap_or_default();
        }
        reply
    }

    fn apply_pushed_config(&self, request: &proto::PushConfigRequest) {
        let Some(current) = self.state.current() else {
            return self.fetch_from(&request.sender);
        };
        if request.version <= current.version {
            return;
        }
        let next = serde_json::from_slice::<ConfigDelta>(&request.delta_json)
            .ok()
            .and_then(|delta| Some((delta.apply(&current).ok()?, delta)));
        match next {
            Some((snapshot, delta)) => {
                self.state.adopt_delta(snapshot, &delta);
            }
            None => self.fetch_from(&request.sender),
        }
    }

    fn fetch_from(&self, sender: &str) {
        let Ok(address) = sender.parse::<SocketAddr>() else {
            return;
        };
        let (context, state) = (self.context.clone(), self.state.clone());
        let gossip = Rc::clone(&self.gossip);
        compio::runtime::spawn(async move {
            let result = calls::fetch_and_adopt(&context, &state, &gossip, address).await;
            if let Err(error) = result {
                slog::debug!(context.log(), "cannot fetch the configuration after a push";
                    "error" => %error);
            }
        })
        .detach();
    }

    fn status(&self) -> proto::StatusReply {
        proto::StatusReply {
            instance: self.members.self_id().to_string(),
            incarnation: self.members.self_incarnation(),
            config_version: self.state.version(),
            status_json: Vec::new(),
        }
    }
}

#[tonic::async_trait]
impl Spread for SpreadServer {
    async fn fetch_config(
        &self,
        request: Request<proto::FetchConfigRequest>,
    ) -> Result<Response<proto::FetchConfigReply>, Status> {
        let have_version = request.into_inner().have_version;
        Ok(Response::new(self.components.config_since(have_version)))
    }

    async fn push_config(
        &self,
        request: Request<proto::PushConfigRequest>,
    ) -> Result<Response<proto::PushConfigReply>, Status> {
        self.components.apply_pushed_config(request.get_ref());
        let version = self.components.state.version();
        Ok(Response::new(proto::PushConfigReply { version }))
    }

    async fn push_revocations(
        &self,
        request: Request<proto::PushRevocationsRequest>,
    ) -> Result<Response<proto::PushRevocationsReply>, Status> {
        let state = &self.components.state;
        let key_hashes = request.into_inner().key_hashes;
        state.add_revocations(key_hashes.iter().map(String::as_str));
        let key_hashes = state.revocations();
        let key_hashes = key_hashes.iter().map(|hash| hash.to_string()).collect();
        Ok(Response::new(proto::PushRevocationsReply { key_hashes }))
    }

    async fn push_quarantine(
        &self,
        request: Request<proto::PushQuarantineRequest>,
    ) -> Result<Response<proto::PushQuarantineReply>, Status> {
        self.components
            .gossip
            .on_quarantine(&request.get_ref().entries);
        Ok(Response::new(proto::PushQuarantineReply {}))
    }

    async fn push_digest(
        &self,
        request: Request<proto::PushDigestRequest>,
    ) -> Result<Response<proto::PushDigestReply>, Status> {
        let digests = request.into_inner().digests;
        self.components.gossip.on_digests(digests);
        Ok(Response::new(proto::PushDigestReply {}))
    }

    async fn status(
        &self,
        _request: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusReply>, Status> {
        Ok(Response::new(self.components.status()))
    }

    async fn members(
        &self,
        _request: Request<proto::MembersRequest>,
    ) -> Result<Response<proto::MembersReply>, Status> {
        let (members, targets) = self.components.members.export();
        Ok(Response::new(proto::MembersReply { members, targets }))
    }
}
