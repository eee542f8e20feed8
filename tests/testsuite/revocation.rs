//! Withdrawal of keys, on the set and with real instances.

use jujubelink::core::config::{ConfigSnapshot, FleetConfig};
use jujubelink::core::spread::{MAX_REVOCATIONS, RevocationSet};
use jujubelink::util::hash::sha256_hex;

use crate::support::{Cluster, config, eventually, run};

/// Guards against sets that differ although they contain the same keys, and against a full set that
/// makes a withdrawn key valid again.
#[test]
fn a_set_grows_only_and_its_hash_ignores_the_order() {
    let hashes: Vec<String> = (0..MAX_REVOCATIONS + 10)
        .map(|index| sha256_hex(&index.to_le_bytes()))
        .collect();
    let (mut first, mut second) = (RevocationSet::default(), RevocationSet::default());
    first.merge(hashes[..9].iter().map(String::as_str), None);
    second.merge(hashes[..9].iter().rev().map(String::as_str), None);
    assert_eq!(first.hash(), second.hash());
    assert_ne!(first.hash(), 0);
    first.merge(hashes.iter().map(String::as_str), None);
    assert_eq!(first.len(), MAX_REVOCATIONS);
    assert!(first.contains(&hashes[0]));
    assert!(first.merge(["no hash"], None).is_empty());
}

/// Guards against an entry that leaves the set before the configuration lists it.
#[test]
fn an_entry_stays_until_the_configuration_lists_it() {
    let [kept, listed] = [b"kept", b"list"].map(|key| sha256_hex(key));
    let mut set = RevocationSet::default();
    set.merge([kept.as_str(), listed.as_str()], None);
    let mut fleet = FleetConfig::default();
    fleet.withdrawn_keys.insert(listed.as_str().into());
    let config = ConfigSnapshot::new(2, fleet);
    set.on_config(&config);
    assert!(set.contains(&kept) && !set.contains(&listed));
    assert!(set.merge([listed.as_str()], Some(&config)).is_empty());
}

/// Guards against a withdrawal that needs the platform, that other instances miss, that a restart
/// undoes, or that is forgotten instead of written when the platform is back.
#[test]
fn a_withdrawal_holds_without_the_platform_and_over_restarts() {
    run(async {
        let mut fleet = Cluster::start(4, Some(config(1, &["a", "b"]))).await;
        fleet.wait_for_version(1).await;
        fleet.wait_for_members().await;
        fleet.platform.set_faults(|faults| faults.is_down = true);
        assert_eq!(
            fleet.error_code(3, "a").await,
            fleet.error_code(3, "b").await
        );
        fleet.revoke(2, "a").await;
        for index in 0..4 {
            eventually("the key is refused", || async {
                (fleet.error_code(index, "a").await == "key_revoked").then_some(())
            })
            .await;
            assert_ne!(fleet.error_code(index, "b").await, "key_revoked");
        }
        for index in [0, 2] {
            fleet.kill(index);
            fleet.start_instance(index).await;
            // The first answer after the start must already be a refusal.
            eventually("the restarted instance has a configuration", || async {
                let code = fleet.error_code(index, "a").await;
                assert!(["not_ready", "key_revoked"].contains(&&*code), "{code}");
                (code == "key_revoked").then_some(())
            })
            .await;
        }
        fleet.platform.set_faults(|faults| faults.is_down = false);
        eventually("the withdrawal is written", || async {
            let stored = fleet.platform.get("config/current").unwrap();
            let withdrawn = stored["config"]["withdrawn_keys"].as_array()?.clone();
            withdrawn.contains(&sha256_hex(b"a").into()).then_some(())
        })
        .await;
        let version = fleet.platform.get("config/current").unwrap()["version"].clone();
        fleet.wait_for_version(version.as_u64().unwrap()).await;
        for index in 0..4 {
            assert_eq!(fleet.error_code(index, "a").await, "key_revoked");
            assert!(fleet.pending_revocations(index).await.is_empty());
        }
    });
}

/// Guards against a withdrawal that is written twice or lost when the platform's answer is lost
/// after the write took effect, and against a change by somebody else that it overwrites.
#[test]
fn a_lost_answer_and_a_change_by_others_do_not_spoil_the_write() {
    run(async {
        let fleet = Cluster::start(1, Some(config(1, &["a", "b"]))).await;
        fleet.wait_for_version(1).await;
        fleet.platform.set_faults(|faults| faults.lose_answers = 1);
        fleet.revoke(0, "a").await;
        eventually("the revocation is absorbed", || async {
            fleet.pending_revocations(0).await.is_empty().then_some(())
        })
        .await;
        let stored = fleet.platform.get("config/current").unwrap();
        assert_eq!(stored["version"], 2);
        fleet.platform.put("config/current", {
            let mut value = stored.clone();
            value["version"] = 3.into();
            value["config"]["keys"][sha256_hex(b"c")] =
                serde_json::json!({ "workspace": "clerks" });
            value
        });
        fleet.revoke(0, "b").await;
        eventually("the second revocation is absorbed", || async {
            fleet.pending_revocations(0).await.is_empty().then_some(())
        })
        .await;
        let stored = fleet.platform.get("config/current").unwrap();
        assert_eq!(stored["version"], 4);
        assert!(stored["config"]["keys"][sha256_hex(b"c")].is_object());
    });
}

/// Guards against an instance that was paused during a withdrawal in an outage of the platform and
/// goes on accepting the key when it returns.
#[test]
fn an_instance_that_was_paused_learns_of_the_withdrawal() {
    run(async {
        let fleet = Cluster::start(3, Some(config(1, &["a"]))).await;
        fleet.wait_for_version(1).await;
        fleet.wait_for_members().await;
        fleet.platform.set_faults(|faults| faults.is_down = true);
        fleet.signal(2, "STOP");
        fleet.revoke(0, "a").await;
        eventually("the key is refused", || async {
            (fleet.error_code(1, "a").await == "key_revoked").then_some(())
        })
        .await;
        fleet.signal(2, "CONT");
        eventually("the key is refused by the returned instance", || async {
            (fleet.error_code(2, "a").await == "key_revoked").then_some(())
        })
        .await;
    });
}
