//! Canonical text of prompts.
//!
//! Cache blocks are cut from this text rather than from the JSON of a request, so that the order of
//! JSON fields, escapes and sampling settings do not change the blocks of a prompt.

use std::borrow::Cow;

use serde_json::{Map, Value};

use crate::util::hash::sha256_hex;

/// Length of a cache namespace in hexadecimal digits.
const NAMESPACE_DIGITS: usize = 32;

/// Returns the opaque name under which engines keep a workspace's cache blocks.
pub fn cache_namespace(workspace: &str) -> String {
    let mut digest = sha256_hex(format!("cache namespace\0{workspace}").as_bytes());
    digest.truncate(NAMESPACE_DIGITS);
    digest
}

/// Returns the text of a completions prompt, or `None` if the request has no string prompt.
pub fn completion_prompt(body: &Map<String, Value>) -> Option<Cow<'_, str>> {
    match body.get("prompt")? {
        Value::String(text) => Some(Cow::Borrowed(text)),
        Value::Array(_) => None,
        _ => None,
    }
}

/// Returns the text of the messages of a chat request, or `None` if they are malformed.
///
/// With `continue_final_message` the last message gets no end marker. The text of a continued
/// request then equals the text of the original one followed by the part of the response that was
/// already delivered.
pub fn chat_prompt(body: &Map<String, Value>) -> Option<String> {
    let messages = body.get("messages")?.as_array()?;
    let is_continued = body.get("continue_final_message") == Some(&Value::Bool(true));
    let mut text = String::new();
    if let Some(tools) = body.get("tools") {
        text.push_str("<|tools|>");
        text.push_str(&tools.to_string());
    }
    for (index, message) in messages.iter().enumerate() {
        let message = message.as_object()?;
        push_marker(&mut text, message.get("role")?.as_str()?);
        push_content(&mut text, message);
        if is_continued && index + 1 == messages.len() {
            return Some(text);
        }
        text.push_str("<|end|>");
    }
    if messages.is_empty() {
        return None;
    }
    push_marker(&mut text, "assistant");
    Some(text)
}

fn push_marker(text: &mut String, role: &str) {
    text.push_str("<|");
    text.push_str(role);
    text.push_str("|>");
}

fn push_content(text: &mut String, message: &Map<String, Value>) {
    match message.get("content") {
        Some(Value::String(content)) => text.push_str(content),
        Some(Value::Array(parts)) => parts.iter().for_each(|part| push_part(text, part)),
        _ => {}
    }
    for (name, value) in message {
        if name != "role" && name != "content" {
            text.push_str("<|");
            text.push_str(name);
            text.push_str("|>");
            text.push_str(&value.to_string());
        }
    }
}

fn push_part(text: &mut String, part: &Value) {
    match part.get("text").and_then(Value::as_str) {
        Some(content) => text.push_str(content),
        None => text.push_str(&part.to_string()),
    }
}
