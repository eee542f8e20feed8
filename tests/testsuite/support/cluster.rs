//! A cluster of instances of the real binary that share one platform stand-in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use jujubelink::ops::peer::{PeerChannel, PeerToken};
use jujubelink::util::hash::sha256_hex;
use jujubelink_proto::limits::limits_client::LimitsClient;
use jujubelink_proto::spread::spread_client::SpreadClient;
use jujubelink_proto::spread::{
    FetchConfigRequest, MembersRequest, PushQuarantineRequest, PushRevocationsRequest,
    QuarantineEntry, StatusRequest,
};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::platform::Platform;
use serde_json::{Value, json};

use super::{Instance, eventually, free_address, send};

/// Cluster key in the settings file that [`Instance`] writes.
const CLUSTER_KEY: &str = "test cluster key";

/// Client, administration and peer address of an instance.
type Addresses = [SocketAddr; 3];

/// Instances that share one platform stand-in.
pub(crate) struct Cluster {
    pub(crate) platform: Rc<Platform>,
    platform_handle: StandInHandle,
    addresses: Vec<Addresses>,
    pub(crate) instances: Vec<Option<Instance>>,
}

/// A configuration with one workspace and one model, and the given API keys of the workspace.
pub(crate) fn config(version: u64, keys: &[&str]) -> Value {
    let key_entries: serde_json::Map<_, _> = keys
        .iter()
        .map(|key| {
            let hash = sha256_hex(key.as_bytes());
            (hash, json!({ "workspace": "clerks" }))
        })
        .collect();
    json!({ "version": version, "nonce": format!("n{version}"), "config": {
        "workspaces": { "clerks": { "rate_tokens_per_s": 100_000, "burst_tokens": 100_000 } },
        "keys": key_entries,
        "models": { "shop": { "weights_version": "1" } },
    } })
}

impl Cluster {
    /// Starts `size` instances that have the first two as seeds.
    pub(crate) async fn start(size: usize, first_config: Option<Value>) -> Self {
        let platform = Platform::new();
        let platform_handle =
            StandInHandle::start(platform.clone()).expect("start the platform stand-in");
        if let Some(value) = first_config {
            platform.put("config/current", value);
        }
        let addresses = (0..size)
            .map(|_| [free_address(), free_address(), free_address()])
            .collect();
        let mut cluster = Self {
            platform,
            platform_handle,
            addresses,
            instances: (0..size).map(|_| None).collect(),
        };
        for index in 0..size {
            cluster.start_instance(index).await;
        }
        cluster
    }

    /// Starts an instance at its addresses; kills it first if it is running.
    pub(crate) async fn start_instance(&mut self, index: usize) {
        self.instances[index] = None;
        let seeds = [
            self.peer_address(0),
            self.peer_address(1 % self.addresses.len()),
        ];
        let platform = self.platform_handle.address();
        let instance = Instance::start_on(self.addresses[index], platform, &seeds).await;
        self.instances[index] = Some(instance);
    }

    /// Kills an instance without a planned stop.
    pub(crate) fn kill(&mut self, index: usize) {
        self.instances[index] = None;
    }

    /// Sends a Unix signal such as `STOP` to an instance.
    pub(crate) fn signal(&self, index: usize, signal: &str) {
        let instance = self.instances[index].as_ref().expect("running");
        instance.signal(&format!("-{signal}"));
    }

    /// Peer address of an instance.
    pub(crate) fn peer_address(&self, index: usize) -> SocketAddr {
        self.addresses[index][2]
    }

    /// Indexes of the running instances.
    pub(crate) fn running_indexes(&self) -> Vec<usize> {
        let indexes = 0..self.instances.len();
        indexes.filter(|i| self.instances[*i].is_some()).collect()
    }

    /// Client of the gRPC service `Limits` of an instance.
    pub(crate) fn limits_client(&self, index: usize) -> LimitsClient<PeerChannel> {
        let channel = PeerChannel::new(self.peer_address(index), PeerToken::new(CLUSTER_KEY));
        let origin = channel.origin();
        LimitsClient::with_origin(channel, origin)
    }

    /// Client of the gRPC service `Spread` of an instance.
    fn spread_client(&self, index: usize) -> SpreadClient<PeerChannel> {
        let channel = PeerChannel::new(self.peer_address(index), PeerToken::new(CLUSTER_KEY));
        let origin = channel.origin();
        SpreadClient::with_origin(channel, origin)
    }

    /// Version of the active configuration at an instance; `None` if it does not respond within 1
    /// s.
    pub(crate) async fn config_version(&self, index: usize) -> Option<u64> {
        let mut client = self.spread_client(index);
        let call = client.status(StatusRequest {});
        let reply = compio::time::timeout(Duration::from_secs(1), call).await;
        Some(reply.ok()?.ok()?.into_inner().config_version)
    }

    /// Number of members that are not leaving in the member list of an instance, including itself.
    pub(crate) async fn live_member_count(&self, index: usize) -> usize {
        let reply = self.spread_client(index).members(MembersRequest {}).await;
        let members = reply.expect("members").into_inner().members;
        members.iter().filter(|member| !member.leaving).count()
    }

    /// Revokes a key at one instance.
    pub(crate) async fn revoke(&self, index: usize, key: &str) {
        let key_hashes = vec![sha256_hex(key.as_bytes())];
        let request = PushRevocationsRequest { key_hashes };
        let reply = self.spread_client(index).push_revocations(request).await;
        reply.expect("a gRPC reply");
    }

    /// Hashes of revoked keys at an instance that its active configuration does not list yet.
    pub(crate) async fn pending_revocations(&self, index: usize) -> Vec<String> {
        let request = FetchConfigRequest { have_version: 0 };
        let reply = self.spread_client(index).fetch_config(request).await;
        reply.expect("a gRPC reply").into_inner().revoked_key_hashes
    }

    /// Reports a quarantined fingerprint to one instance.
    pub(crate) async fn quarantine(&self, index: usize, fingerprint: u64) {
        let entry = QuarantineEntry {
            fingerprint,
            crashes: 2,
            remaining_ms: 600_000,
        };
        let request = PushQuarantineRequest {
            entries: vec![entry],
        };
        let reply = self.spread_client(index).push_quarantine(request).await;
        reply.expect("a gRPC reply");
    }

    /// Request fingerprints in the quarantine set of an instance.
    pub(crate) async fn quarantined(&self, index: usize) -> Vec<u64> {
        let request = FetchConfigRequest { have_version: 0 };
        let reply = self.spread_client(index).fetch_config(request).await;
        let entries = reply.expect("a gRPC reply").into_inner().quarantine;
        entries.iter().map(|entry| entry.fingerprint).collect()
    }

    /// Targets that are leaving according to an instance.
    pub(crate) async fn leaving_targets(&self, index: usize) -> Vec<String> {
        let reply = self.spread_client(index).members(MembersRequest {}).await;
        let targets = reply.expect("members").into_inner().targets;
        let leaving = targets.into_iter().filter(|target| target.leaving);
        leaving.map(|target| target.target).collect()
    }

    /// Error code of a chat request with a key at an instance. The configuration has no target, so
    /// every request fails; the code shows whether the key is valid.
    pub(crate) async fn error_code(&self, index: usize, key: &str) -> String {
        let body = json!({ "model": "shop", "max_tokens": 1, "messages": [] });
        let request = Request::post("/v1/chat/completions")
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json");
        let response = send(self.addresses[index][0], request, Some(body.to_string())).await;
        let value: Value = serde_json::from_str(&response.body).expect("a JSON error body");
        value["error"]["code"]
            .as_str()
            .expect("an error code")
            .to_owned()
    }

    /// Waits until a configuration version is active at all running instances.
    pub(crate) async fn wait_for_version(&self, version: u64) {
        for index in self.running_indexes() {
            eventually("the configuration version is active", || async {
                (self.config_version(index).await == Some(version)).then_some(())
            })
            .await;
        }
    }

    /// Waits until each running instance lists all running instances as live.
    pub(crate) async fn wait_for_members(&self) {
        let size = self.running_indexes().len();
        for index in self.running_indexes() {
            eventually("the instance lists all running members", || async {
                (self.live_member_count(index).await == size).then_some(())
            })
            .await;
        }
    }
}
