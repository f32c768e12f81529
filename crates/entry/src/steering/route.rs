//! The order of sites for a request, and the tries along it.

use {
    super::forward,
    crate::{
        node::{PoolKey, PoolState, Request, Response, SiteAttempt, State},
        run::{self, Context},
    },
    std::time::Duration,
    steer::{Candidate, Class, SPILLOVER_MS},
    wire::{Member, Outcome, Reason},
};

/// Sites asked for one request.
const MAX_SITES: usize = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Assumed wait at a site that has not been reported lately.
const UNKNOWN_WAIT: Duration = Duration::from_millis(5);
/// Wait at a site that is always accepted before another is asked.
const MIN_PATIENCE_MS: u32 = 10;

/// Steers a request until a site answers, or no site is left, and keeps a trace of
/// a refusal for the dump.
pub(crate) async fn steer_request(context: &Context, request: &Request) -> Response {
    let mut asked = Vec::new();
    let answer = match refuse(context, request) {
        Some(refusal) => refusal,
        None => try_sites(context, request, &mut asked).await,
    };
    if answer.outcome != Outcome::Answered {
        let mut state = context.node.state();
        state.refusals.push(request, &answer, asked);
    }
    answer
}

/// The refusal of a request that no site is to be asked for.
fn refuse(context: &Context, request: &Request) -> Option<Response> {
    if let Some(reason) = context.node.unavailable_reason() {
        return Some(request.refuse_unsent(reason, RETRY_AFTER));
    }
    let left = blocked(context, request)?;
    Some(request.refuse_unsent(Reason::Quarantined, left))
}

/// Asks sites in turn.
///
/// Each may take the request if the wait there is shorter than the way to the
/// next; sites that are known to make it wait longer are passed over. If none
/// takes it, the site with the shortest way and wait may queue it.
async fn try_sites(context: &Context, request: &Request, asked: &mut Vec<SiteAttempt>) -> Response {
    let node = &context.node;
    let sites = order(&node.state(), request, node.now(), rand::random());
    let mut last = None;
    for (index, site) in sites.iter().enumerate().take(MAX_SITES) {
        let patience_ms = patience_ms(&sites, index);
        let mut trace = trace(site, patience_ms);
        if site.wait_ms <= patience_ms {
            let answer = ask_site(context, request, &trace).await;
            if !answer.is_retryable_elsewhere() || node.now() >= request.deadline {
                return later(last.as_ref(), answer);
            }
            trace.reason = Some(answer.reason);
            last = Some(later(last.as_ref(), answer));
        }
        asked.push(trace);
    }
    let Some(best) = shortest(&node.state(), request, asked, node.now()) else {
        let refusal = || request.refuse_unsent(Reason::NoUpstream, RETRY_AFTER);
        return last.unwrap_or_else(refusal);
    };
    let mut trace = trace(&best, u32::MAX);
    let answer = ask_site(context, request, &trace).await;
    trace.reason = Some(answer.reason);
    asked.push(trace);
    later(last.as_ref(), answer)
}

fn trace(site: &Candidate, patience_ms: u32) -> SiteAttempt {
    SiteAttempt {
        site: site.site.clone(),
        wait_ms: site.wait_ms,
        patience_ms,
        reason: None,
    }
}

/// Longest wait at a site that is accepted while others may be sooner. A site that
/// the preset chose keeps its turn a little longer.
fn patience_ms(sites: &[Candidate], index: usize) -> u32 {
    let next = sites.get(index + 1).or_else(|| sites.first());
    let way = next.map_or(0, |next| next.round_trip_ms);
    let least = match sites[index].weight {
        Some(_) if index == 0 => SPILLOVER_MS,
        _ => MIN_PATIENCE_MS,
    };
    way.saturating_sub(sites[index].round_trip_ms).max(least)
}

async fn ask_site(context: &Context, request: &Request, trace: &SiteAttempt) -> Response {
    let key = PoolKey {
        service: request.service.clone(),
        site: trace.site.clone(),
    };
    let request = Request {
        max_wait: Duration::from_millis(trace.patience_ms.into()),
        ..request.clone()
    };
    let answer = ask(context, &key, &request).await;
    if answer.reason == Reason::Overloaded {
        let now = context.node.now();
        let mut state = context.node.state();
        state.reports.record_refusal(&key, answer.retry_after, now);
    }
    log::debug!(event = "site_asked", request = request.id.as_str(), site = key.site.as_str(), reason:% = answer.reason; "site asked");
    answer
}

/// The site with the shortest way and wait, but for those that cannot take it.
fn shortest(
    state: &State,
    request: &Request,
    asked: &[SiteAttempt],
    now: Duration,
) -> Option<Candidate> {
    let closed = |site: &Candidate| {
        let mut said = asked.iter().filter(|asked| asked.site == site.site);
        said.any(|asked| !matches!(asked.reason, None | Some(Reason::Overloaded)))
    };
    let open = order(state, request, now, 0.0).into_iter();
    let open = open.filter(|site| !closed(site));
    open.min_by_key(|site| site.round_trip_ms.saturating_add(site.wait_ms))
}

async fn ask(context: &Context, key: &PoolKey, request: &Request) -> Response {
    let owner = owner(&context.node.state(), key);
    match owner {
        Some(owner) if owner.name == context.node.vm.name => {
            run::run_request(context, key, request).await
        }
        Some(owner) => forward::send(context, key, request, &owner).await,
        None => request.refuse_unsent(Reason::NoUpstream, RETRY_AFTER),
    }
}

fn blocked(context: &Context, request: &Request) -> Option<Duration> {
    let now = context.node.now();
    context
        .node
        .state()
        .quarantine
        .blocked_for(&request.fingerprint, now)
}

/// The later refusal counts, with the earliest time to come back; a doubt about
/// an earlier one stays.
fn later(earlier: Option<&Response>, later: Response) -> Response {
    let Some(earlier) = earlier else {
        return later;
    };
    let outcome = if earlier.outcome == Outcome::MayHaveRun {
        Outcome::MayHaveRun
    } else {
        later.outcome
    };
    if later.outcome == Outcome::Answered {
        return later;
    }
    let retry_after = earlier.retry_after.min(later.retry_after);
    Response {
        outcome,
        retry_after,
        ..later
    }
}

fn owner(state: &State, key: &PoolKey) -> Option<Member> {
    let name = state.pools.get(key)?.owner.clone()?;
    let all = state.view.members();
    all.into_iter().find(|member| member.name == name).cloned()
}

fn order(state: &State, request: &Request, now: Duration, chance: f64) -> Vec<Candidate> {
    let candidates = site_candidates(
        state,
        &request.service,
        &request.origin,
        request.class(),
        now,
    );
    let ordered = steer::order_sites(&candidates, chance);
    ordered.into_iter().cloned().collect()
}

/// Sites that have targets of a service, as they look for a caller's region.
pub(crate) fn site_candidates(
    state: &State,
    service: &str,
    origin: &str,
    class: Class,
    now: Duration,
) -> Vec<Candidate> {
    let fleet = &state.fleet;
    let document = state.replica.current();
    let preset = document.and_then(|document| fleet.preset(&document.preset));
    let share = preset.and_then(|preset| preset.shares.get(service));
    let pools = state.pools.iter().filter(|(key, _)| key.service == service);
    let candidate = pools.map(|(key, owned)| Candidate {
        site: key.site.clone(),
        weight: share.map(|share| share.site_weights.get(&key.site).copied().unwrap_or(0)),
        round_trip_ms: fleet
            .link(origin, &owned.region)
            .map_or(0, |link| 2 * link.one_way_ms),
        wait_ms: wait_ms(state, key, class, now),
        usable: owned.pool.accepts_requests() && owner_is_alive(state, owned),
    });
    candidate.collect()
}

/// A site whose owner is doubted is passed over until the owner answers or another
/// VM has taken its place.
fn owner_is_alive(state: &State, owned: &PoolState) -> bool {
    owned
        .owner
        .as_deref()
        .is_some_and(|owner| state.view.is_alive(owner))
}

/// Expected wait in a pool: exact in an own pool, else as its owner said last.
fn wait_ms(state: &State, key: &PoolKey, class: Class, now: Duration) -> u32 {
    let own = state.pools.get(key).filter(|owned| owned.is_admitting(now));
    let wait = match own {
        Some(owned) => owned.pool.expected_wait(class, now),
        None => state
            .reports
            .expected_wait(key, now)
            .unwrap_or(UNKNOWN_WAIT),
    };
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
}
