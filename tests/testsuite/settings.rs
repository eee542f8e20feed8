//! Settings files: findings, overlays and rendering.

use jujubelink::core::config::{FleetConfig, check_change};
use jujubelink::ops::settings::{
    Finding, SettingsSource, load_fleet, load_process, parse_document, render,
};
use proptest::prelude::*;

const BASE_SETTINGS: &str = r#"
[workspaces.acervo]
rate_tokens_per_s = 20000
burst_tokens = 60000

[models.judge]
weights_version = "7"

[targets.gpu-1]
kind = "engine"
address = "10.0.0.1:8000"
failure_domain = "recife-a"
models = ["judge"]

[targets.gpu-2]
kind = "engine"
address = "10.0.0.2:8000"
failure_domain = "olinda"
models = ["judge"]
"#;

fn source(name: &str, text: &str) -> SettingsSource {
    SettingsSource::new(name, text)
}

fn format_findings(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against a check that stops at the first error, so that an operator has to repeat it for each
/// further one.
#[test]
fn reports_all_faults_together() {
    let text = r#"
[workspaces.acervo]
rate_tokens_per_min = 20000
burst_tokens = "many"

[workspaces.balcao]
rate_tokens_per_s = 5000
burst_tokens = 4000
wieght = 2

[workspaces.vazio]
burst_tokens = 4000

[keys.abc]
workspace = "acrevo"

[models.judge]
weights_version = "7"
default_max_tokens = 5000

[targets.gpu-1]
kind = "engin"
address = "gpu-1:8000"
failure_domain = "recife-a"

[routes.orders]
path_prefix = "/orders"
targets = ["shop"]
surprise = [1, 2
"#;
    let loaded = load_fleet(&[source("fleet.toml", text)]);
    assert!(loaded.settings.is_none());
    insta::assert_snapshot!(format_findings(&loaded.findings));
}

/// Guards against a rule that is no longer checked, and against rules that are checked only if every
/// entry has values of the right type.
#[test]
fn reports_rules_that_the_configuration_breaks() {
    let text = r#"
[workspaces.acervo]
rate_tokens_per_s = 20000
burst_tokens = 10000
weight = 0

[workspaces.balcao]
rate_tokens_per_s = 0
burst_tokens = 8000

[keys.abc]
workspace = "acrevo"

[models.judge]
weights_version = "7"
default_max_tokens = 5000
min_ready_targets = 3

[targets.gpu-1]
kind = "engine"
address = "10.0.0.1:8000"
failure_domain = "recife-a"
models = ["writer"]

[targets.shop]
kind = "service"
address = "10.0.0.1:8000"
failure_domain = "recife-a"
models = ["judge"]

[routes.orders]
path_prefix = "orders"
targets = ["shop", "store"]
is_idempotent = true
idempotency_header = "idempotency-key"

[routes.orders2]
path_prefix = "orders"
targets = []
"#;
    let loaded = load_fleet(&[source("fleet.toml", text)]);
    assert!(loaded.settings.is_none());
    insta::assert_snapshot!(format_findings(&loaded.findings));
}

/// Guards against an overlay that replaces whole sections, loses list items or keeps removed entries, and
/// against values whose origin is attributed to the wrong file.
#[test]
fn overlay_merges_extends_and_removes() {
    let overlay = r#"
[workspaces.acervo]
burst_tokens = 90000

[targets.gpu-1.extend]
models = ["writer"]

[targets.gpu-2]
remove = true

[models.writer]
weights_version = "2"
"#;
    let loaded = load_fleet(&[
        source("base.toml", BASE_SETTINGS),
        source("site.toml", overlay),
    ]);
    assert_eq!(format_findings(&loaded.findings), "");
    let fleet = loaded.settings.unwrap();
    assert_eq!(fleet.workspaces["acervo"].burst_tokens, 90_000);
    assert_eq!(fleet.workspaces["acervo"].rate_tokens_per_s, 20_000);
    assert_eq!(fleet.targets.len(), 1);
    assert_eq!(fleet.targets["gpu-1"].models.len(), 2);
    insta::assert_snapshot!(render(&loaded.document));
}

/// Guards against overlays that change nothing and go unnoticed.
#[test]
fn overlay_that_changes_nothing_is_reported() {
    let overlay = r#"
[workspaces.acervo]
burst_tokens = 60000

[targets.gpu-9]
remove = true

[targets.gpu-1.extend]
models = []
"#;
    let sources = [
        source("base.toml", BASE_SETTINGS),
        source("site.toml", overlay),
        source("empty.toml", ""),
    ];
    let loaded = load_fleet(&sources);
    assert!(loaded.settings.is_some());
    insta::assert_snapshot!(format_findings(&loaded.findings));
}

/// Guards against secrets in rendered settings, and against errors in process settings that are found
/// only after the process has started.
#[test]
fn process_settings_are_checked_and_masked() {
    let text = r#"
[instance]
peer_address = "10.0.0.1:7400"
failure_domain = "recife-a"
region = "nordeste"
cluster_key = "too short"
seeds = ["10.0.0.1:7400"]

[listen]
client_address = "10.0.0.1:8400"
admin_address = "10.0.0.1:8400"

[platform]
adress = "10.0.0.9:80"
address = "10.0.0.9:80"

[log]
level = "loud"

[admin.keys.ana]
role = "operator"
sha256 = "ana's key"
"#;
    let loaded = load_process(&[source("process.toml", text)]);
    assert!(loaded.settings.is_none());
    assert!(!render(&loaded.document).contains("too short"));
    insta::assert_snapshot!(format_findings(&loaded.findings));
}

/// Guards against a change of the limit layout, after which workspaces could exceed their limits, and
/// against a withdrawn key that is granted again.
#[test]
fn changes_that_break_guarantees_are_rejected() {
    let hash = "ab".repeat(32);
    let mut before = FleetConfig::default();
    before.withdrawn_keys.insert(hash.as_str().into());
    let mut after = FleetConfig::default();
    after.limit_layout.slots += 1;
    after.keys.insert(
        hash.as_str().into(),
        serde_json::from_str(r#"{ "workspace": "w" }"#).unwrap(),
    );
    let violations = check_change(&before, &after);
    let paths: Vec<String> = violations
        .iter()
        .map(|violation| violation.path.join("."))
        .collect();
    assert_eq!(paths, ["limit_layout".to_owned(), format!("keys.{hash}")]);
    assert!(violations.iter().all(|violation| violation.is_error));
}

/// Guards against a setting that `docs/settings.md` does not mention. An unknown key in each section
/// makes the loader list the section's fields.
#[test]
fn every_setting_is_documented() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/settings.md");
    let page = std::fs::read_to_string(path).unwrap();
    let fleet = "zzzz = 1\nlimit_layout.zzzz = 1\norders.zzzz = 1\nworkspaces.x.zzzz = 1\n\
        keys.x.zzzz = 1\nmodels.x.zzzz = 1\ntargets.x.zzzz = 1\nroutes.x.zzzz = 1\n";
    let process = "zzzz = 1\ninstance.zzzz = 1\nlisten.zzzz = 1\nlisten.tls.zzzz = 1\nplatform.zzzz = 1\nlog.zzzz = 1\n\
        metrics.zzzz = 1\nstop.zzzz = 1\nadmin.zzzz = 1\nadmin.keys.x.zzzz = 1\ntracing.zzzz = 1\n\
        fleet.zzzz = 1\n";
    let fleet = load_fleet(&[source("fleet", fleet)]).findings;
    let process = load_process(&[source("process", process)]).findings;
    let mut sections = 0;
    for finding in fleet.iter().chain(&process) {
        let Some((_, fields)) = finding.message.split_once("expected one of ") else {
            continue;
        };
        sections += 1;
        for field in fields.split(", ") {
            assert!(
                page.contains(field),
                "{field} of {} is missing",
                finding.path
            );
        }
    }
    assert_eq!(
        sections,
        20,
        "{}",
        format_findings(&[fleet, process].concat())
    );
}

/// Guards against examples in the repository that no longer load.
#[test]
fn shipped_examples_have_no_errors() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let read = |path: &str| {
        let text = std::fs::read_to_string(root.join(path)).expect("an example in the repository");
        source(path, &text)
    };
    for user in ["pedra-polida", "cartografia-pirata"] {
        for site in std::fs::read_dir(root.join(user)).unwrap() {
            let name = site.unwrap().file_name().into_string().unwrap();
            let base = format!("{user}/{name}");
            let (loaded, is_usable) = if name == "fleet.toml" {
                let loaded = load_fleet(&[read("fleet-base.toml"), read(&base)]);
                (loaded.findings, loaded.settings.is_some())
            } else {
                let loaded = load_process(&[read("process-base.toml"), read(&base)]);
                (loaded.findings, loaded.settings.is_some())
            };
            assert!(is_usable, "{base}:\n{}", format_findings(&loaded));
            assert_eq!(format_findings(&loaded), "", "{base}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(512) })]

    /// Guards against panics on any text in a settings file, in particular at offsets within multi-byte
    /// characters.
    #[test]
    fn any_text_loads_or_is_reported(text in "[\\PC\n\\[\\]=\"'.{},#]{0,80}", overlay in "[\\PC\n\\[\\]=\".]{0,40}") {
        let sources = [source("a", &text), source("b", &overlay)];
        let loaded = load_fleet(&sources);
        prop_assert!(loaded.settings.is_some() || loaded.findings.iter().any(Finding::is_error));
        render(&loaded.document);
        load_process(&sources);
    }

    /// Guards against output of `config render` that differs in meaning from its input.
    #[test]
    fn rendered_documents_parse_to_the_same(
        entries in proptest::collection::btree_map("[a-zé. ]{1,6}", "\\PC{0,12}", 0..6),
        number in any::<i64>(),
    ) {
        let mut text = format!("number = {number}\n[section]\n");
        for (key, value) in &entries {
            let (key, value) = (toml::Value::from(key.as_str()), toml::Value::from(value.as_str()));
            text.push_str(&format!("{key} = {value}\n"));
        }
        let mut findings = Vec::new();
        let first = parse_document("a", &text, &mut findings);
        let second = parse_document("b", &render(&first), &mut findings);
        prop_assert!(findings.is_empty(), "{findings:?}");
        prop_assert!(first.eq_ignoring_origin(&second));
    }
}
