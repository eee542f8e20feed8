//! Sessions of real instances: leases on which an instance holds limit slots, vouched for by
//! witnesses.

use std::time::Duration;

use jujubelink::core::config::LimitLayout;
use jujubelink::core::limit::{SlotKey, shard_of};
use jujubelink_proto::limits::{DenyRequest, VouchRequest};
use serde_json::Value;

use crate::support::{Cluster, config, eventually, run};

/// The session object of an instance at the platform.
fn session_object(cluster: &Cluster, index: usize) -> Option<Value> {
    let key = format!("sessions/{}", cluster.peer_address(index));
    cluster.platform.get(&key)
}

fn is_in_state(session: Option<&Value>, state: &str) -> bool {
    session.is_some_and(|session| session["state"] == state)
}

/// Whether an instance holds a limit slot of the only workspace.
fn holds_a_slot(cluster: &Cluster, index: usize) -> bool {
    let layout = LimitLayout::default();
    let shard = shard_of("clerks", layout.shards);
    let address = cluster.peer_address(index).to_string();
    (0..layout.slots)
        .filter_map(|slot| cluster.platform.get(&SlotKey { shard, slot }.object_key()))
        .any(|record| record["holder"]["instance"] == address)
}

/// Guards against the end of a live session by an instance that does not list its holder as a
/// member yet, as after a simultaneous start of all instances: a witness that has just vouched must
/// not deny.
#[test]
fn the_session_of_a_live_holder_is_not_denied() {
    run(async {
        let cluster = Cluster::start(2, Some(config(1, &["key"]))).await;
        cluster.wait_for_members().await;
        let witness = eventually("the session has a witness", || async {
            let witnesses = session_object(&cluster, 0)?["witnesses"]
                .as_array()?
                .clone();
            witnesses.first().cloned()
        })
        .await;
        let object = session_object(&cluster, 0).expect("a session object");
        let deny_request = DenyRequest {
            instance: cluster.peer_address(0).to_string(),
            incarnation: object["incarnation"].as_u64().expect("a number"),
            witness_incarnation: witness["incarnation"].as_u64().expect("a number"),
        };
        let vouch_request = VouchRequest {
            instance: deny_request.instance.clone(),
            incarnation: deny_request.incarnation,
            witness_incarnation: deny_request.witness_incarnation,
        };
        let mut client = cluster.limits_client(1);
        let vouched = client
            .vouch(vouch_request)
            .await
            .expect("a gRPC reply")
            .into_inner();
        assert!(vouched.vouched);
        let denied = client
            .deny(deny_request)
            .await
            .expect("a gRPC reply")
            .into_inner();
        assert!(!denied.denied);
    });
}

/// Guards against an instance that is a witness of its own session because its seeds contain its
/// own address. Its vouch would prove nothing to the others.
#[test]
fn an_instance_is_no_witness_of_its_own_session() {
    run(async {
        let cluster = Cluster::start(1, Some(config(1, &["key"]))).await;
        let object = eventually("the session is written", || async {
            session_object(&cluster, 0).filter(|object| is_in_state(Some(object), "active"))
        })
        .await;
        assert_eq!(object["witnesses"], serde_json::json!([]));
        // Seeds are polled every second, and witnesses are chosen from those that respond.
        for _ in 0..30 {
            compio::time::sleep(Duration::from_millis(100)).await;
            let object = session_object(&cluster, 0).expect("a session object");
            assert_eq!(object["witnesses"], serde_json::json!([]));
        }
    });
}

/// Guards against an instance that stays without a session after another instance has ended it,
/// here because the instance was paused.
#[test]
fn a_resumed_instance_starts_a_new_session() {
    run(async {
        let cluster = Cluster::start(3, Some(config(1, &["key"]))).await;
        cluster.wait_for_members().await;
        // Others end a session only to take over what it holds, here a limit slot.
        let paused = eventually("an instance holds a limit slot", || async {
            (0..3).find(|index| holds_a_slot(&cluster, *index))
        })
        .await;
        eventually("the session has witnesses", || async {
            let witnesses = session_object(&cluster, paused)?["witnesses"]
                .as_array()?
                .len();
            (witnesses == 2).then_some(())
        })
        .await;
        let first = session_object(&cluster, paused).expect("a session object");
        cluster.signal(paused, "STOP");
        eventually("the session of the paused instance is fenced", || async {
            is_in_state(session_object(&cluster, paused).as_ref(), "fenced").then_some(())
        })
        .await;
        cluster.signal(paused, "CONT");
        let second = eventually("a new session is written", || async {
            session_object(&cluster, paused).filter(|session| is_in_state(Some(session), "active"))
        })
        .await;
        assert_ne!(first["incarnation"], second["incarnation"]);
    });
}
