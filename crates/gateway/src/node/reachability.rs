//! Notices that this VM has lost its way to all targets, and that it has found it again.
//!
//! Other VMs then send its requests in its place, see `docs/PLATFORM.md`, section "VMs without a way
//! to the targets".

use {
    super::Node,
    crate::http_client::TARGET_CONNECT_TIMEOUT,
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Interval between checks while no target is reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of targets to which a check opens a connection.
const CHECKED_TARGETS: usize = 4;

impl Node {
    /// Returns whether this VM reaches no target.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reachability.borrow().is_cut_off()
    }

    /// Records that no connection to a target could be opened, and has the others checked.
    pub(crate) fn record_unreachable(&self) {
        if self.reachability.borrow_mut().record_failure(self.now()) {
            self.reachability_doubted.notify_one();
        }
    }

    /// Records whether a check reached any target. Ejections that result from the loss of the way
    /// say nothing of the targets.
    fn record_reachability(&self, reached_any: bool) {
        let has_changed = self.reachability.borrow_mut().record_check(reached_any);
        if !has_changed {
            return;
        }
        self.balancer.borrow_mut().end_ejections();
        self.region_summaries.borrow_mut().clear();
        metrics::gauge!("cicadalift_cut_off").set(if reached_any { 0.0 } else { 1.0 });
        if reached_any {
            log::info!(event = "targets_regained"; "this VM reaches targets again and sends to them itself");
        } else {
            log::warn!(event = "targets_lost"; "this VM reaches none of the targets checked; other VMs send its requests");
        }
    }
}

/// Checks whether this VM reaches targets, whenever that is in doubt and at an interval while it
/// does not, until the process ends.
pub(crate) async fn check_reachability(node: Rc<Node>) {
    loop {
        if node.is_cut_off() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        } else {
            node.reachability_doubted.notified().await;
        }
        let addresses = sample_targets(&node);
        if addresses.is_empty() {
            continue;
        }
        let reached_any = reaches_any(&node, &addresses).await;
        node.record_reachability(reached_any);
    }
}

fn sample_targets(node: &Node) -> Vec<SocketAddr> {
    let catalog = node.catalog.borrow();
    let addresses = catalog.targets().map(|target| target.address);
    addresses.choose_multiple(&mut rand::rng(), CHECKED_TARGETS)
}

/// Opens a connection to each address. Returns whether one of them was opened in time.
async fn reaches_any(node: &Rc<Node>, addresses: &[SocketAddr]) -> bool {
    let (opened, mut results) = tokio::sync::mpsc::unbounded_channel();
    for address in addresses {
        let (node, address, opened) = (node.clone(), *address, opened.clone());
        tokio::task::spawn_local(async move {
            let is_open = node
                .client
                .try_connect(address, TARGET_CONNECT_TIMEOUT)
                .await;
            // Fails if another address was reached first.
            let _ = opened.send(is_open);
        });
    }
    drop(opened);
    while let Some(is_open) = results.recv().await {
        if is_open {
            return true;
        }
    }
    false
}
