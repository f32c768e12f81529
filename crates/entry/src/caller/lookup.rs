//! Tells a caller which VMs to use.

use {
    super::parse,
    crate::run::Context,
    actix_web::{HttpRequest, HttpResponse, web},
    serde::Deserialize,
    std::net::Ipv4Addr,
    wire::Lookup,
};

/// Time for which an answer may be kept.
const TTL_MS: u64 = 3000;
/// When to ask again after an answer without VMs.
const RETRY_AFTER_MS: u64 = 1000;

/// What a look-up may name.
#[derive(Debug, Deserialize)]
pub(crate) struct Query {
    service: Option<String>,
    client: Option<Ipv4Addr>,
}

/// Answers with a short list: the owner of the nearest pool, then others, nearest first.
pub(crate) async fn lookup(
    context: web::Data<Context>,
    http: HttpRequest,
    query: web::Query<Query>,
) -> HttpResponse {
    let client = query.client.or_else(|| parse::client(&http));
    let node = &context.node;
    let state = node.state();
    let region = client.and_then(|client| state.client_regions.find_region(client));
    let region = region.unwrap_or(node.region_index);
    let vms = state
        .lookup_index
        .select_vms(query.service.as_deref(), region, rand::random());
    drop(state);
    metrics::counter!("lookups_total").increment(1);
    HttpResponse::Ok().json(Lookup {
        retry_after_ms: if vms.is_empty() { RETRY_AFTER_MS } else { 0 },
        vms,
        ttl_ms: TTL_MS,
    })
}
