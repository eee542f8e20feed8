//! Sessions of real instances.

use std::time::Duration;

use jujubelink::core::config::LimitLayout;
use jujubelink::core::limit::{SlotKey, shard_of};
use jujubelink_proto::limits::{DenyRequest, VouchRequest};
use serde_json::Value;

use crate::support::{Cluster, config, eventually, run};

/// The session object of an instance.
fn session(cluster: &Cluster, index: usize) -> Option<Value> {
    let key = format!("sessions/{}", cluster.peer_address(index));
    cluster.platform.get(&key)
}

fn is_in_state(session: Option<&Value>, state: &str) -> bool {
    session.is_some_and(|session| session["state"] == state)
}

/// Whether an instance is the holder of a limit slot of the only workspace.
fn holds_a_slot(cluster: &Cluster, index: usize) -> bool {
    let layout = LimitLayout::default();
    let shard = shard_of("clerks", layout.shards);
    let own = cluster.peer_address(index).to_string();
    (0..layout.slots)
        .filter_map(|slot| cluster.platform.get(&SlotKey { shard, slot }.object_key()))
        .any(|record| record["holder"]["instance"] == own)
}

/// Guards against the end of a live session by an instance that does not know its holder yet, as
/// after a start of all instances at once: a witness that vouched a moment ago does not deny.
#[test]
fn the_session_of_a_live_holder_is_not_denied() {
    run(async {
        let cluster = Cluster::start(2, Some(config(1, &["key"]))).await;
        cluster.wait_for_members().await;
        let witness = eventually("the session has a witness", || async {
            let witnesses = session(&cluster, 0)?["witnesses"].as_array()?.clone();
            witnesses.first().cloned()
        })
        .await;
        let held = session(&cluster, 0).expect("a session");
        let request = DenyRequest {
            instance: cluster.peer_address(0).to_string(),
            incarnation: held["incarnation"].as_u64().expect("a number"),
            witness_incarnation: witness["incarnation"].as_u64().expect("a number"),
        };
        let vouch = VouchRequest {
            instance: request.instance.clone(),
            incarnation: request.incarnation,
            witness_incarnation: request.witness_incarnation,
        };
        let mut client = cluster.limits_client(1);
        let vouched = client.vouch(vouch).await.expect("a reply").into_inner();
        assert!(vouched.vouched);
        let denied = client.deny(request).await.expect("a reply").into_inner();
        assert!(!denied.denied);
    });
}

/// Guards against an instance that witnesses its own session because the seeds name its address: its
/// vouch proves nothing to the others.
#[test]
fn an_instance_is_no_witness_of_its_own_session() {
    run(async {
        let cluster = Cluster::start(1, Some(config(1, &["key"]))).await;
        let held = eventually("the session is written", || async {
            session(&cluster, 0).filter(|held| is_in_state(Some(held), "active"))
        })
        .await;
        assert_eq!(held["witnesses"], serde_json::json!([]));
        // Seeds are called every second, and witnesses follow from their answers.
        for _ in 0..30 {
            compio::time::sleep(Duration::from_millis(100)).await;
            let held = session(&cluster, 0).expect("a session");
            assert_eq!(held["witnesses"], serde_json::json!([]));
        }
    });
}

/// Guards against an instance that never acts again after others have ended its session.
#[test]
fn a_paused_instance_begins_a_new_session() {
    run(async {
        let cluster = Cluster::start(3, Some(config(1, &["key"]))).await;
        cluster.wait_for_members().await;
        // Others end a session only to take over what its holder has, here a limit slot.
        let paused = eventually("an instance holds a limit slot", || async {
            (0..3).find(|index| holds_a_slot(&cluster, *index))
        })
        .await;
        eventually("the session has witnesses", || async {
            let witnesses = session(&cluster, paused)?["witnesses"].as_array()?.len();
            (witnesses == 2).then_some(())
        })
        .await;
        let first = session(&cluster, paused).expect("a session");
        cluster.signal(paused, "STOP");
        eventually("the session is fenced", || async {
            is_in_state(session(&cluster, paused).as_ref(), "fenced").then_some(())
        })
        .await;
        cluster.signal(paused, "CONT");
        let second = eventually("a new session is written", || async {
            session(&cluster, paused).filter(|session| is_in_state(Some(session), "active"))
        })
        .await;
        assert_ne!(first["incarnation"], second["incarnation"]);
    });
}
