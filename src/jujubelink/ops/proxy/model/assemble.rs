//! Assembles the chunks of a streamed response into a complete one.

use bytes::Bytes;
use serde_json::{Map, Value, json};

use super::call::Endpoint;
use crate::ops::proxy::refusal::{Outcome, Refusal, RefusalCode};

const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A complete response under construction.
pub(super) struct ResponseAssembler {
    endpoint: Endpoint,
    /// Top-level fields: the value of the first chunk that contains the field, except for the
    /// usage, where the last value is kept.
    fields: Map<String, Value>,
    choices: Vec<Value>,
    bytes: usize,
}

impl ResponseAssembler {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            fields: Map::new(),
            choices: Vec::new(),
            bytes: 0,
        }
    }

    /// Adds the data of one event.
    pub(super) fn push_event(&mut self, data: &Bytes) -> Result<(), Refusal> {
        if &data[..] == b"[DONE]" {
            return Ok(());
        }
        self.bytes += data.len();
        let chunk = serde_json::from_slice(data).ok();
        let Some(Value::Object(mut chunk)) = chunk.filter(|_| self.bytes <= MAX_RESPONSE_BYTES)
        else {
            return Err(Refusal {
                outcome: Outcome::Run,
                ..Refusal::not_run(
                    RefusalCode::UpstreamFailed,
                    "the answer cannot be collected",
                )
            });
        };
        if let Some(Value::Array(choices)) = chunk.remove("choices") {
            choices
                .into_iter()
                .for_each(|choice| self.push_choice(choice));
        }
        for (name, value) in chunk {
            if name == "usage" && !value.is_null() {
                self.fields.insert(name, value);
            } else {
                self.fields.entry(name).or_insert(value);
            }
        }
        Ok(())
    }

    fn push_choice(&mut self, mut choice: Value) {
        if let Some(delta) = choice
            .as_object_mut()
            .and_then(|fields| fields.remove("delta"))
        {
            choice["message"] = delta;
        }
        let index = choice["index"].as_u64();
        let existing = self
            .choices
            .iter_mut()
            .find(|choice| choice["index"].as_u64() == index);
        match existing {
            Some(existing) => merge(existing, choice),
            None => self.choices.push(choice),
        }
    }

    /// Encodes the complete response as JSON.
    pub(super) fn into_json(mut self) -> Vec<u8> {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Completion => "text_completion",
        };
        for choice in &mut self.choices {
            if self.endpoint == Endpoint::Chat {
                complete_message(&mut choice["message"]);
            }
        }
        self.fields.insert("object".to_owned(), json!(object));
        self.fields
            .insert("choices".to_owned(), json!(self.choices));
        serde_json::to_vec(&self.fields).expect("JSON values encode")
    }
}

fn complete_message(message: &mut Value) {
    if message.get("role").is_none_or(Value::is_null) {
        message["role"] = json!("assistant");
    }
    if message.get("content").is_none() {
        message["content"] = Value::Null;
    }
    let calls = message.get_mut("tool_calls").and_then(Value::as_array_mut);
    for call in calls.into_iter().flatten() {
        if let Some(fields) = call.as_object_mut() {
            fields.remove("index");
        }
    }
}

/// Merges a later part into an existing value: strings are appended, list items are merged by their
/// `index`, and other values are replaced.
fn merge(existing: &mut Value, part: Value) {
    match (existing, part) {
        (_, Value::Null) => {}
        (Value::Object(existing), Value::Object(part)) => {
            for (name, value) in part {
                match existing.get_mut(&name) {
                    Some(field) if !is_repeated_in_chunks(&name) => merge(field, value),
                    Some(field) if value.is_null() => drop((field, value)),
                    _ => drop(existing.insert(name, value)),
                }
            }
        }
        (Value::Array(existing), Value::Array(part)) => part.into_iter().for_each(|item| {
            let index = item.get("index").cloned();
            let matching = existing
                .iter_mut()
                .find(|candidate| index.is_some() && candidate.get("index") == index.as_ref());
            match matching {
                Some(matching) => merge(matching, item),
                None => existing.push(item),
            }
        }),
        (Value::String(existing), Value::String(part)) => existing.push_str(&part),
        (existing, part) => *existing = part,
    }
}

/// Whether the field is repeated in each chunk, so that its value must not be appended.
fn is_repeated_in_chunks(name: &str) -> bool {
    matches!(
        name,
        "role" | "id" | "type" | "name" | "index" | "finish_reason"
    )
}
