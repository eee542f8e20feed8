//! `rate set`: changes the rate limit of a workspace.

use http::Method;
use serde_json::json;

use super::client::encode_segment;
use super::{AdminClient, CommandError, Output};

/// Changes the rate limit of a workspace and, if given, its burst size.
pub async fn rate_set(
    client: &AdminClient,
    workspace: &str,
    rate_tokens_per_s: u64,
    burst_tokens: Option<u64>,
) -> Result<Output, CommandError> {
    let body = json!({ "rate_tokens_per_s": rate_tokens_per_s, "burst_tokens": burst_tokens });
    let path = format!("/v1/workspaces/{}/rate", encode_segment(workspace));
    let response = client.change(Method::PUT, &path, Some(&body)).await?;
    let text = format!(
        "rate of workspace {workspace} is {rate_tokens_per_s} tokens/s in version {}",
        response["version"]
    );
    Ok(Output::new(text, &response))
}
