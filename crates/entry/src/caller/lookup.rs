//! Lookup of the VMs that a caller should send its requests to.

use {
    super::parse,
    crate::run::Context,
    actix_web::{HttpRequest, HttpResponse, web},
    serde::Deserialize,
    std::net::Ipv4Addr,
    wire::Lookup,
};

/// Time for which a caller may cache a response.
const TTL_MS: u64 = 3000;
/// Delay before a caller retries after a response without VMs.
const RETRY_AFTER_MS: u64 = 1000;

/// Query parameters of a lookup; both are optional.
#[derive(Debug, Deserialize)]
pub(crate) struct Query {
    service: Option<String>,
    /// Address of the caller, if it differs from that of the connection.
    client: Option<Ipv4Addr>,
}

/// Responds with a short list of VMs: the owner of the best pool of the service for the
/// caller's region, then others near it. A caller whose address is in no known block is
/// treated as being in the region of this VM. Without a service, the list holds VMs near
/// the first site of the region.
pub(crate) async fn handle_lookup(
    context: web::Data<Context>,
    http: HttpRequest,
    query: web::Query<Query>,
) -> HttpResponse {
    let client = query.client.or_else(|| parse::client_address(&http));
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
