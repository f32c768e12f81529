//! The order of sites for a request, and the tries along it.

use {
    super::forward,
    crate::{
        node::{Answer, PoolKey, Request, State},
        run::{self, Context},
    },
    std::time::Duration,
    steer::{Candidate, Class},
    wire::{Member, Outcome, Reason},
};

/// Sites asked for one request.
const MAX_SITES: usize = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Assumed wait at a site that has not been reported lately.
const UNKNOWN_WAIT: Duration = Duration::from_millis(5);
/// Wait at a site that is always accepted before another is asked.
const MIN_PATIENCE_MS: u32 = 10;

/// Steers a request until a site answers, or no site is left.
///
/// Each site in turn may take it if the wait there is shorter than the way to the
/// next; sites that are known to make it wait longer are not asked. If none takes
/// it, the site with the shortest way and wait may queue it.
pub(crate) async fn steer(context: &Context, request: &Request) -> Answer {
    let node = &context.node;
    if let Some(reason) = node.closed() {
        return request.refuse_unsent(reason, RETRY_AFTER);
    }
    if let Some(left) = blocked(context, request) {
        return request.refuse_unsent(Reason::Quarantined, left);
    }
    let chance = rand::random();
    let sites = order(&node.state(), request, node.now(), chance);
    let mut last = None;
    let mut out = Vec::new();
    for (index, site) in sites.iter().enumerate().take(MAX_SITES) {
        let patience = patience(&sites, index);
        if site.wait_ms > patience {
            continue;
        }
        let patience = Duration::from_millis(patience.into());
        let answer = ask_site(context, request, &site.site, patience).await;
        if !answer.try_elsewhere() || node.now() >= request.deadline {
            return answer;
        }
        if answer.reason != Reason::Overloaded {
            out.push(site.site.as_str());
        }
        last = Some(later(last.as_ref(), answer));
    }
    let Some(best) = shortest(&node.state(), request, &out, node.now()) else {
        let refusal = || request.refuse_unsent(Reason::NoUpstream, RETRY_AFTER);
        return last.unwrap_or_else(refusal);
    };
    let answer = ask_site(context, request, &best, Duration::MAX).await;
    later(last.as_ref(), answer)
}

/// Longest wait at a site that is accepted while others may be sooner.
fn patience(sites: &[Candidate], index: usize) -> u32 {
    let next = sites.get(index + 1).or_else(|| sites.first());
    let way = next.map_or(0, |next| next.round_trip_ms);
    way.saturating_sub(sites[index].round_trip_ms)
        .max(MIN_PATIENCE_MS)
}

async fn ask_site(context: &Context, request: &Request, site: &str, patience: Duration) -> Answer {
    let key = PoolKey {
        service: request.service.clone(),
        site: site.to_owned(),
    };
    let request = Request {
        patience,
        ..request.clone()
    };
    let answer = ask(context, &key, &request).await;
    if answer.reason == Reason::Overloaded {
        let now = context.node.now();
        let mut state = context.node.state();
        state
            .reports
            .refused(&key.service, site, answer.retry_after, now);
    }
    log::debug!(event = "site_asked", request = request.id.as_str(), site = site, reason:% = answer.reason; "site asked");
    answer
}

/// The site with the shortest way and wait, but for those that are out.
fn shortest(state: &State, request: &Request, out: &[&str], now: Duration) -> Option<String> {
    let open = candidates(
        state,
        &request.service,
        &request.origin,
        request.class(),
        now,
    );
    let usable = |site: &Candidate| site.usable && site.weight != Some(0);
    let open = open
        .into_iter()
        .filter(|site| usable(site) && !out.contains(&site.site.as_str()));
    let best = open.min_by_key(|site| site.round_trip_ms.saturating_add(site.wait_ms));
    best.map(|site| site.site)
}

async fn ask(context: &Context, key: &PoolKey, request: &Request) -> Answer {
    let owner = owner(&context.node.state(), key);
    match owner {
        Some(owner) if owner.name == context.node.vm.name => run::run(context, key, request).await,
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
        .blocked(&request.fingerprint, now)
}

/// The later refusal counts, with the earliest time to come back; a doubt about
/// an earlier one stays.
fn later(earlier: Option<&Answer>, later: Answer) -> Answer {
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
    Answer {
        outcome,
        retry_after,
        ..later
    }
}

fn owner(state: &State, key: &PoolKey) -> Option<Member> {
    let name = state.pools.get(key)?.owner.clone()?;
    let all = state.view.all();
    all.into_iter().find(|member| member.name == name).cloned()
}

fn order(state: &State, request: &Request, now: Duration, chance: f64) -> Vec<Candidate> {
    let candidates = candidates(
        state,
        &request.service,
        &request.origin,
        request.class(),
        now,
    );
    let ordered = steer::order(&candidates, chance);
    ordered.into_iter().cloned().collect()
}

/// Sites that have targets of a service, as they look for a caller's region.
pub(crate) fn candidates(
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
    let candidate = pools.filter_map(|(key, owned)| {
        let site = fleet.sites.iter().find(|site| site.name == key.site)?;
        let link = fleet.link(origin, &site.region);
        let leaving = |target: &settings::Target| {
            document.is_some_and(|d| control::is_leaving(d, service, &target.zone, &target.name))
        };
        Some(Candidate {
            site: key.site.clone(),
            weight: share.map(|share| share.sites.get(&key.site).copied().unwrap_or(0)),
            round_trip_ms: link.map_or(0, |link| 2 * link.one_way_ms),
            wait_ms: wait_ms(state, key, class, now),
            usable: !owned.targets.iter().all(leaving),
        })
    });
    candidate.collect()
}

/// Expected wait in a pool: exact in an own pool, else as its owner said last.
fn wait_ms(state: &State, key: &PoolKey, class: Class, now: Duration) -> u32 {
    let own = state.pools.get(key).filter(|owned| owned.admits(now));
    let wait = match own {
        Some(owned) => owned.pool.wait(class, now),
        None => state
            .reports
            .wait(&key.service, &key.site, now)
            .unwrap_or(UNKNOWN_WAIT),
    };
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
}
