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
const SPILL_MS: u32 = 50;

/// Orders the sites to ask; `chance` is a number in `0.0..1.0`.
///
/// Where the preset divides the service, the first site is drawn by weight and
/// sites without weight are left out. Otherwise the site with the lowest round
/// trip and wait comes first. The others follow by that cost.
#[must_use]
pub fn order(candidates: &[Candidate], chance: f64) -> Vec<&Candidate> {
    let mut open: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.usable && candidate.weight != Some(0))
        .collect();
    open.sort_by_key(|candidate| cost(candidate));
    let Some(best) = open.first().map(|candidate| cost(candidate)) else {
        return open;
    };
    if let Some(drawn) = draw(&open, chance)
        && cost(open[drawn]) <= best.saturating_add(SPILL_MS)
    {
        let first = open.remove(drawn);
        open.insert(0, first);
    }
    open
}

fn cost(candidate: &Candidate) -> u32 {
    candidate.round_trip_ms.saturating_add(candidate.wait_ms)
}

fn draw(open: &[&Candidate], chance: f64) -> Option<usize> {
    let total: u32 = open.iter().filter_map(|candidate| candidate.weight).sum();
    if total == 0 {
        return None;
    }
    let mut left = chance * f64::from(total);
    for (index, candidate) in open.iter().enumerate() {
        left -= f64::from(candidate.weight.unwrap_or(0));
        if left < 0.0 {
            return Some(index);
        }
    }
    None
}
