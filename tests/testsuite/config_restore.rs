//! The configuration of an instance after the store was restored from an older copy.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jujubelink::core::fleet::{
    ConfigCandidate, ConfigOutcome, FleetPolicy, FleetState, FreshnessProof,
};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn policy(version: u64, keys: &[&str]) -> FleetPolicy {
    let keys = keys.iter().map(|key| ((*key).into(), "w".into()));
    FleetPolicy {
        version,
        routes: HashMap::new(),
        services: BTreeMap::new(),
        workspaces: BTreeMap::new(),
        shared_cache_namespace: String::new(),
        keys: keys.collect(),
        max_header_bytes: 8192,
        max_body_bytes: 1024,
        header_timeout: secs(3),
        idle_timeout: secs(15),
    }
}

/// A configuration as it is read from the store.
fn stored(version: u64, digest: u64, revision: u64, keys: &[&str]) -> ConfigCandidate {
    ConfigCandidate {
        policy: policy(version, keys),
        digest,
        revision: Some(revision),
    }
}

/// Returns the keys that the active configuration grants, sorted.
fn keys(state: &FleetState) -> Vec<String> {
    let policy = state.policy().expect("a configuration");
    let mut keys: Vec<String> = policy.keys.keys().map(|key| key.to_string()).collect();
    keys.sort();
    keys
}

const ACTIVE: ConfigOutcome = ConfigOutcome::Active { withheld_keys: 0 };

/// Creates a state in which the configuration of version 5 is active, which has revoked the key `old`.
fn state() -> FleetState {
    let mut state = FleetState::new();
    assert_eq!(state.apply_config(stored(4, 44, 40, &["k", "old"])), ACTIVE);
    assert_eq!(state.apply_config(stored(5, 55, 50, &["k", "l"])), ACTIVE);
    state
}

/// Guards against a revoked key that is accepted again because the store shows the copy, or because the operator
/// repeats its former changes one after the other.
#[test]
fn contents_of_the_copy_change_nothing() {
    let mut state = state();
    state.on_config_restored();
    state.on_store_revision(42);
    for candidate in [
        stored(4, 44, 40, &["k", "old"]),
        // The same contents written again, which were active before.
        stored(4, 44, 45, &["k", "old"]),
        // The active contents written again.
        stored(5, 55, 46, &["k", "l"]),
    ] {
        assert_eq!(state.apply_config(candidate), ConfigOutcome::Ignored);
        assert_eq!(state.config_version(), 5);
        assert_eq!(keys(&state), ["k", "l"]);
    }
}

/// Guards against a change of the operator that never takes effect because its version is not newer than the one
/// that the store has lost, and against a revoked key that such a change grants.
#[test]
fn a_change_under_a_used_version_takes_effect_without_revoked_keys() {
    let mut state = state();
    state.on_config_restored();
    state.on_store_revision(42);
    let changed = state.apply_config(stored(5, 66, 43, &["k", "old"]));
    assert_eq!(changed, ConfigOutcome::Active { withheld_keys: 1 });
    assert_eq!(keys(&state), ["k"]);
    // A response that arrives late, or a peer that does not know of the restore, does not undo it.
    assert_eq!(
        state.apply_config(stored(5, 55, 43, &["k", "l"])),
        ConfigOutcome::Ignored
    );
    assert!(!state.apply_policy(policy(5, &["k", "l"])));
    // A version above all former ones grants what it says.
    assert_eq!(state.apply_config(stored(6, 77, 44, &["k", "old"])), ACTIVE);
    assert_eq!(keys(&state), ["k", "old"]);
    // From then on versions only increase again.
    assert_eq!(
        state.apply_config(stored(6, 88, 45, &["k"])),
        ConfigOutcome::Ignored
    );
    assert_eq!(state.highest_config_version(), 6);
}

/// Guards against an instance that stops at an intermediate state while the operator repeats its former changes.
/// It has not seen the first one, in which a key is granted that was revoked later.
#[test]
fn repeated_changes_end_at_the_last_one() {
    let mut state = FleetState::new();
    assert_eq!(state.apply_config(stored(5, 55, 50, &["k", "l"])), ACTIVE);
    state.on_config_restored();
    state.on_store_revision(30);
    let earlier = state.apply_config(stored(4, 44, 31, &["k", "old"]));
    assert_eq!(earlier, ConfigOutcome::Active { withheld_keys: 1 });
    assert_eq!(
        (state.config_version(), keys(&state)),
        (4, vec!["k".to_owned()])
    );
    assert_eq!(state.highest_config_version(), 5);
    assert_eq!(state.apply_config(stored(5, 55, 32, &["k", "l"])), ACTIVE);
    assert_eq!(keys(&state), ["k", "l"]);
}

/// Guards against contents of the copy that are taken for a change after the restore, because this instance has
/// not seen them before.
#[test]
fn what_the_first_read_shows_may_be_the_copy() {
    let mut state = FleetState::new();
    assert_eq!(state.apply_config(stored(5, 55, 50, &["k"])), ACTIVE);
    state.on_config_restored();
    let first = state.apply_config(stored(3, 33, 20, &["k", "old"]));
    assert_eq!(first, ConfigOutcome::Ignored);
    assert_eq!(
        state.apply_config(stored(3, 33, 20, &["k", "old"])),
        ConfigOutcome::Ignored
    );
    // Another object at a higher revision is a change, whatever the store stated in between.
    state.on_store_revision(90);
    assert_eq!(state.apply_config(stored(4, 44, 21, &["k"])), ACTIVE);
}

/// Guards against keys that stay granted at a second restore, or that are refused for good after it.
#[test]
fn a_second_restore_counts_from_the_keys_in_force() {
    let mut state = state();
    state.on_config_restored();
    state.on_store_revision(42);
    state.apply_config(stored(5, 66, 43, &["k"]));
    state.on_config_restored();
    state.on_store_revision(41);
    let changed = state.apply_config(stored(5, 99, 42, &["k", "l", "old"]));
    assert_eq!(changed, ConfigOutcome::Active { withheld_keys: 2 });
    assert_eq!(keys(&state), ["k"]);
}

/// Guards against keys that are accepted on the strength of an older configuration: the store shows the copy, or a
/// peer confirms other contents under the same version.
#[test]
fn only_the_active_contents_are_confirmed_after_a_restore() {
    let mut state = state();
    let proof = |version, digest, at| FreshnessProof {
        version,
        digest,
        requested_at: secs(at),
    };
    state.on_proof(proof(5, None, 10));
    assert_eq!(state.config_age(secs(11)), Some(secs(1)));
    state.on_config_restored();
    // What was confirmed before ages.
    state.on_proof(proof(4, Some(44), 20));
    state.on_proof(proof(5, Some(66), 20));
    state.on_proof(proof(5, None, 20));
    assert_eq!(state.config_age(secs(21)), Some(secs(11)));
    state.on_proof(proof(5, Some(55), 30));
    assert_eq!(state.config_age(secs(31)), Some(secs(1)));
    // Other contents under the same version are not confirmed by what confirmed the former ones.
    state.on_store_revision(42);
    state.apply_config(stored(5, 66, 43, &["k"]));
    assert_eq!(state.config_age(secs(31)), None);
}
