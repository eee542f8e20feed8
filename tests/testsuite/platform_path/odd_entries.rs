//! Entries of other writers in the object store that cannot be decoded, beside entries that can.

use jujubelink_standins::fleet::FleetTarget;

use super::*;

/// An entry that cannot be decoded.
struct OddEntry {
    what: &'static str,
    /// JSON, or other bytes.
    spec: Vec<u8>,
}

/// Returns entries that cannot be decoded, made from a valid one by replacing the value of `field`
/// or the whole entry.
fn odd_entries(valid: &Value, field: &str) -> Vec<OddEntry> {
    let replaced = |value: &[u8]| {
        let mut entry = valid.clone();
        entry[field] = json!("REPLACED");
        let text = entry.to_string();
        let (start, end) = text.split_once("\"REPLACED\"").expect("the field");
        [start.as_bytes(), value, end.as_bytes()].concat()
    };
    let nested = |levels: usize| "[".repeat(levels) + &"]".repeat(levels);
    let odd = |what, spec| OddEntry { what, spec };
    vec![
        odd("nested 100,000 levels deep", nested(100_000).into_bytes()),
        odd(
            "a field nested 200 levels deep",
            replaced(nested(200).as_bytes()),
        ),
        odd("a number too large", replaced(b"1e400")),
        odd("an integer too large", replaced(b"99999999999999999999999")),
        odd("a port out of range", replaced(b"\"127.0.0.1:70000\"")),
        odd("bytes that are not UTF-8", replaced(b"\"\xff\xfe\"")),
        odd("a lone surrogate", replaced(b"\"\\ud800\"")),
        odd("an empty object", b"{}".to_vec()),
    ]
}

impl Deployment {
    fn spec(&self, kind: &str, name: &str) -> Value {
        self.store.spec(kind, name).expect("the entry")
    }
}

/// Sends requests until none of ten consecutive ones reaches the target. Returns how many of the last
/// ten reached it.
async fn requests_at_leaving_target(target: &FleetTarget, instance: &RunningInstance) -> u64 {
    let mut reached = 0;
    for _ in 0..8 {
        let before = target.runs();
        for _ in 0..10 {
            instance.send_request("r", "GET", "/read/x").await;
        }
        reached = target.runs() - before;
        if reached == 0 {
            break;
        }
        compio::time::sleep(Duration::from_millis(500)).await;
    }
    reached
}

/// Guards against one undecodable entry among the targets that hides the shutdown of another target.
#[test]
fn an_odd_target_entry_does_not_hide_leaving_targets() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let mut failures = Vec::new();
        let mut incarnation = 1;
        for odd in odd_entries(&deployment.spec("servers", "s1"), "address") {
            for is_listed in [false, true] {
                deployment.store.put_raw("servers", "odd", &odd.spec);
                if is_listed {
                    // The watch fails, so that the instance lists the targets.
                    deployment.store.compact();
                }
                deployment.put_target("s1", "draining", incarnation);
                let reached = requests_at_leaving_target(&deployment.services[0], &instance).await;
                if reached > 0 {
                    let list = if is_listed { "listed" } else { "watched" };
                    failures.push(format!("{}, {list}: {reached} of 10", odd.what));
                }
                deployment.store.remove("servers", "odd");
                incarnation += 1;
                deployment.put_target("s1", "ready", incarnation);
                let runs = deployment.services[0].runs();
                eventually("the target is used again", || async {
                    instance.send_request("r", "GET", "/read/x").await;
                    (deployment.services[0].runs() > runs).then_some(())
                })
                .await;
            }
        }
        assert!(
            failures.is_empty(),
            "requests at a leaving target: {failures:#?}"
        );
    });
}
