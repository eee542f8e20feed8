//! Settings and faults of an engine.

use std::time::Duration;

/// Times of an engine in which concurrent requests do not slow each other down.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// Time to process a prompt of any length.
    pub prefill: Duration,
    /// Time between tokens.
    pub per_token: Duration,
}

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Model that is loaded at startup; if empty, the engine serves any model.
    pub model: String,
    /// Weights version that is loaded at startup.
    pub weights_version: String,
    /// Number of prompt bytes in a cache block.
    pub block_bytes: usize,
    /// Capacity of the prefix cache; the least recently used blocks are evicted.
    pub capacity_blocks: usize,
    /// Maximum number of concurrent requests; further ones wait in order of priority.
    pub max_running: u32,
    /// Fixed time to process a prompt.
    pub prefill: Duration,
    /// Additional time to process a prompt for each token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between tokens while no other request is running.
    pub per_token: Duration,
    /// Additional time between tokens for each other running request.
    pub per_token_per_running: Duration,
    /// Delay until a cache event becomes visible.
    pub event_delay: Duration,
    /// Number of cache events that are retained; readers see a gap in place of older ones.
    pub kept_events: usize,
    /// Age up to which a load report is reused.
    pub load_report_max_age: Duration,
    /// Time to load weights.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Time for which a request continues without a connection and its stream can be resumed.
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

/// Faults that an engine injects. A fault with an event index (`*_at`) is applied once, to the next
/// stream that reaches the index.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// The connection is closed before the event; generation continues.
    pub cut_at: Option<u64>,
    /// The connection stays open, but nothing is sent from the event on; generation continues.
    pub silent_at: Option<u64>,
    /// The event is omitted from the stream.
    pub skip_at: Option<u64>,
    /// The event is sent twice.
    pub repeat_at: Option<u64>,
    /// The engine crashes before the event.
    pub crash_at: Option<u64>,
    /// The engine crashes when it starts to process a prompt that contains this text.
    pub crash_on_text: Option<String>,
    /// Status with which model requests are refused.
    pub refuse_status: Option<u16>,
    /// Whether responses echo the request and attempt ids of another request.
    pub echoes_wrong_ids: bool,
    /// Whether requests are accepted but never answered.
    pub is_silent: bool,
    /// Whether responses and load reports state that the target is leaving.
    pub is_leaving: bool,
    /// Whether attempts to resume a stream are answered with 404.
    pub forgets_streams: bool,
    /// Time for which model requests and attempts to resume a stream wait for their response.
    pub head_pause: Duration,
    /// Event before which a stream pauses for `stream_pause`.
    pub pause_at: Option<u64>,
    /// Length of the pause within a stream.
    pub stream_pause: Duration,
    /// Each n-th cache event is omitted from the event stream.
    pub lose_event_every: Option<u64>,
}
