//! Generates the OpenAPI description of the endpoints.

use serde_json::{Map, Value, json};

use super::endpoint::{ENDPOINTS, Endpoint};

/// Returns the OpenAPI description that is committed as `docs/openapi.json`.
pub fn openapi() -> Value {
    let mut paths = Map::new();
    for endpoint in ENDPOINTS {
        let methods = paths
            .entry(endpoint.path)
            .or_insert_with(|| Value::Object(Map::new()));
        methods[endpoint.method.to_lowercase()] = operation(endpoint);
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "jujubelink administration API",
            "version": env!("CARGO_PKG_VERSION"),
        },
        "paths": paths,
        "components": {
            "securitySchemes": { "key": { "type": "http", "scheme": "bearer" } },
            "schemas": { "Error": error_schema() },
        },
    })
}

fn operation(endpoint: &Endpoint) -> Value {
    let mut operation = json!({
        "operationId": format!("{:?}", endpoint.action),
        "summary": endpoint.summary,
        "parameters": parameters(endpoint),
        "responses": responses(endpoint),
    });
    if let Some(role) = endpoint.role {
        operation["security"] = json!([{ "key": [] }]);
        operation["x-role"] = role.to_string().into();
    }
    if matches!(endpoint.method, "PUT" | "POST") {
        operation["requestBody"] =
            json!({ "content": { "application/json": { "schema": { "type": "object" } } } });
    }
    operation
}

fn parameters(endpoint: &Endpoint) -> Vec<Value> {
    let mut parameters = Vec::new();
    let names = endpoint
        .path
        .split('/')
        .filter_map(|segment| segment.strip_prefix('{')?.strip_suffix('}'));
    for name in names {
        parameters.push(json!({
            "name": name, "in": "path", "required": true, "schema": { "type": "string" },
        }));
    }
    if endpoint.is_change() {
        parameters.push(json!({
            "name": "idempotency-key", "in": "header", "required": true,
            "schema": { "type": "string", "minLength": 8, "maxLength": 128 },
        }));
    }
    parameters
}

fn responses(endpoint: &Endpoint) -> Value {
    let error = json!({
        "description": "Refused",
        "content": { "application/json": { "schema": { "$ref": "#/components/schemas/Error" } } },
    });
    let mut responses = json!({ "200": { "description": "Done" } });
    if endpoint.role.is_some() {
        responses["401"] = error.clone();
        responses["403"] = error.clone();
    }
    if endpoint.is_change() {
        responses["400"] = error.clone();
        responses["409"] = error.clone();
        responses["422"] = error.clone();
        responses["503"] = error;
    }
    responses
}

fn error_schema() -> Value {
    json!({
        "type": "object",
        "required": ["error"],
        "properties": { "error": {
            "type": "object",
            "required": ["code", "message"],
            "properties": {
                "code": { "type": "string" },
                "message": { "type": "string" },
                "findings": { "type": "array", "items": { "type": "object" } },
                "current_version": { "type": "integer" },
            },
        } },
    })
}
