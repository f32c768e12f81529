//! The state of a process, as operators see it.

use {
    crate::node::{Node, Ownership, PoolKey, PoolState},
    serde_json::{Value, json},
    std::time::Duration,
};

/// Everything that steers on this VM, without payloads and credentials.
pub(crate) fn dump(node: &Node) -> Value {
    let now = node.now();
    let state = node.state();
    let pools: Vec<Value> = state
        .pools
        .iter()
        .map(|(key, owned)| pool(key, owned, now))
        .collect();
    let quarantine: Vec<Value> = state
        .quarantine
        .records(now)
        .into_iter()
        .map(|(fingerprint, count, left)| {
            json!({"fingerprint": fingerprint, "count": count, "left_ms": ms(left)})
        })
        .collect();
    let budgets: serde_json::Map<String, Value> = state
        .retry_budgets
        .iter()
        .map(|(service, budget)| (service.clone(), json!(budget.tokens())))
        .collect();
    json!({
        "vm": node.vm.name,
        "zone": node.vm.zone,
        "region": node.region,
        "firm": state.fleet.customer,
        "uptime_ms": ms(now),
        "stopping": state.stopping,
        "in_flight": state.in_flight,
        "control": state.replica.current(),
        "members": state.view.members(),
        "peer_heard_ms_ago": ms(now.saturating_sub(state.view.last_contact_at())),
        "platform_heard_ms_ago": ms(now.saturating_sub(state.platform_contact_at)),
        "pools": pools,
        "reports": state.reports.all(),
        "last_refusals": state.refusals.all(),
        "quarantine": quarantine,
        "retry_budgets": budgets,
        "client_blocks_bytes": state.client_regions.size_bytes(),
    })
}

fn pool(key: &PoolKey, owned: &PoolState, now: Duration) -> Value {
    let snapshot = owned.pool.snapshot(now);
    let targets: Vec<Value> = snapshot
        .targets
        .iter()
        .map(|target| {
            json!({
                "name": target.name,
                "busy": target.busy_slots,
                "slots": target.slots,
                "leaving": target.leaving,
                "ejected": target.ejected,
                "service_ms": target.service_ms,
            })
        })
        .collect();
    json!({
        "service": key.service,
        "site": key.site,
        "owner": owned.owner,
        "mine": matches!(owned.ownership, Ownership::Owned { .. }),
        "admits": owned.is_admitting(now),
        "free": snapshot.free_slots,
        "queued": snapshot.queued,
        "wait_ms": ms(snapshot.expected_wait),
        "targets": targets,
    })
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
