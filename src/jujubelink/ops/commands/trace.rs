//! `trace`: explains where a prompt would be routed.

use serde_json::{Value, json};

use super::output::{array_table, table};
use super::{AdminClient, CommandError, Output};

/// Requests an explanation of where a prompt would be routed.
pub async fn trace(
    client: &AdminClient,
    workspace: &str,
    model: &str,
    prompt: &str,
) -> Result<Output, CommandError> {
    let body = json!({ "workspace": workspace, "model": model, "prompt": prompt });
    let response = client.query("/v1/trace", &body).await?;
    Ok(Output::new(trace_text(&response), &response))
}

fn trace_text(response: &Value) -> String {
    let properties = [
        "workspace",
        "model",
        "weights_version",
        "config_version",
        "estimated_tokens",
    ];
    let mut rows: Vec<Vec<String>> = properties
        .iter()
        .map(|property| {
            vec![
                (*property).to_owned(),
                super::output::cell_text(response, property),
            ]
        })
        .collect();
    let blocks = response["blocks"].as_array().map_or(0, Vec::len);
    rows.push(vec!["blocks".to_owned(), blocks.to_string()]);
    let properties = table(&["fact", "value"], &rows);
    let targets_text = match &response["decision"] {
        Value::Null => {
            let fields = ["target", "failure_domain", "is_in_service"];
            array_table(&response["targets"], &fields)
        }
        decision => decision_text(decision),
    };
    format!("{properties}\n{targets_text}")
}

/// Formats the candidate targets of a routing decision, and the reason if it refuses the request.
fn decision_text(decision: &Value) -> String {
    let fields = [
        "target",
        "is_chosen",
        "expected_cached_blocks",
        "expected_wait_ms",
        "expected_recompute_ms",
        "reason",
    ];
    let candidates = array_table(&decision["candidates"], &fields);
    match decision["refusal"].as_str() {
        Some(refusal) => format!("would be refused: {refusal}\n{candidates}"),
        None => candidates,
    }
}
