//! Responses that are not complete at the deadline of their request.

use std::time::Duration;

use super::Deployment;
use super::faulty_responses::response_head;
use crate::support::{Reply, ScriptedTarget, Step, eventually, run};

/// Guards against a timeout that is reported as a broken connection.
#[test]
fn a_body_that_is_not_complete_at_the_deadline_is_a_timeout() {
    run(async {
        let deployment = Deployment::new();
        let target = ScriptedTarget::start(|request| Reply {
            steps: vec![
                Step::Send(response_head("200 OK", &request.id, 5) + "wh"),
                Step::Pause(Duration::from_secs(6)),
                Step::Send("ole".to_owned()),
            ],
            closes: false,
        });
        for other in ["s1", "s2"] {
            deployment.store.remove("servers", other);
        }
        deployment.put_target_at("s9", target.address(), "ready", 1, 1);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        for (method, path) in [("GET", "/read/x"), ("POST", "/pay/x")] {
            let response = eventually("the target gets the request", || async {
                let response = instance.send_request("r", method, path).await;
                (response.status != 503).then_some(response)
            })
            .await;
            assert_eq!(response.status, 504, "{path}: {}", response.body);
        }
    });
}
