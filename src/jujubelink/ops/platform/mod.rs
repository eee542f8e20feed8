//! Client of the platform's object API.
//!
//! An absent object and an unavailable platform are different results: [`PlatformClient::read`]
//! returns `Ok(None)` for an absent object and an error if the platform is unavailable.

mod client;

pub use client::{PlatformClient, PlatformError, StoredObject, WriteOutcome};
