//! Breadth-first search for a state that breaks a property.

use {
    pathfinding::directed::bfs::{bfs, bfs_reach},
    std::{cell::Cell, fmt::Debug, hash::Hash},
};

/// What a search found.
#[derive(Debug)]
pub enum Outcome<S> {
    /// No reachable state breaks the property.
    Holds {
        /// States reached.
        states: usize,
    },
    /// The shortest way to a state that breaks it.
    Refuted {
        /// States from the first to the broken one.
        trace: Vec<S>,
    },
}

/// Explores every state that `next` reaches from `start`.
pub fn explore<S>(start: &S, next: impl Fn(&S) -> Vec<S>, broken: impl Fn(&S) -> bool) -> Outcome<S>
where
    S: Clone + Eq + Hash + Debug,
{
    let found = Cell::new(false);
    let states = bfs_reach(start.clone(), |state| {
        if found.get() || broken(state) {
            found.set(true);
            return Vec::new();
        }
        next(state)
    })
    .count();
    if !found.get() {
        return Outcome::Holds { states };
    }
    let trace = bfs(start, |state| next(state), |state| broken(state));
    Outcome::Refuted {
        trace: trace.unwrap_or_default(),
    }
}
