//! Requests that crash targets, and how VMs warn each other of them.

use {
    super::prober::broadcast_ping,
    crate::Node,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::TcpStream,
    wire::Crash,
};

/// Time after which a target that lost a connection is looked at.
const LOOK_AFTER: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A warning of another VM holds for this time.
const MEMORY: Duration = Duration::from_mins(1);

/// Finds out whether the target that broke a connection off has crashed, and if so counts
/// that against the request that it ran.
pub(crate) fn detect_crash(node: &Rc<Node>, address: SocketAddr, fingerprint: &str) {
    let node = node.clone();
    let fingerprint = fingerprint.to_owned();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(LOOK_AFTER).await;
        let connect = TcpStream::connect(address);
        let reached = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        if matches!(reached, Ok(Ok(_))) {
            return;
        }
        let count = node
            .quarantine
            .borrow_mut()
            .record_crash(&fingerprint, node.now());
        log::warn!(event = "crash_counted", fingerprint = fingerprint.as_str(), count = count, address:% = address; "request ended with its target");
        tell(&node, Crash { fingerprint, count });
        broadcast_ping(&node);
    });
}

/// Takes another VM's count, and passes it on if it was news.
pub(crate) fn merge(node: &Rc<Node>, crash: &Crash) {
    let now = node.now();
    let mut quarantine = node.quarantine.borrow_mut();
    let known = quarantine.crash_count(&crash.fingerprint);
    quarantine.merge(&crash.fingerprint, crash.count, MEMORY, now);
    if crash.count > known {
        log::info!(event = "crash_heard", fingerprint = crash.fingerprint.as_str(), count = crash.count; "another VM counted a crash");
        tell(node, crash.clone());
    }
}

fn tell(node: &Node, crash: Crash) {
    let mut told = node.crash_reports.borrow_mut();
    told.retain(|(other, _)| other.fingerprint != crash.fingerprint);
    told.insert(0, (crash, 0));
}
