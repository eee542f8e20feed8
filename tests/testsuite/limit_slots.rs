//! Slots of rate limits that several instances of the own deployment hold.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::support::{Fleet, chat_body, chat_request, eventually, run, send};

/// Waits until an instance serves a caller that is inside its limit.
async fn wait_served(what: &str, address: SocketAddr) {
    eventually(what, || async {
        let body = chat_body("regrind?", 5, false);
        let response = send(address, chat_request(), Some(body)).await;
        (response.status == 200).then_some(())
    })
    .await;
}

/// Guards against refusals inside a limit by an instance that knows the holder from the platform only.
#[test]
fn a_slot_holder_that_is_no_known_member_is_charged() {
    run(async {
        let fleet = Fleet::new(1);
        let mut whole_config = Value::Null;
        fleet.update_config(|config| {
            whole_config = config.clone();
            config["workspaces"] = json!({});
            config["keys"] = json!({});
            config["withdrawn_keys"] = json!([]);
            config["routes"] = json!({});
        });
        let holder = fleet.start_instance().await;
        let other = fleet.start_instance().await;
        eventually("both instances have listed the holders", || async {
            let calls = fleet.platform.calls_by_kind();
            (calls.get("GET objects") >= Some(&2)).then_some(())
        })
        .await;

        other.pause();
        fleet.update_config(|config| *config = whole_config.clone());
        wait_served("the holder serves", holder.client_address).await;
        other.resume();

        wait_served("the other instance serves", other.client_address).await;
    });
}
