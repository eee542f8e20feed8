//! Handler of `GET /v1/models`.

use http::{HeaderMap, Response, header};
use serde_json::{Value, json};

use crate::core::config::ConfigSnapshot;
use crate::ops::proxy::auth::authenticate;
use crate::ops::proxy::handler::Proxy;
use crate::ops::proxy::refusal::Refusal;
use crate::util::http::{Body, full};

/// Lists the models in the OpenAI format.
pub(in crate::ops::proxy) fn handle_model_list(
    proxy: &Proxy,
    config: &ConfigSnapshot,
    headers: &HeaderMap,
) -> Result<Response<Body>, Refusal> {
    authenticate(proxy, config, headers)?;
    let models: Vec<Value> = config
        .fleet
        .models
        .keys()
        .map(|id| json!({ "id": id, "object": "model", "created": 0, "owned_by": "jujubelink" }))
        .collect();
    let body = json!({ "object": "list", "data": models });
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .body(full(body.to_string()))
        .expect("valid headers");
    Ok(response)
}
