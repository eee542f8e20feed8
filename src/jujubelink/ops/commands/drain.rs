//! `drain instance` and `drain target`.

use http::Method;
use serde_json::json;

use super::client::encode_segment;
use super::{AdminClient, CommandError, Output};

/// Begins a graceful shutdown of the instance that the client is connected to.
pub async fn drain_instance(client: &AdminClient) -> Result<Output, CommandError> {
    let response = client
        .change(Method::POST, "/v1/instance/drain", None)
        .await?;
    let text = "the instance drains; it ends when its requests have ended";
    Ok(Output::new(text, &response))
}

/// Takes a target out of service or puts it back.
pub async fn drain_target(
    client: &AdminClient,
    name: &str,
    is_draining: bool,
) -> Result<Output, CommandError> {
    let path = format!("/v1/targets/{}/drain", encode_segment(name));
    let body = json!({ "is_draining": is_draining });
    let response = client.change(Method::POST, &path, Some(&body)).await?;
    let state = match is_draining {
        true => "drains",
        false => "is back in service",
    };
    let text = match response["is_in_configuration"].as_bool() {
        Some(true) => format!("target {name} {state}, in version {}", response["version"]),
        _ => format!("target {name} {state}; the configuration could not be changed"),
    };
    Ok(Output::new(text, &response))
}
