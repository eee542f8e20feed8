//! Changes the configuration with conditional, idempotent writes and archives each version.

use std::collections::BTreeSet;

use serde::Serialize;

use super::audit::unix_ms;
use super::reply::{ApiError, ApiErrorCode};
use crate::core::config::{ConfigSnapshot, FleetConfig, StoredConfig, check_change, check_fleet};
use crate::core::ids::{ConfigVersion, ObjectVersion};
use crate::ops::config_history::{archive, delete_oldest, history_key};
use crate::ops::kernel::Context;
use crate::ops::platform::{PlatformClient, PlatformError, WriteOutcome};
use crate::ops::services::ConfigService;
use crate::ops::settings::{Finding, violation_findings};
use crate::ops::spread::CONFIG_OBJECT;

/// Maximum size of the encoded configuration; the platform accepts values of up to 1 MB.
const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Maximum number of attempts per change, in case of concurrent writers or lost responses.
const MAX_ATTEMPTS: u32 = 6;

/// The configuration stored in the platform.
#[derive(Debug, Clone)]
pub(super) struct CurrentConfig {
    pub(super) object_version: ObjectVersion,
    pub(super) stored: StoredConfig,
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct AppliedChange {
    /// Version that contains the change.
    pub(super) version: ConfigVersion,
    /// Whether this request, or an earlier one that it repeats, created a new version.
    pub(super) is_changed: bool,
    /// Warnings about the new configuration.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) findings: Vec<Finding>,
}

/// Author and nonce of a change. The nonce identifies the change in stored versions.
#[derive(Debug, Clone)]
pub(super) struct ChangeMetadata {
    pub(super) author: String,
    pub(super) nonce: String,
}

/// Reason why the platform did not confirm the write of a new version.
enum WriteFailure {
    /// The write certainly had no effect.
    NotWritten(PlatformError),
    /// The write may have taken effect or may still do so.
    Unconfirmed(PlatformError),
}

/// State of the attempts at one change.
struct ChangeAttempts {
    if_version: Option<ConfigVersion>,
    /// Version whose write was not confirmed. A later attempt writes the same version, or a higher
    /// one after [`Self::discard_refused`] has ruled out that this one was written.
    unconfirmed_version: Option<ConfigVersion>,
    last_error: Option<PlatformError>,
}

impl ChangeAttempts {
    fn new(if_version: Option<ConfigVersion>) -> Self {
        Self {
            if_version,
            unconfirmed_version: None,
            last_error: None,
        }
    }

    /// Returns the versions that this request, or an earlier one that it repeats, may have created.
    fn possible_versions(&self) -> impl Iterator<Item = ConfigVersion> {
        let following_version = self.if_version.map(|version| version + 1);
        following_version
            .into_iter()
            .chain(self.unconfirmed_version)
    }

    /// Discards an unconfirmed write that can no longer succeed. Must be called only if the current
    /// version is `version` and this change created none of the possible versions: the platform
    /// then refuses a conditional write of any version up to `version`.
    fn discard_refused(&mut self, version: ConfigVersion) {
        self.unconfirmed_version = self
            .unconfirmed_version
            .filter(|unconfirmed_version| *unconfirmed_version > version);
    }

    fn record_failure(&mut self, version: ConfigVersion, failure: WriteFailure) {
        self.last_error = Some(match failure {
            WriteFailure::NotWritten(error) => error,
            WriteFailure::Unconfirmed(error) => {
                self.unconfirmed_version = Some(version);
                error
            }
        });
    }

    fn into_error(self) -> ApiError {
        let Some(error) = self.last_error else {
            let message = "others change the configuration at the same time; nothing was changed";
            return ApiError::new(ApiErrorCode::Conflict, message);
        };
        match self.unconfirmed_version {
            None => ApiError::new(
                ApiErrorCode::PlatformUnavailable,
                format!("{error}; nothing was changed"),
            ),
            Some(version) => ApiError::new(
                ApiErrorCode::OutcomeUnknown,
                format!(
                    "{error}; the change may have been made as version {version}, repeat it with \
                     the same idempotency key"
                ),
            ),
        }
    }
}

/// Reads and changes the configuration in the platform.
#[derive(Clone)]
pub(super) struct ConfigWriter {
    context: Context,
}

impl ConfigWriter {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
        }
    }

    fn platform(&self) -> std::rc::Rc<PlatformClient> {
        self.context.service()
    }

    /// Reads the current configuration. Returns version 0 if none is stored yet.
    pub(super) async fn read(&self) -> Result<CurrentConfig, PlatformError> {
        match self.platform().read(CONFIG_OBJECT).await? {
            Some(object) => Ok(CurrentConfig {
                object_version: object.version,
                stored: object.parse()?,
            }),
            None => Ok(CurrentConfig {
                object_version: 0,
                stored: StoredConfig {
                    version: 0,
                    nonce: String::new(),
                    author: String::new(),
                    changed_unix_ms: 0,
                    config: FleetConfig::default(),
                },
            }),
        }
    }

    /// Reads an archived version or the current one.
    pub(super) async fn read_version(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<StoredConfig>, PlatformError> {
        if let Some(object) = self.platform().read(&history_key(version)).await? {
            return object.parse().map(Some);
        }
        let current = self.read().await?.stored;
        Ok(Some(current).filter(|stored| stored.version == version && version > 0))
    }

    /// Changes the configuration with `edit`. If `if_version` is given and is not the current
    /// version, the change is refused.
    pub(super) async fn change(
        &self,
        metadata: &ChangeMetadata,
        if_version: Option<ConfigVersion>,
        edit: impl Fn(&FleetConfig) -> Result<FleetConfig, ApiError>,
    ) -> Result<AppliedChange, ApiError> {
        let mut attempts = ChangeAttempts::new(if_version);
        for _ in 0..MAX_ATTEMPTS {
            let current = match self.read().await {
                Ok(current) => current,
                Err(error) => {
                    attempts.last_error = Some(error);
                    continue;
                }
            };
            if let Some(version) = self
                .find_previous_attempt(metadata, &attempts, &current.stored)
                .await?
            {
                return Ok(self.applied(version, true, Vec::new()));
            }
            attempts.discard_refused(current.stored.version);
            if if_version.is_some_and(|version| version != current.stored.version) {
                return Err(version_conflict(current.stored.version));
            }
            let next = edit(&current.stored.config)?;
            let findings = validate_change(&current.stored, &next)?;
            if current.stored.version > 0 && next == current.stored.config {
                return Ok(self.applied(current.stored.version, false, findings));
            }
            let stored = StoredConfig {
                version: current.stored.version + 1,
                nonce: metadata.nonce.clone(),
                author: metadata.author.clone(),
                changed_unix_ms: unix_ms(),
                config: next,
            };
            match self.write(&current, &stored).await {
                Ok(WriteOutcome::Done { .. }) => {
                    let version = stored.version;
                    self.apply_locally(stored);
                    return Ok(self.applied(version, true, findings));
                }
                Ok(WriteOutcome::Conflict { .. }) => {}
                Err(error) => attempts.record_failure(stored.version, error),
            }
        }
        Err(attempts.into_error())
    }

    fn applied(
        &self,
        version: ConfigVersion,
        is_changed: bool,
        findings: Vec<Finding>,
    ) -> AppliedChange {
        AppliedChange {
            version,
            is_changed,
            findings,
        }
    }

    /// Activates the new version on this instance without waiting for the platform's watch.
    fn apply_locally(&self, stored: StoredConfig) {
        let config = self.context.service::<dyn ConfigService>();
        config.apply_snapshot(ConfigSnapshot::new(stored.version, stored.config));
    }

    /// Returns the version that an earlier attempt at the same change has created, if any.
    async fn find_previous_attempt(
        &self,
        metadata: &ChangeMetadata,
        attempts: &ChangeAttempts,
        current: &StoredConfig,
    ) -> Result<Option<ConfigVersion>, ApiError> {
        if current.nonce == metadata.nonce {
            return Ok(Some(current.version));
        }
        // Each writer archives the version that it replaces before it writes the new one, so all
        // versions below the current one are in the history.
        for version in attempts.possible_versions() {
            if version >= current.version {
                continue;
            }
            let Some(object) = self.platform().read(&history_key(version)).await? else {
                continue;
            };
            if object.parse::<StoredConfig>()?.nonce == metadata.nonce {
                return Ok(Some(version));
            }
        }
        Ok(None)
    }

    /// Archives the current version, then writes the next one if the current one is unchanged.
    async fn write(
        &self,
        current: &CurrentConfig,
        next: &StoredConfig,
    ) -> Result<WriteOutcome, WriteFailure> {
        archive(&self.platform(), &current.stored)
            .await
            .map_err(WriteFailure::NotWritten)?;
        let outcome = self
            .platform()
            .write(CONFIG_OBJECT, current.object_version, next)
            .await
            .map_err(|error| match error.has_no_effect() {
                true => WriteFailure::NotWritten(error),
                false => WriteFailure::Unconfirmed(error),
            })?;
        if matches!(outcome, WriteOutcome::Done { .. }) {
            delete_oldest(&self.platform(), next.version).await;
        }
        Ok(outcome)
    }
}

/// Returns the configuration of an earlier version, except that keys withdrawn since then remain
/// withdrawn.
pub(super) fn rollback_config(earlier: &FleetConfig, current: &FleetConfig) -> FleetConfig {
    let mut next = earlier.clone();
    let withdrawn: BTreeSet<_> = earlier
        .withdrawn_keys
        .union(&current.withdrawn_keys)
        .cloned()
        .collect();
    next.keys.retain(|hash, _| !withdrawn.contains(hash));
    next.withdrawn_keys = withdrawn;
    next
}

/// Returns all findings about `next` and about the change from the current configuration to it.
pub(super) fn change_findings(current: &StoredConfig, next: &FleetConfig) -> Vec<Finding> {
    let mut violations = check_fleet(next);
    if current.version > 0 {
        violations.extend(check_change(&current.config, next));
    }
    let mut findings = violation_findings(&violations, None);
    let size = serde_json::to_vec(next).map_or(0, |encoded| encoded.len());
    if size > MAX_CONFIG_BYTES {
        let message = format!("{size} bytes, above the limit of {MAX_CONFIG_BYTES}");
        findings.push(Finding::error("", message));
    }
    findings.sort();
    findings
}

/// Returns the warnings about a change, or an error with all findings if the change is invalid.
fn validate_change(current: &StoredConfig, next: &FleetConfig) -> Result<Vec<Finding>, ApiError> {
    let findings = change_findings(current, next);
    if findings.iter().any(Finding::is_error) {
        let message = "the configuration cannot be used";
        return Err(ApiError::new(ApiErrorCode::Rejected, message).with_findings(findings));
    }
    Ok(findings)
}

fn version_conflict(actual: ConfigVersion) -> ApiError {
    let message = format!("the configuration was changed meanwhile and has version {actual}");
    ApiError::new(ApiErrorCode::Conflict, message).with_current_version(actual)
}
