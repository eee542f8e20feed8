//! Chained fingerprints of prompt prefixes.
//!
//! A prompt is split into blocks of `block_bytes`. Fingerprint *i* covers the blocks 0 to *i*. It
//! is seeded with everything else that cached blocks depend on, so equal fingerprints mean equal
//! prompts with the same workspace, model and weights version.

use crate::core::ids::Fingerprint;
use crate::util::hash::{combine, stable_hash};

/// Maximum number of blocks with a fingerprint. Longer prompts are represented by their first
/// blocks.
pub const MAX_BLOCKS: usize = 256;

/// Properties other than the prompt that determine whether cached blocks can be reused.
#[derive(Debug, Clone, Copy)]
pub struct CacheScope<'a> {
    /// Workspace whose requests may use the blocks.
    pub workspace: &'a str,
    /// Model that computed the blocks.
    pub model: &'a str,
    /// Weights version that computed the blocks.
    pub weights_version: &'a str,
}

impl CacheScope<'_> {
    /// Returns the seed of the first fingerprint.
    pub fn seed(&self) -> u64 {
        let workspace = stable_hash(0, self.workspace.as_bytes());
        let model = stable_hash(workspace, self.model.as_bytes());
        stable_hash(model, self.weights_version.as_bytes())
    }
}

/// Fingerprints of the complete blocks of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptFingerprints {
    /// One fingerprint for each complete block, at most [`MAX_BLOCKS`].
    pub blocks: Vec<Fingerprint>,
    /// Hash of the whole prompt and its scope.
    pub whole: Fingerprint,
    /// Length of the prompt.
    pub prompt_bytes: usize,
}

impl PromptFingerprints {
    /// Computes the fingerprints of `prompt` in blocks of `block_bytes`.
    pub fn new(scope: CacheScope<'_>, prompt: &[u8], block_bytes: usize) -> Self {
        let seed = scope.seed();
        let mut chained = seed;
        let blocks = prompt
            .chunks_exact(block_bytes.max(1))
            .take(MAX_BLOCKS)
            .map(|block| {
                chained = combine(chained, stable_hash(0, block));
                chained
            })
            .collect();
        Self {
            blocks,
            whole: stable_hash(seed, prompt),
            prompt_bytes: prompt.len(),
        }
    }
}
