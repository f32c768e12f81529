//! JSON dump of a node's state for operators.

use {
    crate::node::{Node, Ownership, PoolKey, PoolState},
    serde_json::{Value, json},
    std::time::Duration,
};

/// Returns the state that steers requests on this VM, without request bodies and
/// credentials.
pub(crate) fn dump_state(node: &Node) -> Value {
    let now = node.now();
    let state = node.state();
    let pools: Vec<Value> = state
        .pools
        .iter()
        .map(|(key, pool_state)| dump_pool(key, pool_state, now))
        .collect();
    let quarantine: Vec<Value> = state
        .quarantine
        .records(now)
        .into_iter()
        .map(|(fingerprint, count, remaining)| {
            json!({"fingerprint": fingerprint, "count": count, "left_ms": to_ms(remaining)})
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
        "uptime_ms": to_ms(now),
        "stopping": state.stopping,
        "in_flight": state.in_flight,
        "control": state.replica.current(),
        "members": state.view.members(),
        "peer_heard_ms_ago": to_ms(now.saturating_sub(state.view.last_contact_at())),
        "platform_heard_ms_ago": to_ms(now.saturating_sub(state.platform_contact_at)),
        "pools": pools,
        "reports": state.reports.all(),
        "last_refusals": state.refusals.all(),
        "quarantine": quarantine,
        "retry_budgets": budgets,
        "client_blocks_bytes": state.client_regions.size_bytes(),
    })
}

fn dump_pool(key: &PoolKey, pool_state: &PoolState, now: Duration) -> Value {
    let snapshot = pool_state.pool.snapshot(now);
    let targets: Vec<Value> = snapshot
        .targets
        .iter()
        .map(|target| {
            json!({
                "name": target.name,
                "busy": target.busy_slots,
                "slots": target.slots,
                "leaving": target.is_leaving,
                "ejected": target.is_ejected,
                "service_ms": target.service_ms,
            })
        })
        .collect();
    json!({
        "service": key.service,
        "site": key.site,
        "owner": pool_state.owner,
        "mine": matches!(pool_state.ownership, Ownership::Owned { .. }),
        "admits": pool_state.is_admitting(now),
        "free": snapshot.free_slots,
        "queued": snapshot.queued,
        "wait_ms": to_ms(snapshot.expected_wait),
        "targets": targets,
    })
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
