//! Chooses the order in which sites are asked.

/// A site as it looks from here for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the site.
    pub site: String,
    /// Weight in the preset; none when the preset does not divide the service.
    pub weight: Option<u32>,
    /// Time a message takes to the site and back, in milliseconds.
    pub round_trip_ms: u32,
    /// Expected wait there, as last reported, in milliseconds.
    pub wait_ms: u32,
    /// Whether any target there takes new work.
    pub usable: bool,
}

/// A site loses its turn when another would answer sooner by this much.
pub const SPILLOVER_MS: u32 = 50;

/// The first site to ask, worked out ahead of the requests that ask it.
///
/// Where the preset divides the service, the site is drawn by weight among those
/// that would not answer much later than the best. Sites without weight are left out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteSelector {
    /// Positions of sites, each with the sum of the weights up to it.
    draws: Vec<(u32, usize)>,
    best: Option<usize>,
}

impl SiteSelector {
    /// Works out the choice among candidates.
    #[must_use]
    pub fn from_candidates(candidates: &[Candidate]) -> Self {
        let open = || {
            candidates
                .iter()
                .enumerate()
                .filter(|(_, one)| is_open(one))
        };
        let best = open().min_by_key(|(_, one)| cost(one));
        let Some((best, cheapest)) = best.map(|(index, one)| (index, cost(one))) else {
            return Self::default();
        };
        let mut draws = Vec::new();
        let mut sum = 0;
        for (index, one) in open() {
            let near = cost(one) <= cheapest.saturating_add(SPILLOVER_MS);
            let weight = one.weight.filter(|_| near).unwrap_or(0);
            if weight > 0 {
                sum += weight;
                draws.push((sum, index));
            }
        }
        Self {
            draws,
            best: Some(best),
        }
    }

    /// Position of the site to ask; `chance` is a number in `0.0..1.0`.
    #[must_use]
    pub fn pick(&self, chance: f64) -> Option<usize> {
        let Some((sum, _)) = self.draws.last() else {
            return self.best;
        };
        let mark = chance * f64::from(*sum);
        let after = self
            .draws
            .partition_point(|(upto, _)| f64::from(*upto) <= mark);
        self.draws.get(after).map(|(_, index)| *index).or(self.best)
    }
}

/// Orders the sites to ask; `chance` is a number in `0.0..1.0`.
///
/// The first is that of [`SiteSelector`]; the others follow by their way and wait.
#[must_use]
pub fn order_sites(candidates: &[Candidate], chance: f64) -> Vec<&Candidate> {
    let first = SiteSelector::from_candidates(candidates).pick(chance);
    let mut open: Vec<(usize, &Candidate)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_open(candidate))
        .collect();
    open.sort_by_key(|(index, candidate)| (Some(*index) != first, cost(candidate)));
    open.into_iter().map(|(_, candidate)| candidate).collect()
}

fn is_open(candidate: &Candidate) -> bool {
    candidate.usable && candidate.weight != Some(0)
}

fn cost(candidate: &Candidate) -> u32 {
    candidate.round_trip_ms.saturating_add(candidate.wait_ms)
}
