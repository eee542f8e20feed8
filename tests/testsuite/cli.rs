//! The command line of the real binary.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use http::Request;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineTimes};
use jujubelink_standins::platform::Platform;
use serde_json::Value;

use crate::support::{ADMIN_KEY, Instance, eventually, run, send, spawn};

/// Runs a subcommand on a thread of its own, so that the stand-ins on the event loop can respond to it.
pub(crate) async fn run_subcommand(args: &[&str], input: &str) -> Output {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let input = input.to_owned();
    let thread = std::thread::spawn(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jujubelink"));
        command
            .args(args)
            .env("JUJUBELINK_ADMIN_KEY", ADMIN_KEY)
            .env_remove("JUJUBELINK_ADMIN_ADDRESS")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = spawn(&mut command).expect("a started subcommand");
        let mut stdin = child.stdin.take().expect("a pipe");
        // A subcommand that reads no input may have ended already.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().expect("an ended subcommand")
    });
    eventually("the subcommand ends", || async {
        thread.is_finished().then_some(())
    })
    .await;
    thread.join().expect("a subcommand")
}

pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

/// A file that is removed at the end of the test.
pub(crate) struct TempFile(PathBuf);

impl TempFile {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let name = format!("jujubelink-cli-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a written file");
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().expect("a text path")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn fleet_config(engines: &[SocketAddr], weights: &str) -> String {
    let mut text = format!(
        "[workspaces.acervo]\nrate_tokens_per_s = 20000\nburst_tokens = 60000\n\n\
         [models.judge]\nweights_version = \"{weights}\"\n\n"
    );
    for (index, address) in engines.iter().enumerate() {
        text.push_str(&format!(
            "[targets.gpu-{index}]\nkind = \"engine\"\naddress = \"{address}\"\n\
             failure_domain = \"a\"\nmodels = [\"judge\"]\n\n"
        ));
    }
    text
}

async fn send_completion(address: SocketAddr, key: &str) -> crate::support::TestResponse {
    let request = Request::post("/v1/completions")
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json");
    let body = r#"{"model":"judge","prompt":"once upon a time","max_tokens":3}"#;
    send(address, request, Some(body.to_owned())).await
}

/// Guards against documented steps that do not work. An operator goes from an empty platform to a served
/// request, a changed rate, a withdrawn key and a drained instance. Changes that affect the cluster are
/// checked at every instance, not only at the one that received the command.
#[test]
fn an_operator_installs_configures_and_drains_a_cluster() {
    run(async {
        let platform = Platform::new();
        let platform_handle = StandInHandle::start(platform.clone()).unwrap();
        let times = EngineTimes {
            prefill: std::time::Duration::from_millis(1),
            per_token: std::time::Duration::from_millis(1),
        };
        let engines = [
            StandInHandle::start(Engine::new(times)).unwrap(),
            StandInHandle::start(Engine::new(times)).unwrap(),
        ];
        let addresses: Vec<SocketAddr> = engines.iter().map(StandInHandle::address).collect();
        let mut instances = Vec::new();
        for _ in 0..3 {
            instances.push(Instance::start(platform_handle.address(), &[]).await);
        }
        let admin = instances[0].admin_address.to_string();
        let file = TempFile::new("fleet.toml", &fleet_config(&addresses, "1"));

        let checked = run_subcommand(&["config", "check", file.path()], "").await;
        assert!(checked.status.success(), "{}", stdout(&checked));
        let args = ["config", "apply", "--instance", &admin, file.path()];
        let applied = run_subcommand(&args, "").await;
        assert!(applied.status.success(), "{}", stderr(&applied));
        assert!(stdout(&applied).contains("version 1 is in force"));
        let repeated = run_subcommand(&args, "").await;
        assert!(repeated.status.success() && stderr(&repeated).contains("nothing was written"));

        let args = ["key", "grant", "--instance", &admin, "--json", "acervo"];
        let granted = run_subcommand(&args, "").await;
        assert!(granted.status.success(), "{}", stderr(&granted));
        let granted: Value = serde_json::from_str(&stdout(&granted)).unwrap();
        let secret = granted["secret"].as_str().unwrap();
        for instance in &instances {
            eventually("the granted key works", || async {
                let response = send_completion(instance.client_address, secret).await;
                (response.status == 200).then_some(())
            })
            .await;
        }

        let args = ["rate", "set", "--instance", &admin, "acervo", "30000"];
        let changed = run_subcommand(&args, "").await;
        assert!(changed.status.success(), "{}", stderr(&changed));
        for instance in &instances {
            let address = instance.admin_address.to_string();
            eventually("the new rate is active", || async {
                let args = ["workspace", "list", "--instance", &address];
                let listed = run_subcommand(&args, "").await;
                stdout(&listed).contains("30000").then_some(())
            })
            .await;
        }
        let args = ["config", "diff", "--instance", &admin, file.path()];
        let config_diff = run_subcommand(&args, "").await;
        let expected = "~ workspaces.acervo.rate_tokens_per_s: 30000 -> 20000\n";
        assert_eq!(stdout(&config_diff), expected);

        let args = ["key", "withdraw", "--instance", &admin];
        let refused = run_subcommand(&args, secret).await;
        assert_eq!(refused.status.code(), Some(8), "needs confirmation");
        let args = ["key", "withdraw", "--instance", &admin, "--yes"];
        let withdrawn = run_subcommand(&args, secret).await;
        assert!(withdrawn.status.success(), "{}", stderr(&withdrawn));
        for instance in &instances {
            eventually("the withdrawn key is refused", || async {
                let response = send_completion(instance.client_address, secret).await;
                (response.status == 401).then_some(())
            })
            .await;
        }
        let refused = send_completion(instances[0].client_address, secret).await;
        let reason: Value = serde_json::from_str(&refused.body).unwrap();
        assert_eq!(reason["error"]["code"], "key_revoked");
        assert_eq!(reason["error"]["outcome"], "not_run");

        let args = ["drain", "instance", "--instance", &admin, "--yes"];
        let drained = run_subcommand(&args, "").await;
        assert!(drained.status.success(), "{}", stderr(&drained));
        let status = eventually("the drained instance ends", || {
            let status = instances[0].exit_status();
            async move { status }
        })
        .await;
        assert!(status.success());
        let args = ["status", "--instance", &admin];
        let unreachable = run_subcommand(&args, "").await;
        assert_eq!(unreachable.status.code(), Some(6));
    });
}

/// Guards against exit statuses that differ from those in `docs/cli.md`, on which operators' scripts rely.
#[test]
fn exit_statuses_are_stable() {
    run(async {
        let bad = TempFile::new("bad.toml", "[workspaces.a]\nburst_tokens = 1\n");
        let platform = StandInHandle::start(Platform::new()).unwrap();
        let instance = Instance::start(platform.address(), &[]).await;
        let admin = instance.admin_address.to_string();
        let good = TempFile::new("good.toml", &fleet_config(&[], "1"));
        let cases: &[(&[&str], i32)] = &[
            (&["--help"], 0),
            (&["config", "render", good.path()], 0),
            (&["config", "check", "/does/not/exist"], 1),
            (&["config", "chekc"], 2),
            (&["config", "check", bad.path()], 3),
            (
                &[
                    "config",
                    "apply",
                    "--instance",
                    &admin,
                    "--if-version",
                    "7",
                    good.path(),
                ],
                4,
            ),
            (
                &["status", "--instance", &admin, "--key-file", bad.path()],
                5,
            ),
            (&["status", "--instance", "127.0.0.1:1"], 6),
            (&["rate", "set", "--instance", "127.0.0.1:1", "w", "1"], 6),
            (
                &["lease", "break", "--instance", &admin, "10.0.0.7:7400"],
                8,
            ),
        ];
        for (args, expected) in cases {
            let output = run_subcommand(args, "").await;
            assert_eq!(
                output.status.code(),
                Some(*expected),
                "{args:?}: {}",
                stderr(&output)
            );
        }
    });
}

/// Guards against a subcommand or its example that is missing from the help texts, and against empty
/// completion scripts.
#[test]
fn help_and_completions_cover_all_subcommands() {
    run(async {
        let mut help = stdout(&run_subcommand(&["--help"], "").await);
        for path in [
            "serve",
            "config check",
            "config apply",
            "workspace set",
            "key grant",
            "key withdraw",
            "rate set",
            "route set",
            "status",
            "drain target",
            "lease break",
            "trace",
        ] {
            let mut args: Vec<&str> = path.split(' ').collect();
            args.push("--help");
            help.push_str(&format!(
                "\n=== {path}\n{}",
                stdout(&run_subcommand(&args, "").await)
            ));
        }
        insta::assert_snapshot!(help);
        for shell in ["bash", "zsh", "fish", "elvish"] {
            let script = stdout(&run_subcommand(&["completions", shell], "").await);
            assert!(script.contains("jujubelink"), "{shell}: {script}");
        }
    });
}

/// Guards against tables that lose columns or change their layout unnoticed.
#[test]
fn tables_keep_their_form() {
    run(async {
        let platform = Platform::new();
        let handle = StandInHandle::start(platform.clone()).unwrap();
        let instance = Instance::start(handle.address(), &[]).await;
        let admin = instance.admin_address.to_string();
        let engine: SocketAddr = "10.0.0.1:8000".parse().unwrap();
        let file = TempFile::new("tables.toml", &fleet_config(&[engine], "1"));
        let args = ["config", "apply", "--instance", &admin, file.path()];
        assert!(run_subcommand(&args, "").await.status.success());
        let args = [
            "route",
            "set",
            "--instance",
            &admin,
            "--path-prefix",
            "/o",
            "--target",
            "gpu-0",
            "orders",
        ];
        assert!(run_subcommand(&args, "").await.status.success());
        let prompt = TempFile::new("prompt.json", &"once upon a time ".repeat(600));
        let peer = instance.peer_address.to_string();
        // The instance tries to take the order lease every 10 s, first at a random time, so it may get
        // it before or after the slots.
        eventually(
            "the instance holds all slots and the order lease",
            || async {
                let output = run_subcommand(&["status", "--json", "--instance", &admin], "").await;
                let status: Value = serde_json::from_str(&stdout(&output)).ok()?;
                let leases = status["leases"].as_array()?.iter();
                let held: Vec<&str> = leases
                    .filter(|lease| lease["value"]["holder"]["instance"] == *peer)
                    .filter_map(|lease| lease["key"].as_str())
                    .collect();
                let slots = held.iter().filter(|key| key.starts_with("limits/")).count();
                (slots == 8 && held.contains(&"orders/lease")).then_some(())
            },
        )
        .await;
        let mut text = String::new();
        for args in [
            &["workspace", "list"][..],
            &["route", "list"],
            &["key", "list"],
            &["status"],
            &[
                "trace",
                "--workspace",
                "acervo",
                "--model",
                "judge",
                prompt.path(),
            ],
        ] {
            let mut args = args.to_vec();
            args.extend(["--instance", &admin]);
            let output = run_subcommand(&args, "").await;
            assert!(output.status.success(), "{args:?}: {}", stderr(&output));
            text.push_str(
                &stdout(&output).replace(&peer, &format!("{:<1$}", "INSTANCE", peer.len())),
            );
            text.push('\n');
        }
        insta::assert_snapshot!(text);
    });
}
