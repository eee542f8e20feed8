//! Client of the platform's object store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use super::names::{
    CONFIG_NAME, CRASH_EVIDENCE, KIND_CONFIG, KIND_CRASHES, KIND_INSTANCES, KIND_LEASES,
    KIND_ROLLOUTS, KIND_TARGETS, KIND_WEIGHTS, OBJECTS_PATH, ORDER_LEASE, STATUS_PATH, STORE_ERA,
};
use super::objects::{
    Object, UnreadableObject, decode_events, decode_owned, decode_page, invalid_response,
};
use super::rollout_entry::{decode_rollout, encode_status};
use super::{decode_configuration, decode_target};
use crate::core::canary::{RolloutRecord, RolloutState};
use crate::core::fleet::StatedEra;
use crate::core::ids::{ModelId, ObjectVersion, StoreEra};
use crate::core::rollout::LeaseRecord;
use crate::ops::quarantine::StoredEvidence;
use crate::ops::store::{
    EntryFault, FleetStore, InstanceRecord, Listed, StoreEras, StoreError, StoreFuture,
    StoreResult, StoredLease, StoredPolicy, TargetChange, TargetChanges,
};
use crate::util::http::{Body, CallError, Client, empty, full};

/// Timeout of a response. The store normally responds within 4 ms, and within 250 ms while it is
/// slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a response. A page of a list has about 1 MB.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of pages read of a list; a longer list is treated as an invalid response.
const MAX_PAGES: usize = 64;

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
    eras: Rc<StoreEras>,
}

impl ObjectStoreClient {
    /// Creates a client of the store at `address` that applies the eras of all responses to `eras`.
    pub fn new(address: SocketAddr, eras: Rc<StoreEras>) -> Self {
        Self {
            address,
            http: Client::new(),
            eras,
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
        let sent_in = self.eras.current();
        let call = self
            .http
            .call_with_head(self.address, request, limit, MAX_RESPONSE_BYTES);
        let (head, body) = call.await.map_err(|error| match error {
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
        })?;
        let stated = stated_era(&head.headers);
        // An error page in place of the store's response says nothing about its era.
        let is_error_page = head.status.is_server_error() && stated == StatedEra::Absent;
        if !is_error_page && !self.eras.on_response(stated, sent_in) {
            return Err(StoreError::FormerEra);
        }
        Ok((head.status, body))
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
                Ok(Object::from_response(&body)
                    .map_or_else(|unreadable| unreadable.revision, |object| object.revision))
            }
            (StatusCode::CONFLICT | StatusCode::NOT_FOUND, _) => Err(StoreError::Conflict),
            (status, _) => Err(unexpected_status(status)),
        }
    }

    /// Returns the outcome of a conditional write that was sent in the era `sent_in`. If the era has risen
    /// since, the outcome is unknown: the revision that it states may match by accident in the new era, and
    /// a write that was executed before the restore may be lost.
    fn conditional(
        &self,
        written: StoreResult<ObjectVersion>,
        sent_in: Option<StoreEra>,
    ) -> StoreResult<ObjectVersion> {
        let is_restored = sent_in.is_some() && self.eras.current() != sent_in;
        let is_restored = is_restored || self.eras.is_doubtful();
        match written {
            Ok(_) | Err(StoreError::Conflict | StoreError::FormerEra) if is_restored => Err(
                no_response("the store was restored during the call".to_owned()),
            ),
            written => written,
        }
    }

    /// Assigns changes of a response that has just arrived to the present era.
    fn in_present_era(&self, changes: TargetChanges) -> TargetChanges {
        TargetChanges {
            era: self.eras.current(),
            ..changes
        }
    }

    /// Writes an object, whether it exists or not.
    async fn create_or_replace(
        &self,
        kind: &str,
        name: &str,
        spec: Value,
    ) -> StoreResult<ObjectVersion> {
        let path = format!("{OBJECTS_PATH}/{kind}");
        let body = json!({ "metadata": { "name": name }, "spec": spec });
        let created = self.write(Method::POST, &path, Some(body.clone())).await;
        match created {
            Err(StoreError::Conflict) => {
                let path = format!("{path}/{}", encode_name(name));
                self.write(Method::PUT, &path, Some(body)).await
            }
            other => other,
        }
    }

    /// Returns all objects of a kind, and the revision of the store at the first page. A list whose pages are
    /// of different eras is read again.
    async fn list(
        &self,
        kind: &str,
    ) -> StoreResult<(Vec<Result<Object, UnreadableObject>>, ObjectVersion)> {
        let mut objects = Vec::new();
        let mut revision = None;
        // The next page starts after the last name that can be read.
        let mut last_name: Option<String> = None;
        let mut era = self.eras.current();
        for _ in 0..MAX_PAGES {
            let path = match &last_name {
                Some(name) => format!("{OBJECTS_PATH}/{kind}?after={}", encode_name(name)),
                None => format!("{OBJECTS_PATH}/{kind}"),
            };
            let Some(body) = self.get(&path, RESPONSE_TIMEOUT).await? else {
                return Ok((Vec::new(), 0));
            };
            if self.eras.current() != era {
                era = self.eras.current();
                if last_name.take().is_some() {
                    objects.clear();
                    revision = None;
                    continue;
                }
            }
            let page = decode_page(&body)?;
            let first = *revision.get_or_insert(page.revision);
            let is_last = !page.is_truncated || page.objects.is_empty();
            let mut names = page.objects.iter().rev().map(|object| match object {
                Ok(object) => &object.name,
                Err(unreadable) => &unreadable.name,
            });
            last_name = names.find(|name| !name.is_empty()).cloned().or(last_name);
            objects.extend(page.objects);
            if is_last {
                return Ok((objects, first));
            }
        }
        Err(invalid_response(format!(
            "the list of {kind} has too many pages"
        )))
    }

    /// Lists the objects of a kind and decodes each with `decoder`.
    async fn list_decoded<T>(
        &self,
        kind: &'static str,
        decoder: impl Fn(&Object) -> Result<T, UnreadableObject>,
    ) -> StoreResult<Listed<T>> {
        let (objects, _) = self.list(kind).await?;
        let mut listed = Listed::default();
        for object in objects {
            match object.and_then(|object| decoder(&object)) {
                Ok(entry) => listed.entries.push(entry),
                Err(unreadable) => listed.faults.push(unreadable.into_fault(kind)),
            }
        }
        Ok(listed)
    }
}

/// Returns a name in the form that a path or a query can contain.
fn encode_name(name: &str) -> String {
    let encode = |byte: u8| match byte {
        b'-' | b'.' | b'_' | b'~' => char::from(byte).to_string(),
        _ if byte.is_ascii_alphanumeric() => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    name.bytes().map(encode).collect()
}

/// Collects the changes of targets from the objects of one response.
struct TargetDecoder {
    changes: Vec<TargetChange>,
    faults: Vec<EntryFault>,
    /// Newest revision so far, which stands in for one that cannot be read.
    revision: ObjectVersion,
}

impl TargetDecoder {
    fn new(revision: ObjectVersion) -> Self {
        Self {
            changes: Vec::new(),
            faults: Vec::new(),
            revision,
        }
    }

    /// Adds an object. An invalid entry counts as removed.
    fn add(&mut self, object: Result<Object, UnreadableObject>, is_removed: bool) {
        let (Ok(Object { revision, .. }) | Err(UnreadableObject { revision, .. })) = &object;
        self.revision = self.revision.max(*revision);
        let removed = |name: &str, revision, fault| TargetChange::Removed {
            revision,
            id: name.into(),
            fault,
        };
        let decoded = object.and_then(|object| match is_removed {
            true => Ok(removed(&object.name, object.revision, None)),
            false => object
                .decode(|spec| decode_target(&object.name, spec))
                .map(|record| TargetChange::Written {
                    revision: object.revision,
                    record,
                }),
        });
        match decoded {
            Ok(change) => self.changes.push(change),
            Err(unreadable) => {
                let revision = match unreadable.revision {
                    0 => self.revision,
                    revision => revision,
                };
                let fault = unreadable.into_fault(KIND_TARGETS);
                if !fault.name.is_empty() {
                    let reason = Some(fault.reason.clone());
                    self.changes.push(removed(&fault.name, revision, reason));
                }
                self.faults.push(fault);
            }
        }
    }

    fn finish(self, revision: ObjectVersion) -> TargetChanges {
        TargetChanges {
            changes: self.changes,
            faults: self.faults,
            revision,
            era: None,
        }
    }
}

/// Decodes the response to a watch of the targets after the revision `after`.
pub fn decode_target_events(body: &[u8], after: ObjectVersion) -> StoreResult<TargetChanges> {
    let events = decode_events(body)?;
    let mut decoder = TargetDecoder::new(after);
    for event in events.events {
        decoder.add(event.object, event.is_removed);
    }
    Ok(decoder.finish(events.revision))
}

impl FleetStore for ObjectStoreClient {
    fn read_policy(&self) -> StoreFuture<Option<Result<StoredPolicy, EntryFault>>> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_CONFIG}/{CONFIG_NAME}");
            let raw = client.get(&path, RESPONSE_TIMEOUT).await?;
            Ok(raw.map(|raw| client.decode_policy(&raw)))
        }
        .boxed_local()
    }

    fn decode_policy(&self, raw: &Bytes) -> Result<StoredPolicy, EntryFault> {
        let (object, policy) = Object::from_response(raw)
            .and_then(|object| {
                let policy = object.decode(decode_configuration)?;
                Ok((object, policy))
            })
            .map_err(|unreadable| unreadable.into_fault(KIND_CONFIG))?;
        Ok(StoredPolicy {
            policy,
            digest: object.digest(),
            revision: object.revision,
            raw: raw.clone(),
        })
    }

    fn list_targets(&self) -> StoreFuture<TargetChanges> {
        let client = self.clone();
        async move {
            let (objects, revision) = client.list(KIND_TARGETS).await?;
            let mut decoder = TargetDecoder::new(0);
            for object in objects {
                decoder.add(object, false);
            }
            Ok(client.in_present_era(decoder.finish(revision)))
        }
        .boxed_local()
    }

    fn watch_targets(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<TargetChanges> {
        let client = self.clone();
        async move {
            let wait_ms = limit.as_millis();
            let path = format!("{OBJECTS_PATH}/{KIND_TARGETS}?watch={after}&wait_ms={wait_ms}");
            let body = client.get(&path, limit + RESPONSE_TIMEOUT).await?;
            let changes = decode_target_events(&body.unwrap_or_default(), after)?;
            Ok(client.in_present_era(changes))
        }
        .boxed_local()
    }

    fn list_announced_weights(&self) -> StoreFuture<Listed<(ModelId, u64)>> {
        let client = self.clone();
        async move {
            let decoder =
                |object: &Object| object.decode(|spec| decode_weights(&object.name, spec));
            client.list_decoded(KIND_WEIGHTS, decoder).await
        }
        .boxed_local()
    }

    fn list_rollouts(&self) -> StoreFuture<Listed<RolloutRecord>> {
        let client = self.clone();
        async move {
            let decoder = |object: &Object| {
                object.decode_with_status(|spec, status| {
                    decode_rollout(&object.name, object.revision, spec, status)
                })
            };
            client.list_decoded(KIND_ROLLOUTS, decoder).await
        }
        .boxed_local()
    }

    fn write_rollout_status(
        &self,
        record: &RolloutRecord,
        state: RolloutState,
    ) -> StoreFuture<ObjectVersion> {
        let client = self.clone();
        let name = encode_name(&record.order.service);
        let path = format!("{OBJECTS_PATH}/{KIND_ROLLOUTS}/{name}/{STATUS_PATH}");
        let body = encode_status(record, state);
        let sent_in = self.eras.current();
        async move {
            let written = client.write(Method::PUT, &path, Some(body)).await;
            client.conditional(written, sent_in)
        }
        .boxed_local()
    }

    fn read_lease(&self) -> StoreFuture<Option<StoredLease>> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_LEASES}/{ORDER_LEASE}");
            let body = client.get(&path, RESPONSE_TIMEOUT).await?;
            if client.eras.is_doubtful() {
                let reason = "the store states an era that is too high";
                return Err(invalid_response(reason.to_owned()));
            }
            let Some(body) = body else {
                return Ok(None);
            };
            let decoded = Object::from_response(&body)
                .and_then(|object| Ok((object.revision, object.decode(decode_owned)?)));
            let (version, record) = match decoded {
                Ok((version, record)) => (version, Ok(record)),
                Err(unreadable) => (unreadable.revision, Err(unreadable.into_fault(KIND_LEASES))),
            };
            match (version, record) {
                // Without the revision the lease cannot be written either.
                (0, Err(fault)) => Err(invalid_response(fault.reason)),
                (version, record) => Ok(Some(StoredLease { version, record })),
            }
        }
        .boxed_local()
    }

    fn write_lease(
        &self,
        if_version: ObjectVersion,
        record: LeaseRecord,
    ) -> StoreFuture<ObjectVersion> {
        let client = self.clone();
        let sent_in = self.eras.current();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_LEASES}");
            let mut body = json!({ "metadata": { "name": ORDER_LEASE }, "spec": record });
            if if_version == 0 {
                let written = client.write(Method::POST, &path, Some(body)).await;
                return client.conditional(written, sent_in);
            }
            body["metadata"]["revision"] = if_version.into();
            let path = format!("{path}/{ORDER_LEASE}");
            let written = client.write(Method::PUT, &path, Some(body)).await;
            client.conditional(written, sent_in)
        }
        .boxed_local()
    }

    fn list_instances(&self) -> StoreFuture<Listed<InstanceRecord>> {
        let client = self.clone();
        async move {
            let decoder = |object: &Object| {
                let stored: StoredInstance = object.decode(decode_owned)?;
                Ok(InstanceRecord {
                    name: object.name.clone(),
                    address: stored.address,
                })
            };
            client.list_decoded(KIND_INSTANCES, decoder).await
        }
        .boxed_local()
    }

    fn write_instance(&self, record: InstanceRecord) -> StoreFuture<ObjectVersion> {
        let client = self.clone();
        async move {
            let spec = json!({ "address": record.address });
            client
                .create_or_replace(KIND_INSTANCES, &record.name, spec)
                .await
        }
        .boxed_local()
    }

    fn remove_instance(&self, name: &str) -> StoreFuture<()> {
        let client = self.clone();
        let path = format!("{OBJECTS_PATH}/{KIND_INSTANCES}/{}", encode_name(name));
        async move { client.write(Method::DELETE, &path, None).await.map(drop) }.boxed_local()
    }

    fn read_evidence(&self) -> StoreFuture<StoredEvidence> {
        let client = self.clone();
        async move {
            let path = format!("{OBJECTS_PATH}/{KIND_CRASHES}/{CRASH_EVIDENCE}");
            let Some(body) = client.get(&path, RESPONSE_TIMEOUT).await? else {
                return Ok(StoredEvidence::default());
            };
            let decoded =
                Object::from_response(&body).and_then(|object| object.decode(decode_owned));
            decoded
                .map_err(|unreadable| invalid_response(unreadable.into_fault(KIND_CRASHES).reason))
        }
        .boxed_local()
    }

    fn write_evidence(&self, evidence: StoredEvidence) -> StoreFuture<ObjectVersion> {
        let client = self.clone();
        async move {
            client
                .create_or_replace(KIND_CRASHES, CRASH_EVIDENCE, json!(evidence))
                .await
        }
        .boxed_local()
    }
}

/// Returns the era that a response states.
fn stated_era(headers: &HeaderMap) -> StatedEra {
    let mut values = headers.get_all(STORE_ERA).iter();
    let (first, second) = (values.next(), values.next());
    let Some(value) = first else {
        return StatedEra::Absent;
    };
    if second.is_some() {
        return StatedEra::Repeated;
    }
    let text = value.to_str().unwrap_or_default().trim();
    // `parse` also accepts a sign.
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| is_number);
    number.map_or(StatedEra::Invalid, StatedEra::Number)
}

fn unexpected_status(status: StatusCode) -> StoreError {
    StoreError::Refused {
        status: status.as_u16(),
    }
}

/// Decodes the announced weights of the model `name`.
fn decode_weights(name: &str, spec: &str) -> Result<(ModelId, u64), String> {
    let announced: AnnouncedWeights = decode_owned(spec)?;
    if announced.model != name {
        return Err(format!("names another model, {:?}", announced.model));
    }
    Ok((announced.model.into(), announced.version))
}

fn no_response(reason: String) -> StoreError {
    StoreError::NoResponse { reason }
}
