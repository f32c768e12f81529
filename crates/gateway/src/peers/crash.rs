//! Counts requests that crash targets and shares the counts with the other VMs.

use {
    super::prober::broadcast_ping,
    crate::Node,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::TcpStream,
    wire::Crash,
};

/// Delay before a target that dropped a connection is checked.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// A target that accepts no connection within this time counts as crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a count received from another VM is kept.
const RETENTION: Duration = Duration::from_mins(1);

/// Checks whether a target that dropped a connection still accepts connections. If not, it has
/// crashed: the crash is counted against the request that it ran, and all VMs are notified.
pub(crate) fn detect_crash(node: &Rc<Node>, address: SocketAddr, fingerprint: &str) {
    let node = node.clone();
    let fingerprint = fingerprint.to_owned();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CHECK_DELAY).await;
        let connect = TcpStream::connect(address);
        let result = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        // A VM that reaches no target cannot tell that this one has crashed.
        if matches!(result, Ok(Ok(_))) || node.is_cut_off() {
            return;
        }
        let count = node
            .quarantine
            .borrow_mut()
            .record_crash(&fingerprint, node.now());
        log::warn!(event = "crash_counted", fingerprint = fingerprint.as_str(), count = count, address:% = address; "target crashed while it ran the request");
        enqueue_report(&node, Crash { fingerprint, count });
        broadcast_ping(&node);
    });
}

/// Merges the crash count of another VM into the quarantine, and passes it on if it is higher
/// than the known one.
pub(crate) fn merge_report(node: &Rc<Node>, crash: &Crash) {
    let now = node.now();
    let mut quarantine = node.quarantine.borrow_mut();
    let known_count = quarantine.crash_count(&crash.fingerprint);
    quarantine.merge(&crash.fingerprint, crash.count, RETENTION, now);
    if crash.count > known_count {
        log::info!(event = "crash_heard", fingerprint = crash.fingerprint.as_str(), count = crash.count; "another VM reported a higher crash count; passing it on");
        enqueue_report(node, crash.clone());
    }
}

/// Adds a crash count to those that are sent to peers, in place of an earlier count for the
/// same request.
fn enqueue_report(node: &Node, crash: Crash) {
    let mut reports = node.crash_reports.borrow_mut();
    reports.retain(|(other, _)| other.fingerprint != crash.fingerprint);
    reports.insert(0, (crash, 0));
}
