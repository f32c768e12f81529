//! Requests and waits shared by the tests.

#![allow(dead_code, reason = "each test target uses a part of this module")]

use {stand::caller::Request, std::time::Duration};

pub(crate) fn bib_request() -> Request {
    build_request("bibdesk", "GET", "/bibs/7", true)
}

pub(crate) fn results_request() -> Request {
    build_request("racegate", "GET", "/results/7", true)
}

pub(crate) fn claim_request() -> Request {
    build_request("racegate", "POST", "/claims", false)
}

pub(crate) fn refund_request() -> Request {
    build_request("payline", "POST", "/refunds", false)
}

fn build_request(service: &str, method: &str, path: &str, idempotent: bool) -> Request {
    Request {
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
        timeout: Duration::from_secs(2),
        max_sends: 4,
        token: None,
    }
}

/// Returns how often targets have run the request with an idempotency key so far.
pub(crate) async fn count_runs(rig: &rig::Rig, key: &str) -> usize {
    let runs = rig.fetch_runs().await.unwrap();
    runs.iter().filter(|run| run.key == key).count()
}

/// Waits until the control document in force on every VM has at least that version.
pub(crate) async fn wait_for_version(rig: &rig::Rig, version: u64, timeout: Duration) {
    let all_reached = || async {
        for vm in &rig.vm_specs {
            if rig.admin.fetch_control_version(vm).await < Some(version) {
                return false;
            }
        }
        true
    };
    rig::wait_until("control version on every VM", timeout, all_reached)
        .await
        .unwrap();
}

/// Returns a new idempotency key: a UUID that contains its creation time.
pub(crate) fn new_idempotency_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns the system time in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
