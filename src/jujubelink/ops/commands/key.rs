//! `key list`, `key grant` and `key withdraw`.

use http::Method;
use serde_json::{Value, json};

use super::output::table;
use super::{AdminClient, CommandError, ExitStatus, Output};
use crate::util::hash::sha256_hex;

/// Lists the hashes of granted and withdrawn keys.
pub async fn key_list(client: &AdminClient) -> Result<Output, CommandError> {
    let response = client.get("/v1/keys").await?;
    let mut rows = Vec::new();
    for (hash, grant) in response["keys"].as_object().into_iter().flatten() {
        let text = |field: &str| grant[field].as_str().unwrap_or("-").to_owned();
        rows.push(vec![
            hash.clone(),
            "granted".to_owned(),
            text("workspace"),
            text("note"),
        ]);
    }
    for hash in response["withdrawn_keys"].as_array().into_iter().flatten() {
        let hash = hash.as_str().unwrap_or("-").to_owned();
        rows.push(vec![
            hash,
            "withdrawn".to_owned(),
            "-".to_owned(),
            "-".to_owned(),
        ]);
    }
    let text = table(&["key_hash", "state", "workspace", "note"], &rows);
    Ok(Output::new(text, &response))
}

/// Grants a new key. Its secret is printed only here and cannot be read later.
pub async fn key_grant(
    client: &AdminClient,
    workspace: &str,
    note: &str,
) -> Result<Output, CommandError> {
    let body = json!({ "workspace": workspace, "note": note });
    let response = client.change(Method::POST, "/v1/keys", Some(&body)).await?;
    let hash = response["key_hash"].as_str().unwrap_or("-");
    let Value::String(secret) = &response["secret"] else {
        let message = format!(
            "the key was granted, but the answer with its secret was lost; withdraw {hash} and \
             grant again"
        );
        return Err(CommandError::new(ExitStatus::Incomplete, message));
    };
    let text = format!(
        "secret    {secret}\nkey_hash  {hash}\nThe secret is not shown again. It works once \
         version {} is in force.",
        response["version"]
    );
    Ok(Output::new(text, &response))
}

/// Withdraws the key with the given hash.
pub async fn key_withdraw(client: &AdminClient, hash: &str) -> Result<Output, CommandError> {
    let path = format!("/v1/keys/{}", super::client::encode_segment(hash));
    let response = client.change(Method::DELETE, &path, None).await?;
    let text = match response["is_in_configuration"].as_bool() {
        Some(true) => format!(
            "key {hash} is withdrawn, in version {}",
            response["version"]
        ),
        _ => format!(
            "key {hash} is withdrawn on the live instances; the platform does not answer, and the \
             instance writes it into the configuration when it does"
        ),
    };
    Ok(Output::new(text, &response))
}

/// Returns the hash of a key, given the hash itself or the secret.
pub fn key_hash_of(hash_or_secret: &str) -> String {
    let text = hash_or_secret.trim();
    match crate::core::config::is_sha256_hex(text) {
        true => text.to_owned(),
        false => sha256_hex(text.as_bytes()),
    }
}
