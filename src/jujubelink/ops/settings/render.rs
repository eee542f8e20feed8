//! Prints a merged document with the origin of each value.

use std::fmt::Write;

use super::{Node, NodeTable, NodeValue};

/// Column of the comment with the origin; settings are padded to this width.
const ORIGIN_COLUMN: usize = 48;

/// Names of fields whose values are masked in the output.
const SECRET_FIELDS: [&str; 2] = ["cluster_key", "credential"];

/// Renders the document as TOML, with the origin of each value in a comment. Secrets are masked.
pub fn render(root: &Node) -> String {
    let mut output = String::new();
    if let Some(table) = root.as_table() {
        render_table(&mut Vec::new(), table, &mut output);
    }
    output
}

fn render_table(path: &mut Vec<String>, table: &NodeTable, output: &mut String) {
    let (tables, values): (Vec<_>, Vec<_>) = table
        .iter()
        .partition(|(_, node)| node.as_table().is_some());
    if !path.is_empty() && (!values.is_empty() || tables.is_empty()) {
        if !output.is_empty() {
            output.push('\n');
        }
        let _ = writeln!(output, "[{}]", path.join("."));
    }
    for (key, node) in values {
        let value = match SECRET_FIELDS.contains(&key.as_str()) {
            true => "\"***\"".to_owned(),
            false => render_value(node),
        };
        let setting = format!("{} = {value}", render_key(key));
        let _ = writeln!(output, "{setting:<ORIGIN_COLUMN$} # {}", node.origin);
    }
    for (key, node) in tables {
        if let Some(table) = node.as_table() {
            path.push(render_key(key));
            render_table(path, table, output);
            path.pop();
        }
    }
}

fn render_value(node: &Node) -> String {
    match &node.value {
        NodeValue::List(items) => {
            let items: Vec<String> = items.iter().map(render_value).collect();
            format!("[{}]", items.join(", "))
        }
        NodeValue::Table(table) => {
            let entries: Vec<String> = table
                .iter()
                .map(|(key, node)| format!("{} = {}", render_key(key), render_value(node)))
                .collect();
            format!("{{ {} }}", entries.join(", "))
        }
        NodeValue::String(text) => toml::Value::from(text.as_str()).to_string(),
        NodeValue::Integer(value) => value.to_string(),
        NodeValue::Float(value) => toml::Value::from(*value).to_string(),
        NodeValue::Boolean(value) => value.to_string(),
        NodeValue::Datetime(text) => text.clone(),
    }
}

fn render_key(key: &str) -> String {
    let is_bare = !key.is_empty()
        && key
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-'));
    if is_bare {
        key.to_owned()
    } else {
        toml::Value::from(key).to_string()
    }
}
