//! `route list`, `route set` and `route remove`.

use http::Method;
use serde_json::{Value, json};

use super::client::encode_segment;
use super::output::object_table;
use super::{AdminClient, CommandError, Output};

/// Definition of a route to set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChange {
    /// Name of the route.
    pub name: String,
    /// Host of matching requests; any host if absent.
    pub host: Option<String>,
    /// Path prefix of matching requests.
    pub path_prefix: String,
    /// Targets that requests are sent to.
    pub targets: Vec<String>,
    /// Whether the route can be used without a client key.
    pub is_open: bool,
    /// Whether requests of any method can be retried safely.
    pub is_idempotent: bool,
    /// Name of the request header with the client's idempotency key.
    pub idempotency_header: Option<String>,
    /// Name of the field of a JSON request body with the client's idempotency key.
    pub idempotency_field: Option<String>,
}

/// Lists routes.
pub async fn route_list(client: &AdminClient) -> Result<Output, CommandError> {
    let response = client.get("/v1/routes").await?;
    let fields = ["host", "path_prefix", "targets", "access", "is_idempotent"];
    let text = object_table(&response, "route", &fields);
    Ok(Output::new(text, &response))
}

/// Defines or replaces a route.
pub async fn route_set(client: &AdminClient, change: &RouteChange) -> Result<Output, CommandError> {
    let access = match change.is_open {
        true => "open",
        false => "key",
    };
    let mut body = json!({
        "path_prefix": change.path_prefix,
        "targets": change.targets,
        "access": access,
        "is_idempotent": change.is_idempotent,
    });
    let optional = [
        ("host", &change.host),
        ("idempotency_header", &change.idempotency_header),
        ("idempotency_field", &change.idempotency_field),
    ];
    for (field, value) in optional {
        if let Some(text) = value {
            body[field] = Value::from(text.as_str());
        }
    }
    let path = format!("/v1/routes/{}", encode_segment(&change.name));
    let response = client.change(Method::PUT, &path, Some(&body)).await?;
    let text = format!(
        "route {} is set in version {}",
        change.name, response["version"]
    );
    Ok(Output::new(text, &response))
}

/// Removes a route.
pub async fn route_remove(client: &AdminClient, name: &str) -> Result<Output, CommandError> {
    let path = format!("/v1/routes/{}", encode_segment(name));
    let response = client.change(Method::DELETE, &path, None).await?;
    let text = format!("route {name} is removed in version {}", response["version"]);
    Ok(Output::new(text, &response))
}
