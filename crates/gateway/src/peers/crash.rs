//! Counts requests that crash targets and shares the counts with the other VMs.

use {
    super::prober::broadcast_ping,
    crate::Node,
    std::{cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::TcpStream,
    wire::Crash,
};

/// Delay before a target that dropped a connection is checked.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// A target that accepts no connection within this time counts as crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a count received from another VM is kept.
const RETENTION: Duration = Duration::from_mins(1);
/// Time after the start in which the counts of other VMs are taken over.
const TAKE_OVER_TIME: Duration = Duration::from_secs(10);
/// Number of counts that are given to another VM at a time.
const MAX_TAKEN_OVER: usize = 256;

/// Checks whether a target that dropped the connection of an exchange still accepts connections. If not,
/// it has crashed: the crash is counted against the request that it ran, and all VMs are notified.
/// `sent_at` is when the exchange began.
pub(crate) fn detect_crash(
    node: &Rc<Node>,
    address: SocketAddr,
    fingerprint: &str,
    sent_at: Duration,
) {
    let node = node.clone();
    let fingerprint = fingerprint.to_owned();
    let exchange = sent_at..node.now();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CHECK_DELAY).await;
        let connect = TcpStream::connect(address);
        let result = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        // A VM that reaches no target cannot tell that this one has crashed.
        if matches!(result, Ok(Ok(_))) || node.is_cut_off() {
            return;
        }
        let now = node.now();
        let counted = node
            .quarantine
            .borrow_mut()
            .record_crash(&fingerprint, &exchange, now);
        let Some(count) = counted else {
            log::info!(event = "crash_known", fingerprint = fingerprint.as_str(), address:% = address; "target crashed while it ran the request; the crash is counted already");
            return;
        };
        log::warn!(event = "crash_counted", fingerprint = fingerprint.as_str(), count = count, address:% = address; "target crashed while it ran the request");
        enqueue_report(&node, Crash { fingerprint, count });
        broadcast_ping(&node);
    });
}

/// Merges the crash count of another VM into the quarantine, and passes it on if it is higher
/// than the known one.
pub(crate) fn merge_report(node: &Rc<Node>, crash: &Crash) {
    if merge_count(node, crash, node.now()) {
        enqueue_report(node, crash.clone());
    }
}

/// Merges a count into the quarantine. Returns whether it is higher than the known one.
fn merge_count(node: &Node, crash: &Crash, now: Duration) -> bool {
    let mut quarantine = node.quarantine.borrow_mut();
    let is_higher = crash.count > quarantine.crash_count(&crash.fingerprint);
    quarantine.merge(&crash.fingerprint, crash.count, RETENTION, now);
    if is_higher {
        log::info!(event = "crash_heard", fingerprint = crash.fingerprint.as_str(), count = crash.count; "another VM reported a higher crash count");
    }
    is_higher
}

/// Returns the counts that a VM that has just started has to know, those that are kept for longest
/// first.
pub(crate) fn known_crashes(node: &Node) -> Vec<Crash> {
    let quarantine = node.quarantine.borrow();
    let mut records = quarantine.records(node.now());
    records.sort_by_key(|(_, _, left)| Reverse(*left));
    records.truncate(MAX_TAKEN_OVER);
    let crashes = records.into_iter().map(|(fingerprint, count, _)| Crash {
        fingerprint: fingerprint.to_owned(),
        count,
    });
    crashes.collect()
}

/// Takes over the counts of another VM soon after the start. The others have them already, and would
/// keep them for ever if they took them over from each other.
pub(crate) fn take_over_crashes(node: &Node, crashes: &[Crash]) {
    let now = node.now();
    if now >= TAKE_OVER_TIME {
        return;
    }
    for crash in crashes {
        merge_count(node, crash, now);
    }
}

/// Adds a crash count to those that are sent to peers, in place of an earlier count for the
/// same request.
fn enqueue_report(node: &Node, crash: Crash) {
    let mut reports = node.crash_reports.borrow_mut();
    reports.retain(|(other, _)| other.fingerprint != crash.fingerprint);
    reports.insert(0, (crash, 0));
}
