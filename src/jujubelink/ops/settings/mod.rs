//! TOML settings of a process and of the fleet.
//!
//! Settings of either kind consist of a base file and optional overlays. [`load_process`] and
//! [`load_fleet`] merge the files and report all errors and warnings together.

mod decode;
mod document;
mod finding;
mod load;
mod merge;
mod process;
mod render;
mod suggest;

pub use decode::{Decoded, decode};
pub use document::{Node, NodeTable, NodeValue, parse_document};
pub use finding::{Finding, Origin, Severity};
pub use load::{
    Loaded, SettingsSource, load_fleet, load_process, read_sources, violation_findings,
};
pub use merge::merge_overlay;
pub use process::{
    AdminKey, AdminSettings, FleetSettings, InstanceSettings, ListenSettings, LogSettings,
    MetricsSettings, PlatformSettings, ProcessSettings, Role, StopSettings, TlsSettings,
    TracingSettings,
};
pub use render::render;
pub use suggest::{most_similar, unknown_field_message};
