//! Differences between two configurations.

use serde::Serialize;
use serde_json::Value;

/// One setting that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Keys from the root to the setting.
    pub path: Vec<String>,
    /// Previous value; absent if the setting is new.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// New value; absent if the setting was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// Returns the settings that differ between two encoded configurations, ordered by path.
pub fn diff_values(before: &Value, after: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    collect(&mut Vec::new(), Some(before), Some(after), &mut changes);
    changes
}

fn collect(
    path: &mut Vec<String>,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        changes.push(Change {
            path: path.clone(),
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        path.push(key.clone());
        collect(path, old.get(key), new.get(key), changes);
        path.pop();
    }
}
