//! Names on the wire: headers, paths, and kinds of stored objects.

/// Era of the store, an integer in all of its responses.
pub const STORE_ERA: &str = "store-era";

/// Path of the readiness check.
pub const READY_PATH: &str = "/api/ready";

/// Identifier of a client's attempt; targets repeat it in the response.
pub const ATTEMPT_ID: &str = "jujubelink-attempt-id";
/// Remaining time for which the sender waits, in milliseconds.
pub const DEADLINE_MS: &str = "jujubelink-deadline-ms";
/// Parts of the prompt as a comma-separated list of `NAME:TOKENS`, in order.
pub const PROMPT_PARTS: &str = "jujubelink-prompt-prefix";
/// Last event of a stream that the client has received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Signature of the target's response.
pub const RESPONSE_SIGNATURE: &str = "jujubelink-server-stamp";
/// Workspace of the client's key.
pub const WORKSPACE: &str = "jujubelink-tenant";
/// Target that the request is for; any other target rejects it.
pub const EXPECT_TARGET: &str = "jujubelink-expect-instance";
/// Weights version that the request must run on; a target with another version rejects it.
pub const EXPECT_WEIGHTS: &str = "jujubelink-expect-version";
/// Load of a target: running requests, queued requests and slots.
pub const TARGET_LOAD: &str = "jujubelink-server-load";
/// Present on the response to a request that was not run.
pub const NOT_RUN: &str = "jujubelink-not-executed";
/// Present, with the value 1, on all responses of a target that is shutting down.
pub const LEAVING: &str = "server-leaving";
/// Target that responded.
pub const TARGET_ID: &str = "jujubelink-instance-id";
/// Model of the request.
pub const MODEL: &str = "jujubelink-model";
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
pub const TOKEN_COUNT: &str = "jujubelink-token-count";
/// Salt by which a target isolates the cached prompts of workspaces.
pub const CACHE_SALT: &str = "jujubelink-cache-salt";
/// Priority of a request at a target, 0 to 9; 0 is the highest.
pub const PRIORITY: &str = "jujubelink-request-priority";
/// Weights version that produced the response.
pub const WEIGHTS: &str = "jujubelink-weight-versions";

/// Engine or store from which a target fetches cached parts of the prompt.
pub const KV_FETCH: &str = "jujubelink-kv-fetch";

/// Store to which a target saves the KV cache of the prompt parts that it has computed.
pub const KV_SAVE: &str = "jujubelink-kv-save";

/// Headers that only this program may set; they are removed from clients' requests.
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

/// Path of the object store; a kind and a name follow.
pub const OBJECTS_PATH: &str = "/api/objects";
/// Kind of the configuration.
pub const KIND_CONFIG: &str = "config";
/// Name of the configuration.
pub const CONFIG_NAME: &str = "main";
/// Kind of the targets' entries.
pub const KIND_TARGETS: &str = "servers";
/// Kind of the announced weights: the versions that models are to run.
pub const KIND_WEIGHTS: &str = "versions";
/// Kind of the orders to move a service to another version, by the name of the service.
pub const KIND_ROLLOUTS: &str = "rollouts";
/// Last part of the path at which the status of an object is written.
pub const STATUS_PATH: &str = "status";
/// Kind of the entries of this program's instances.
pub const KIND_INSTANCES: &str = "jujubelink-instances";
/// Kind of this program's leases.
pub const KIND_LEASES: &str = "jujubelink-leases";
/// Name of the lease whose holder sends orders to engines.
pub const ORDER_LEASE: &str = "orders";
/// Kind of the causes of crashes of targets.
pub const KIND_CRASHES: &str = "jujubelink-crashes";
/// Name of the object with the causes of crashes.
pub const CRASH_EVIDENCE: &str = "evidence";

/// Path of the changes to the contents of a KV cache store.
pub const CACHE_EVENTS_PATH: &str = "/api/kv-events";
/// Longest time for which the store may hold such a poll open, in milliseconds.
pub const WAIT_MS: &str = "wait-ms";

/// Path of an engine's status report.
pub const REPORT_PATH: &str = "/api/report";
/// Path of orders to an engine.
pub const ORDER_PATH: &str = "/api/order";
