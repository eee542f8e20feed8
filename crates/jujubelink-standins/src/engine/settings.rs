//! What an engine does and how fast.

use std::time::Duration;

/// Times of an engine without a batch model.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// Time to read any prompt.
    pub prefill: Duration,
    /// Time between tokens.
    pub per_token: Duration,
}

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Model that is loaded at the start.
    pub model: String,
    /// Weights version that is loaded at the start.
    pub weights_version: String,
    /// Prompt bytes of a cache block.
    pub block_bytes: usize,
    /// Cache blocks that fit into memory; the least recently used one is evicted.
    pub capacity_blocks: usize,
    /// Requests that run at once; further ones wait in order of priority.
    pub max_running: u32,
    /// Fixed part of the time to read a prompt.
    pub prefill: Duration,
    /// Part of the time to read a prompt for each token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between tokens of a request that runs alone.
    pub per_token: Duration,
    /// Added to the time between tokens for each other running request.
    pub per_token_per_running: Duration,
    /// Delay of cache events.
    pub event_delay: Duration,
    /// Cache events that are kept; older ones become a gap.
    pub kept_events: usize,
    /// Age up to which the load report is repeated instead of renewed.
    pub load_report_max_age: Duration,
    /// Time to load weights.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time for which a request without a connection runs on and can be resumed.
    pub resume_window: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: String::new(),
            weights_version: "1".to_owned(),
            block_bytes: 4000,
            capacity_blocks: 4096,
            max_running: 16,
            prefill: Duration::from_millis(2),
            prefill_per_token: Duration::ZERO,
            per_token: Duration::from_millis(2),
            per_token_per_running: Duration::ZERO,
            event_delay: Duration::from_millis(20),
            kept_events: 1024,
            load_report_max_age: Duration::ZERO,
            load_time: Duration::from_millis(50),
            checks_fencing: true,
            resume_window: Duration::from_secs(2),
        }
    }
}

impl From<EngineTimes> for EngineSettings {
    fn from(times: EngineTimes) -> Self {
        Self {
            prefill: times.prefill,
            per_token: times.per_token,
            ..Self::default()
        }
    }
}

/// Faults of an engine. A field with a token index acts once, at the next stream that reaches it.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// The connection is cut before the event; the request runs on.
    pub cut_at: Option<u64>,
    /// The connection goes silent before the event; the request runs on.
    pub silent_at: Option<u64>,
    /// The event is left out.
    pub skip_at: Option<u64>,
    /// The event is sent twice.
    pub repeat_at: Option<u64>,
    /// The engine crashes before the event.
    pub crash_at: Option<u64>,
    /// The engine crashes when it starts a prompt with this text.
    pub crash_on_text: Option<String>,
    /// Requests are refused with the status.
    pub refuse_status: Option<u16>,
    /// Answers echo the identifiers of another request.
    pub echoes_wrong_ids: bool,
    /// Requests are accepted and never answered.
    pub is_silent: bool,
    /// Answers name the target as leaving.
    pub is_leaving: bool,
    /// Streams cannot be resumed.
    pub forgets_streams: bool,
    /// Every n-th cache event is lost.
    pub lose_event_every: Option<u64>,
}
