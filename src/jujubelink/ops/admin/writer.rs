//! Changes of the configuration: conditional, safe to repeat and with a history.

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

/// Largest encoded configuration; the platform takes values of up to 1 MB.
const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Tries of one change, for other writers and lost answers.
const MAX_ATTEMPTS: u32 = 6;

/// The configuration as it is stored.
#[derive(Debug, Clone)]
pub(super) struct CurrentConfig {
    pub(super) object_version: ObjectVersion,
    pub(super) stored: StoredConfig,
}

/// A change that is in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct AppliedChange {
    /// Version with the change.
    pub(super) version: ConfigVersion,
    /// Whether the request, or a repeat of it, made a new version.
    pub(super) is_changed: bool,
    /// Warnings.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) findings: Vec<Finding>,
}

/// Author and identity of a change.
#[derive(Debug, Clone)]
pub(super) struct ChangeMetadata {
    pub(super) author: String,
    pub(super) nonce: String,
}

/// Why the platform did not confirm a write of a new version.
enum WriteFailure {
    /// The configuration was certainly not changed.
    NotWritten(PlatformError),
    /// The write may have taken effect, or may yet do so.
    Unconfirmed(PlatformError),
}

/// What the tries of one change have left open.
struct ChangeAttempts {
    if_version: Option<ConfigVersion>,
    /// Version whose write was not confirmed. A later try writes the same version, or a larger one
    /// after it was settled that this one was not written.
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

    /// Versions that the change may already have made, by this request or the one that it repeats.
    fn possible_versions(&self) -> impl Iterator<Item = ConfigVersion> {
        let following_version = self.if_version.map(|version| version + 1);
        following_version
            .into_iter()
            .chain(self.unconfirmed_version)
    }

    /// Notes that the configuration has `version` and none of the possible versions is ours. An
    /// unconfirmed write of a version up to that one is then certainly refused by its condition.
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

/// Makes changes.
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

    /// Reads the configuration from the platform. An absent object is version 0.
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

    /// Reads an earlier version, or the current one.
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

    /// Changes the configuration by `edit`. With `if_version`, the change is refused if the
    /// configuration has another version; without, it is made on whatever version is current.
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

    /// Puts the new version in force on this instance without waiting for the watch.
    fn apply_locally(&self, stored: StoredConfig) {
        let config = self.context.service::<dyn ConfigService>();
        config.apply_snapshot(ConfigSnapshot::new(stored.version, stored.config));
    }

    /// Looks for a version that an earlier try of the same change has made.
    async fn find_previous_attempt(
        &self,
        metadata: &ChangeMetadata,
        attempts: &ChangeAttempts,
        current: &StoredConfig,
    ) -> Result<Option<ConfigVersion>, ApiError> {
        if current.nonce == metadata.nonce {
            return Ok(Some(current.version));
        }
        // Each writer archives the version that it replaces before it writes, so a version below
        // the current one is in the history.
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

/// The configuration of an earlier version, with what must not be undone: withdrawn keys stay
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

/// All findings about the step from the current configuration to `next`.
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
