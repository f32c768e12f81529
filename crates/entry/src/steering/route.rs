//! The order of sites for a request, and the tries along it.

use {
    super::forward,
    crate::{
        node::{Answer, PoolKey, Request, State},
        run::{self, Context},
    },
    std::time::Duration,
    steer::Candidate,
    wire::{Member, Outcome, Reason},
};

/// Sites asked for one request.
const MAX_SITES: usize = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Assumed wait at a site that has not been reported lately.
const UNKNOWN_WAIT_MS: u32 = 5;

/// Steers a request until a site answers, or no site is left.
pub(crate) async fn steer(context: &Context, request: &Request) -> Answer {
    let node = &context.node;
    if let Some(reason) = node.closed() {
        return request.refuse_unsent(reason, RETRY_AFTER);
    }
    if let Some(left) = blocked(context, request) {
        return request.refuse_unsent(Reason::Quarantined, left);
    }
    let sites = order(&node.state(), request, node.now(), rand::random());
    let mut last = request.refuse_unsent(Reason::NoUpstream, RETRY_AFTER);
    for site in sites.into_iter().take(MAX_SITES) {
        if node.now() >= request.deadline {
            break;
        }
        let key = PoolKey {
            service: request.service.clone(),
            site,
        };
        let answer = ask(context, &key, request).await;
        if !answer.try_elsewhere() {
            return answer;
        }
        log::debug!(event = "try_elsewhere", request = request.id.as_str(), site = key.site.as_str(), reason:% = answer.reason; "site did not take the request");
        last = sooner(&last, answer);
    }
    last
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
fn sooner(earlier: &Answer, later: Answer) -> Answer {
    let outcome = if earlier.outcome == Outcome::MayHaveRun {
        Outcome::MayHaveRun
    } else {
        later.outcome
    };
    let retry_after = if earlier.reason == Reason::NoUpstream {
        later.retry_after
    } else {
        earlier.retry_after.min(later.retry_after)
    };
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

fn order(state: &State, request: &Request, now: Duration, chance: f64) -> Vec<String> {
    let candidates = candidates(state, &request.service, &request.origin, now);
    let ordered = steer::order(&candidates, chance);
    ordered.into_iter().map(|c| c.site.clone()).collect()
}

/// Sites that have targets of a service, as they look for a caller's region.
pub(crate) fn candidates(
    state: &State,
    service: &str,
    origin: &str,
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
            wait_ms: wait_ms(state, key, now),
            usable: !owned.targets.iter().all(leaving),
        })
    });
    candidate.collect()
}

fn wait_ms(state: &State, key: &PoolKey, now: Duration) -> u32 {
    let reported = state.reports.wait_ms(&key.service, &key.site, now);
    reported.unwrap_or(UNKNOWN_WAIT_MS)
}
