//! Names on the wire.

/// Path of the readiness question.
pub const READY_PATH: &str = "/api/ready";

/// Identifier of a client's attempt; targets echo it.
pub const ATTEMPT_ID: &str = "jujubelink-attempt-id";
/// Milliseconds that the sender waits.
pub const DEADLINE_MS: &str = "jujubelink-deadline-ms";
/// Parts of the prompt as `ID:TOKENS`, in order.
pub const PROMPT_PARTS: &str = "jujubelink-prompt-prefix";
/// Last event of a stream that the client has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Signature of the target's answer.
pub const RESPONSE_SIGNATURE: &str = "jujubelink-server-stamp";
/// Workspace that holds the client's key.
pub const WORKSPACE: &str = "jujubelink-tenant";
/// Target that alone may run the request.
pub const EXPECT_TARGET: &str = "jujubelink-expect-instance";
/// Weights under which alone the request may run.
pub const EXPECT_WEIGHTS: &str = "jujubelink-expect-version";
/// Running and waiting requests and places of a target.
pub const TARGET_LOAD: &str = "jujubelink-server-load";
/// Set on an answer to a request that has not run.
pub const NOT_RUN: &str = "jujubelink-not-executed";
/// Target that answered.
pub const TARGET_ID: &str = "jujubelink-instance-id";
/// Model of the request.
pub const MODEL: &str = "jujubelink-model";
/// Tokens of the prompt and most tokens of the answer.
pub const TOKEN_COUNT: &str = "jujubelink-token-count";
/// Text under which a target keeps cached prompts apart.
pub const CACHE_SALT: &str = "jujubelink-cache-salt";
/// Urgency of a request at a target, 0 to 9.
pub const PRIORITY: &str = "jujubelink-request-priority";
/// Weights that made an answer.
pub const WEIGHTS: &str = "jujubelink-weight-versions";

/// Engine or store from which a target fetches cached parts of the prompt.
pub const KV_FETCH: &str = "jujubelink-kv-fetch";

/// Store to which a target sends the parts of the prompt that it has read.
pub const KV_SAVE: &str = "jujubelink-kv-save";

/// Headers that only this program may set; a client's are dropped.
pub const RESERVED: [&str; 12] = [
    WORKSPACE,
    EXPECT_TARGET,
    EXPECT_WEIGHTS,
    CACHE_SALT,
    PRIORITY,
    KV_FETCH,
    KV_SAVE,
    "jujubelink-pin-ms",
    "jujubelink-hold",
    "jujubelink-kv-backup",
    "kv-from",
    NOT_RUN,
];

/// Path of objects of a kind.
pub const OBJECTS_PATH: &str = "/api/objects";
/// Kind of the configuration.
pub const KIND_CONFIG: &str = "config";
/// Name of the configuration.
pub const CONFIG_NAME: &str = "main";
/// Kind of the targets' entries.
pub const KIND_TARGETS: &str = "servers";
/// Kind of the named weights.
pub const KIND_WEIGHTS: &str = "versions";
/// Kind of this program's instances.
pub const KIND_INSTANCES: &str = "jujubelink-instances";
/// Kind of this program's leases.
pub const KIND_LEASES: &str = "jujubelink-leases";
/// Name of the lease for orders.
pub const ORDER_LEASE: &str = "orders";

/// Path of the changes of what a store of KV cache holds.
pub const CACHE_EVENTS_PATH: &str = "/api/kv-events";
/// How long such a question may be held back, in milliseconds.
pub const WAIT_MS: &str = "wait-ms";

/// Path of a target's state.
pub const REPORT_PATH: &str = "/api/report";
/// Path of orders to a target.
pub const ORDER_PATH: &str = "/api/order";
