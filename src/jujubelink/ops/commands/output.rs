//! Output of subcommands.

use serde::Serialize;
use serde_json::Value;

use super::ExitStatus;

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and text.
    Table,
    /// A JSON value.
    Json,
}

/// Result of a subcommand, in both formats.
#[derive(Debug, Clone, PartialEq)]
pub struct Output {
    /// Output in table format.
    pub text: String,
    /// Output in JSON format.
    pub json: Value,
    /// Exit status.
    pub status: ExitStatus,
}

impl Output {
    /// Creates the output of a successful subcommand.
    pub fn new(text: impl Into<String>, json: impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(json).unwrap_or_default(),
            status: ExitStatus::Success,
        }
    }

    /// Sets the exit status.
    pub fn with_status(mut self, status: ExitStatus) -> Self {
        self.status = status;
        self
    }

    /// Formats the output, with a final line break unless it is empty.
    pub fn to_text(&self, format: OutputFormat) -> String {
        let text = match format {
            OutputFormat::Table => self.text.clone(),
            OutputFormat::Json => format!("{:#}", self.json),
        };
        match text.is_empty() || text.ends_with('\n') {
            true => text,
            false => text + "\n",
        }
    }
}

/// Number of spaces between columns.
const COLUMN_GAP: usize = 2;

/// Formats a table with a header line. Each column is as wide as its widest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|cell| cell.to_uppercase()).collect();
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut output = String::new();
    for row in std::iter::once(&header).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
        }
        output.push_str(line.trim_end());
        output.push('\n');
    }
    output
}

/// Formats a field of a JSON object as a table cell.
pub(super) fn cell_text(value: &Value, field: &str) -> String {
    match &value[field] {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => {
            let items: Vec<String> = items
                .iter()
                .map(|item| item.as_str().map_or(item.to_string(), ToOwned::to_owned))
                .collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}

/// Formats a JSON object of objects as a table. The first column, with the header `name`, contains
/// the keys.
pub(super) fn object_table(entries: &Value, name: &str, fields: &[&str]) -> String {
    let header: Vec<&str> = std::iter::once(name)
        .chain(fields.iter().copied())
        .collect();
    let rows: Vec<Vec<String>> = entries
        .as_object()
        .into_iter()
        .flatten()
        .map(|(key, value)| {
            let cells = fields.iter().map(|field| cell_text(value, field));
            std::iter::once(key.clone()).chain(cells).collect()
        })
        .collect();
    table(&header, &rows)
}

/// Formats a JSON array of objects as a table.
pub(super) fn array_table(items: &Value, fields: &[&str]) -> String {
    let rows: Vec<Vec<String>> = items
        .as_array()
        .into_iter()
        .flatten()
        .map(|item| fields.iter().map(|field| cell_text(item, field)).collect())
        .collect();
    table(fields, &rows)
}
