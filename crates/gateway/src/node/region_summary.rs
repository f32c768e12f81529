//! Counts the targets that may run the requests of a route, by region.

use {
    super::{Node, Path, RequestContext},
    balance::TargetCounts,
    catalog::Catalog,
    route::{Kind, Route},
    std::time::Duration,
};

/// Time for which a summary of the targets by region is used.
const REGION_SUMMARY_VALIDITY: Duration = Duration::from_millis(500);

/// The targets that may run the requests of a route at one of its services, by region.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RegionSummary {
    valid_until: Duration,
    /// Round trip to the nearest target in another region.
    pub(super) remote_round_trip: Option<Duration>,
    pub(super) counts: TargetCounts,
}

impl Node {
    /// Returns the targets that may run a request by region. They are counted anew at an interval.
    pub(super) fn region_summary(
        &self,
        request: &RequestContext,
        catalog: &Catalog,
        now: Duration,
    ) -> RegionSummary {
        let mut summaries = self.region_summaries.borrow_mut();
        let summaries = summaries.entry(summary_key(request)).or_default();
        if let Some(summary) = summaries.get(&request.service)
            && now < summary.valid_until
        {
            return *summary;
        }
        let summary = self.summarize_regions(request, catalog, now);
        self.plan_region(&request.route);
        summaries.insert(request.service.clone(), summary);
        summary
    }

    fn summarize_regions(
        &self,
        request: &RequestContext,
        catalog: &Catalog,
        now: Duration,
    ) -> RegionSummary {
        let mut summary = RegionSummary {
            valid_until: now + REGION_SUMMARY_VALIDITY,
            remote_round_trip: None,
            counts: TargetCounts::default(),
        };
        for target in catalog.usable_targets(&request.service) {
            let is_cold = catalog.is_cold(&target.id, now);
            let is_ejected = self.balancer.borrow().is_ejected(&target.id, now);
            let is_excluded = is_cold || is_ejected || !self.is_zone_allowed(request, &target.zone);
            if !self.is_remote(target) {
                summary.counts.local += usize::from(!is_excluded);
                continue;
            }
            summary.counts.remote += usize::from(!is_excluded);
            let queue_owner = match self.path_to(request, target, is_cold, now) {
                Path::Through(owner) => Some(owner),
                Path::Direct | Path::Closed => None,
            };
            let round_trip = self.estimate_distance(target, queue_owner.as_ref()).1;
            let nearest = summary.remote_round_trip.unwrap_or(round_trip);
            summary.remote_round_trip = Some(nearest.min(round_trip));
        }
        summary
    }

    /// Passes on which part of the callers is in this region, if the share of the route's requests that
    /// leave it is planned: downloads, most of whose cost are their bytes.
    fn plan_region(&self, route: &Route) {
        let mode = self.bounds().region_plans;
        let is_planned =
            route.kind == Kind::Download && mode.is_in_force(self.customers().is_some());
        let need = is_planned.then(|| self.part_of_callers(route));
        let mut balancer = self.balancer.borrow_mut();
        let plans = &mut balancer.region_plans;
        if plans.is_planned(&route.name) != is_planned {
            log::info!(event = "region_plan", route = route.name.as_str(), in_force = is_planned, need = need.unwrap_or_default(); "the share of the route's requests that leaves this region is planned from need and room, or no longer");
        }
        plans.set_need(&route.name, need);
        if let Some(need) = need {
            metrics::gauge!("cicadalift_region_need", "route" => route.name.clone()).set(need);
        }
        let moved = plans.moved_count();
        metrics::counter!("cicadalift_requests_moved_total").absolute(moved);
    }

    /// Estimates the part of a route's callers that is in this region, by the VMs that serve them: each
    /// region has VMs in proportion to its callers.
    fn part_of_callers(&self, route: &Route) -> f64 {
        let view = self.member_view();
        let (mut local, mut all) = (0_u32, 0_u32);
        for member in view.serving_members() {
            let region = self.settings.region_of(&member.zone);
            if route.allows_region(region) {
                all += 1;
                local += u32::from(region == self.settings.region);
            }
        }
        f64::from(local) / f64::from(all.max(1))
    }
}

/// Returns the name of the route, with the regions to which the customer is bound, if it is.
fn summary_key(request: &RequestContext) -> String {
    let customer = request.customer.as_ref();
    let regions = customer.map_or(&[][..], |customer| &customer.allowed_regions);
    if regions.is_empty() {
        return request.route.name.clone();
    }
    format!("{}\n{}", request.route.name, regions.join("\n"))
}
