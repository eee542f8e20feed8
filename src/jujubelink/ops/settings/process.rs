//! What one process needs to start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Settings of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Identity and peers.
    pub instance: InstanceSettings,
    /// Listening addresses.
    pub listen: ListenSettings,
    /// Platform.
    pub platform: PlatformSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Administration API.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Export of spans.
    #[serde(default)]
    pub tracing: TracingSettings,
    /// Present where the platform's store holds configuration, targets and named weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
}

/// An instance in front of a fleet whose configuration, targets and named weights are in the
/// platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the machine. It names the instance to others and as holder of the lease for orders.
    pub machine: String,
    /// Address at which the platform asks whether the instance is ready.
    pub ready_address: SocketAddr,
    /// Whether a withdrawn key must stop working within `revocation_ms` also when the store cannot be
    /// reached.
    #[serde(default)]
    pub is_revocation_strict: bool,
    /// Time within which a withdrawn key must stop working, in milliseconds.
    #[serde(default = "default_revocation_ms")]
    pub revocation_ms: u64,
    /// Time within which a configuration must be in force, in milliseconds.
    #[serde(default = "default_config_ms")]
    pub config_ms: u64,
    /// Resends that each request allows, over all instances.
    #[serde(default = "default_resend_ratio")]
    pub resend_ratio: f64,
    /// Resends that are allowed besides in a window, over all instances.
    #[serde(default = "default_resend_slack")]
    pub resend_slack: f64,
    /// Window of the resends, in seconds.
    #[serde(default = "default_resend_window_s")]
    pub resend_window_s: f64,
    /// Window over which limits of workspaces hold, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Part of a limit by which it may be exceeded in a window.
    #[serde(default)]
    pub quota_overage: f64,
    /// Units by which it may be exceeded besides.
    #[serde(default)]
    pub quota_slack: f64,
    /// Shortest time between orders of two holders to one engine, in milliseconds.
    #[serde(default = "default_holder_pause_ms")]
    pub holder_pause_ms: u64,
    /// Time within which requests must run on newly named weights, in milliseconds.
    #[serde(default = "default_weights_ms")]
    pub weights_ms: u64,
}

fn default_revocation_ms() -> u64 {
    5_000
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

/// Identity and peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Address for other instances, TCP and UDP. It names the instance.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Peer addresses of some other instances.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all instances, at least 16 characters.
    pub cluster_key: String,
}

/// Listening addresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// TLS towards clients; connections are plain without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
}

/// TLS of a listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate and those that lead to a trusted one.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub address: SocketAddr,
}

/// Logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warning`, `info`, `debug` or `trace`.
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
    /// statsd address that metrics are sent to.
    pub statsd_address: Option<SocketAddr>,
    /// Address at which metrics are served as text, if they are not sent to a statsd address.
    pub listen_address: Option<SocketAddr>,
}

/// Planned stop.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time for which the listener accepts after readiness is off, in milliseconds.
    pub balancer_notice_ms: u64,
    /// Longest time that running requests may take to end, in milliseconds.
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
    /// Keys by the name of the operator or program that uses them.
    pub keys: BTreeMap<String, AdminKey>,
}

/// A key of the administration API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminKey {
    /// What the key allows.
    pub role: Role,
    /// Lower-case hexadecimal SHA-256 of the key.
    pub sha256: String,
}

/// What a key of the administration API allows. A larger role includes the smaller ones.
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

/// Export of spans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TracingSettings {
    /// OTLP/HTTP address of the collector; spans are not recorded without it.
    pub collector_address: Option<SocketAddr>,
    /// One in this many requests without a trace of the caller is recorded.
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
