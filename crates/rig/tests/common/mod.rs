//! Requests that several tests send.

#![allow(dead_code, reason = "each test file uses its own part")]

use {stand::caller::Plan, std::time::Duration};

pub(crate) fn lookup_bib() -> Plan {
    plan("bibdesk", "GET", "/bibs/7", true)
}

pub(crate) fn browse_results() -> Plan {
    plan("racegate", "GET", "/results/7", true)
}

pub(crate) fn claim() -> Plan {
    plan("racegate", "POST", "/claims", false)
}

pub(crate) fn refund() -> Plan {
    plan("payline", "POST", "/refunds", false)
}

fn plan(service: &str, method: &str, path: &str, idempotent: bool) -> Plan {
    Plan {
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
        timeout: Duration::from_secs(2),
        sends: 4,
    }
}
