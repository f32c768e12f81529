//! Site selection.

use steer::{SiteCandidate, SiteSelector, order_sites};

fn site(name: &str, weight: Option<u32>, round_trip_ms: u32, wait_ms: u32) -> SiteCandidate {
    SiteCandidate {
        site: name.to_owned(),
        weight,
        round_trip_ms,
        wait_ms,
        is_usable: true,
    }
}

fn ordered_names(candidates: &[SiteCandidate], random: f64) -> Vec<&str> {
    order_sites(candidates, random)
        .iter()
        .map(|candidate| candidate.site.as_str())
        .collect()
}

#[test]
fn sites_are_ordered_by_latency_without_weights() {
    let sites = [
        site("cebu", None, 24, 0),
        site("pasig", None, 0, 3),
        site("davao", None, 24, 9),
    ];

    assert_eq!(ordered_names(&sites, 0.9), ["pasig", "cebu", "davao"]);
}

#[test]
fn site_with_a_long_wait_is_tried_after_a_faster_one() {
    let sites = [site("pasig", None, 0, 100), site("cebu", None, 24, 0)];

    assert_eq!(ordered_names(&sites, 0.0), ["cebu", "pasig"]);
}

#[test]
fn sites_are_selected_in_proportion_to_their_weights() {
    let sites = [
        site("pasig", Some(1), 0, 0),
        site("cebu", Some(3), 24, 0),
        site("davao", Some(0), 24, 0),
    ];
    let selector = SiteSelector::from_candidates(&sites);

    let selected: Vec<usize> = (0..100)
        .filter_map(|i| selector.pick(f64::from(i) / 100.0))
        .collect();

    assert_eq!(selected.iter().filter(|index| **index == 0).count(), 25);
    assert_eq!(selected.iter().filter(|index| **index == 1).count(), 75);
    assert!(!ordered_names(&sites, 0.5).contains(&"davao"));
}

#[test]
fn weighted_site_is_skipped_when_it_would_answer_much_later() {
    let sites = [site("pasig", Some(1), 0, 0), site("cebu", Some(9), 24, 500)];

    for tenth in 0..10 {
        assert_eq!(ordered_names(&sites, f64::from(tenth) / 10.0)[0], "pasig");
    }
}

#[test]
fn no_site_is_selected_when_none_is_usable() {
    let unusable = SiteCandidate {
        is_usable: false,
        ..site("pasig", None, 0, 0)
    };

    assert_eq!(
        SiteSelector::from_candidates(std::slice::from_ref(&unusable)).pick(0.5),
        None
    );
    assert!(order_sites(&[unusable], 0.5).is_empty());
}
