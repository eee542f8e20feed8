//! The fields of streamed response chunks that the router reads.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::core::ids::Tokens;

/// One chunk.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Chunk {
    #[serde(default)]
    pub(super) choices: Vec<Choice>,
    #[serde(default)]
    pub(super) usage: Option<Usage>,
}

/// Part of one alternative completion.
#[derive(Debug, Deserialize)]
pub(super) struct Choice {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    pub(super) finish_reason: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    role: Option<IgnoredAny>,
    #[serde(default)]
    tool_calls: Option<IgnoredAny>,
    #[serde(default)]
    function_call: Option<IgnoredAny>,
    #[serde(default)]
    refusal: Option<IgnoredAny>,
}

/// Token counts reported by an engine.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub(super) struct Usage {
    #[serde(default)]
    pub(super) prompt_tokens: Tokens,
    #[serde(default)]
    pub(super) completion_tokens: Tokens,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: Tokens,
}

impl Usage {
    pub(super) fn cached_tokens(&self) -> Tokens {
        self.prompt_tokens_details
            .map_or(0, |details| details.cached_tokens)
    }
}

impl Choice {
    /// Returns the generated text of the chunk.
    pub(super) fn content(&self) -> &str {
        let content = self
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        content.or(self.text.as_deref()).unwrap_or_default()
    }

    /// Whether the chunk contains only text of the first choice. Only such output can be continued
    /// by another engine.
    pub(super) fn is_plain_text(&self) -> bool {
        let is_text = self.delta.as_ref().is_none_or(|delta| {
            delta.tool_calls.is_none() && delta.function_call.is_none() && delta.refusal.is_none()
        });
        self.index == 0 && is_text
    }

    /// Whether the chunk only starts the assistant message.
    pub(super) fn is_opening(&self) -> bool {
        let has_role = self
            .delta
            .as_ref()
            .is_some_and(|delta| delta.role.is_some());
        has_role && self.content().is_empty() && self.finish_reason.is_none()
    }
}
