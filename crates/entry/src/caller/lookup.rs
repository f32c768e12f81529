//! Tells a caller which VMs to use.

use {
    super::parse,
    crate::{
        node::{Node, State, marked_vms, tier},
        run::Context,
        steering,
    },
    actix_web::{HttpRequest, HttpResponse, web},
    serde::Deserialize,
    std::net::Ipv4Addr,
    steer::Class,
    wire::{Entry, Lookup, Member},
};

/// VMs in one answer.
const MAX_VMS: usize = 4;
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
    let node = &context.node;
    let origin = match query.client {
        Some(client) => region_of(node, client),
        None => parse::origin(node, &http),
    };
    let now = node.now();
    let state = node.state();
    let site = nearest_site(&state, query.service.as_deref(), &origin, now);
    let vms = choose(&state, query.service.as_deref(), &site);
    metrics::counter!("lookups_total").increment(1);
    HttpResponse::Ok().json(Lookup {
        retry_after_ms: if vms.is_empty() { RETRY_AFTER_MS } else { 0 },
        vms,
        ttl_ms: TTL_MS,
    })
}

fn region_of(node: &Node, client: Ipv4Addr) -> String {
    let state = node.state();
    let region = state.atlas.region(client);
    let named = region.and_then(|region| state.fleet.regions.get(region));
    named.map_or_else(|| node.region.clone(), |region| region.name.clone())
}

fn nearest_site(
    state: &State,
    service: Option<&str>,
    origin: &str,
    now: std::time::Duration,
) -> String {
    let first = || state.fleet.sites.first().map(|site| site.name.clone());
    let home = state.fleet.sites.iter().find(|site| site.region == origin);
    let home = home.map(|site| site.name.clone()).or_else(first);
    let Some(service) = service else {
        return home.unwrap_or_default();
    };
    let candidates = steering::candidates(state, service, origin, Class::Idempotent, now);
    let ordered = steer::order(&candidates, rand::random());
    let best = ordered.first().map(|candidate| candidate.site.clone());
    best.or(home).unwrap_or_default()
}

fn choose(state: &State, service: Option<&str>, site: &str) -> Vec<Entry> {
    let marked = marked_vms(state.replica.current());
    let mut serving: Vec<&Member> = state.view.serving();
    serving.retain(|member| !member.caller.is_empty() && !marked.contains(&member.name.as_str()));
    let turn = rand::random_range(0..serving.len().max(1));
    serving.rotate_left(turn);
    let owner = service.and_then(|service| owner_of(state, service, site));
    serving.sort_by_key(|member| {
        let owns = owner == Some(member.name.as_str());
        (!owns, tier(&state.fleet, site, member))
    });
    serving.into_iter().take(MAX_VMS).map(entry).collect()
}

fn owner_of<'a>(state: &'a State, service: &str, site: &str) -> Option<&'a str> {
    let mut pools = state.pools.iter();
    let found = pools.find(|(key, _)| key.service == service && key.site == site);
    found.and_then(|(_, owned)| owned.owner.as_deref())
}

fn entry(member: &Member) -> Entry {
    Entry {
        name: member.name.clone(),
        zone: member.zone.clone(),
        url: format!("http://{}", member.caller),
    }
}
