//! Site selection: the order in which sites are tried for a request.

/// A site that has targets of a service, as seen from the caller's region.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteCandidate {
    /// Name of the site.
    pub site: String,
    /// Weight in the preset, or `None` when the preset sets no weights for the service.
    pub weight: Option<u32>,
    /// Network round trip to the site, in milliseconds.
    pub round_trip_ms: u32,
    /// Expected wait for a slot there, in milliseconds; if another VM owns the pool, as it last
    /// reported.
    pub wait_ms: u32,
    /// Whether the site accepts new requests.
    pub is_usable: bool,
}

/// A weighted site is skipped when another would respond sooner by more than this, in
/// milliseconds.
pub const SPILLOVER_THRESHOLD_MS: u32 = 50;

/// Selects the first site to try, precomputed so that a selection per request is cheap.
///
/// When the preset sets weights, the site is drawn by weight among those that would
/// respond at most [`SPILLOVER_THRESHOLD_MS`] later than the best. Otherwise it is the best site.
/// Sites with weight 0 are left out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteSelector {
    /// Cumulative weight and index of each site that can be drawn.
    cumulative_weights: Vec<(u32, usize)>,
    /// Index of the site that is expected to respond first.
    best: Option<usize>,
}

impl SiteSelector {
    /// Precomputes the selection among `candidates`.
    #[must_use]
    pub fn from_candidates(candidates: &[SiteCandidate]) -> Self {
        let selectable = || {
            candidates
                .iter()
                .enumerate()
                .filter(|(_, candidate)| is_selectable(candidate))
        };
        let best = selectable().min_by_key(|(_, candidate)| cost_ms(candidate));
        let Some((best, best_cost_ms)) = best.map(|(index, candidate)| (index, cost_ms(candidate)))
        else {
            return Self::default();
        };
        let mut cumulative_weights = Vec::new();
        let mut sum = 0;
        for (index, candidate) in selectable() {
            let near = cost_ms(candidate) <= best_cost_ms.saturating_add(SPILLOVER_THRESHOLD_MS);
            let weight = candidate.weight.filter(|_| near).unwrap_or(0);
            if weight > 0 {
                sum += weight;
                cumulative_weights.push((sum, index));
            }
        }
        Self {
            cumulative_weights,
            best: Some(best),
        }
    }

    /// Returns the index of the site to try, or `None` when no site is usable. `random` is
    /// uniform in `0.0..1.0`.
    #[must_use]
    pub fn pick(&self, random: f64) -> Option<usize> {
        let Some((sum, _)) = self.cumulative_weights.last() else {
            return self.best;
        };
        let threshold = random * f64::from(*sum);
        let after = self
            .cumulative_weights
            .partition_point(|(cumulative, _)| f64::from(*cumulative) <= threshold);
        self.cumulative_weights
            .get(after)
            .map(|(_, index)| *index)
            .or(self.best)
    }
}

/// Returns the usable sites in the order in which to try them. `random` is uniform in
/// `0.0..1.0`.
///
/// The first is the selection of [`SiteSelector`]; the others follow by round trip plus
/// expected wait.
#[must_use]
pub fn order_sites(candidates: &[SiteCandidate], random: f64) -> Vec<&SiteCandidate> {
    let first = SiteSelector::from_candidates(candidates).pick(random);
    let mut selectable: Vec<(usize, &SiteCandidate)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_selectable(candidate))
        .collect();
    selectable.sort_by_key(|(index, candidate)| (Some(*index) != first, cost_ms(candidate)));
    selectable
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

fn is_selectable(candidate: &SiteCandidate) -> bool {
    candidate.is_usable && candidate.weight != Some(0)
}

/// Returns the delay that the site is expected to add to a request, in milliseconds: the
/// round trip and the wait for a slot.
fn cost_ms(candidate: &SiteCandidate) -> u32 {
    candidate.round_trip_ms.saturating_add(candidate.wait_ms)
}
