//! Type aliases for identifiers and quantities.

use std::sync::Arc;
use std::time::Duration;

/// Time since the start of the process, from a monotonic clock. Modules that must count the time
/// during which the machine is suspended, such as `fleet` and `rollout`, get the time since boot
/// instead.
pub type Timestamp = Duration;

/// Name of a workspace.
pub type WorkspaceId = Arc<str>;

/// Name of a model.
pub type ModelId = Arc<str>;

/// Name of a target.
pub type TargetId = Arc<str>;

/// Name of a route.
pub type RouteId = Arc<str>;

/// Peer address of an instance, `ip:port`; only one process at a time can bind it.
pub type InstanceId = Arc<str>;

/// Identifier of a request, unique across the fleet.
pub type RequestId = Arc<str>;

/// Lower-case hexadecimal SHA-256 hash of an API key.
pub type KeyHash = Arc<str>;

/// Version of a model's weights.
pub type WeightsVersion = Arc<str>;

/// Number that identifies one run of an instance or target. An instance chooses a random one; a
/// target in the platform's store uses its start time, so its later runs have larger numbers.
pub type Incarnation = u64;

/// Version of the fleet configuration; increases with each change.
pub type ConfigVersion = u64;

/// Hash of the contents of a fleet configuration as stored.
pub type ConfigDigest = u64;

/// Version of a platform object; 0 means absent.
pub type ObjectVersion = u64;

/// Era of the platform's store; rises by one with each restore from an older copy.
pub type StoreEra = u64;

/// Fencing number of a lease; increases with each new holder.
pub type Epoch = u64;

/// Number of tokens.
pub type Tokens = u64;

/// Chained hash that identifies a prompt prefix.
pub type Fingerprint = u64;
