//! Counts what a stop has to wait for.

use {super::Node, std::sync::Arc};

/// Counts one piece of work from its beginning to its end.
pub(crate) struct InFlightGuard {
    node: Arc<Node>,
}

impl InFlightGuard {
    pub(crate) fn begin(node: &Arc<Node>) -> Self {
        node.state().in_flight += 1;
        Self { node: node.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.state().in_flight -= 1;
    }
}
