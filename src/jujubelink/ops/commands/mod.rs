//! Implementation of the operators' subcommands. Most send requests to the administration API of an
//! instance; all return the output to print.

mod client;
mod config_apply;
mod config_check;
mod config_check_platform;
mod config_diff;
mod config_history;
mod config_render;
mod drain;
mod exit;
mod files;
mod key;
mod lease;
mod output;
mod rate;
mod route;
mod status;
mod trace;
mod workspace;

pub use client::{AdminClient, ConnectionOptions};
pub use config_apply::{ApplyOptions, config_apply};
pub use config_check::{SettingsKind, config_check, config_check_against_current};
pub use config_check_platform::{PlatformBase, config_check_platform};
pub use config_diff::config_diff;
pub use config_history::{config_history, config_rollback};
pub use config_render::config_render;
pub use drain::{drain_instance, drain_target};
pub use exit::{CommandError, ExitStatus, confirm};
pub use key::{key_grant, key_hash_of, key_list, key_withdraw};
pub use lease::lease_break;
pub use output::{Output, OutputFormat, table};
pub use rate::rate_set;
pub use route::{RouteChange, route_list, route_remove, route_set};
pub use status::status;
pub use trace::trace;
pub use workspace::{WorkspaceChange, workspace_list, workspace_remove, workspace_set};
