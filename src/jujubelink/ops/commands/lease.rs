//! `lease break`.

use http::Method;
use serde_json::json;

use super::{AdminClient, CommandError, Output};

/// Asserts that an instance is destroyed and ends its session, so that others can acquire its leases
/// without waiting.
pub async fn lease_break(client: &AdminClient, instance: &str) -> Result<Output, CommandError> {
    let body = json!({ "instance": instance });
    let response = client
        .change(Method::POST, "/v1/leases/break", Some(&body))
        .await?;
    let text = format!("the session of {instance} is fenced");
    Ok(Output::new(text, &response))
}
