//! Numbers from clients, targets and the configuration that are far outside of what makes sense.

use super::*;
use crate::support::WAIT_TIMEOUT;

/// Guards against a prompt whose stated size keeps the process busy, or overflows.
#[test]
fn a_prompt_of_any_stated_size_does_not_stop_an_instance() {
    run(async {
        let (_deployment, instance) = Deployment::start_ready("").await;
        let largest = u64::MAX;
        for parts in [
            format!("a1:{},b2:400", largest - 1_000),
            format!("a1:{largest},b2:{largest},c3:{largest}"),
            "a1:99999999999999999999999,b2:-1,c3:1e400,d4:".to_owned(),
        ] {
            let response = instance.send_prompt_of_parts("r", "/ask/x", &parts);
            let response = compio::time::timeout(WAIT_TIMEOUT, response).await;
            let status = response.map(|response| response.status);
            assert_eq!(status.ok(), Some(200), "{parts}");
        }
        let request = http::Request::post("/ask/x")
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", "largest")
            .header("jujubelink-model", "m")
            .header("jujubelink-token-count", format!("{largest},{largest}"))
            .header("authorization", format!("Bearer {KEY}"));
        let response = send_with_host(instance.process.client_address, request, "prompt").await;
        assert!(
            [200, 429, 503].contains(&response.status),
            "{}",
            response.status
        );
        assert!(instance.is_ready().await);
    });
}
