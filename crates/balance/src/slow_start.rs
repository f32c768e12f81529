//! Limits the request rate to cold targets, summed over all VMs.

use {crate::select_senders, std::time::Duration, steer::SlidingWindow, wire::Map};

/// Number of VMs that may send requests to one cold target.
const WARMUP_SENDERS: usize = 3;
/// Fraction of the tolerated rate that the warm-up senders use together. It is below one half
/// because two groups of VMs in a network partition each select their own senders.
const RATE_FRACTION: f64 = 0.45;
/// Time after its start in which a process sends nothing to cold targets: the one before it may have
/// used this VM's part of the same second. As long as the window in which requests are counted.
const QUIET_TIME: Duration = Duration::from_millis(1_100);

/// Selects the VMs that may send requests to a cold target.
///
/// `vms` are pairs of VM name and availability zone.
#[must_use]
pub fn select_warmup_senders<'a>(
    target: &str,
    zone: &str,
    vms: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Vec<&'a str> {
    select_senders(target, zone, vms, WARMUP_SENDERS)
}

/// Whether this VM is among those selected to send to each cold target.
///
/// The selection looks at all VMs, and a decision may look at many cold targets, so it is made once
/// for each target and state of the membership.
#[derive(Debug, Clone, Default)]
pub struct WarmupSenders {
    generation: u64,
    by_target: Map<String, bool>,
}

impl WarmupSenders {
    /// Returns whether this VM may send to the target, as `elect` says for this generation of the
    /// membership.
    pub fn is_sender(
        &mut self,
        target: &str,
        generation: u64,
        elect: impl FnOnce() -> bool,
    ) -> bool {
        if self.generation != generation {
            self.generation = generation;
            self.by_target.clear();
        }
        if let Some(is_sender) = self.by_target.get(target) {
            return *is_sender;
        }
        let is_sender = elect();
        self.by_target.insert(target.to_owned(), is_sender);
        is_sender
    }
}

/// Rate limits of one VM for the cold targets that it may send requests to.
#[derive(Debug, Clone, Default)]
pub struct SlowStart {
    windows: Map<String, SlidingWindow>,
}

impl SlowStart {
    /// Returns whether this VM may send one more request to the target now.
    ///
    /// `total_requests_per_s` is the rate limit for all VMs together, `now` a time since the start of the
    /// process.
    pub fn has_capacity(&mut self, target: &str, total_requests_per_s: f64, now: Duration) -> bool {
        now >= QUIET_TIME && self.window_mut(target, total_requests_per_s).has_room(now)
    }

    /// Counts a request sent to the target.
    pub fn record_request(&mut self, target: &str, total_requests_per_s: f64, now: Duration) {
        self.window_mut(target, total_requests_per_s).record(now);
    }

    /// Discards the targets for which `is_known` returns false.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.windows.retain(|id, _| is_known(id));
    }

    fn window_mut(&mut self, target: &str, total_requests_per_s: f64) -> &mut SlidingWindow {
        let limit = sender_limit(total_requests_per_s);
        let window = self.windows.entry(target.to_owned());
        let window = window.or_insert_with(|| SlidingWindow::new(limit));
        window.set_limit(limit);
        window
    }
}

/// Returns the requests per second that one warm-up sender may send; at least one.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rate is small and positive"
)]
fn sender_limit(total_requests_per_s: f64) -> u32 {
    let senders = f64::from(u32::try_from(WARMUP_SENDERS).unwrap_or(1));
    (total_requests_per_s * RATE_FRACTION / senders)
        .floor()
        .max(1.0) as u32
}
