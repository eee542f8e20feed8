//! `config history` and `config rollback`.

use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use super::config_apply::wait_until_active;
use super::output::table;
use super::{AdminClient, CommandError, Output};

/// Lists versions of the configuration, latest first; only those below `before` if it is given.
pub async fn config_history(
    client: &AdminClient,
    before: Option<u64>,
) -> Result<Output, CommandError> {
    let path = match before {
        Some(version) => format!("/v1/config/history?before={version}"),
        None => "/v1/config/history".to_owned(),
    };
    let response = client.get(&path).await?;
    let rows: Vec<Vec<String>> = response["versions"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|version| {
            vec![
                version["version"].to_string(),
                unix_ms_text(&version["changed_unix_ms"]),
                version["author"].as_str().unwrap_or("-").to_owned(),
            ]
        })
        .collect();
    let text = table(&["version", "changed", "author"], &rows);
    Ok(Output::new(text, &response))
}

/// Applies an earlier version as a new one and waits until it is active.
pub async fn config_rollback(
    client: &AdminClient,
    to_version: u64,
    timeout: Duration,
    report: impl FnMut(&str),
) -> Result<Output, CommandError> {
    let body = json!({ "to_version": to_version });
    let path = "/v1/config/rollback";
    let applied = client.change(Method::POST, path, Some(&body)).await?;
    wait_until_active(client, &applied, timeout, report).await
}

/// Formats a Unix time in milliseconds as an RFC 3339 time in UTC, with seconds.
fn unix_ms_text(value: &Value) -> String {
    let seconds = value.as_u64().unwrap_or(0) / 1000;
    let (days, second_of_day) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_date(days);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}Z",
        second_of_day / 3600,
        second_of_day / 60 % 60,
        second_of_day % 60
    )
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar. The calculation
/// uses years that begin in March, so that the leap day is the last day of its year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
