//! Divides the requests of a route between its services by weight.

use crate::WeightedService;

/// Smooth weighted round robin: after any number of requests each service has had
/// its part to within one request, which a random draw would miss at low rates.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the service for the next request.
    pub fn pick_next(&mut self, backends: &[WeightedService]) -> usize {
        if self.credits.len() != backends.len() {
            self.credits = vec![0; backends.len()];
        }
        let total: i64 = backends.iter().map(|b| i64::from(b.weight)).sum();
        for (credit, backend) in self.credits.iter_mut().zip(backends) {
            *credit += i64::from(backend.weight);
        }
        let weighted = (0..backends.len()).filter(|&i| backends[i].weight > 0);
        let best = weighted.max_by_key(|&i| (self.credits[i], std::cmp::Reverse(i)));
        let best = best.unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
