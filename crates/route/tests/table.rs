//! Routes match by longest prefix, and a configuration is applied as a whole or rejected.

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
        services: vec![weighted(service, 1)],
    }
}

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.to_owned(),
        weight,
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> RouteConfiguration {
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
    RouteTable::default().with_configuration(configuration(1, routes))
}

#[test]
fn path_matches_route_with_the_longest_prefix() -> Result<(), RouteError> {
    let table = table(vec![
        route("short", "/a/", "s"),
        route("long", "/a/b/", "s"),
    ])?;

    let find_name = |path: &str| {
        table
            .find_route("HOST.example", path)
            .map(|r| r.name.clone())
    };

    assert_eq!(find_name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(find_name("/a/b").as_deref(), Some("short"));
    assert_eq!(find_name("/a/x/y").as_deref(), Some("short"));
    assert_eq!(find_name("/b/"), None);
    assert_eq!(table.find_route("other.example", "/a/"), None);
    Ok(())
}

#[test]
fn configuration_of_older_or_equal_version_is_rejected() -> Result<(), RouteError> {
    let table =
        RouteTable::default().with_configuration(configuration(5, vec![route("r", "/a/", "s")]))?;

    let equal = table.with_configuration(configuration(5, Vec::new())).err();
    let older = table.with_configuration(configuration(4, Vec::new())).err();

    assert_eq!(
        equal,
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
fn one_invalid_route_rejects_the_whole_configuration() {
    let invalid_routes = [
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
            services: vec![weighted("s", 0)],
            ..route("weight", "/b/", "s")
        },
        route("twice", "/a/", "s"),
    ];

    for invalid in invalid_routes {
        let name = invalid.name.clone();
        let result = table(vec![route("good", "/a/", "s"), invalid]);

        assert!(result.is_err(), "{name}");
    }
}

#[test]
fn weighted_services_get_their_share_to_within_one_request() {
    let services = [weighted("a", 90), weighted("b", 10)];
    let mut round_robin = WeightedRoundRobin::default();

    let picked: Vec<usize> = (0..100).map(|_| round_robin.pick_next(&services)).collect();

    assert_eq!(picked.iter().filter(|&&index| index == 0).count(), 90);
    for window in picked.chunks(10) {
        assert_eq!(window.iter().filter(|&&index| index == 1).count(), 1);
    }
}

#[test]
fn service_of_weight_zero_gets_no_requests() {
    let services = [weighted("a", 0), weighted("b", 3)];
    let mut round_robin = WeightedRoundRobin::default();

    let all_second = (0..20).all(|_| round_robin.pick_next(&services) == 1);

    assert!(all_second);
}
