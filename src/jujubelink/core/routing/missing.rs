//! Why a selected target is not estimated to have all shared blocks of a prompt cached.

use derive_more::Display;

/// Why blocks will be computed again, or for the first time, at the selected target. The estimate of this
/// instance decides; other instances may have stored blocks that it does not know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum MissingCause {
    /// This instance has not sent the blocks to any target.
    #[display("first_use")]
    FirstUse,
    /// All entries are older than the lifetime of blocks at their targets.
    #[display("evicted")]
    Evicted,
    /// The targets that hold the blocks are out of service, load weights, or have lost their cache.
    #[display("out")]
    Out,
    /// The targets that hold the blocks have no capacity.
    #[display("full")]
    Full,
    /// The request has failed at the targets that hold the blocks.
    #[display("failure")]
    Failure,
    /// A target that holds the blocks has capacity, but another one was cheaper or was drawn.
    #[display("spread")]
    Spread,
}

/// Shared blocks that the selected target is not estimated to have cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingBlocks {
    /// Number of blocks.
    pub blocks: u32,
    /// Cause.
    pub cause: MissingCause,
}

/// Use of one target that holds the last shared block of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HolderUse {
    Available,
    Full,
    Excluded,
    Out,
    Expired,
}

/// Returns the cause from the uses of all targets that hold the blocks. The use that is closest to the
/// selection of a holder decides.
pub(super) fn missing_cause(holders: impl Iterator<Item = HolderUse>) -> MissingCause {
    let rank = |holder: &HolderUse| match holder {
        HolderUse::Available => 0,
        HolderUse::Full => 1,
        HolderUse::Excluded => 2,
        HolderUse::Out => 3,
        HolderUse::Expired => 4,
    };
    match holders.min_by_key(rank) {
        None => MissingCause::FirstUse,
        Some(HolderUse::Available) => MissingCause::Spread,
        Some(HolderUse::Full) => MissingCause::Full,
        Some(HolderUse::Excluded) => MissingCause::Failure,
        Some(HolderUse::Out) => MissingCause::Out,
        Some(HolderUse::Expired) => MissingCause::Evicted,
    }
}
