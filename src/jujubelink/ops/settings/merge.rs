//! Merges an overlay into a base document.
//!
//! Tables are merged key by key. A scalar or list replaces the value of the base. A list
//! `extend.<name>` is appended to the list `<name>` of the table that contains `extend`. A table
//! with `remove = true` removes the table of that name.

use super::{Finding, Node, NodeTable, NodeValue};

/// Name of the table whose lists are appended to those of the base.
const EXTEND_KEY: &str = "extend";

/// Name of the field that removes the table in which it is set.
const REMOVE_KEY: &str = "remove";

/// Merges `overlay` into `base`. Parts of the overlay that have no effect are reported.
pub fn merge_overlay(base: &mut Node, overlay: Node, findings: &mut Vec<Finding>) {
    let origin = overlay.origin.clone();
    let NodeValue::Table(entries) = overlay.value else {
        return;
    };
    if entries.is_empty() {
        let message = format!("overlay {} is empty and changes nothing", origin.file);
        findings.push(Finding::warning("", message).with_origin(Some(origin)));
    }
    if let NodeValue::Table(table) = &mut base.value {
        merge_tables(table, entries, &mut Vec::new(), findings);
    }
}

fn merge_tables(
    base: &mut NodeTable,
    overlay: NodeTable,
    path: &mut Vec<String>,
    findings: &mut Vec<Finding>,
) {
    for (key, node) in overlay {
        path.push(key.clone());
        if key == EXTEND_KEY && matches!(node.value, NodeValue::Table(_)) {
            extend_lists(base, node, path, findings);
        } else if is_removal(&node) {
            remove_entry(base, &key, &node, path, findings);
        } else {
            merge_entry(base, key, node, path, findings);
        }
        path.pop();
    }
}

fn merge_entry(
    base: &mut NodeTable,
    key: String,
    node: Node,
    path: &mut Vec<String>,
    findings: &mut Vec<Finding>,
) {
    let Some(existing) = base.get_mut(&key) else {
        // Merge new tables into an empty one, so that `extend` and `remove` inside them are
        // interpreted too.
        let mut created = Node {
            origin: node.origin.clone(),
            value: NodeValue::Table(NodeTable::new()),
        };
        match (node.value, &mut created.value) {
            (NodeValue::Table(entries), NodeValue::Table(table)) => {
                merge_tables(table, entries, path, findings);
            }
            (value, slot) => *slot = value,
        }
        base.insert(key, created);
        return;
    };
    let is_table = matches!(node.value, NodeValue::Table(_));
    match (&mut existing.value, node.value) {
        (NodeValue::Table(table), NodeValue::Table(entries)) => {
            merge_tables(table, entries, path, findings);
        }
        (_, value) => {
            let replacement = Node {
                origin: node.origin,
                value,
            };
            if !is_table && existing.eq_ignoring_origin(&replacement) {
                report_no_effect(&replacement, path, "the base has the same value", findings);
            }
            *existing = replacement;
        }
    }
}

/// Whether a node is a table with `remove = true`.
fn is_removal(node: &Node) -> bool {
    let remove = node.as_table().and_then(|table| table.get(REMOVE_KEY));
    remove.is_some_and(|node| node.value == NodeValue::Boolean(true))
}

fn remove_entry(
    base: &mut NodeTable,
    key: &str,
    node: &Node,
    path: &[String],
    findings: &mut Vec<Finding>,
) {
    if base.remove(key).is_none() {
        report_no_effect(node, path, "the base has no such entry", findings);
    }
}

/// Appends the lists of an `extend` table to those of `base`.
fn extend_lists(
    base: &mut NodeTable,
    extend: Node,
    path: &mut Vec<String>,
    findings: &mut Vec<Finding>,
) {
    let NodeValue::Table(lists) = extend.value else {
        return;
    };
    for (key, node) in lists {
        path.push(key.clone());
        let Node { origin, value } = node;
        match value {
            NodeValue::List(items) if items.is_empty() => {
                let node = Node {
                    origin,
                    value: NodeValue::List(items),
                };
                report_no_effect(&node, path, "the list is empty", findings);
            }
            NodeValue::List(items) => match base.get_mut(&key).map(|node| &mut node.value) {
                Some(NodeValue::List(list)) => list.extend(items),
                Some(_) => findings.push(not_a_list_finding(path, origin)),
                None => {
                    let value = NodeValue::List(items);
                    base.insert(key, Node { origin, value });
                }
            },
            _ => findings.push(not_a_list_finding(path, origin)),
        }
        path.pop();
    }
}

fn not_a_list_finding(path: &[String], origin: super::Origin) -> Finding {
    Finding::error(path.join("."), "`extend` applies to lists only").with_origin(Some(origin))
}

/// Adds a warning about a part of the overlay that changes nothing.
fn report_no_effect(node: &Node, path: &[String], reason: &str, findings: &mut Vec<Finding>) {
    let message = format!("the overlay changes nothing: {reason}");
    let finding = Finding::warning(path.join("."), message);
    findings.push(finding.with_origin(Some(node.origin.clone())));
}
