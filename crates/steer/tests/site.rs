//! The order of sites.

use steer::{Candidate, SiteSelector, order_sites};

fn site(name: &str, weight: Option<u32>, round_trip_ms: u32, wait_ms: u32) -> Candidate {
    Candidate {
        site: name.to_owned(),
        weight,
        round_trip_ms,
        wait_ms,
        usable: true,
    }
}

fn names(candidates: &[Candidate], chance: f64) -> Vec<&str> {
    order_sites(candidates, chance)
        .iter()
        .map(|one| one.site.as_str())
        .collect()
}

#[test]
fn nearest_site_comes_first_without_weights() {
    let sites = [
        site("cebu", None, 24, 0),
        site("pasig", None, 0, 3),
        site("davao", None, 24, 9),
    ];

    assert_eq!(names(&sites, 0.9), ["pasig", "cebu", "davao"]);
}

#[test]
fn site_with_a_long_wait_loses_its_turn() {
    let sites = [site("pasig", None, 0, 100), site("cebu", None, 24, 0)];

    assert_eq!(names(&sites, 0.0), ["cebu", "pasig"]);
}

#[test]
fn weights_divide_the_draws() {
    let sites = [
        site("pasig", Some(1), 0, 0),
        site("cebu", Some(3), 24, 0),
        site("davao", Some(0), 24, 0),
    ];
    let choice = SiteSelector::from_candidates(&sites);

    let draws: Vec<usize> = (0..100)
        .filter_map(|i| choice.pick(f64::from(i) / 100.0))
        .collect();

    assert_eq!(draws.iter().filter(|index| **index == 0).count(), 25);
    assert_eq!(draws.iter().filter(|index| **index == 1).count(), 75);
    assert!(!names(&sites, 0.5).contains(&"davao"));
}

#[test]
fn weight_does_not_send_to_a_site_that_would_answer_much_later() {
    let sites = [site("pasig", Some(1), 0, 0), site("cebu", Some(9), 24, 500)];

    for tenth in 0..10 {
        assert_eq!(names(&sites, f64::from(tenth) / 10.0)[0], "pasig");
    }
}

#[test]
fn no_site_is_chosen_when_none_is_usable() {
    let gone = Candidate {
        usable: false,
        ..site("pasig", None, 0, 0)
    };

    assert_eq!(
        SiteSelector::from_candidates(std::slice::from_ref(&gone)).pick(0.5),
        None
    );
    assert!(order_sites(&[gone], 0.5).is_empty());
}
