//! Calls of the spread service at other instances.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow};
use jujubelink_proto::spread as proto;
use jujubelink_proto::spread::spread_client::SpreadClient;
use tonic::{Response, Status};

use super::gossip::GossipState;
use super::state::ConfigState;
use crate::core::config::{ConfigSnapshot, FleetConfig};
use crate::core::spread::ConfigDelta;
use crate::ops::kernel::Context;
use crate::ops::members::MemberTable;
use crate::ops::peer::{PeerChannel, PeerChannels};
use crate::ops::services::ConfigService;

/// Time for a call that carries little.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a call that may carry a configuration of 1 MB.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest message: a configuration of 1 MB with revocations and quarantine.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A client of the spread service at `address`.
pub(super) fn client(context: &Context, address: SocketAddr) -> SpreadClient<PeerChannel> {
    let channel = context.service::<PeerChannels>().channel(address);
    let origin = channel.origin();
    SpreadClient::with_origin(channel, origin).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

/// The reply of a call within a time.
pub(super) async fn with_timeout<T>(
    context: &Context,
    limit: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T> {
    match context.timers().timeout(limit, call).await {
        Some(reply) => Ok(reply?.into_inner()),
        None => Err(anyhow!("no answer within {} ms", limit.as_millis())),
    }
}

/// What another instance has: its configuration if it is newer, and its revocations and quarantine.
pub(super) struct FetchedState {
    pub(super) snapshot: Option<ConfigSnapshot>,
    revocations: Vec<String>,
    quarantine: Vec<proto::QuarantineEntry>,
}

impl FetchedState {
    /// Takes the revocations and the quarantine, which hold whatever the configuration is.
    pub(super) fn apply_revocations_and_quarantine(
        &self,
        state: &ConfigState,
        gossip: &GossipState,
    ) {
        state.add_revocations(self.revocations.iter().map(String::as_str));
        gossip.on_quarantine(&self.quarantine);
    }
}

/// Fetches from an instance without putting anything into force.
pub(super) async fn fetch(
    context: &Context,
    state: &ConfigState,
    address: SocketAddr,
) -> Result<FetchedState> {
    let mut base = state.current();
    loop {
        let have_version = base.as_ref().map_or(0, |config| config.version);
        let mut client = client(context, address);
        let call = client.fetch_config(proto::FetchConfigRequest { have_version });
        let reply = with_timeout(context, FETCH_TIMEOUT, call)
            .await
            .with_context(|| format!("fetch the configuration from {address}"))?;
        match decode_snapshot(&reply, base.as_deref()) {
            Ok(snapshot) => {
                return Ok(FetchedState {
                    snapshot,
                    revocations: reply.revoked_key_hashes,
                    quarantine: reply.quarantine,
                });
            }
            // The deltas do not fit what is held; the whole configuration does.
            Err(error) if reply.is_delta => {
                slog::warn!(context.log(), "deltas cannot be applied"; "error" => %error);
                base = None;
            }
            Err(error) => return Err(error),
        }
    }
}

fn decode_snapshot(
    reply: &proto::FetchConfigReply,
    base: Option<&ConfigSnapshot>,
) -> Result<Option<ConfigSnapshot>> {
    if reply.payload_json.is_empty() {
        return Ok(None);
    }
    if !reply.is_delta {
        let fleet: FleetConfig =
            serde_json::from_slice(&reply.payload_json).context("configuration of a member")?;
        return Ok(Some(ConfigSnapshot::new(reply.version, fleet)));
    }
    let deltas: Vec<ConfigDelta> =
        serde_json::from_slice(&reply.payload_json).context("deltas of a member")?;
    let mut snapshot = base.context("deltas without a base")?.clone();
    for delta in &deltas {
        snapshot = delta.apply(&snapshot)?;
    }
    Ok(Some(snapshot))
}

/// Fetches from an instance and puts what is newer into force.
pub(super) async fn fetch_and_adopt(
    context: &Context,
    state: &ConfigState,
    gossip: &GossipState,
    address: SocketAddr,
) -> Result<()> {
    let fetched = fetch(context, state, address).await?;
    // Revocations first, so that no key is valid between the two.
    fetched.apply_revocations_and_quarantine(state, gossip);
    if let Some(snapshot) = fetched.snapshot {
        state.adopt(snapshot);
    }
    Ok(())
}

/// Sends the own revocations and takes those of the other instance.
pub(super) async fn exchange_revocations(
    context: &Context,
    state: &ConfigState,
    address: SocketAddr,
) -> Result<()> {
    let key_hashes = state.revocations();
    let request = proto::PushRevocationsRequest {
        key_hashes: key_hashes.iter().map(|hash| hash.to_string()).collect(),
    };
    let mut client = client(context, address);
    let reply = with_timeout(context, CALL_TIMEOUT, client.push_revocations(request)).await?;
    state.add_revocations(reply.key_hashes.iter().map(String::as_str));
    Ok(())
}

/// Takes the member list of an instance.
pub(super) async fn fetch_members(
    context: &Context,
    table: &MemberTable,
    address: SocketAddr,
) -> Result<()> {
    let mut client = client(context, address);
    let call = client.members(proto::MembersRequest {});
    let reply = with_timeout(context, CALL_TIMEOUT, call).await?;
    table.import(reply.members, reply.targets);
    Ok(())
}
