//! Selects a target by cached prefixes and load.
//!
//! Each prefix has a replica set: the targets that should hold its blocks. The replica set of a
//! longer prefix is a subset of the set of the shorter one. Sets come from a rendezvous ranking
//! that is precomputed for each model, so a decision does not visit every target. The router
//! compares the members of the replica set, the targets that are estimated to have the prompt
//! cached, and two random targets by their expected time to the first token.

mod demand;
mod load;
mod missing;
mod prefix_table;
mod ranking;
mod router;
mod scan;
mod table;

pub use demand::{Demand, MAX_REPLICAS, MAX_SMALL_FLEET_INSTANCES};
pub use load::{LoadReport, ServiceTimes, TargetLoad};
pub use missing::{MissingBlocks, MissingCause};
pub use prefix_table::{MAX_PREFIXES, PrefixTable};
pub use ranking::RankTable;
pub use router::{
    BLOCK_TOKENS, Choice, EstimateAges, RouteRequest, Router, SpeedRange, TargetSpeed,
};
pub use table::{ReportedState, TargetIndex, TargetSettings, TargetState, TargetTable};

/// Combines two hashes into a rendezvous hashing score (the finalizer of SplitMix64).
pub fn rendezvous_score(first: u64, second: u64) -> u64 {
    let mut mixed = first ^ second.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns a number in the range 0 to 1 that depends on a random number and a hash.
pub fn unit_random(random: u64, hash: u64) -> f64 {
    (rendezvous_score(random, hash) >> 11) as f64 / (1u64 << 53) as f64
}
