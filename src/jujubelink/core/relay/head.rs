//! Metadata of relayed requests: what the client sends, and what is added for the target.

use std::sync::Arc;
use std::time::Duration;

use crate::core::fleet::TargetAddress;
use crate::core::ids::{Fingerprint, KeyHash, ModelId, RequestId, TargetId, Tokens, WorkspaceId};
use crate::core::prefix::PromptFingerprints;
use crate::core::routing::MAX_SMALL_FLEET_INSTANCES;
use crate::util::hash::{combine, stable_hash};

/// Tokens per block of the router's prefix table.
pub const BLOCK_TOKENS: u64 = 1_000;

/// Maximum number of blocks of one prompt. Longer prompts are represented by their first blocks.
const MAX_BLOCKS: usize = 256;

/// Maximum length of the names of a prompt's parts in a log line.
const MAX_LOGGED_NAMES_BYTES: usize = 256;

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Name, which identifies the contents.
    pub name: Arc<str>,
    /// Hash of the name.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: Tokens,
}

/// How the number of blocks of a prompt's shared parts is rounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockCounting {
    /// Each part is rounded by itself and yields at least one block.
    PerPart,
    /// The sum of the parts is rounded, so that a prompt with few shared tokens has no blocks and goes to the
    /// target with the shortest wait.
    Total,
}

impl BlockCounting {
    /// Returns the counting for a fleet. In a large one, blocks for small parts made the load of targets
    /// uneven: requests with 198 shared tokens went to the few targets of the part's replica set as if 1,000
    /// tokens were cached there, and waited longer than their prefill takes.
    pub fn for_fleet(instances: usize) -> Self {
        match instances > MAX_SMALL_FLEET_INSTANCES as usize {
            true => Self::Total,
            false => Self::PerPart,
        }
    }
}

/// Returns the nearest number of blocks for a number of tokens.
fn rounded_blocks(tokens: Tokens) -> u64 {
    tokens.saturating_add(BLOCK_TOKENS / 2) / BLOCK_TOKENS
}

/// Description of the prompt in the request headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptHead {
    /// Model.
    pub model: ModelId,
    /// Number of prompt tokens.
    pub prompt_tokens: Tokens,
    /// Maximum number of output tokens.
    pub max_output_tokens: Tokens,
    /// Parts of the prompt in order. All parts except the last one are shared between requests; the last
    /// one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptHead {
    /// Returns the parts that other requests may share. A prompt of a single part may be shared
    /// completely.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.parts.len() {
            0 | 1 => &self.parts,
            parts => &self.parts[..parts - 1],
        }
    }

    /// Returns the fingerprint of a part for the attribution of crashes. A part has the same one wherever it
    /// stands in a prompt, for all workspaces.
    pub fn crash_fingerprint(&self, part: &PromptPart) -> Fingerprint {
        combine(stable_hash(0, self.model.as_bytes()), part.hash)
    }

    /// Returns the names of the shared parts for the log, shortened to [`MAX_LOGGED_NAMES_BYTES`].
    pub fn shared_part_names(&self) -> String {
        let names = self.shared_parts().iter().map(|part| &*part.name);
        let names = names.collect::<Vec<_>>().join(",");
        let end = names.floor_char_boundary(MAX_LOGGED_NAMES_BYTES);
        names[..end].to_owned()
    }

    /// Computes the fingerprints of the shared parts within `scope`, one block per [`BLOCK_TOKENS`] tokens, so
    /// that targets are compared by their cached tokens.
    pub fn fingerprints(&self, scope: &str, counting: BlockCounting) -> PromptFingerprints {
        let seed = stable_hash(0, scope.as_bytes());
        let mut chained = seed;
        let mut blocks = Vec::new();
        let mut tokens: Tokens = 0;
        for part in self.shared_parts() {
            chained = combine(chained, part.hash);
            let count = match counting {
                BlockCounting::PerPart => rounded_blocks(part.tokens).max(1),
                BlockCounting::Total => {
                    let before = rounded_blocks(tokens);
                    tokens = tokens.saturating_add(part.tokens);
                    rounded_blocks(tokens) - before
                }
            };
            let free = MAX_BLOCKS - blocks.len();
            let numbers = (0..count).take(free);
            blocks.extend(numbers.map(|block| combine(chained, block)));
        }
        let whole = self
            .parts
            .iter()
            .fold(seed, |hash, part| combine(hash, part.hash));
        PromptFingerprints {
            blocks,
            whole,
            // Prompts are counted in tokens here; the block size of the models is set in tokens as
            // well.
            prompt_bytes: self.prompt_tokens as usize,
        }
    }
}

/// Metadata of a client's request besides method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayHead {
    /// Identifier of the client's attempt.
    pub id: RequestId,
    /// Host of the request.
    pub host: String,
    /// SHA-256 of the client's key.
    pub key: Option<KeyHash>,
    /// Time that the client waits, from the arrival of the request.
    pub client_timeout: Option<Duration>,
    /// Present for a model request.
    pub prompt: Option<PromptHead>,
    /// Last event of the stream that the client has received.
    pub last_event: Option<u64>,
}

/// Parameters of a request to a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineParams {
    /// Weights version with which the request must run.
    pub weights: Option<u64>,
    /// Salt by which the engine isolates cached prompts.
    pub cache_salt: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Engine or store from which the target fetches cached parts of the prompt.
    pub fetch_from: Option<TargetAddress>,
    /// Store to which the target saves the computed parts.
    pub save_to: Option<TargetAddress>,
}

/// Metadata that is added to the client's request for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// Name of the target; another one that has its address must not run the request.
    pub target: TargetId,
    /// Remaining time.
    pub remaining: Duration,
    /// Workspace of the client's key.
    pub workspace: Option<WorkspaceId>,
    /// Present for a model engine.
    pub engine: Option<EngineParams>,
    /// Event after which the target continues the stream.
    pub last_event: Option<u64>,
}
