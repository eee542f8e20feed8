//! Decoding of objects in the platform's store. Other programs write there too, so each object is
//! decoded on its own: one that is invalid does not affect the others in the same response.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::core::ids::ObjectVersion;
use crate::ops::store::{EntryFault, StoreError, StoreResult};
use crate::util::hash::stable_hash;

/// An object of the store.
#[derive(Debug)]
pub(super) struct Object {
    pub(super) name: String,
    /// Revision of the object, which a conditional write has to state.
    pub(super) revision: ObjectVersion,
    /// Contents as JSON; the format depends on the kind of the object.
    spec: String,
    /// Status as JSON; `null` if there is none.
    status: String,
}

/// An object of which only the name and the revision may be known.
#[derive(Debug, Default)]
pub(super) struct UnreadableObject {
    /// Name; empty if it cannot be read.
    pub(super) name: String,
    /// Revision; 0 if it cannot be read.
    pub(super) revision: ObjectVersion,
    reason: String,
}

impl UnreadableObject {
    pub(super) fn into_fault(self, kind: &'static str) -> EntryFault {
        EntryFault {
            kind,
            name: self.name,
            revision: self.revision,
            reason: self.reason,
        }
    }
}

/// One page of a list.
pub(super) struct ObjectPage {
    pub(super) objects: Vec<Result<Object, UnreadableObject>>,
    pub(super) is_truncated: bool,
    /// Revision of the store when it read the page.
    pub(super) revision: ObjectVersion,
}

/// A change of an object.
pub(super) struct ObjectEvent {
    pub(super) object: Result<Object, UnreadableObject>,
    pub(super) is_removed: bool,
}

/// Response to a watch.
pub(super) struct ObjectEvents {
    pub(super) events: Vec<ObjectEvent>,
    /// Revision from which the next watch continues.
    pub(super) revision: ObjectVersion,
}

#[derive(Deserialize)]
struct RawPage<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    truncated: bool,
    current_rev: ObjectVersion,
}

#[derive(Deserialize)]
struct RawEvents<'a> {
    #[serde(borrow, default)]
    events: Vec<&'a RawValue>,
    current_rev: ObjectVersion,
}

#[derive(Deserialize)]
struct RawEvent<'a> {
    #[serde(borrow)]
    object: &'a RawValue,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct RawObject<'a> {
    #[serde(borrow)]
    metadata: &'a RawValue,
    #[serde(borrow)]
    spec: Option<&'a RawValue>,
    #[serde(borrow, default)]
    status: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Metadata {
    name: String,
    revision: ObjectVersion,
}

#[derive(Deserialize)]
struct MetadataName {
    name: String,
}

/// A response in which the bytes that JSON does not allow are replaced, so that they affect only
/// the object that contains them.
struct ResponseText<'a> {
    text: Cow<'a, str>,
    /// Whether any bytes were replaced.
    is_changed: bool,
}

impl<'a> ResponseText<'a> {
    fn new(body: &'a [u8]) -> Self {
        let text = decode_text(body);
        Self {
            is_changed: matches!(text, Cow::Owned(_)),
            text,
        }
    }

    /// Decodes an object.
    fn object(&self, raw: &RawValue) -> Result<Object, UnreadableObject> {
        let unreadable = |name: &str, revision, reason| UnreadableObject {
            name: name.to_owned(),
            revision,
            reason,
        };
        let object: RawObject<'_> =
            decode(raw.get()).map_err(|reason| unreadable("", 0, reason))?;
        let metadata: Metadata = decode(object.metadata.get()).map_err(|reason| {
            let name = decode::<MetadataName>(object.metadata.get());
            unreadable(
                &name.map_or_else(|_| String::new(), |found| found.name),
                0,
                reason,
            )
        })?;
        if self.is_changed && raw.get().contains(char::REPLACEMENT_CHARACTER) {
            let reason = "contains bytes that are not allowed in JSON".to_owned();
            return Err(unreadable(&metadata.name, metadata.revision, reason));
        }
        Ok(Object {
            name: metadata.name,
            revision: metadata.revision,
            spec: object.spec.map_or("null", RawValue::get).to_owned(),
            status: object.status.map_or("null", RawValue::get).to_owned(),
        })
    }
}

impl Object {
    /// Decodes the response to a read or a write of one object.
    pub(super) fn from_response(body: &[u8]) -> Result<Self, UnreadableObject> {
        let response = ResponseText::new(body);
        let raw = serde_json::from_str::<&RawValue>(&response.text);
        let raw = raw.map_err(|error| UnreadableObject {
            reason: error.to_string(),
            ..UnreadableObject::default()
        })?;
        response.object(raw)
    }

    /// Returns a hash of the contents as stored; never 0.
    pub(super) fn digest(&self) -> u64 {
        stable_hash(0, self.spec.as_bytes()).max(1)
    }

    /// Decodes the contents with a decoder that returns a description of the error.
    pub(super) fn decode<T>(
        &self,
        decoder: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<T, UnreadableObject> {
        self.decode_with_status(|spec, _| decoder(spec))
    }

    /// [`Self::decode`] with the contents and the status, which is `null` if there is none.
    pub(super) fn decode_with_status<T>(
        &self,
        decoder: impl FnOnce(&str, &str) -> Result<T, String>,
    ) -> Result<T, UnreadableObject> {
        decoder(&self.spec, &self.status).map_err(|reason| UnreadableObject {
            name: self.name.clone(),
            revision: self.revision,
            reason,
        })
    }
}

/// Decodes a page of a list.
pub(super) fn decode_page(body: &[u8]) -> StoreResult<ObjectPage> {
    let response = ResponseText::new(body);
    let page: RawPage<'_> = decode(&response.text).map_err(invalid_response)?;
    let items = page.items.into_iter();
    Ok(ObjectPage {
        objects: items.map(|item| response.object(item)).collect(),
        is_truncated: page.truncated,
        revision: page.current_rev,
    })
}

/// Decodes the response to a watch.
pub(super) fn decode_events(body: &[u8]) -> StoreResult<ObjectEvents> {
    let response = ResponseText::new(body);
    let events: RawEvents<'_> = decode(&response.text).map_err(invalid_response)?;
    let decode_event = |raw: &RawValue| match decode::<RawEvent<'_>>(raw.get()) {
        Ok(event) => ObjectEvent {
            object: response.object(event.object),
            is_removed: event.removed,
        },
        Err(reason) => ObjectEvent {
            object: Err(UnreadableObject {
                reason,
                ..UnreadableObject::default()
            }),
            is_removed: false,
        },
    };
    Ok(ObjectEvents {
        events: events.events.into_iter().map(decode_event).collect(),
        revision: events.current_rev,
    })
}

/// Decodes a JSON object. Unknown fields are skipped without recursion, however deeply nested they
/// are. An array, which derived decoders accept as the fields in order, is invalid.
pub(super) fn decode<'a, T: Deserialize<'a>>(json: &'a str) -> Result<T, String> {
    if !json.trim_ascii_start().starts_with('{') {
        return Err("not a JSON object".to_owned());
    }
    serde_json::from_str(json).map_err(|error| describe(&error))
}

/// Describes an error without the value that caused it, which may be a key.
pub(super) fn describe(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let without_value = ["invalid type", "invalid value", "invalid length"]
        .into_iter()
        .find(|kind| text.starts_with(kind))
        .zip(text.rfind(", expected "));
    match without_value {
        Some((kind, expected)) => format!("{kind}{}", &text[expected..]),
        None => text,
    }
}

/// [`decode`] for types that borrow nothing.
pub(super) fn decode_owned<T: DeserializeOwned>(json: &str) -> Result<T, String> {
    decode(json)
}

/// Returns a response with the bytes replaced that JSON does not allow in a string.
pub(super) fn decode_text(body: &[u8]) -> Cow<'_, str> {
    replace_control_characters(String::from_utf8_lossy(body))
}

/// Replaces the control characters in strings, where JSON allows none.
fn replace_control_characters(text: Cow<'_, str>) -> Cow<'_, str> {
    let is_control = |character: char| character < ' ';
    if !text.contains(is_control) {
        return text;
    }
    let (mut is_in_string, mut is_escaped) = (false, false);
    let mut is_changed = false;
    let replace = |character: char| {
        let is_invalid = is_in_string && is_control(character);
        if character == '"' && !is_escaped {
            is_in_string = !is_in_string;
        }
        is_escaped = is_in_string && character == '\\' && !is_escaped;
        is_changed |= is_invalid;
        match is_invalid {
            true => char::REPLACEMENT_CHARACTER,
            false => character,
        }
    };
    let replaced: String = text.chars().map(replace).collect();
    match is_changed {
        true => replaced.into(),
        false => text,
    }
}

pub(super) fn invalid_response(reason: String) -> StoreError {
    StoreError::InvalidResponse { reason }
}
