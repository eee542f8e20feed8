//! Heads of requests.

use std::time::Duration;

use crate::core::fleet::TargetAddress;
use crate::core::ids::{KeyHash, ModelId, RequestId, TargetId, Tokens, WorkspaceId};
use crate::core::prefix::PromptFingerprints;
use crate::util::hash::{combine, stable_hash};

/// Tokens of one block of the prefix table.
pub const BLOCK_TOKENS: u64 = 1_000;

/// Blocks of one prompt; the rest of a longer prompt shares the last one.
const MAX_BLOCKS: usize = 256;

/// The prompt as its head describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptHead {
    /// Model.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// Parts of the prompt in order: a hash of the part's name, and its tokens. Parts are shared
    /// between requests, but for the last one, which is the request's or its session's own.
    pub parts: Vec<(u64, Tokens)>,
}

impl PromptHead {
    /// Parts that other requests may have as well. A prompt of one part may be shared whole.
    pub fn shared_parts(&self) -> &[(u64, Tokens)] {
        match self.parts.len() {
            0 | 1 => &self.parts,
            parts => &self.parts[..parts - 1],
        }
    }

    /// Fingerprints of the shared parts under `scope`. Each part is as many blocks as its tokens
    /// make, at least one, so that targets are compared by the tokens that they have cached.
    pub fn fingerprints(&self, scope: &str) -> PromptFingerprints {
        let seed = stable_hash(0, scope.as_bytes());
        let mut chained = seed;
        let mut blocks = Vec::new();
        for (name, tokens) in self.shared_parts() {
            chained = combine(chained, *name);
            let count = (tokens + BLOCK_TOKENS / 2) / BLOCK_TOKENS;
            for block in 0..count.max(1) {
                if blocks.len() < MAX_BLOCKS {
                    blocks.push(combine(chained, block));
                }
            }
        }
        let whole = self
            .parts
            .iter()
            .fold(seed, |hash, (name, _)| combine(hash, *name));
        PromptFingerprints {
            blocks,
            whole,
            prompt_bytes: self.prompt_tokens as usize,
        }
    }
}

/// What a client's request says besides method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayHead {
    /// Identifier of the client's attempt.
    pub id: RequestId,
    /// Host that the request names.
    pub host: String,
    /// SHA-256 of the key that the client presents.
    pub key: Option<KeyHash>,
    /// Time that the client waits, from the arrival of the request.
    pub client_timeout: Option<Duration>,
    /// Set for a model request.
    pub prompt: Option<PromptHead>,
    /// Last event of the stream that the client already has.
    pub last_event: Option<u64>,
}

/// How a request uses a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineParams {
    /// Weights under which alone the request may run.
    pub weights: Option<u64>,
    /// Text under which the engine keeps cached prompts apart.
    pub cache_salt: String,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Engine or store from which the target fetches cached parts of the prompt.
    pub fetch_from: Option<TargetAddress>,
    /// Store to which the target sends the parts that it has read.
    pub save_to: Option<TargetAddress>,
}

/// What one send adds to the client's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// Target that alone may run the request.
    pub target: TargetId,
    /// Time that is left.
    pub remaining: Duration,
    /// Workspace of the client's key.
    pub workspace: Option<WorkspaceId>,
    /// Set for a model engine.
    pub engine: Option<EngineParams>,
    /// Event after which the target goes on.
    pub last_event: Option<u64>,
}
