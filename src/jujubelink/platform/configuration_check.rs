//! Checks of a configuration before it is written to the store: the faults of all its entries with their paths,
//! and its form for comparisons.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use super::configuration::{
    Limits, Route, Service, Tenant, decode_configuration, decode_keys, decode_route,
    decode_service, decode_workspace,
};
use super::objects::{decode, describe};
use crate::core::fleet::{
    DraftContext, DraftEntry, DraftFinding, DraftSetting, PolicyDraft, check_draft,
};
use crate::util::hash::sha256_hex;

/// Largest configuration that instances accept.
pub const MAX_CONFIGURATION_BYTES: usize = super::store::MAX_RESPONSE_BYTES;

/// Faults that are reported of one configuration; further ones are only counted.
const MAX_FAULTS: usize = 1_000;

/// Digits of a key's hash by which comparisons name the key.
const KEY_DIGITS: usize = 12;

/// Names of the lists of entries that have names.
const NAMED_LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// Something that is wrong with a setting of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationFault {
    /// Path of the setting.
    pub path: String,
    /// What is wrong and what would be correct.
    pub message: String,
    /// Whether instances would not use the configuration.
    pub is_error: bool,
}

/// Result of a check.
#[derive(Debug, Clone)]
pub struct CheckedConfiguration {
    /// Faults in the order of their entries.
    pub faults: Vec<ConfigurationFault>,
    /// Version; `None` if the configuration cannot be used.
    pub version: Option<u64>,
}

#[derive(Deserialize)]
struct Sections<'a> {
    #[serde(borrow)]
    version: Option<&'a RawValue>,
    #[serde(borrow)]
    routes: Option<&'a RawValue>,
    #[serde(borrow)]
    services: Option<&'a RawValue>,
    #[serde(borrow)]
    tenants: Option<&'a RawValue>,
    #[serde(borrow)]
    limits: Option<&'a RawValue>,
}

/// A configuration alone, or within its object of the store.
#[derive(Deserialize)]
struct FileForm<'a> {
    #[serde(borrow)]
    version: Option<&'a RawValue>,
    #[serde(borrow)]
    spec: Option<&'a RawValue>,
}

/// Returns the configuration in a file, which holds it alone or as an object of the store. The error states why it
/// is neither.
pub fn read_configuration_file(bytes: &[u8]) -> Result<&str, String> {
    if bytes.len() > MAX_CONFIGURATION_BYTES {
        return Err(format!("is larger than {MAX_CONFIGURATION_BYTES} bytes"));
    }
    let text = std::str::from_utf8(bytes)
        .map_err(|error| format!("is not UTF-8 from byte {}", error.valid_up_to()))?;
    let form: FileForm<'_> = decode(text)?;
    let text = match (form.version, form.spec) {
        (None, Some(spec)) => spec.get(),
        _ => text,
    };
    decode::<Sections<'_>>(text)?;
    Ok(text)
}

/// Checks a configuration. Without errors, the rules about its entries are checked as well.
pub fn check_configuration(text: &str, context: &DraftContext) -> CheckedConfiguration {
    let mut faults = Faults::default();
    let draft = decode_draft(text, &mut faults);
    if let Some(draft) = &draft {
        let findings = check_draft(draft, context).into_iter();
        faults.0.extend(findings.map(|finding| ConfigurationFault {
            path: setting_path(&finding),
            message: finding.message,
            is_error: finding.is_error,
        }));
    }
    let mut faults = faults.0;
    if faults.len() > MAX_FAULTS {
        // Errors are kept in preference to warnings.
        faults.sort_by_key(|fault| !fault.is_error);
        let further = faults.len() - MAX_FAULTS;
        faults.truncate(MAX_FAULTS);
        faults.push(ConfigurationFault {
            path: String::new(),
            message: format!("{further} further findings are not listed"),
            is_error: false,
        });
    }
    CheckedConfiguration {
        faults,
        version: draft.map(|draft| draft.policy.version),
    }
}

#[derive(Default)]
struct Faults(Vec<ConfigurationFault>);

impl Faults {
    fn error(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(ConfigurationFault {
            path: path.into(),
            message: message.into(),
            is_error: true,
        });
    }

    /// Returns the elements of a list. A missing one is empty.
    fn list<'a>(&mut self, name: &str, raw: Option<&'a RawValue>) -> Vec<&'a RawValue> {
        let Some(raw) = raw else {
            return Vec::new();
        };
        serde_json::from_str(raw.get()).unwrap_or_else(|_| {
            self.error(name, "must be a list");
            Vec::new()
        })
    }

    /// Decodes an entry. Each field of a wrong type is a fault of its own.
    fn entry<T: DeserializeOwned>(&mut self, path: &str, raw: &RawValue) -> Option<T> {
        let error = match decode(raw.get()) {
            Ok(entry) => return Some(entry),
            Err(error) => error,
        };
        let fields: Map<String, Value> = serde_json::from_str(raw.get()).unwrap_or_default();
        let before = self.0.len();
        for (name, value) in fields {
            let only = Value::Object(Map::from_iter([(name.clone(), value)]));
            if let Err(error) = T::deserialize(only) {
                let message = describe(&error);
                // Other fields are missing here.
                if !message.starts_with("missing field") {
                    self.error(
                        format!("{path}.{}", name.escape_debug()),
                        expected(&message),
                    );
                }
            }
        }
        if self.0.len() == before {
            self.error(path, expected(&error));
        }
        None
    }
}

/// Decodes all entries, so that their faults are reported together. Returns `None` if there are any.
fn decode_draft(text: &str, faults: &mut Faults) -> Option<PolicyDraft> {
    let sections: Sections<'_> = match decode(text) {
        Ok(sections) => sections,
        Err(error) => {
            faults.error("", error);
            return None;
        }
    };
    if sections
        .version
        .is_none_or(|raw| serde_json::from_str::<u64>(raw.get()).is_err())
    {
        faults.error("version", "must be a whole number above the one in force");
    }
    let mut routes = Vec::new();
    for (index, raw) in faults
        .list("routes", sections.routes)
        .into_iter()
        .enumerate()
    {
        let path = format!("routes[{index}]");
        let Some(route) = faults.entry::<Route>(&path, raw) else {
            continue;
        };
        let host = route.host.to_ascii_lowercase();
        match decode_route(route) {
            Ok(route) => routes.push((host, Rc::new(route))),
            Err((field, fault)) => faults.error(format!("{path}.{field}"), fault),
        }
    }
    let mut services = Vec::new();
    for (index, raw) in faults
        .list("services", sections.services)
        .into_iter()
        .enumerate()
    {
        let service = faults.entry::<Service>(&format!("services[{index}]"), raw);
        services.extend(service.map(decode_service));
    }
    let mut workspaces = Vec::new();
    for (index, raw) in faults
        .list("tenants", sections.tenants)
        .into_iter()
        .enumerate()
    {
        let tenant = faults.entry::<Tenant>(&format!("tenants[{index}]"), raw);
        workspaces.extend(tenant.map(|tenant| {
            let keys = decode_keys(&tenant).collect();
            (tenant.name.as_str().into(), decode_workspace(&tenant), keys)
        }));
    }
    if let Some(raw) = sections.limits {
        faults.entry::<Limits>("limits", raw);
    }
    if !faults.0.is_empty() {
        return None;
    }
    // Instances decode the configuration as a whole.
    match decode_configuration(text) {
        Ok(policy) => Some(PolicyDraft {
            policy,
            routes,
            services,
            workspaces,
        }),
        Err(error) => {
            faults.error("", error);
            None
        }
    }
}

/// Returns an error of the decoder in the words of JSON, without the position within the entry.
fn expected(error: &str) -> String {
    let error = error.split(" at line ").next().unwrap_or(error);
    let Some((kind, expected)) = error.split_once(", expected ") else {
        return error.to_owned();
    };
    let expected = match expected {
        "f64" => "a number",
        "u64" | "u32" | "usize" => "a whole number from 0",
        "u8" => "a whole number from 0 to 255",
        "a sequence" => "a list",
        "a boolean" => "true or false",
        other if other.starts_with("struct ") => "an object",
        other => other,
    };
    format!("{kind}, must be {expected}")
}

/// Returns the path of a setting in the configuration.
fn setting_path(finding: &DraftFinding) -> String {
    let entry = match finding.entry {
        DraftEntry::Root => String::new(),
        DraftEntry::Route(index) => format!("routes[{index}]"),
        DraftEntry::Service(index) => format!("services[{index}]"),
        DraftEntry::Workspace(index) => format!("tenants[{index}]"),
        DraftEntry::Limits => "limits".to_owned(),
    };
    let field = match finding.setting {
        DraftSetting::Whole => return entry,
        DraftSetting::Version => "version",
        DraftSetting::PathPrefix => "path_prefix",
        DraftSetting::Services => "traffic_split",
        DraftSetting::MaxAttempts => "max_attempts",
        DraftSetting::Timeout => "timeout_ms",
        DraftSetting::LatencyObjective => "target_latency_ms",
        DraftSetting::EventGap => "gap_aim_ms",
        DraftSetting::KvStore => "kv_store_addr",
        DraftSetting::Keys => "api_keys",
        DraftSetting::Burst => "burst",
        DraftSetting::MaxHeadBytes => "max_header_bytes",
        DraftSetting::MaxBodyBytes => "max_body_bytes",
        DraftSetting::HeaderTimeout => "header_timeout_ms",
    };
    match entry.is_empty() {
        true => field.to_owned(),
        false => format!("{entry}.{field}"),
    }
}

/// Returns a configuration as JSON in which lists of entries are objects by name, for comparisons. It contains
/// hashes in place of keys. A value that cannot be shown, such as one that is nested too deeply, is replaced by its
/// hash.
pub fn configuration_by_name(text: &str) -> Value {
    let Ok(fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
        return Value::Null;
    };
    let fields = fields.into_iter().map(|(name, raw)| {
        let value = match NAMED_LISTS.contains(&name.as_str()) {
            true => entries_by_name(raw),
            false => shown(raw),
        };
        (name, value)
    });
    Value::Object(fields.collect())
}

fn shown(raw: &RawValue) -> Value {
    let hash = || format!("value with the hash {}", short_hash(raw.get()));
    serde_json::from_str(raw.get()).unwrap_or_else(|_| Value::String(hash()))
}

fn short_hash(text: &str) -> String {
    sha256_hex(text.as_bytes())[..KEY_DIGITS].to_owned()
}

fn entries_by_name(raw: &RawValue) -> Value {
    let Ok(entries) = serde_json::from_str::<Vec<&RawValue>>(raw.get()) else {
        return shown(raw);
    };
    let mut by_name = Map::new();
    // Several entries may have the same name.
    let mut counts: HashMap<String, usize> = HashMap::new();
    for (index, raw) in entries.into_iter().enumerate() {
        let mut entry = shown(raw);
        let name = entry["name"].as_str().map(str::to_owned);
        let name = name.unwrap_or_else(|| format!("entry {index}"));
        for (field, value) in entry.as_object_mut().into_iter().flatten() {
            if field.contains("key") {
                *value = hidden_keys(value);
            }
        }
        let count = counts.entry(name.clone()).or_default();
        *count += 1;
        let name = match count {
            1 => name,
            count => format!("{name} ({count})"),
        };
        by_name.insert(name, entry);
    }
    Value::Object(by_name)
}

/// Returns hashes in place of keys.
fn hidden_keys(keys: &Value) -> Value {
    let hidden = |key: &Value| {
        let text = key.as_str().map_or_else(|| key.to_string(), str::to_owned);
        Value::String(format!("key {}", short_hash(&text)))
    };
    match keys {
        Value::Array(keys) => keys.iter().map(hidden).collect(),
        other => hidden(other),
    }
}
