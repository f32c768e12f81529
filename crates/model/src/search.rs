//! Breadth-first search for a state that violates an invariant.

use {
    pathfinding::directed::bfs::{bfs, bfs_reach},
    std::{cell::Cell, fmt::Debug, hash::Hash},
};

/// Result of a search.
#[derive(Debug)]
pub enum CheckResult<S> {
    /// No reachable state violates the invariant.
    Holds {
        /// Number of states reached.
        states: usize,
    },
    /// A reachable state violates the invariant.
    Refuted {
        /// Shortest trace from the initial state to a violation, both included.
        trace: Vec<S>,
    },
}

/// Searches all states that `successors` reaches from `start` for one that `violates` the
/// invariant, and returns a shortest trace to it.
pub fn check_invariant<S>(
    start: &S,
    successors: impl Fn(&S) -> Vec<S>,
    violates: impl Fn(&S) -> bool,
) -> CheckResult<S>
where
    S: Clone + Eq + Hash + Debug,
{
    let found = Cell::new(false);
    let states = bfs_reach(start.clone(), |state| {
        if found.get() || violates(state) {
            found.set(true);
            return Vec::new();
        }
        successors(state)
    })
    .count();
    if !found.get() {
        return CheckResult::Holds { states };
    }
    let trace = bfs(start, |state| successors(state), |state| violates(state));
    CheckResult::Refuted {
        trace: trace.unwrap_or_default(),
    }
}
