//! TOML documents that record the position of each value in its file.

use std::collections::BTreeMap;
use std::rc::Rc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Finding, Origin};

/// A value with its position.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Position of the value; for an entry of a table, that of its key.
    pub origin: Origin,
    /// The value.
    pub value: NodeValue,
}

/// Entries of a table, ordered by key so that output does not depend on their order in files.
pub type NodeTable = BTreeMap<String, Node>;

/// A value of a document.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeValue {
    /// A table.
    Table(NodeTable),
    /// A list.
    List(Vec<Node>),
    /// A string.
    String(String),
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Float(f64),
    /// A Boolean.
    Boolean(bool),
    /// A date or time; not used by any setting.
    Datetime(String),
}

impl Node {
    /// Returns the entries if the value is a table.
    pub fn as_table(&self) -> Option<&NodeTable> {
        match &self.value {
            NodeValue::Table(table) => Some(table),
            _ => None,
        }
    }

    /// Returns the node at a path of keys, or its nearest ancestor that exists.
    pub fn nearest(&self, path: &[&str]) -> &Self {
        let next = path
            .first()
            .and_then(|key| self.as_table().and_then(|table| table.get(*key)));
        match next {
            Some(node) => node.nearest(&path[1..]),
            None => self,
        }
    }

    /// Whether two nodes have the same value. Their origins are not compared.
    pub fn eq_ignoring_origin(&self, other: &Self) -> bool {
        match (&self.value, &other.value) {
            (NodeValue::Table(a), NodeValue::Table(b)) => {
                a.len() == b.len()
                    && a.iter()
                        .zip(b)
                        .all(|((x, a), (y, b))| x == y && a.eq_ignoring_origin(b))
            }
            (NodeValue::List(a), NodeValue::List(b)) => {
                a.len() == b.len() && a.iter().zip(b).all(|(a, b)| a.eq_ignoring_origin(b))
            }
            (a, b) => a == b,
        }
    }
}

/// Parses a document. Returns the parts that can be parsed; syntax errors are added to `findings`.
pub fn parse_document(file: &str, text: &str, findings: &mut Vec<Finding>) -> Node {
    let file: Rc<str> = file.into();
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let origin = error
            .span()
            .map(|span| Origin::new(&file, text, span.start));
        findings.push(Finding::error("", error.message().trim()).with_origin(origin));
    }
    let reader = DocumentReader { file, text };
    reader.table_node(reader.origin(0), table.get_ref(), findings)
}

/// Converts parsed TOML to nodes.
struct DocumentReader<'a> {
    file: Rc<str>,
    text: &'a str,
}

impl DocumentReader<'_> {
    /// Returns the position of a byte offset.
    fn origin(&self, offset: usize) -> Origin {
        Origin::new(&self.file, self.text, offset)
    }

    fn table_node(&self, origin: Origin, table: &DeTable<'_>, findings: &mut Vec<Finding>) -> Node {
        let entries = table
            .iter()
            .map(|(key, value)| {
                let origin = self.origin(key.span().start);
                let node = self.node(origin, value, findings);
                (key.get_ref().to_string(), node)
            })
            .collect();
        Node {
            origin,
            value: NodeValue::Table(entries),
        }
    }

    fn node(
        &self,
        origin: Origin,
        value: &Spanned<DeValue<'_>>,
        findings: &mut Vec<Finding>,
    ) -> Node {
        let value = match value.get_ref() {
            DeValue::Table(table) => return self.table_node(origin, table, findings),
            DeValue::Array(items) => NodeValue::List(
                items
                    .iter()
                    .map(|item| self.node(self.origin(item.span().start), item, findings))
                    .collect(),
            ),
            DeValue::String(text) => NodeValue::String(text.to_string()),
            DeValue::Boolean(value) => NodeValue::Boolean(*value),
            DeValue::Datetime(value) => NodeValue::Datetime(value.to_string()),
            DeValue::Float(value) => match value.as_str().parse() {
                Ok(value) => NodeValue::Float(value),
                Err(_) => self.report_out_of_range(&origin, value.as_str(), findings),
            },
            DeValue::Integer(value) => match i64::from_str_radix(value.as_str(), value.radix()) {
                Ok(value) => NodeValue::Integer(value),
                Err(_) => self.report_out_of_range(&origin, value.as_str(), findings),
            },
        };
        Node { origin, value }
    }

    /// Reports a number that is out of range and returns 0 in its place.
    fn report_out_of_range(
        &self,
        origin: &Origin,
        text: &str,
        findings: &mut Vec<Finding>,
    ) -> NodeValue {
        let message = format!("number {text} is out of range");
        findings.push(Finding::error("", message).with_origin(Some(origin.clone())));
        NodeValue::Integer(0)
    }
}
