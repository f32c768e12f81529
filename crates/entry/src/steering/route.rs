//! Selection of the sites for a request, and the attempts to place it there.

use {
    super::forward,
    crate::{
        node::{PoolKey, PoolState, Request, Response, SiteAttempt, State},
        run::{self, Context},
    },
    std::time::Duration,
    steer::{RequestClass, SPILLOVER_THRESHOLD_MS, SiteCandidate},
    wire::{Member, Outcome, Reason},
};

/// Sites that are considered for one request in the first pass.
const MAX_SITES: usize = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Wait that is assumed in a site without a recent load report.
const UNKNOWN_WAIT: Duration = Duration::from_millis(5);
/// Expected wait that is always accepted in a site, however near the next site is.
const MIN_ACCEPTED_WAIT_MS: u32 = 10;

/// Runs a request in the best site that accepts it and returns the response.
///
/// A refusal is recorded with its attempts in the refusal log.
pub(crate) async fn steer_request(context: &Context, request: &Request) -> Response {
    let mut attempts = Vec::new();
    let response = match refuse_early(context, request) {
        Some(refusal) => refusal,
        None => try_sites(context, request, &mut attempts).await,
    };
    if response.outcome != Outcome::Answered {
        let mut state = context.node.state();
        state.refusals.push(request, &response, attempts);
    }
    response
}

/// Returns the refusal of a request for which no site is tried, because this VM is not
/// available or the request is quarantined.
fn refuse_early(context: &Context, request: &Request) -> Option<Response> {
    if let Some(reason) = context.node.unavailable_reason() {
        return Some(request.refuse_unsent(reason, RETRY_AFTER));
    }
    let remaining = remaining_quarantine(context, request)?;
    Some(request.refuse_unsent(Reason::Quarantined, remaining))
}

/// Tries the sites in order of preference.
///
/// A site is tried if the expected wait there is at most the additional round trip to
/// the next site; otherwise it is skipped. If no site accepts the request, the site with
/// the shortest sum of round trip and wait is tried without a limit on the wait.
async fn try_sites(
    context: &Context,
    request: &Request,
    attempts: &mut Vec<SiteAttempt>,
) -> Response {
    let node = &context.node;
    let sites = order_sites(&node.state(), request, node.now(), rand::random());
    let mut last = None;
    for (index, site) in sites.iter().enumerate().take(MAX_SITES) {
        let max_wait_ms = max_wait_ms(&sites, index);
        let mut attempt = new_attempt(site, max_wait_ms);
        if site.wait_ms <= max_wait_ms {
            let response = try_site(context, request, &attempt).await;
            if !response.is_retryable_elsewhere() || node.now() >= request.deadline {
                return combine_refusals(last.as_ref(), response);
            }
            attempt.reason = Some(response.reason);
            last = Some(combine_refusals(last.as_ref(), response));
        }
        attempts.push(attempt);
    }
    let Some(best) = find_fastest_site(&node.state(), request, attempts, node.now()) else {
        let refusal = || request.refuse_unsent(Reason::NoUpstream, RETRY_AFTER);
        return last.unwrap_or_else(refusal);
    };
    let mut attempt = new_attempt(&best, u32::MAX);
    let response = try_site(context, request, &attempt).await;
    attempt.reason = Some(response.reason);
    attempts.push(attempt);
    combine_refusals(last.as_ref(), response)
}

fn new_attempt(site: &SiteCandidate, max_wait_ms: u32) -> SiteAttempt {
    SiteAttempt {
        site: site.site.clone(),
        wait_ms: site.wait_ms,
        max_wait_ms,
        reason: None,
    }
}

/// Returns the longest expected wait, in milliseconds, that is accepted in a site before
/// the next one is tried: the additional round trip to the next site. The first site has
/// a higher minimum if the preset gives its weight.
fn max_wait_ms(sites: &[SiteCandidate], index: usize) -> u32 {
    let next = sites.get(index + 1).or_else(|| sites.first());
    let next_round_trip_ms = next.map_or(0, |next| next.round_trip_ms);
    let min_ms = match sites[index].weight {
        Some(_) if index == 0 => SPILLOVER_THRESHOLD_MS,
        _ => MIN_ACCEPTED_WAIT_MS,
    };
    next_round_trip_ms
        .saturating_sub(sites[index].round_trip_ms)
        .max(min_ms)
}

/// Runs a request in the site of the attempt and records the expected wait if the pool's
/// owner refuses the request as overloaded.
async fn try_site(context: &Context, request: &Request, attempt: &SiteAttempt) -> Response {
    let key = PoolKey {
        service: request.service.clone(),
        site: attempt.site.clone(),
    };
    let request = Request {
        max_wait: Duration::from_millis(attempt.max_wait_ms.into()),
        ..request.clone()
    };
    let response = run_at_owner(context, &key, &request).await;
    if response.reason == Reason::Overloaded {
        let now = context.node.now();
        let mut state = context.node.state();
        state
            .reports
            .record_refusal(&key.service, &key.site, response.retry_after, now);
    }
    log::debug!(event = "site_asked", request = request.id.as_str(), site = key.site.as_str(), reason:% = response.reason; "tried to place the request in a site");
    response
}

/// Returns the site with the shortest sum of round trip and expected wait, without the
/// sites that refused the request for a reason other than overload.
fn find_fastest_site(
    state: &State,
    request: &Request,
    attempts: &[SiteAttempt],
    now: Duration,
) -> Option<SiteCandidate> {
    let is_excluded = |site: &SiteCandidate| {
        let mut site_attempts = attempts.iter().filter(|attempt| attempt.site == site.site);
        site_attempts.any(|attempt| !matches!(attempt.reason, None | Some(Reason::Overloaded)))
    };
    let eligible = order_sites(state, request, now, 0.0).into_iter();
    let eligible = eligible.filter(|site| !is_excluded(site));
    eligible.min_by_key(|site| site.round_trip_ms.saturating_add(site.wait_ms))
}

/// Runs a request on the VM that owns the pool: here or on a peer.
async fn run_at_owner(context: &Context, key: &PoolKey, request: &Request) -> Response {
    let owner = find_owner(&context.node.state(), key);
    match owner {
        Some(owner) if owner.name == context.node.vm.name => {
            run::run_request(context, key, request).await
        }
        Some(owner) => forward::forward_request(context, key, request, &owner).await,
        None => request.refuse_unsent(Reason::NoUpstream, RETRY_AFTER),
    }
}

/// Returns for how long the request is still quarantined, if it is.
fn remaining_quarantine(context: &Context, request: &Request) -> Option<Duration> {
    let now = context.node.now();
    context
        .node
        .state()
        .quarantine
        .remaining_time(&request.fingerprint, now)
}

/// Combines a response with an earlier refusal of the same request.
///
/// The later response counts. If it is a refusal, it gets the shorter retry time of both,
/// and the outcome "may have run" of the earlier refusal is kept.
fn combine_refusals(earlier: Option<&Response>, later: Response) -> Response {
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

fn find_owner(state: &State, key: &PoolKey) -> Option<Member> {
    let name = state.pools.get(key)?.owner.clone()?;
    let members = state.view.members();
    members
        .into_iter()
        .find(|member| member.name == name)
        .cloned()
}

/// Returns the usable sites for a request in order of preference. `random` is a number in
/// `[0, 1)`.
fn order_sites(state: &State, request: &Request, now: Duration, random: f64) -> Vec<SiteCandidate> {
    let candidates = site_candidates(
        state,
        &request.service,
        &request.origin,
        request.class(),
        now,
    );
    let ordered = steer::order_sites(&candidates, random);
    ordered.into_iter().cloned().collect()
}

/// Returns the sites that have targets of a service, with their weight, round trip and
/// expected wait for callers in the region `origin`.
pub(crate) fn site_candidates(
    state: &State,
    service: &str,
    origin: &str,
    class: RequestClass,
    now: Duration,
) -> Vec<SiteCandidate> {
    let fleet = &state.fleet;
    let document = state.replica.current();
    let preset = document.and_then(|document| fleet.preset(&document.preset));
    let share = preset.and_then(|preset| preset.shares.get(service));
    let pools = state.pools.iter().filter(|(key, _)| key.service == service);
    let candidates = pools.map(|(key, pool_state)| SiteCandidate {
        site: key.site.clone(),
        weight: share.map(|share| share.site_weights.get(&key.site).copied().unwrap_or(0)),
        round_trip_ms: fleet
            .link(origin, &pool_state.region)
            .map_or(0, |link| 2 * link.one_way_ms),
        wait_ms: wait_ms(state, key, class, now),
        is_usable: pool_state.pool.accepts_requests() && is_owner_alive(state, pool_state),
    });
    candidates.collect()
}

/// Whether the owner of a pool is alive. A site whose owner is suspect is skipped until
/// the owner responds or another VM replaces it.
fn is_owner_alive(state: &State, pool_state: &PoolState) -> bool {
    pool_state
        .owner
        .as_deref()
        .is_some_and(|owner| state.view.is_alive(owner))
}

/// Returns the expected wait in a pool in milliseconds: computed if this VM owns the
/// pool, otherwise from the last report or refusal of its owner.
fn wait_ms(state: &State, key: &PoolKey, class: RequestClass, now: Duration) -> u32 {
    let local_pool = state
        .pools
        .get(key)
        .filter(|pool_state| pool_state.is_admitting(now));
    let wait = match local_pool {
        Some(pool_state) => pool_state.pool.expected_wait(class, now),
        None => state
            .reports
            .expected_wait(&key.service, &key.site, now)
            .unwrap_or(UNKNOWN_WAIT),
    };
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
}
