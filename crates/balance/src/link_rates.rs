//! Selects the VMs whose links large responses should pass, the same on every VM that knows the same
//! rates.
//!
//! It answers the load of large responses in a zone with few wide links and many narrow ones: on a narrow
//! link, one response takes a notable part of its latency objective. See
//! `docs/design/large-responses.md`.

/// A link counts as wide from this fraction of the widest one. A response then takes at most twice as
/// long as it has to.
const WIDE_FRACTION: f64 = 0.5;
/// Fraction of the rates of all links that the wide ones must have together. With less, the narrow
/// links are needed to carry the load.
const MIN_WIDE_SHARE: f64 = 0.5;
/// Fraction of the VMs whose rates must be known. With less, VMs that know different ones would select
/// different VMs, each of them itself.
const MIN_KNOWN: f64 = 0.5;

/// Selects the VMs with wide links from pairs of VM name and link rate, `None` if it is not known. A VM
/// of unknown rate is not among them, unless all are: where rates are even or mostly unknown, or the wide
/// links are too few to carry the load.
#[must_use]
pub fn select_wide<'a>(vms: impl IntoIterator<Item = (&'a str, Option<u32>)>) -> Vec<&'a str> {
    let vms: Vec<(&str, Option<u32>)> = vms.into_iter().collect();
    let rates: Vec<f64> = vms
        .iter()
        .filter_map(|(_, rate)| *rate)
        .map(f64::from)
        .collect();
    let widest = rates.iter().copied().fold(0.0, f64::max);
    let is_wide = |rate: f64| rate >= WIDE_FRACTION * widest;
    let total: f64 = rates.iter().sum();
    let wide_total: f64 = rates.iter().filter(|rate| is_wide(**rate)).sum();
    let is_known = to_f64(rates.len()) >= MIN_KNOWN * to_f64(vms.len());
    let is_selective = is_known && wide_total >= MIN_WIDE_SHARE * total;
    vms.into_iter()
        .filter(|(_, rate)| !is_selective || rate.is_some_and(|rate| is_wide(f64::from(rate))))
        .map(|(name, _)| name)
        .collect()
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
