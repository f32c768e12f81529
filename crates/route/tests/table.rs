//! Routes are found by longest prefix, and a configuration is taken whole or not at all.

use {
    route::{
        Idempotency, Limits, Route, RouteConfiguration, RouteError, RouteTable, Service,
        WeightedRoundRobin, WeightedService,
    },
    std::time::Duration,
};

fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 0,
        max_attempts: 2,
        uses_affinity: true,
        allowed_regions: Vec::new(),
        services: vec![part(service, 1)],
    }
}

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.to_owned(),
        weight,
    }
}

fn document(version: u64, routes: Vec<Route>) -> RouteConfiguration {
    let service = Service {
        name: "s".to_owned(),
        max_connections: 10,
        warmup_requests_per_s: 3.0,
    };
    RouteConfiguration {
        version,
        routes,
        services: vec![service],
        limits: Limits::default(),
    }
}

fn table(routes: Vec<Route>) -> Result<RouteTable, RouteError> {
    RouteTable::default().with_configuration(document(1, routes))
}

#[test]
fn longest_prefix_wins() -> Result<(), RouteError> {
    let table = table(vec![
        route("short", "/a/", "s"),
        route("long", "/a/b/", "s"),
    ])?;

    let found = |path: &str| {
        table
            .find_route("HOST.example", path)
            .map(|r| r.name.clone())
    };

    assert_eq!(found("/a/b/c").as_deref(), Some("long"));
    assert_eq!(found("/a/b").as_deref(), Some("short"));
    assert_eq!(found("/a/x/y").as_deref(), Some("short"));
    assert_eq!(found("/b/"), None);
    assert_eq!(table.find_route("other.example", "/a/"), None);
    Ok(())
}

#[test]
fn older_or_equal_version_is_rejected() -> Result<(), RouteError> {
    let table =
        RouteTable::default().with_configuration(document(5, vec![route("r", "/a/", "s")]))?;

    let again = table.with_configuration(document(5, Vec::new())).err();
    let older = table.with_configuration(document(4, Vec::new())).err();

    assert_eq!(
        again,
        Some(RouteError::Stale {
            offered: 5,
            current: 5
        })
    );
    assert_eq!(
        older,
        Some(RouteError::Stale {
            offered: 4,
            current: 5
        })
    );
    Ok(())
}

#[test]
fn one_bad_route_rejects_the_whole() {
    let bad = [
        route("unknown", "/b/", "missing"),
        route("prefix", "/b", "s"),
        Route {
            timeout: Duration::ZERO,
            ..route("timeout", "/b/", "s")
        },
        Route {
            max_attempts: 0,
            ..route("attempts", "/b/", "s")
        },
        Route {
            services: Vec::new(),
            ..route("none", "/b/", "s")
        },
        Route {
            services: vec![part("s", 0)],
            ..route("weight", "/b/", "s")
        },
        route("twice", "/a/", "s"),
    ];

    for bad in bad {
        let name = bad.name.clone();
        let result = table(vec![route("good", "/a/", "s"), bad]);

        assert!(result.is_err(), "{name}");
    }
}

#[test]
fn weights_are_kept_to_within_one_request() {
    let parts = [part("a", 90), part("b", 10)];
    let mut split = WeightedRoundRobin::default();

    let picked: Vec<usize> = (0..100).map(|_| split.pick_next(&parts)).collect();

    assert_eq!(picked.iter().filter(|&&index| index == 0).count(), 90);
    for window in picked.chunks(10) {
        assert_eq!(window.iter().filter(|&&index| index == 1).count(), 1);
    }
}

#[test]
fn part_without_weight_gets_nothing() {
    let parts = [part("a", 0), part("b", 3)];
    let mut split = WeightedRoundRobin::default();

    let all_second = (0..20).all(|_| split.pick_next(&parts) == 1);

    assert!(all_second);
}
