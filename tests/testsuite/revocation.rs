//! Revocation of API keys: tests of the revocation set, then of real instances.

use jujubelink::core::config::{ConfigSnapshot, FleetConfig};
use jujubelink::core::spread::{MAX_REVOCATIONS, RevocationSet};
use jujubelink::util::hash::sha256_hex;

use crate::support::{Cluster, config, eventually, run};

/// Guards against hashes that differ although the sets contain the same keys, and against a full
/// set that drops an entry and so makes a revoked key valid again.
#[test]
fn a_full_set_keeps_its_entries_and_the_hash_ignores_their_order() {
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

/// Guards against an entry that is removed from the set before the configuration lists the key as
/// revoked.
#[test]
fn an_entry_stays_until_the_configuration_lists_it() {
    let [kept, listed] = [b"kept", b"list"].map(|key| sha256_hex(key));
    let mut set = RevocationSet::default();
    set.merge([kept.as_str(), listed.as_str()], None);
    let mut fleet_config = FleetConfig::default();
    fleet_config.withdrawn_keys.insert(listed.as_str().into());
    let config = ConfigSnapshot::new(2, fleet_config);
    set.on_config(&config);
    assert!(set.contains(&kept) && !set.contains(&listed));
    assert!(set.merge([listed.as_str()], Some(&config)).is_empty());
}

/// Guards against a revocation that fails while the platform is down, that other instances do not
/// receive, that a restart undoes, or that is not written once the platform is back.
#[test]
fn a_revocation_survives_an_outage_of_the_platform_and_restarts() {
    run(async {
        let mut cluster = Cluster::start(4, Some(config(1, &["a", "b"]))).await;
        cluster.wait_for_version(1).await;
        cluster.wait_for_members().await;
        cluster.platform.set_faults(|faults| faults.is_down = true);
        assert_eq!(
            cluster.error_code(3, "a").await,
            cluster.error_code(3, "b").await
        );
        cluster.revoke(2, "a").await;
        for index in 0..4 {
            eventually("the key is refused", || async {
                (cluster.error_code(index, "a").await == "key_revoked").then_some(())
            })
            .await;
            assert_ne!(cluster.error_code(index, "b").await, "key_revoked");
        }
        for index in [0, 2] {
            cluster.kill(index);
            cluster.start_instance(index).await;
            // The key must be refused from the first response after the start.
            eventually("the restarted instance has a configuration", || async {
                let code = cluster.error_code(index, "a").await;
                assert!(["not_ready", "key_revoked"].contains(&&*code), "{code}");
                (code == "key_revoked").then_some(())
            })
            .await;
        }
        cluster.platform.set_faults(|faults| faults.is_down = false);
        eventually("the revocation is written to the platform", || async {
            let stored = cluster.platform.get("config/current").unwrap();
            let revoked = stored["config"]["withdrawn_keys"].as_array()?.clone();
            revoked.contains(&sha256_hex(b"a").into()).then_some(())
        })
        .await;
        let version = cluster.platform.get("config/current").unwrap()["version"].clone();
        cluster.wait_for_version(version.as_u64().unwrap()).await;
        for index in 0..4 {
            assert_eq!(cluster.error_code(index, "a").await, "key_revoked");
            assert!(cluster.pending_revocations(index).await.is_empty());
        }
    });
}

/// Guards against a revocation that is written twice or never because the platform's response was
/// lost after the write took effect, and against a write that overwrites a concurrent change by
/// others.
#[test]
fn a_revocation_is_written_once_despite_a_lost_response_and_changes_by_others() {
    run(async {
        let cluster = Cluster::start(1, Some(config(1, &["a", "b"]))).await;
        cluster.wait_for_version(1).await;
        cluster
            .platform
            .set_faults(|faults| faults.lose_answers = 1);
        cluster.revoke(0, "a").await;
        eventually("the revocation is part of the configuration", || async {
            cluster
                .pending_revocations(0)
                .await
                .is_empty()
                .then_some(())
        })
        .await;
        let stored = cluster.platform.get("config/current").unwrap();
        assert_eq!(stored["version"], 2);
        cluster.platform.put("config/current", {
            let mut value = stored.clone();
            value["version"] = 3.into();
            value["config"]["keys"][sha256_hex(b"c")] =
                serde_json::json!({ "workspace": "clerks" });
            value
        });
        cluster.revoke(0, "b").await;
        eventually(
            "the second revocation is part of the configuration",
            || async {
                cluster
                    .pending_revocations(0)
                    .await
                    .is_empty()
                    .then_some(())
            },
        )
        .await;
        let stored = cluster.platform.get("config/current").unwrap();
        assert_eq!(stored["version"], 4);
        assert!(stored["config"]["keys"][sha256_hex(b"c")].is_object());
    });
}

/// Guards against an instance that still accepts a revoked key because it was paused during the
/// revocation, while the platform was down.
#[test]
fn a_resumed_instance_receives_the_revocation() {
    run(async {
        let cluster = Cluster::start(3, Some(config(1, &["a"]))).await;
        cluster.wait_for_version(1).await;
        cluster.wait_for_members().await;
        cluster.platform.set_faults(|faults| faults.is_down = true);
        cluster.signal(2, "STOP");
        cluster.revoke(0, "a").await;
        eventually("the key is refused", || async {
            (cluster.error_code(1, "a").await == "key_revoked").then_some(())
        })
        .await;
        cluster.signal(2, "CONT");
        eventually("the resumed instance refuses the key", || async {
            (cluster.error_code(2, "a").await == "key_revoked").then_some(())
        })
        .await;
    });
}
