//! The synthetic workload of the routing benchmark, generated from a seed.
//!
//! A prompt consists of the system prompt of its workspace, a document, the history of a
//! conversation, and a unique end; prompts share the blocks up to the point where they differ. The
//! popularity of documents follows a Zipf distribution, and which documents are popular changes
//! over time. Each workspace has its own random number generator, so its requests do not depend on
//! the others.

mod generate;
mod spec;

pub use generate::{WorkRequest, generate};
pub use spec::{ModelSpec, WorkloadSpec, WorkspaceSpec};

/// Number of tokens in a cache block.
pub const BLOCK_TOKENS: u64 = 1000;

/// Number of prompt bytes that count as one token. A block thus has the default size of 4,000
/// bytes.
pub const BYTES_PER_TOKEN: u64 = 4;
