//! The routes in force, found by host and longest prefix.

use {
    crate::{Limits, Route, RouteConfiguration, RouteError, Service},
    std::sync::Arc,
    wire::Map,
};

/// A configuration that is consistent and ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    hosts: Map<String, Map<String, Arc<Route>>>,
    services: Map<String, Service>,
    limits: Limits,
    routes: usize,
}

impl RouteTable {
    /// Checks a configuration as a whole and makes the table that replaces this one.
    ///
    /// # Errors
    /// A [`RouteError`] names the first fault; this table then stays in force.
    pub fn with_configuration(&self, document: RouteConfiguration) -> Result<Self, RouteError> {
        if document.version <= self.version {
            return Err(RouteError::Stale {
                offered: document.version,
                current: self.version,
            });
        }
        let services = document.services.into_iter();
        let mut next = Self {
            version: document.version,
            hosts: Map::default(),
            services: services.map(|s| (s.name.clone(), s)).collect(),
            limits: document.limits,
            routes: document.routes.len(),
        };
        for route in document.routes {
            next.add_route(route)?;
        }
        Ok(next)
    }

    fn add_route(&mut self, route: Route) -> Result<(), RouteError> {
        self.validate_route(&route)?;
        let prefixes = self
            .hosts
            .entry(route.host.to_ascii_lowercase())
            .or_default();
        let name = route.name.clone();
        let former = prefixes.insert(route.prefix.clone(), Arc::new(route));
        match former {
            Some(_) => Err(RouteError::DuplicateMatch(name)),
            None => Ok(()),
        }
    }

    fn validate_route(&self, route: &Route) -> Result<(), RouteError> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(RouteError::InvalidPrefix(name()));
        }
        if route.timeout.is_zero() || route.max_attempts == 0 {
            return Err(RouteError::ZeroLimit(name()));
        }
        if route.services.is_empty() {
            return Err(RouteError::NoService(name()));
        }
        if route.services.iter().all(|backend| backend.weight == 0) {
            return Err(RouteError::ZeroWeight(name()));
        }
        let unknown = |b: &&crate::WeightedService| !self.services.contains_key(&b.service);
        match route.services.iter().find(unknown) {
            None => Ok(()),
            Some(backend) => Err(RouteError::UnknownService {
                route: name(),
                service: backend.service.clone(),
            }),
        }
    }

    /// The route of a request: the longest prefix of the host that begins the path.
    ///
    /// The cost depends on the slashes in the path and not on the number of routes.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut ends = path.match_indices('/').rev().map(|(at, _)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end]))
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Version in force; 0 before the first configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }
}
