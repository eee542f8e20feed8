//! Suggests known names in place of unknown ones.

/// Minimum Jaro-Winkler similarity of a suggested name.
const MIN_SIMILARITY: f64 = 0.8;

/// Unit suffixes of field names, with descriptions. A suffix comes before the shorter ones that it
/// ends with.
const UNIT_SUFFIXES: [(&str, &str); 12] = [
    ("_tokens_per_min", "tokens per minute"),
    ("_tokens_per_s", "tokens per second"),
    ("_per_min", "a number per minute"),
    ("_per_s", "a number per second"),
    ("_tokens", "tokens"),
    ("_bytes", "bytes"),
    ("_min", "minutes"),
    ("_kb", "kilobytes"),
    ("_mb", "megabytes"),
    ("_ms", "milliseconds"),
    ("_s", "seconds"),
    ("_h", "hours"),
];

/// Returns the known name that is most similar to `name`, if one is similar enough.
pub fn most_similar<'a>(
    name: &str,
    known_fields: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    known_fields
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, candidate)| candidate)
}

/// Returns the message for the unknown field `name`, with a suggested name or unit.
pub fn unknown_field_message(name: &str, known_fields: &[&str]) -> String {
    let (stem, unit) = split_unit(name);
    let other_unit = known_fields.iter().find(|field| {
        let (known_stem, known_unit) = split_unit(field);
        known_stem == stem && known_unit != unit
    });
    if let Some(field) = other_unit {
        let (_, unit) = split_unit(field);
        return format!("wrong unit: `{field}` is expected, in {unit}");
    }
    match most_similar(name, known_fields.iter().copied()) {
        Some(field) => format!("unknown field; did you mean `{field}`?"),
        None => format!(
            "unknown field; expected one of {}",
            format_names(known_fields)
        ),
    }
}

/// Splits a field name into its stem and the description of its unit.
fn split_unit(name: &str) -> (&str, &str) {
    UNIT_SUFFIXES
        .iter()
        .find_map(|(suffix, unit)| name.strip_suffix(suffix).map(|stem| (stem, *unit)))
        .unwrap_or((name, "no unit"))
}

fn format_names(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}
