//! Errors and warnings about settings, with the position in the file.

use std::fmt;
use std::rc::Rc;

use serde::Serialize;

/// Position in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Origin {
    /// File name.
    pub file: Rc<str>,
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
}

impl Origin {
    /// Returns the position of a byte offset in the text of a file.
    pub fn new(file: &Rc<str>, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Self {
            file: Rc::clone(file),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Whether a finding prevents the settings from being used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Severity {
    /// The settings cannot be used.
    Error,
    /// The settings can be used, but probably not as intended.
    Warning,
}

/// An error or warning about a setting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Position, if the setting comes from a file.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
    /// Severity.
    pub severity: Severity,
    /// Path of the setting, with dots as separators.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl Finding {
    /// Creates a finding that prevents the settings from being used.
    pub fn error(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            origin: None,
            severity: Severity::Error,
            path: path.into(),
            message: message.into(),
        }
    }

    /// Creates a finding that does not prevent the settings from being used.
    pub fn warning(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(path, message)
        }
    }

    /// Sets the position.
    pub fn with_origin(mut self, origin: Option<Origin>) -> Self {
        self.origin = origin;
        self
    }

    /// Whether the finding prevents the settings from being used.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(origin) = &self.origin {
            write!(f, "{origin}: ")?;
        }
        write!(f, "{}: ", self.severity)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}
