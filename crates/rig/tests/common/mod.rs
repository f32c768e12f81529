//! Requests that several tests send.

#![allow(dead_code, reason = "each test file uses its own part")]

use {stand::caller::Request, std::time::Duration};

pub(crate) fn lookup_bib() -> Request {
    plan("bibdesk", "GET", "/bibs/7", true)
}

pub(crate) fn browse_results() -> Request {
    plan("racegate", "GET", "/results/7", true)
}

pub(crate) fn claim() -> Request {
    plan("racegate", "POST", "/claims", false)
}

pub(crate) fn refund() -> Request {
    plan("payline", "POST", "/refunds", false)
}

fn plan(service: &str, method: &str, path: &str, idempotent: bool) -> Request {
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

/// Runs of a key so far.
pub(crate) async fn runs_of(rig: &rig::Rig, key: &str) -> usize {
    let runs = rig.fetch_runs().await.unwrap();
    runs.iter().filter(|run| run.key == key).count()
}

/// Waits until every VM has at least that version in force.
pub(crate) async fn until_all_at(rig: &rig::Rig, version: u64, limit: Duration) {
    let reached = || async {
        for place in &rig.vm_specs {
            if rig.admin.fetch_control_version(place).await < Some(version) {
                return false;
            }
        }
        true
    };
    rig::wait_until("the version everywhere", limit, reached)
        .await
        .unwrap();
}

/// A key as callers should make them.
pub(crate) fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Milliseconds since the epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
