//! Calls to the `Spread` service of other instances.

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

/// Timeout of a call with a small payload.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call whose response may contain a configuration of 1 MB.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum message size: a configuration of 1 MB with revocations and quarantine.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Creates a client of the `Spread` service at `address`.
pub(super) fn client(context: &Context, address: SocketAddr) -> SpreadClient<PeerChannel> {
    let channel = context.service::<PeerChannels>().channel(address);
    let origin = channel.origin();
    SpreadClient::with_origin(channel, origin).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

/// Awaits the reply to a call with a timeout.
pub(super) async fn with_timeout<T>(
    context: &Context,
    timeout: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T> {
    match context.timers().timeout(timeout, call).await {
        Some(reply) => Ok(reply?.into_inner()),
        None => Err(anyhow!(
            "call to a member timed out after {} ms",
            timeout.as_millis()
        )),
    }
}

/// State of another instance: its configuration if that is newer, its revocations and its
/// quarantine.
pub(super) struct FetchedState {
    pub(super) snapshot: Option<ConfigSnapshot>,
    revocations: Vec<String>,
    quarantine: Vec<proto::QuarantineEntry>,
}

impl FetchedState {
    /// Adds the revocations and quarantine entries, which apply regardless of the configuration.
    pub(super) fn apply_revocations_and_quarantine(
        &self,
        state: &ConfigState,
        gossip: &GossipState,
    ) {
        state.add_revocations(self.revocations.iter().map(String::as_str));
        gossip.on_quarantine(&self.quarantine);
    }
}

/// Fetches the state of an instance without applying it.
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
            // The deltas do not apply to the local configuration; request the complete one.
            Err(error) if reply.is_delta => {
                slog::warn!(context.log(),
                    "cannot apply configuration deltas; fetching the complete configuration";
                    "error" => %error);
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
        let fleet: FleetConfig = serde_json::from_slice(&reply.payload_json)
            .context("decode the configuration of a member")?;
        return Ok(Some(ConfigSnapshot::new(reply.version, fleet)));
    }
    let deltas: Vec<ConfigDelta> = serde_json::from_slice(&reply.payload_json)
        .context("decode the configuration deltas of a member")?;
    let mut snapshot = base
        .context("received configuration deltas without having a configuration")?
        .clone();
    for delta in &deltas {
        snapshot = delta.apply(&snapshot)?;
    }
    Ok(Some(snapshot))
}

/// Fetches the state of an instance and applies what is newer.
pub(super) async fn fetch_and_adopt(
    context: &Context,
    state: &ConfigState,
    gossip: &GossipState,
    address: SocketAddr,
) -> Result<()> {
    let fetched = fetch(context, state, address).await?;
    // Apply revocations first, so that no revoked key is accepted in between.
    fetched.apply_revocations_and_quarantine(state, gossip);
    if let Some(snapshot) = fetched.snapshot {
        state.adopt(snapshot);
    }
    Ok(())
}

/// Sends the local revocations and adds those of the other instance.
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

/// Fetches the member list of an instance and merges it.
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
