//! `config check --platform`: faults of the platform's configuration before it is written to the store.

use std::collections::BTreeMap;

use jujubelink::core::fleet::DraftContext;
use jujubelink::platform::{
    check_configuration, configuration_by_name, decode_configuration, read_configuration_file,
};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{ObjectStore, StoreEndpoint};
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::{Value, json};

use crate::cli::{TempFile, run_subcommand, stderr, stdout};
use crate::support::{property_config, run};

const KEY: &str = "wu3fexd9dnn2ctnfzs98";

/// Returns a configuration without findings.
fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({ "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
            "service": service, "max_attempts": 2, "public": false, "gap_aim_ms": 250 })
    };
    json!({ "version": version,
        "routes": [route("read", "idempotent", "app"), route("ask", "streaming", "llm")],
        "services": [
            { "name": "app", "health_check": "/healthz", "max_connections": 100 },
            { "name": "llm", "engine": { "slots": 8, "models": [{ "name": "m" }] } },
            { "name": "kv", "kv_store_addr": "127.0.0.1:8604", "zone": "a" },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "club", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 10,
            "rate_per_s": 1000, "burst": 2000 }] })
}

/// Returns the findings of a configuration: path, message and whether it is an error.
fn findings(config: &Value, context: &DraftContext) -> Vec<(String, String, bool)> {
    let checked = check_configuration(&config.to_string(), context);
    let faults = checked.faults.into_iter();
    faults
        .map(|fault| (fault.path, fault.message, fault.is_error))
        .collect()
}

/// A change of a valid configuration: JSON pointer and value, and a finding: path, a part of the message, and
/// whether it is an error.
type Row<'a> = (&'a str, Value, &'a str, &'a str, bool);

fn check_rows(rows: Vec<Row<'_>>, context: &DraftContext) {
    assert_eq!(findings(&configuration(7), context), []);
    for (pointer, value, path, message, is_error) in rows {
        let mut config = configuration(7);
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        let parent = config.pointer_mut(parent).unwrap();
        match (parent, &value) {
            (Value::Object(fields), Value::Null) => drop(fields.remove(field)),
            (Value::Object(fields), _) => drop(fields.insert(field.to_owned(), value.clone())),
            (Value::Array(entries), _) if field == "-" => entries.push(value.clone()),
            (parent, _) => parent[field.parse::<usize>().unwrap()] = value.clone(),
        }
        let found = findings(&config, context);
        let is_found = found.iter().any(|(found_path, text, found_error)| {
            found_path == path && text.contains(message) && *found_error == is_error
        });
        assert!(is_found, "{pointer} = {value}: {found:?}");
        let is_usable = decode_configuration(&config.to_string()).is_ok();
        assert!(is_usable || found.iter().any(|(.., is_error)| *is_error));
        let text = format!("{found:?}");
        assert!(!text.contains(KEY), "{text}");
    }
}

/// Guards against a fault of the configuration that instances would reject without its place, and against faults
/// that hide each other.
#[test]
fn errors_state_their_paths() {
    let context = DraftContext {
        version_in_force: Some(6),
        targets: None,
    };
    let rows = vec![
        (
            "/version",
            json!("7"),
            "version",
            "must be a whole number",
            true,
        ),
        (
            "/version",
            Value::Null,
            "version",
            "must be a whole number",
            true,
        ),
        ("/version", json!(6), "version", "must be above 6", true),
        ("/routes", json!({}), "routes", "must be a list", true),
        (
            "/routes/0",
            json!(KEY),
            "routes[0]",
            "not a JSON object",
            true,
        ),
        (
            "/routes/1/timeout_ms",
            json!("4 s"),
            "routes[1].timeout_ms",
            "must be a number",
            true,
        ),
        (
            "/routes/1/priority",
            json!(300),
            "routes[1].priority",
            "0 to 255",
            true,
        ),
        (
            "/routes/1/public",
            json!(1),
            "routes[1].public",
            "true or false",
            true,
        ),
        (
            "/routes/1/host",
            Value::Null,
            "routes[1]",
            "missing field `host`",
            true,
        ),
        (
            "/routes/1/kind",
            json!("stream"),
            "routes[1].kind",
            "`streaming`",
            true,
        ),
        (
            "/routes/1/service",
            Value::Null,
            "routes[1].service",
            "is missing",
            true,
        ),
        (
            "/services/1/engine",
            json!([KEY]),
            "services[1].engine",
            "must be",
            true,
        ),
        (
            "/services/2/kv_store_addr",
            json!("kv:1"),
            "services[2].kv_store_addr",
            "socket address",
            true,
        ),
        (
            "/tenants/0/api_keys",
            json!(KEY),
            "tenants[0].api_keys",
            "must be a list",
            true,
        ),
        (
            "/tenants/0/api_keys",
            json!([{ KEY: KEY }]),
            "tenants[0].api_keys",
            "must be",
            true,
        ),
        (
            "/tenants/0/burst",
            json!(KEY),
            "tenants[0].burst",
            "must be a number",
            true,
        ),
        (
            "/limits/max_body_bytes",
            json!(-1),
            "limits.max_body_bytes",
            "must be a whole number",
            true,
        ),
    ];
    check_rows(rows, &context);
    let mut config = configuration(7);
    config["routes"][0]["timeout_ms"] = json!("4 s");
    config["routes"][0]["max_attempts"] = json!(-2);
    config["services"][0] = json!(7);
    config["limits"]["max_body_bytes"] = json!([]);
    assert_eq!(findings(&config, &context).len(), 4);
}

/// Guards against entries that never take effect, and limits that contradict each other, without a word.
#[test]
fn entries_without_effect_and_contradictions_are_reported() {
    let context = DraftContext {
        version_in_force: None,
        targets: Some(BTreeMap::from([("app".into(), 2), ("llm".into(), 3)])),
    };
    let mut twin = configuration(7)["routes"][0].clone();
    twin["name"] = json!("twin");
    twin["host"] = json!("SHOP.example");
    let tenant = |name: &str, keys: &[&str]| json!({ "name": name, "api_keys": keys });
    let split = |weights: [f64; 2]| json!([{ "service": "app", "weight": weights[0] }, { "service": "llm", "weight": weights[1] }]);
    let rows = vec![
        ("/routes/-", twin, "routes[2]", "route 0 (`read`)", false),
        (
            "/routes/0/path_prefix",
            json!("read/"),
            "routes[0].path_prefix",
            "never matches",
            false,
        ),
        (
            "/routes/0/service",
            json!("none"),
            "routes[0].traffic_split",
            "not defined",
            false,
        ),
        (
            "/routes/0/service",
            json!("kv"),
            "routes[0].traffic_split",
            "KV cache store",
            false,
        ),
        (
            "/routes/0/service",
            json!("llm"),
            "services[0]",
            "never used",
            false,
        ),
        (
            "/routes/0/traffic_split",
            split([1.0, 0.5]),
            "routes[0].traffic_split",
            "`llm` gets no",
            false,
        ),
        (
            "/services/-",
            json!({ "name": "app" }),
            "services[0]",
            "service 3",
            false,
        ),
        (
            "/services/1/kv_store_addr",
            json!("127.0.0.1:1"),
            "services[1].kv_store_addr",
            "engines",
            false,
        ),
        (
            "/tenants/-",
            tenant("club", &["other"]),
            "tenants[0]",
            "workspace 1",
            false,
        ),
        (
            "/tenants/-",
            tenant("new", &[]),
            "tenants[1].api_keys",
            "is empty",
            false,
        ),
        (
            "/tenants/-",
            tenant("new", &[KEY]),
            "tenants[0].api_keys",
            "workspace 1",
            false,
        ),
        (
            "/tenants/0/burst",
            json!(9),
            "tenants[0].burst",
            "one request (10)",
            false,
        ),
        (
            "/tenants/0/plain_tokens",
            json!(2001),
            "tenants[0].burst",
            "one request (2001)",
            false,
        ),
        (
            "/routes/0/timeout_ms",
            json!(18),
            "routes[0].timeout_ms",
            "at least 18 ms",
            false,
        ),
        (
            "/routes/0/max_attempts",
            json!(3),
            "routes[0].max_attempts",
            "exceeds the 2",
            false,
        ),
        (
            "/routes/0/target_latency_ms",
            json!(4001),
            "routes[0].target_latency_ms",
            "4000 ms",
            false,
        ),
        (
            "/routes/1/gap_aim_ms",
            json!(4001),
            "routes[1].gap_aim_ms",
            "4000 ms",
            false,
        ),
        (
            "/limits/max_header_bytes",
            json!(100_000),
            "limits.max_header_bytes",
            "65536",
            false,
        ),
        (
            "/limits/max_header_bytes",
            json!(0),
            "limits.max_header_bytes",
            "every request",
            false,
        ),
        (
            "/limits/max_body_bytes",
            json!(0),
            "limits.max_body_bytes",
            "has a body",
            false,
        ),
        (
            "/limits/header_timeout_ms",
            json!(0),
            "limits.header_timeout_ms",
            "no time",
            false,
        ),
    ];
    check_rows(rows, &context);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[ -~\u{1b}\u{202e}]{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        let list = prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from);
        let fields = prop::collection::btree_map("[a-z_]{0,8}", inner, 0..4);
        prop_oneof![
            list,
            fields.prop_map(|fields| fields.into_iter().collect::<Value>())
        ]
    })
}

/// Returns the pointers of all values.
fn pointers(value: &Value, path: &str, found: &mut Vec<String>) {
    found.push(path.to_owned());
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                pointers(value, &format!("{path}/{name}"), found);
            }
        }
        Value::Array(entries) => {
            for (index, value) in entries.iter().enumerate() {
                pointers(value, &format!("{path}/{index}"), found);
            }
        }
        _ => {}
    }
}

/// Checks bytes as a file. The check has to agree with the decoder of the instances.
fn check_bytes(bytes: &[u8]) -> Result<(), TestCaseError> {
    let Ok(text) = read_configuration_file(bytes) else {
        return Ok(());
    };
    let checked = check_configuration(text, &DraftContext::default());
    let decoded = decode_configuration(text);
    let has_errors = checked.faults.iter().any(|fault| fault.is_error);
    prop_assert_eq!(has_errors, decoded.is_err(), "{:?}", &checked.faults);
    prop_assert_eq!(checked.version, decoded.ok().map(|policy| policy.version));
    let _ = configuration_by_name(text);
    Ok(())
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against a file that ends the check, and against a check that accepts what instances reject.
    #[test]
    fn any_values_are_checked_as_instances_decode_them(
        changes in prop::collection::vec((any::<Index>(), any_json()), 1..4),
    ) {
        let mut config = configuration(7);
        for (at, value) in changes {
            let mut places = Vec::new();
            pointers(&config, "", &mut places);
            let place = at.get(&places).clone();
            *config.pointer_mut(&place).unwrap() = value;
        }
        check_bytes(config.to_string().as_bytes())?;
    }

    /// Guards against bytes that end the check.
    #[test]
    fn any_bytes_are_checked(
        edits in prop::collection::vec((any::<Index>(), any::<Option<u8>>()), 0..6),
        length in any::<Index>(),
        is_cut in any::<bool>(),
    ) {
        let mut bytes = configuration(7).to_string().into_bytes();
        for (at, byte) in edits {
            let at = at.index(bytes.len());
            match byte {
                Some(byte) => bytes[at] = byte,
                None => drop(bytes.remove(at)),
            }
        }
        if is_cut {
            bytes.truncate(length.index(bytes.len()));
        }
        check_bytes(&bytes)?;
    }
}

/// Guards against nesting, sizes and repetitions that end the check or keep it busy.
#[test]
fn hostile_files_are_checked() {
    let nested = "[".repeat(200_000) + &"]".repeat(200_000);
    let text = configuration(7).to_string();
    for hostile in [
        nested.clone(),
        format!("{{\"version\":7,\"further\":{nested}}}"),
        format!("{{\"version\":7,\"routes\":{nested}}}"),
        format!("{{\"version\":7,\"routes\":[{nested}]}}"),
        format!("{{\"version\":7,\"services\":[{{\"name\":\"a\",\"x\":{nested}}}]}}"),
        format!("{{\"version\":7,\"services\":[{{\"name\":{nested}}}]}}"),
        text.replacen('{', "{\"version\":7,", 1),
        text.replacen("\"shop.example\"", "\"\\ud800\"", 1),
        text.replacen("4000", "1e400", 1),
        format!(
            "{{\"version\":7,\"tenants\":[{}]}}",
            vec!["{\"name\":\"a\"}"; 100_000].join(",")
        ),
        format!(
            "{{\"version\":7,\"services\":[{}]}}",
            vec!["{\"name\":\"a\"}"; 100_000].join(",")
        ),
        format!(
            "{{\"version\":7,\"routes\":[{}]}}",
            vec!["{}"; 100_000].join(",")
        ),
    ] {
        check_bytes(hostile.as_bytes()).unwrap_or_else(|error| panic!("{hostile:.100}: {error}"));
    }
    let many = format!(
        "{{\"version\":7,\"routes\":[{}]}}",
        vec!["7"; 100_000].join(",")
    );
    let checked = check_configuration(&many, &DraftContext::default());
    assert!(
        checked.faults.len() < 2_000,
        "{} findings",
        checked.faults.len()
    );
    assert!(read_configuration_file(&vec![b' '; 9 << 20]).is_err());
}

/// Guards against exit statuses, differences or keys in the output other than documented in `docs/cli.md`.
#[test]
fn the_subcommand_reports_findings_and_differences() {
    run(async {
        let store = ObjectStore::new();
        let handle = StandInHandle::start(StoreEndpoint::new(&store)).unwrap();
        let address = handle.address().to_string();
        store.put("config", "main", configuration(6));
        let entry = json!({ "service": "app", "address": "127.0.0.1:1", "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "models": [], "sequence": 3, "born": 1 });
        store.put("servers", "s1", entry);
        let good = TempFile::new("platform-good.json", &configuration(7).to_string());
        let mut changed = configuration(7);
        changed["routes"][0]["timeout_ms"] = json!(3000);
        changed["tenants"][0]["api_keys"] = json!([KEY, "a second key"]);
        changed["services"].as_array_mut().unwrap().remove(2);
        let object = json!({ "metadata": { "name": "main" }, "spec": changed });
        let changed = TempFile::new("platform-changed.json", &object.to_string());
        let mut broken = configuration(7);
        broken["routes"][0]["timeout_ms"] = json!("4 s");
        let broken = TempFile::new("platform-broken.json", &broken.to_string());
        let cut = TempFile::new("platform-cut.json", "{\"version\":7,");
        let cases: [(&[&str], i32, &[&str]); 13] = [
            (&[good.path()], 0, &["0 errors, 0 warnings"]),
            (
                &[broken.path()],
                1,
                &["error: routes[0].timeout_ms: ", "1 errors"],
            ),
            (&[cut.path()], 2, &["error: ", "EOF"]),
            (&["/does/not/exist"], 2, &["error: /does/not/exist"]),
            (
                &["--against", good.path(), changed.path()],
                1,
                &[
                    "error: version: must be above 7",
                    "~ routes.read.timeout_ms: 4000 -> 3000\n",
                ],
            ),
            (
                &["--against", good.path(), good.path()],
                0,
                &["no difference to version 7"],
            ),
            (&["--against", cut.path(), good.path()], 2, &["error: "]),
            (
                &["--against", broken.path(), good.path()],
                2,
                &["routes[0].timeout_ms"],
            ),
            (
                &["--in-force", &address, changed.path()],
                0,
                &[
                    "warning: routes[0].max_attempts: exceeds the 1 targets of service `app`",
                    "~ routes.read.timeout_ms: 4000 -> 3000\n",
                    "- services.kv: ",
                    "~ tenants.club.api_keys: [\"key ",
                    "~ version: 6 -> 7\n",
                ],
            ),
            (
                &["--in-force", "127.0.0.1:1", good.path()],
                2,
                &["error: the store at 127.0.0.1:1"],
            ),
            (
                &["--json", "--in-force", &address, broken.path()],
                1,
                &["\"errors\": 1"],
            ),
            (&["--json", cut.path()], 2, &["\"exit_status\": 2"]),
            (
                &[good.path(), good.path()],
                2,
                &["--platform takes one FILE"],
            ),
        ];
        for (args, status, texts) in cases {
            let args = [&["config", "check", "--platform"], args].concat();
            let output = run_subcommand(&args, "").await;
            let text = stdout(&output) + &stderr(&output);
            assert_eq!(output.status.code(), Some(status), "{args:?}: {text}");
            for expected in texts {
                assert!(text.contains(expected), "{args:?}: {text}");
            }
            assert!(
                !text.contains(KEY) && !text.contains("a second key"),
                "{text}"
            );
        }
        store.remove("config", "main");
        let args = [
            "config",
            "check",
            "--platform",
            "--in-force",
            &address,
            good.path(),
        ];
        let output = run_subcommand(&args, "").await;
        assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    });
}
