//! Use of connections to targets for further requests.

use super::scripted_deployment::{ScriptedDeployment, assert_complete, stream};
use crate::support::run;

/// Number of streams that are requested one after the other.
const STREAMS: usize = 10;

/// Guards against a target that is asked whether it has ended after each stream in chunks, although the
/// last chunk proves its end. Each such question takes a new connection.
#[test]
fn the_target_of_a_stream_in_chunks_is_not_probed() {
    run(async {
        let deployment =
            ScriptedDeployment::start(&["e1"], "", |request, _| stream(request, &[])).await;
        let target = &deployment.targets[0];
        let calls_before = target.control_calls();
        for number in 0..STREAMS {
            let id = format!("stream-{number}");
            assert_complete([(&*id, deployment.ask(&id).await)]);
        }
        assert_eq!(target.control_calls() - calls_before, 0);
    });
}

/// Guards against streams that each take a new connection although their target keeps the earlier ones
/// open.
#[test]
fn streams_in_chunks_share_a_connection() {
    run(async {
        let deployment =
            ScriptedDeployment::start(&["e1"], "", |request, _| stream(request, &[])).await;
        let ids: Vec<_> = (0..STREAMS)
            .map(|number| format!("stream-{number}"))
            .collect();
        for id in &ids {
            assert_complete([(&**id, deployment.ask(id).await)]);
        }
        let arrivals = ids.iter().flat_map(|id| deployment.arrivals(id));
        let connections: Vec<_> = arrivals.map(|(_, request)| request.connection).collect();
        let first = connections[0];
        assert!(
            connections.iter().all(|other| *other == first),
            "{connections:?}"
        );
    });
}
