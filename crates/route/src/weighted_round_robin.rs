//! Distributes the requests of a route over its services by weight.

use crate::WeightedService;

/// Smooth weighted round robin.
///
/// After any number of requests each service has received its share to within one request. A
/// random choice would deviate more at low request rates.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service for the next request. Services of weight zero receive
    /// no requests; the index is 0 if no service has a weight.
    pub fn pick_next(&mut self, services: &[WeightedService]) -> usize {
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let total_weight: i64 = services.iter().map(|s| i64::from(s.weight)).sum();
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
        }
        let weighted = (0..services.len()).filter(|&i| services[i].weight > 0);
        let picked = weighted.max_by_key(|&i| (self.credits[i], std::cmp::Reverse(i)));
        let picked = picked.unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(picked) {
            *credit -= total_weight;
        }
        picked
    }
}
