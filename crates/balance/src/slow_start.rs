//! Keeps cold targets under the rate that they bear, summed over all VMs.

use {
    crate::rendezvous_weight,
    std::{cmp::Reverse, time::Duration},
    steer::Window,
    wire::Map,
};

/// VMs that may send to one cold target.
const SPONSORS: usize = 3;
/// Part of the tolerated rate that the sponsors use together: two groups of VMs that
/// cannot hear each other have sponsors of their own.
const MARGIN: f64 = 0.45;

/// The VMs that may send to a cold target: those in its zone first, then by rendezvous weight.
#[must_use]
pub fn select_warmup_senders<'a>(
    target: &str,
    zone: &str,
    vms: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Vec<&'a str> {
    let mut ranked: Vec<(&str, &str)> = vms.into_iter().collect();
    ranked.sort_by_key(|(name, place)| (*place != zone, Reverse(rendezvous_weight(target, name))));
    ranked.truncate(SPONSORS);
    ranked.into_iter().map(|(name, _)| name).collect()
}

/// Rate limits of one VM for the cold targets that it may send to.
#[derive(Debug, Clone, Default)]
pub struct SlowStart {
    windows: Map<String, Window>,
}

impl SlowStart {
    /// Whether one more request fits; `bound` is what all VMs together may send in a second.
    pub fn has_capacity(&mut self, target: &str, bound: f64, now: Duration) -> bool {
        self.window(target, bound).fits(now)
    }

    /// Counts a request.
    pub fn record_request(&mut self, target: &str, bound: f64, now: Duration) {
        self.window(target, bound).record(now);
    }

    /// Forgets the targets that are gone.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.windows.retain(|id, _| is_known(id));
    }

    fn window(&mut self, target: &str, bound: f64) -> &mut Window {
        let limit = share(bound);
        let window = self.windows.entry(target.to_owned());
        let window = window.or_insert_with(|| Window::new(limit));
        window.set_limit(limit);
        window
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rate is small and positive"
)]
fn share(bound: f64) -> u32 {
    let sponsors = f64::from(u32::try_from(SPONSORS).unwrap_or(1));
    (bound * MARGIN / sponsors).floor().max(1.0) as u32
}
