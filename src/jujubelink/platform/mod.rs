//! Adapter to the platform: its names, formats and calls.
//!
//! Everything that the platform says is decoded here once, into types of this project, and everything
//! that leaves is encoded here. Nothing in this folder decides. `docs/platform.md` maps the words:
//! a machine of the platform is an instance, a zone a failure domain, a tenant a workspace and a
//! server a target.

mod cache_events;
mod configuration;
mod engine;
pub mod names;
mod request;
mod store;
mod target_entry;

pub use cache_events::{CacheEventsResponse, decode_cache_events, read_cache_events};
pub use configuration::decode_configuration;
pub use engine::{EngineReport, WeightsOrder, read_report, send_weights_order};
pub use names::READY_PATH;
pub use request::{decode_request, decode_response_head, encode_request, is_connection_header};
pub use store::ObjectStoreClient;
pub use target_entry::decode_target;
