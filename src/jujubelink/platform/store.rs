//! Client of the platform's object store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, Request, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::names::{
    CONFIG_NAME, KIND_CONFIG, KIND_INSTANCES, KIND_LEASES, KIND_TARGETS, KIND_WEIGHTS,
    OBJECTS_PATH, ORDER_LEASE,
};
use super::{decode_configuration, decode_target};
use crate::core::ids::{ModelId, ObjectVersion};
use crate::core::rollout::LeaseRecord;
use crate::ops::store::{
    FleetStore, InstanceRecord, StoreError, StoreFuture, StoreResult, StoredPolicy, TargetChange,
    TargetChanges,
};
use crate::util::http::{Body, CallError, Client, empty, full};

/// Timeout of a response. The store normally responds within 4 ms, and within 250 ms while it is
/// slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a response. A page of a list has about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of pages read of a list; a longer list is treated as an invalid response.
const MAX_PAGES: usize = 64;

/// Metadata of an object in the store.
#[derive(Deserialize)]
struct Metadata {
    name: String,
    /// Revision of the object, which a conditional write has to state.
    revision: ObjectVersion,
}

#[derive(Deserialize)]
struct Object {
    metadata: Metadata,
    /// Contents; the format depends on the kind of the object.
    #[serde(default)]
    spec: Value,
}

/// One page of a list.
#[derive(Deserialize)]
struct Page {
    items: Vec<Object>,
    #[serde(default)]
    truncated: bool,
    /// Revision of the store when it read the page.
    current_rev: ObjectVersion,
}

#[derive(Deserialize)]
struct Event {
    object: Object,
    #[serde(default)]
    removed: bool,
}

/// Response to a watch.
#[derive(Deserialize)]
struct Events {
    #[serde(default)]
    events: Vec<Event>,
    /// Revision from which the next watch continues.
    current_rev: ObjectVersion,
}

/// Version of a model's weights that engines are to run.
#[derive(Deserialize)]
struct AnnouncedWeights {
    model: String,
    version: u64,
}

#[derive(Deserialize)]
struct StoredInstance {
    address: SocketAddr,
}

/// [`FleetStore`] that uses the platform's HTTP API. Clones share connections.
#[derive(Clone)]
pub struct ObjectStoreClient {
    address: SocketAddr,
    http: Client,
}

impl ObjectStoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: Client::new(),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> StoreResult<(StatusCode, Bytes)> {
        let builder = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string());
        let request: Request<Body> = match body {
            Some(body) => builder
                .header("content-type", "application/json")
                .body(full(body.to_string())),
            None => builder.body(empty()),
        }
        .map_err(|error| invalid_response(error.to_string()))?;
        let call = self
            .http
            .call(self.address, request, limit, MAX_RESPONSE_BYTES);
        call.await.map_err(|error| match error {
            CallError::Failed(error) => no_response(error.to_string()),
            CallError::Body(error) => no_response(error.to_string()),
            CallError::TooLarge => invalid_response("response exceeds the size limit".to_owned()),
            CallError::TimedOut => {
                // The connection may be dead; the next call opens a new one.
                self.http.close_address(self.address);
                no_response(format!(
                    "no complete response within {} ms",
                    limit.as_millis()
                ))
            }
        })
    }

    async fn get(&self, path: &str, limit: Duration) -> StoreResult<Option<Bytes>> {
        match self.send(Method::GET, path, None, limit).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (StatusCode::GONE, _) => Err(StoreError::HistoryTruncated),
            (status, _) => Err(unexpected_status(status)),
        }
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> StoreResult<ObjectVersion> {
        match self.send(method, path, body, RESPONSE_TIMEOUT).await? {
            (status, body) if status.is_success() => {
                // The response to a removal contains no object.
                Ok(parse::<Object>(&body).map_or(0, |object| object.metadata.revision))
            }
            (StatusCode::CONFLICT | StatusCode::NOT_FOUND, _) => Err(StoreError::Conflict),
            (status, _) => Err(unexpected_status(status)),
        }
    }

    /// Returns all objects of a kind, and the revision of the store at the first page.
    async fn list(&self, kind: &str) -> StoreResult<(Vec<Object>, ObjectVersion)> {
        let mut objects: Vec<Object> = Vec::new();
        let mut revision = None;
        for _ in 0..MAX_PAGES {
            let path = match objects.last() {
                Some(last) => format!("{OBJECTS_PATH}/{kind}?after={}", last.metadata.name),
                None => format!("{OBJECTS_PATH}/{kind}"),
            };
            let Some(body) = self.get(&path, RESPONSE_TIMEOUT).await? else {
                return Ok((Vec::new(), 0));
            };
            let page: Page = parse(&body)?;
            let first = *revision.get_or_insert(page.current_rev);
            let is_last = !page.truncated || page.items.is_empty();
            objects.extend(page.items);
            if is_last {
                return Ok((objects, first));
            }
        }
        Err(invalid_response(format!(
            "the list of {kind} has too many pages"
        )))
    }
}

/// Decodes a change of a target's entry. An invalid entry counts as removed.
fn target_change(object: Object, is_removed: bool, revision: ObjectVersion) -> TargetChange {
    let Metadata { name, revision: at } = object.metadata;
    let removed = |fault| TargetChange::Removed {
        revision: revision.max(at),
        id: name.as_str().into(),
        fault,
    };
    if is_removed {
        return removed(None);
    }
    match decode_target(&name, &object.spec) {
        Ok(record) => TargetChange::Written {
            revision: at,
            record,
        },
        Err(fault) => removed(Some(fault)),
    }
}

impl FleetStore for ObjectStoreClient {
    fn read_policy(&self) -> StoreFuture<Option<StoredPolicy>> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_CONFIG}/{CONFIG_NAME}");
            match client.get(&path, RESPONSE_TIMEOUT).await? {
                Some(raw) => client.decode_policy(&raw).map(Some),
                None => Ok(None),
            }
        }
        .boxed_local()
    }

    fn decode_policy(&self, raw: &Bytes) -> StoreResult<StoredPolicy> {
        let object: Object = parse(raw)?;
        let policy = decode_configuration(&object.spec).map_err(invalid_response)?;
        Ok(StoredPolicy {
            policy,
            raw: raw.clone(),
        })
    }

    fn list_targets(&self) -> StoreFuture<TargetChanges> {
        let client = self.clone();
        async move {
            let (objects, revision) = client.list(KIND_TARGETS).await?;
            let changes = objects.into_iter();
            Ok(TargetChanges {
                changes: changes
                    .map(|object| target_change(object, false, 0))
                    .collect(),
                revision,
            })
        }
        .boxed_local()
    }

    fn watch_targets(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<TargetChanges> {
        let client = self.clone();
        async move {
            let wait_ms = limit.as_millis();
            let path = format!("{OBJECTS_PATH}/{KIND_TARGETS}?watch={after}&wait_ms={wait_ms}");
            let body = client.get(&path, limit + RESPONSE_TIMEOUT).await?;
            let events: Events = parse(&body.unwrap_or_default())?;
            let revision = events.current_rev;
            let changes = events.events.into_iter();
            Ok(TargetChanges {
                changes: changes
                    .map(|event| target_change(event.object, event.removed, 0))
                    .collect(),
                revision,
            })
        }
        .boxed_local()
    }

    fn list_announced_weights(&self) -> StoreFuture<Vec<(ModelId, u64)>> {
        let client = self.clone();
        async move {
            let (objects, _) = client.list(KIND_WEIGHTS).await?;
            objects
                .into_iter()
                .map(|object| {
                    let announced: AnnouncedWeights = decode_spec(&object)?;
                    Ok((announced.model.into(), announced.version))
                })
                .collect()
        }
        .boxed_local()
    }

    fn read_lease(&self) -> StoreFuture<Option<(ObjectVersion, LeaseRecord)>> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_LEASES}/{ORDER_LEASE}");
            let Some(body) = client.get(&path, RESPONSE_TIMEOUT).await? else {
                return Ok(None);
            };
            let object: Object = parse(&body)?;
            Ok(Some((object.metadata.revision, decode_spec(&object)?)))
        }
        .boxed_local()
    }

    fn write_lease(
        &self,
        if_version: ObjectVersion,
        record: LeaseRecord,
    ) -> StoreFuture<ObjectVersion> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_LEASES}");
            let mut body = json!({ "metadata": { "name": ORDER_LEASE }, "spec": record });
            if if_version == 0 {
                return client.write(Method::POST, &path, Some(body)).await;
            }
            body["metadata"]["revision"] = if_version.into();
            let path = format!("{path}/{ORDER_LEASE}");
            client.write(Method::PUT, &path, Some(body)).await
        }
        .boxed_local()
    }

    fn list_instances(&self) -> StoreFuture<Vec<InstanceRecord>> {
        let client = self.clone();
        async move {
            let (objects, _) = client.list(KIND_INSTANCES).await?;
            objects
                .into_iter()
                .map(|object| {
                    let stored: StoredInstance = decode_spec(&object)?;
                    Ok(InstanceRecord {
                        name: object.metadata.name,
                        address: stored.address,
                    })
                })
                .collect()
        }
        .boxed_local()
    }

    fn write_instance(&self, record: InstanceRecord) -> StoreFuture<ObjectVersion> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_INSTANCES}");
            let body = json!({ "metadata": { "name": &record.name },
                "spec": { "address": record.address } });
            let created = client.write(Method::POST, &path, Some(body.clone())).await;
            match created {
                Err(StoreError::Conflict) => {
                    let path = format!("{path}/{}", record.name);
                    client.write(Method::PUT, &path, Some(body)).await
                }
                other => other,
            }
        }
        .boxed_local()
    }

    fn remove_instance(&self, name: &str) -> StoreFuture<()> {
        let client = self.clone();
        let path = format!("{OBJECTS_PATH}/{KIND_INSTANCES}/{name}");
        async move { client.write(Method::DELETE, &path, None).await.map(drop) }.boxed_local()
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> StoreResult<T> {
    serde_json::from_slice(body).map_err(|error| invalid_response(error.to_string()))
}

fn unexpected_status(status: StatusCode) -> StoreError {
    StoreError::Refused {
        status: status.as_u16(),
    }
}

/// Decodes the contents of an object.
fn decode_spec<T: DeserializeOwned>(object: &Object) -> StoreResult<T> {
    T::deserialize(&object.spec).map_err(|error| invalid_response(error.to_string()))
}

fn invalid_response(reason: String) -> StoreError {
    StoreError::InvalidResponse { reason }
}

fn no_response(reason: String) -> StoreError {
    StoreError::NoResponse { reason }
}
