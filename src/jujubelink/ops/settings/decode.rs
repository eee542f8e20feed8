//! Deserializes documents into types. Reports every error, not only the first one.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde::de::value::StrDeserializer;
use serde::de::{
    DeserializeOwned, DeserializeSeed, Deserializer, Error as _, IntoDeserializer, MapAccess,
    SeqAccess, Unexpected, Visitor,
};
use serde::forward_to_deserialize_any;

use super::suggest::unknown_field_message;
use super::{Finding, Node, NodeValue, Origin};

/// Separator of keys in paths during decoding. It is a control character, because keys may contain
/// dots.
const PATH_SEPARATOR: char = '\u{1f}';

/// Result of decoding a document.
#[derive(Debug, Clone, PartialEq)]
pub enum Decoded<T> {
    /// The whole document was decoded.
    Complete(T),
    /// The document was decoded without the fields that have errors.
    Partial(T),
    /// An error cannot be attributed to a removable field, so there is no value.
    Failed,
}

/// Decodes a document. Unknown fields are skipped and reported. A field that cannot be decoded is
/// reported and removed, and decoding is then repeated to find the remaining errors. The same
/// finding may therefore be reported more than once.
pub fn decode<T: DeserializeOwned>(root: &Node, findings: &mut Vec<Finding>) -> Decoded<T> {
    let mut node = root.clone();
    let mut removed = BTreeSet::new();
    loop {
        let unknown_fields = RefCell::default();
        let decoder = Decoder {
            node: &node,
            path: String::new(),
            unknown_fields: &unknown_fields,
        };
        let result = T::deserialize(decoder);
        findings.extend(unknown_fields.into_inner());
        let error = match result {
            Ok(value) if removed.is_empty() => return Decoded::Complete(value),
            Ok(value) => return Decoded::Partial(value),
            Err(error) => error,
        };
        if !error.is_caused_by_removal(&removed) {
            findings.push(error.finding(&node));
        }
        let keys: Vec<&str> = error.path.split(PATH_SEPARATOR).collect();
        if error.path.is_empty() || !remove_path(&mut node, &keys) {
            return Decoded::Failed;
        }
        removed.insert(error.path);
    }
}

/// Removes the entry at a path. Returns whether it existed.
fn remove_path(node: &mut Node, keys: &[&str]) -> bool {
    let Some((first, rest)) = keys.split_first() else {
        return false;
    };
    match &mut node.value {
        NodeValue::Table(table) if rest.is_empty() => table.remove(*first).is_some(),
        NodeValue::Table(table) => table
            .get_mut(*first)
            .is_some_and(|child| remove_path(child, rest)),
        _ => false,
    }
}

fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}{PATH_SEPARATOR}{key}")
    }
}

/// Returns the path with dots as separators, as shown in findings.
fn dotted_path(path: &str) -> String {
    path.replace(PATH_SEPARATOR, ".")
}

#[derive(Debug)]
struct DecodeError {
    message: String,
    /// Keys joined by [`PATH_SEPARATOR`]; empty until the location is set.
    path: String,
    origin: Option<Origin>,
    /// Name of the field, if the error is that a required field is missing.
    missing_field: Option<&'static str>,
}

impl DecodeError {
    fn child(&self, key: &str) -> String {
        child_path(&self.path, key)
    }

    /// Whether the error is a missing field that was removed after an earlier error.
    fn is_caused_by_removal(&self, removed: &BTreeSet<String>) -> bool {
        self.missing_field
            .is_some_and(|field| removed.contains(&self.child(field)))
    }

    /// Sets the location unless a nested value has already set a more precise one.
    fn with_location(mut self, path: &str, origin: &Origin) -> Self {
        if self.origin.is_none() {
            self.path = path.to_owned();
            self.origin = Some(origin.clone());
        }
        self
    }

    fn finding(&self, root: &Node) -> Finding {
        let origin = self.origin.clone().unwrap_or_else(|| root.origin.clone());
        Finding::error(dotted_path(&self.path), &self.message).with_origin(Some(origin))
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for DecodeError {}

impl serde::de::Error for DecodeError {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self {
            message: message.to_string(),
            path: String::new(),
            origin: None,
            missing_field: None,
        }
    }

    fn missing_field(field: &'static str) -> Self {
        Self {
            missing_field: Some(field),
            ..Self::custom(format!("missing field `{field}`"))
        }
    }
}

/// Serde deserializer of a node.
struct Decoder<'a> {
    node: &'a Node,
    path: String,
    /// Findings about unknown fields, shared by the decoders of all nodes.
    unknown_fields: &'a RefCell<Vec<Finding>>,
}

impl<'a> Decoder<'a> {
    fn child(&self, key: &str, node: &'a Node) -> Self {
        Self {
            node,
            path: child_path(&self.path, key),
            unknown_fields: self.unknown_fields,
        }
    }

    /// Returns the entries of a table. With `known_fields`, other fields are reported and left out.
    fn entries(&self, known_fields: Option<&'static [&'static str]>) -> Vec<(&'a str, &'a Node)> {
        let Some(table) = self.node.as_table() else {
            return Vec::new();
        };
        table
            .iter()
            .map(|(key, node)| (key.as_str(), node))
            .filter(|(key, node)| {
                known_fields
                    .is_none_or(|known_fields| self.check_field_known(key, node, known_fields))
            })
            .collect()
    }

    /// Returns whether a field is known, and reports it otherwise.
    fn check_field_known(
        &self,
        key: &str,
        node: &Node,
        known_fields: &'static [&'static str],
    ) -> bool {
        if known_fields.contains(&key) {
            return true;
        }
        let finding = Finding::error(
            dotted_path(&child_path(&self.path, key)),
            unknown_field_message(key, known_fields),
        );
        let origin = Some(node.origin.clone());
        self.unknown_fields
            .borrow_mut()
            .push(finding.with_origin(origin));
        false
    }

    fn visit_table<'de, V: Visitor<'de>>(
        self,
        table: Vec<(&'a str, &'a Node)>,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        let (path, origin) = (self.path.clone(), &self.node.origin);
        let access = TableAccess {
            decoder: self,
            entries: table.into_iter(),
            value: None,
        };
        visitor
            .visit_map(access)
            .map_err(|error| error.with_location(&path, origin))
    }
}

impl<'de> Deserializer<'de> for Decoder<'_> {
    type Error = DecodeError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        let (path, origin) = (self.path.clone(), &self.node.origin);
        let result = match &self.node.value {
            NodeValue::Table(_) => {
                let entries = self.entries(None);
                return self.visit_table(entries, visitor);
            }
            NodeValue::List(items) => visitor.visit_seq(ListAccess {
                items: items.iter(),
                decoder: self,
            }),
            NodeValue::String(text) => visitor.visit_str(text),
            NodeValue::Integer(value) => visitor.visit_i64(*value),
            NodeValue::Float(value) => visitor.visit_f64(*value),
            NodeValue::Boolean(value) => visitor.visit_bool(*value),
            NodeValue::Datetime(_) => Err(DecodeError::invalid_type(
                Unexpected::Other("date"),
                &visitor,
            )),
        };
        result.map_err(|error| error.with_location(&path, origin))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        if self.node.as_table().is_none() {
            return self.deserialize_any(visitor);
        }
        let entries = self.entries(Some(fields));
        self.visit_table(entries, visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        visitor.visit_some(self)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        let NodeValue::String(text) = &self.node.value else {
            return self.deserialize_any(visitor);
        };
        let text: StrDeserializer<'_, DecodeError> = text.as_str().into_deserializer();
        visitor
            .visit_enum(text)
            .map_err(|error| error.with_location(&self.path, &self.node.origin))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf
        unit unit_struct seq tuple tuple_struct map identifier ignored_any
    }
}

/// Passes the entries of a table to serde.
struct TableAccess<'a, I> {
    decoder: Decoder<'a>,
    entries: I,
    /// Entry whose key was read and whose value is next.
    value: Option<(&'a str, &'a Node)>,
}

impl<'de, 'a, I: Iterator<Item = (&'a str, &'a Node)>> MapAccess<'de> for TableAccess<'a, I> {
    type Error = DecodeError;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, DecodeError> {
        self.value = self.entries.next();
        let Some((key, _)) = self.value else {
            return Ok(None);
        };
        let key: StrDeserializer<'_, DecodeError> = key.into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<S::Value, DecodeError> {
        let Some((key, node)) = self.value.take() else {
            return Err(DecodeError::custom("value requested before its key"));
        };
        let child = self.decoder.child(key, node);
        let path = child.path.clone();
        seed.deserialize(child)
            .map_err(|error| error.with_location(&path, &node.origin))
    }
}

/// Passes the items of a list to serde.
struct ListAccess<'a, I> {
    decoder: Decoder<'a>,
    items: I,
}

impl<'de, 'a, I: Iterator<Item = &'a Node>> SeqAccess<'de> for ListAccess<'a, I> {
    type Error = DecodeError;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, DecodeError> {
        let Some(node) = self.items.next() else {
            return Ok(None);
        };
        // Items have the path of their list, so an invalid item causes the whole list to be
        // removed.
        let child = Decoder {
            node,
            path: self.decoder.path.clone(),
            unknown_fields: self.decoder.unknown_fields,
        };
        seed.deserialize(child).map(Some)
    }
}
