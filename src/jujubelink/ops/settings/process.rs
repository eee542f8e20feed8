//! Settings of a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Settings of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Identity and peers of the instance.
    pub instance: InstanceSettings,
    /// Listening addresses.
    pub listen: ListenSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Size of the machine.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub stop: StopSettings,
    /// Administration API.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Export of trace spans.
    #[serde(default)]
    pub tracing: TracingSettings,
    /// Present if the platform's store holds the configuration, targets and announced weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
}

/// Settings of an instance that reads configuration, targets and announced weights from the
/// platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the machine. It identifies the instance to its peers and in the order lease.
    pub machine: String,
    /// Listening address for the readiness checks of the platform.
    pub ready_address: SocketAddr,
    /// Whether a withdrawn key must stop working within `revocation_ms` even if the store is
    /// unreachable.
    #[serde(default)]
    pub is_revocation_strict: bool,
    /// Time within which a withdrawn key must stop working, in milliseconds.
    #[serde(default = "default_revocation_ms")]
    pub revocation_ms: u64,
    /// Time after its start, or after the end of a disruption, from which an instance has to keep all
    /// bounds, in milliseconds.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: u64,
    /// Time within which a new configuration must become active, in milliseconds.
    #[serde(default = "default_config_ms")]
    pub config_ms: u64,
    /// Maximum ratio of resends to requests in a window, over all instances.
    #[serde(default = "default_resend_ratio")]
    pub resend_ratio: f64,
    /// Resends allowed in a window in addition to that ratio, over all instances.
    #[serde(default = "default_resend_slack")]
    pub resend_slack: f64,
    /// Window in which resends are counted, in seconds.
    #[serde(default = "default_resend_window_s")]
    pub resend_window_s: f64,
    /// Window over which the limits of workspaces are enforced, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Fraction of a limit by which usage may exceed it in a window.
    #[serde(default)]
    pub quota_overage: f64,
    /// Units by which usage may exceed a limit in addition to that fraction.
    #[serde(default)]
    pub quota_slack: f64,
    /// Minimum time between orders to one engine by successive holders of the order lease, in
    /// milliseconds.
    #[serde(default = "default_holder_pause_ms")]
    pub holder_pause_ms: u64,
    /// Time within which requests must run on newly announced weights, in milliseconds.
    #[serde(default = "default_weights_ms")]
    pub weights_ms: u64,
    /// Time between two writes of a target's entry in the store.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time for which a target serves after the store has its announcement that it leaves, or has removed its
    /// entry, in milliseconds. The log states with it whether a target ended before or after its drain time.
    #[serde(default)]
    pub drain_ms: u64,
    /// Names of the features that the deployment asks for. Unknown names are ignored.
    #[serde(default)]
    pub features: Vec<String>,
    /// Part of the requests of a service that may reach a version which is rolled out and may be bad.
    #[serde(default = "default_expose_share")]
    pub expose_share: f64,
    /// Requests that may reach such a version in addition to that part, over all instances.
    #[serde(default = "default_expose_slack")]
    pub expose_slack: f64,
    /// Time after the 50th bad response of a version from which no request may reach it, in milliseconds.
    #[serde(default = "default_rollback_ms")]
    pub rollback_ms: u64,
}

impl FleetSettings {
    /// Whether the deployment asks for a feature.
    pub fn has_feature(&self, name: &str) -> bool {
        self.features.iter().any(|feature| feature == name)
    }

    /// Whether services are rolled out by version.
    pub fn has_version_rollout(&self) -> bool {
        self.has_feature("rollout")
    }
}

fn default_expose_share() -> f64 {
    0.1
}

fn default_expose_slack() -> f64 {
    50.0
}

fn default_rollback_ms() -> u64 {
    5_000
}

fn default_revocation_ms() -> u64 {
    5_000
}

fn default_contact_ms() -> u64 {
    3_000
}

fn default_config_ms() -> u64 {
    2_000
}

fn default_resend_ratio() -> f64 {
    0.2
}

fn default_resend_slack() -> f64 {
    50.0
}

fn default_resend_window_s() -> f64 {
    10.0
}

fn default_quota_window_s() -> f64 {
    8.0
}

fn default_holder_pause_ms() -> u64 {
    3_000
}

fn default_weights_ms() -> u64 {
    12_000
}

fn default_heartbeat_ms() -> u64 {
    1_200
}

/// Identity and peers of the instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Address for other instances, over TCP and UDP. It identifies the instance.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Peer addresses of other instances that are contacted to join the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all instances; at least 16 characters.
    pub cluster_key: String,
}

/// Listening addresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for client requests.
    pub client_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// TLS for client connections; without it, they are not encrypted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
}

/// TLS settings of a listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Connection to the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's object API.
    pub address: SocketAddr,
}

/// Size of the machine, from which the bounds on what clients may use are derived.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineSettings {
    /// Memory that the process may use, in megabytes. Not limited if absent.
    pub memory_mb: Option<u64>,
    /// Memory of the process without clients, in megabytes. If absent, 28 and a sixteenth of `memory_mb`.
    pub program_memory_mb: Option<u64>,
    /// Memory for requests with their heads and bodies, in megabytes. If absent, three quarters of what is left to
    /// clients, at most 134.
    pub client_memory_mb: Option<u64>,
    /// Number of open connections of clients. If absent, it follows from `max_descriptors`; the memory limits it in
    /// any case.
    pub max_client_connections: Option<u64>,
    /// Receive buffer of each connection of a client, in KiB. If absent, it follows from `memory_mb` and the number
    /// of connections.
    pub receive_buffer_kib: Option<u64>,
    /// Number of concurrent streams of a connection over HTTP/2. If absent, it follows from `memory_mb`.
    pub http2_streams: Option<u64>,
    /// Number of descriptors that the process may open. Not limited if absent.
    pub max_descriptors: Option<u64>,
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum level of logged messages: `error`, `warning`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

/// Metrics.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Address of a statsd server to which metrics are sent.
    pub statsd_address: Option<SocketAddr>,
    /// Address at which metrics are served as text; ignored if `statsd_address` is set.
    pub listen_address: Option<SocketAddr>,
}

/// Graceful shutdown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time for which connections are still accepted after the instance reports that it is not
    /// ready, so that load balancers can react; in milliseconds.
    pub balancer_notice_ms: u64,
    /// Time after that by which all requests have ended, in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_notice_ms: 5_000,
            drain_limit_ms: 600_000,
        }
    }
}

/// Administration API.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdminSettings {
    /// Keys, by name of the operator or program that uses them.
    pub keys: BTreeMap<String, AdminKey>,
}

/// A key of the administration API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminKey {
    /// Role, which determines the permitted operations.
    pub role: Role,
    /// Lower-case hexadecimal SHA-256 of the key.
    pub sha256: String,
}

/// Role of a key of the administration API. Each role includes the permissions of the preceding
/// ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// Reads configuration and state.
    Viewer,
    /// Changes workspaces, keys, rates and routes, and drains.
    Operator,
    /// Applies whole configurations and breaks leases.
    Admin,
}

/// Export of trace spans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TracingSettings {
    /// OTLP/HTTP address of the collector; without it, no spans are recorded.
    pub collector_address: Option<SocketAddr>,
    /// One in this many requests is traced, among those that the caller does not trace.
    pub sample_one_in: u32,
}

impl Default for TracingSettings {
    fn default() -> Self {
        Self {
            collector_address: None,
            sample_one_in: 100,
        }
    }
}
