//! Archive of earlier configuration versions, stored in the platform.

use crate::core::config::StoredConfig;
use crate::core::ids::ConfigVersion;
use crate::ops::platform::{PlatformClient, PlatformError};

/// Prefix of the keys of archived versions.
pub const HISTORY_PREFIX: &str = "config/history/";

/// Number of archived versions. The writer of a new version deletes the oldest one.
pub const MAX_HISTORY_VERSIONS: u64 = 1000;

/// Returns the object key of an archived version. The keys sort in order of version.
pub fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

/// Archives a version unless it is already archived. Each writer of the configuration archives the
/// version that it replaces before it writes the new one, so that the history has no gaps.
pub async fn archive(
    platform: &PlatformClient,
    stored: &StoredConfig,
) -> Result<(), PlatformError> {
    if stored.version == 0 {
        return Ok(());
    }
    let key = history_key(stored.version);
    platform.write(&key, 0, stored).await.map(drop)
}

/// Deletes the version that exceeds [`MAX_HISTORY_VERSIONS`] after `version` was written. Failures
/// are ignored, because they only leave one additional object behind.
pub async fn delete_oldest(platform: &PlatformClient, version: ConfigVersion) {
    let Some(oldest) = version.checked_sub(MAX_HISTORY_VERSIONS) else {
        return;
    };
    let key = history_key(oldest);
    if let Ok(Some(object)) = platform.read(&key).await {
        let _ = platform.delete(&key, object.version).await;
    }
}
