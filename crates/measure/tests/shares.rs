//! Quotas and shares of customers together, while a target can serve six tenths of the usual.
//!
//! Prints what each rule gives: `cargo test -p measure --test shares -- --nocapture`.

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts of these tests are small"
)]

use {
    balance::{FairShares, QueueKey},
    customer::{
        RateLimit,
        quota::{Entitlement, Fleet, Grantor, Rule},
    },
    std::{collections::BTreeMap, time::Duration},
};

const RULE: Rule = Rule {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const FLEET: Fleet = Fleet {
    generation: 1,
    alive: 1,
    known: Some(1),
};
const CUSTOMERS: u32 = 40;
/// Time that the target takes for a request.
const STEP_MS: u32 = 10;
/// Requests that all customers send in a second, usually.
const USUAL_PER_S: f64 = 100.0 / 0.6;
/// A quota, as a multiple of the customer's usual rate.
const QUOTA: f64 = 1.6;
/// What the hot customer sends, as a multiple of its usual.
const HOT: f64 = 8.0;
/// Longest queue at which a request is admitted behind the others.
const MAX_AHEAD: usize = 8;

/// The order of requests that wait.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    Arrival,
    EqualShares,
    SharesByLimit,
}

/// Requests of one customer.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// Those within its quota.
    owed: usize,
    served: usize,
}

impl Count {
    fn ratio(self) -> f64 {
        self.served as f64 / self.owed.max(1) as f64
    }
}

fn sum(counts: impl Iterator<Item = Count>) -> Count {
    counts.fold(Count::default(), |sum, count| Count {
        owed: sum.owed + count.owed,
        served: sum.served + count.served,
    })
}

/// Returns the usual rate of each customer; they are of very different size.
fn usual_rates() -> Vec<f64> {
    let sizes: Vec<f64> = (1..=CUSTOMERS)
        .map(|rank| f64::from(rank).powf(-1.2))
        .collect();
    let total: f64 = sizes.iter().sum();
    sizes
        .iter()
        .map(|size| size / total * USUAL_PER_S)
        .collect()
}

/// Serves all customers for 200 s, in which one of them may send more.
fn serve(order: Order, hot: Option<usize>) -> Vec<Count> {
    let rates = usual_rates();
    let mut grantor = Grantor::new(Duration::ZERO);
    let mut shares = FairShares::default();
    let mut waiting: BTreeMap<QueueKey, (usize, f64)> = BTreeMap::new();
    let mut counts = vec![Count::default(); rates.len()];
    let mut due = vec![0.0; rates.len()];
    let mut sequence = 0;
    for step in 0..200_000 / STEP_MS {
        let now = step * Duration::from_millis(STEP_MS.into());
        grantor.observe(FLEET, &RULE, |_| true, now);
        for (index, rate) in rates.iter().enumerate() {
            let name = format!("c{index}");
            let limit = RateLimit {
                requests_per_s: QUOTA * rate,
                burst: QUOTA * rate,
            };
            let weight = if order == Order::EqualShares {
                1.0
            } else {
                limit.requests_per_s
            };
            let factor = if hot == Some(index) { HOT } else { 1.0 };
            due[index] += rate * factor * f64::from(STEP_MS) / 1000.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                let entitlement = Entitlement { limit, version: 1 };
                let grant = grantor.grant(&name, entitlement, 1, &RULE, true, now);
                if grant.tokens == 0 {
                    continue;
                }
                counts[index].owed += 1;
                sequence += 1;
                let start = shares.start("s", 1, Some(&name), weight);
                let key = QueueKey {
                    priority: 1,
                    is_late: false,
                    virtual_start: if order == Order::Arrival { 0 } else { start },
                    sequence,
                };
                waiting.insert(key, (index, weight));
                if waiting.len() > MAX_AHEAD
                    && let Some((_, (last, weight))) = waiting.pop_last()
                {
                    shares.record_withdrawal("s", 1, &format!("c{last}"), weight);
                }
            }
        }
        if let Some((key, (index, _))) = waiting.pop_first() {
            shares.record_dispatch("s", 1, key.virtual_start);
            counts[index].served += 1;
        }
    }
    counts
}

/// Returns the lowest part of a customer's requests that is served, relative to that of all.
fn worst_ratio(counts: &[Count]) -> f64 {
    let all = sum(counts.iter().copied()).ratio();
    let ratios = counts.iter().map(|count| count.ratio() / all);
    ratios.fold(f64::INFINITY, f64::min)
}

#[test]
fn no_customer_is_served_less_than_a_quarter_as_often_as_all() {
    for order in [Order::Arrival, Order::EqualShares, Order::SharesByLimit] {
        for hot in [None, Some(0), Some(5), Some(39)] {
            let counts = serve(order, hot);

            let worst = worst_ratio(&counts);
            let all = sum(counts.iter().copied()).ratio();
            let is_other = |index: &usize| Some(*index) != hot;
            let others = (0..counts.len()).filter(is_other);
            let others = sum(others.map(|index| counts[index])).ratio();
            println!("{order:?}, {hot:?} hot: all {all:.3}, others {others:.3}, worst {worst:.2}");
            if order == Order::SharesByLimit {
                assert!(worst >= 0.25, "{hot:?}: {worst}");
            }
        }
    }
}

/// Up to as many requests as may wait.
#[test]
fn hot_customer_does_not_lower_what_others_get() {
    let usual = serve(Order::SharesByLimit, None);

    for hot in [0, 5, 39] {
        let counts = serve(Order::SharesByLimit, Some(hot));

        for (index, (usual, count)) in usual.iter().zip(&counts).enumerate() {
            let case = format!("{hot} is hot, customer {index}: {count:?} of {usual:?}");
            assert!(
                (count.served + MAX_AHEAD) * 100 >= usual.served * 99,
                "{case}"
            );
        }
    }
}
