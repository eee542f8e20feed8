//! `status`: shows instances, targets, workspaces and leases.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::output::{array_table, object_table, table};
use super::{AdminClient, CommandError, Output};

/// Reads the state of the fleet as seen by one instance. Except for the list of instances, which must
/// be readable, a section that cannot be read is replaced by the error.
pub async fn status(client: &AdminClient) -> Result<Output, CommandError> {
    let instances = client.get("/v1/instances").await?;
    let targets = client.get("/v1/targets").await;
    let workspaces = client.get("/v1/workspaces").await;
    let leases = client.get("/v1/leases").await;
    let instance_fields = [
        "instance",
        "state",
        "region",
        "failure_domain",
        "config_version",
    ];
    let target_fields = [
        "kind",
        "address",
        "failure_domain",
        "models",
        "is_draining",
        "is_leaving",
    ];
    let workspace_fields = ["rate_tokens_per_s", "burst_tokens", "weight"];
    let sections = [
        array_table(&instances["instances"], &instance_fields),
        section_text(&targets, |targets| {
            object_table(targets, "target", &target_fields)
        }),
        section_text(&workspaces, |workspaces| {
            object_table(workspaces, "workspace", &workspace_fields)
        }),
        section_text(&leases, leases_table),
    ];
    let json = json!({
        "instances": instances["instances"],
        "targets": targets.ok(),
        "workspaces": workspaces.ok(),
        "leases": leases.ok().map(|leases| leases["leases"].clone()),
    });
    Ok(Output::new(sections.join("\n"), json))
}

/// Formats a response, or the error if there is none.
fn section_text(
    response: &Result<Value, CommandError>,
    render_table: impl Fn(&Value) -> String,
) -> String {
    match response {
        Ok(response) => render_table(response),
        Err(error) => format!("not available: {error}\n"),
    }
}

/// Formats the sessions, with the number of limit slots held under each, and the holder of the order
/// lease. The slots are listed only in the JSON output, because there are hundreds of them.
fn leases_table(response: &Value) -> String {
    let leases = response["leases"].as_array().map_or(&[][..], Vec::as_slice);
    let holder = |lease: &Value| {
        let holder = &lease["value"]["holder"]["instance"];
        holder.as_str().unwrap_or("-").to_owned()
    };
    let key = |lease: &Value| lease["key"].as_str().unwrap_or_default().to_owned();
    let mut slots: BTreeMap<String, usize> = BTreeMap::new();
    for lease in leases
        .iter()
        .filter(|lease| key(lease).starts_with("limits/"))
    {
        *slots.entry(holder(lease)).or_default() += 1;
    }
    let mut rows = Vec::new();
    for lease in leases {
        let key = key(lease);
        if let Some(instance) = key.strip_prefix("sessions/") {
            let witnesses = lease["value"]["witnesses"].as_array().map_or(0, Vec::len);
            rows.push(vec![
                instance.to_owned(),
                super::output::cell_text(&lease["value"], "state"),
                witnesses.to_string(),
                slots.remove(instance).unwrap_or(0).to_string(),
            ]);
        }
    }
    for (instance, count) in slots {
        let cells = [instance, "-".to_owned(), "-".to_owned(), count.to_string()];
        rows.push(cells.to_vec());
    }
    let order_lease = leases.iter().find(|lease| key(lease) == "orders/lease");
    let order_holder = order_lease.map_or("-".to_owned(), holder);
    let sessions = table(&["session", "state", "witnesses", "limit_slots"], &rows);
    format!("{sessions}\norder lease held by {order_holder}\n")
}
