//! Storage of order plans in the platform.

use std::cell::RefCell;
use std::collections::BTreeMap;

use anyhow::{Result, bail};

use crate::core::ids::{ObjectVersion, TargetId};
use crate::core::orders::OrderPlan;
use crate::ops::platform::{PlatformClient, WriteOutcome};

/// Prefix of the object keys of plans; the target name follows.
pub const PLAN_PREFIX: &str = "orders/plan/";

/// Number of plans per page.
const PAGE_SIZE: u32 = 100;

/// Reads and writes plans, and tracks the versions of their objects.
pub(super) struct PlanStore {
    platform: PlatformClient,
    versions: RefCell<BTreeMap<TargetId, ObjectVersion>>,
}

impl PlanStore {
    pub(super) fn new(platform: PlatformClient) -> Self {
        Self {
            platform,
            versions: RefCell::default(),
        }
    }

    /// Reads all plans. Fails if a plan cannot be parsed: ignoring it could leave an order
    /// half-finished.
    pub(super) async fn read_all(&self) -> Result<Vec<OrderPlan>> {
        let mut plans = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.platform.list(PLAN_PREFIX, &after, PAGE_SIZE).await?;
            let Some(last) = page.last() else {
                return Ok(plans);
            };
            after = last.key.clone();
            for object in &page {
                let plan: OrderPlan = object.parse()?;
                self.versions
                    .borrow_mut()
                    .insert(plan.target.clone(), object.version);
                plans.push(plan);
            }
        }
    }

    /// Writes a plan if the stored version is the last one seen. If the response is lost, reads the
    /// plan back.
    pub(super) async fn write(&self, plan: &OrderPlan) -> Result<()> {
        let key = format!("{PLAN_PREFIX}{}", plan.target);
        let stored_version = self.version_of(&plan.target);
        let version = match self.platform.write(&key, stored_version, plan).await {
            Ok(WriteOutcome::Done { version }) => version,
            Ok(WriteOutcome::Conflict { .. }) => {
                bail!("the plan was overwritten by another lease holder")
            }
            Err(error) if error.has_no_effect() => return Err(error.into()),
            Err(_) => self.read_back(&key, plan).await?,
        };
        self.versions
            .borrow_mut()
            .insert(plan.target.clone(), version);
        Ok(())
    }

    async fn read_back(&self, key: &str, plan: &OrderPlan) -> Result<ObjectVersion> {
        let Some(object) = self.platform.read(key).await? else {
            bail!("the plan was not written");
        };
        let stored: OrderPlan = object.parse()?;
        if stored.nonce != plan.nonce {
            bail!("the plan was not written, or was overwritten by another lease holder");
        }
        Ok(object.version)
    }

    /// Deletes a plan. It is not an error if the plan is already absent.
    pub(super) async fn delete(&self, target: &TargetId) -> Result<()> {
        let key = format!("{PLAN_PREFIX}{target}");
        let stored_version = self.version_of(target);
        if stored_version != 0 {
            match self.platform.delete(&key, stored_version).await? {
                WriteOutcome::Done { .. } | WriteOutcome::Conflict { version: 0 } => {}
                WriteOutcome::Conflict { .. } => {
                    bail!("the plan was overwritten by another lease holder")
                }
            }
        }
        self.versions.borrow_mut().remove(target);
        Ok(())
    }

    fn version_of(&self, target: &TargetId) -> ObjectVersion {
        self.versions.borrow().get(target).copied().unwrap_or(0)
    }
}
