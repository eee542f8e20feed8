//! Model checking of sessions, token slots and claims by exhaustive breadth-first search.
//!
//! A world is one state of a model. It drives the state machines of `core` and simulates messages,
//! clocks and the objects stored at the platform. A search visits every state within the bounds of
//! the model. With one safeguard disabled, a search must find a violation; this shows that the
//! model can detect the fault that the safeguard prevents.

mod claims;
mod sessions;
mod tokens;

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// Result of a search.
struct SearchResult {
    /// Number of states whose successors were computed.
    states: usize,
    /// Names of the actions on a shortest path to a violation.
    violation: Option<Vec<String>>,
}

/// A state of a model. The action that led to a state is no part of it, so that equal states
/// compare equal.
trait World: Clone + Eq + Hash + Debug {
    /// All states that one action leads to, each with the name of the action.
    fn successors(&self) -> Vec<(String, Self)>;

    /// Whether this state violates a safety property.
    fn is_violated(&self) -> bool;
}

/// Visits states in breadth-first order from `start` until one is a violation or none is left.
fn search<W: World>(start: &W) -> SearchResult {
    let states = Cell::new(0);
    let path = bfs(
        start,
        |world: &W| {
            states.set(states.get() + 1);
            let successors = world.successors();
            successors
                .into_iter()
                .map(|(_, next)| next)
                .collect::<Vec<_>>()
        },
        World::is_violated,
    );
    let violation = path.map(|path| trace(&path));
    SearchResult {
        states: states.get(),
        violation,
    }
}

/// Names of the actions that lead from each state of a path to the next.
fn trace<W: World>(path: &[W]) -> Vec<String> {
    path.windows(2)
        .map(|pair| {
            let step = pair[0]
                .successors()
                .into_iter()
                .find(|(_, next)| *next == pair[1]);
            step.map_or_else(String::new, |(action, _)| action)
        })
        .collect()
}

/// Searches from `start` and fails if a violation is reachable.
fn expect_safe<W: World>(what: &str, start: &W) {
    let search = search(start);
    println!("{what}: {} states, no violation", search.states);
    assert_eq!(search.violation, None, "{what}");
    // A search over few states would prove nothing.
    assert!(
        search.states > 1_000,
        "{what}: only {} states",
        search.states
    );
}

/// Searches from `start` and fails if no violation is reachable.
fn expect_violation<W: World>(what: &str, start: &W) {
    let search = search(start);
    let trace = search
        .violation
        .unwrap_or_else(|| panic!("{what}: no violation found"));
    println!(
        "{what}: violation after {} states: {}",
        search.states,
        trace.join(", ")
    );
}
