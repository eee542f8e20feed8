//! Adapter to the platform: its wire names, formats and calls.
//!
//! All data from the platform is decoded here once, into types of this project, and all data for the
//! platform is encoded here. This module contains no decisions. It translates these terms, which
//! `docs/platform.md` explains:
//!
//! | platform | this project   |
//! |----------|----------------|
//! | machine  | instance       |
//! | zone     | failure domain |
//! | tenant   | workspace      |
//! | server   | target         |

mod cache_events;
mod configuration;
mod configuration_check;
mod engine;
pub mod names;
mod objects;
mod request;
mod rollout_entry;
mod store;
mod target_entry;

pub use cache_events::{CacheEventsResponse, decode_cache_events, read_cache_events};
pub use configuration::decode_configuration;
pub use configuration_check::{
    CheckedConfiguration, ConfigurationFault, MAX_CONFIGURATION_BYTES, check_configuration,
    configuration_by_name, read_configuration_file,
};
pub use engine::{
    EngineReport, TargetStatus, WeightsOrder, read_report, read_status, send_weights_order,
};
pub use names::READY_PATH;
pub use request::{decode_request, decode_response_head, encode_request, is_connection_header};
pub use store::{ObjectStoreClient, decode_target_events};
pub use target_entry::decode_target;
