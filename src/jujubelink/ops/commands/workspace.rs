//! `workspace list`, `workspace set` and `workspace remove`.

use http::Method;
use serde_json::json;

use super::client::encode_segment;
use super::output::object_table;
use super::{AdminClient, CommandError, Output};

/// Definition of a workspace to set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceChange {
    /// Name of the workspace.
    pub name: String,
    /// Weight in fair queueing, relative to other workspaces.
    pub weight: u32,
    /// Rate limit, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// Burst size of the rate limit, in tokens.
    pub burst_tokens: u64,
    /// Priority of requests at engines; 0 is the highest.
    pub priority: u8,
}

/// Lists workspaces.
pub async fn workspace_list(client: &AdminClient) -> Result<Output, CommandError> {
    let response = client.get("/v1/workspaces").await?;
    let fields = ["rate_tokens_per_s", "burst_tokens", "weight", "priority"];
    let text = object_table(&response, "workspace", &fields);
    Ok(Output::new(text, &response))
}

/// Defines or replaces a workspace.
pub async fn workspace_set(
    client: &AdminClient,
    change: &WorkspaceChange,
) -> Result<Output, CommandError> {
    let body = json!({
        "weight": change.weight,
        "rate_tokens_per_s": change.rate_tokens_per_s,
        "burst_tokens": change.burst_tokens,
        "priority": change.priority,
    });
    let path = format!("/v1/workspaces/{}", encode_segment(&change.name));
    let response = client.change(Method::PUT, &path, Some(&body)).await?;
    let text = format!(
        "workspace {} is set in version {}",
        change.name, response["version"]
    );
    Ok(Output::new(text, &response))
}

/// Removes a workspace.
pub async fn workspace_remove(client: &AdminClient, name: &str) -> Result<Output, CommandError> {
    let path = format!("/v1/workspaces/{}", encode_segment(name));
    let response = client.change(Method::DELETE, &path, None).await?;
    let text = format!(
        "workspace {name} is removed in version {}",
        response["version"]
    );
    Ok(Output::new(text, &response))
}
