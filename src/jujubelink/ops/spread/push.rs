//! Pushes updates to random members.

use std::net::SocketAddr;
use std::rc::Rc;

use jujubelink_proto::spread as proto;
use rand::seq::IndexedRandom;

use super::calls::{self, CALL_TIMEOUT};
use super::server::Components;
use crate::core::spread::PUSH_FANOUT;
use crate::ops::members::MemberTable;
use crate::ops::services::{MemberService, MemberState};

/// Returns the addresses of up to `count` random members that are not dead.
pub(super) fn random_members(members: &MemberTable, count: usize) -> Vec<SocketAddr> {
    let live: Vec<SocketAddr> = members
        .members()
        .iter()
        .filter(|member| member.state != MemberState::Dead)
        .filter_map(|member| member.instance.parse().ok())
        .collect();
    live.choose_multiple(&mut rand::rng(), count)
        .copied()
        .collect()
}

/// Pushes each new configuration version and each new revocation to a few members, once.
pub(super) async fn push_updates(components: Rc<Components>) {
    loop {
        let updates = components.state.take_updates().await;
        components.members.set_summary(components.state.summary());
        if updates.has_config {
            push_config(&components);
        }
        if !updates.revocations.is_empty() {
            let key_hashes = updates.revocations.iter().map(|hash| hash.to_string());
            push_revocations(&components, key_hashes.collect());
        }
    }
}

fn push_config(components: &Rc<Components>) {
    // Without a delta this is the first version at this instance, so the members already have it.
    let Some((base_version, delta_json)) = components.state.last_delta() else {
        return;
    };
    let request = proto::PushConfigRequest {
        base_version,
        version: components.state.version(),
        delta_json: delta_json.to_vec(),
        sender: components.members.self_id().to_string(),
    };
    for address in random_members(&components.members, PUSH_FANOUT) {
        let (components, request) = (Rc::clone(components), request.clone());
        compio::runtime::spawn(async move {
            let mut client = calls::client(&components.context, address);
            let call = client.push_config(request);
            let result = calls::with_timeout(&components.context, CALL_TIMEOUT, call).await;
            record_failure(&components, "push of a configuration failed", result);
        })
        .detach();
    }
}

fn push_revocations(components: &Rc<Components>, key_hashes: Vec<String>) {
    for address in random_members(&components.members, PUSH_FANOUT) {
        let (components, key_hashes) = (Rc::clone(components), key_hashes.clone());
        compio::runtime::spawn(async move {
            let mut client = calls::client(&components.context, address);
            let call = client.push_revocations(proto::PushRevocationsRequest { key_hashes });
            let result = calls::with_timeout(&components.context, CALL_TIMEOUT, call).await;
            record_failure(&components, "push of revocations failed", result);
        })
        .detach();
    }
}

/// Records a failed call. Members that miss a push notice the difference from the versions and
/// hashes in datagrams.
pub(super) fn record_failure<T>(
    components: &Components,
    message: &'static str,
    result: anyhow::Result<T>,
) {
    if let Err(error) = result {
        components.context.metrics().count("spread.push_errors", 1);
        slog::debug!(components.context.log(), "{}", message; "error" => format!("{error:#}"));
    }
}
