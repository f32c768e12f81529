//! Counter of the work in flight, which a graceful shutdown waits for.

use {super::Node, std::sync::Arc};

/// Counts one task as in flight until the guard is dropped.
pub(crate) struct InFlightGuard {
    node: Arc<Node>,
}

impl InFlightGuard {
    /// Increments the counter of the node.
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        node.state().in_flight += 1;
        Self { node: node.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.state().in_flight -= 1;
    }
}
