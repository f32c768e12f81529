//! The routing table, which matches requests by host and longest path prefix.

use {
    crate::{Limits, Route, RouteConfiguration, RouteError, Service},
    std::sync::Arc,
    wire::Map,
};

/// A validated configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    hosts: Map<String, Map<String, Arc<Route>>>,
    services: Map<String, Service>,
    limits: Limits,
    route_count: usize,
}

impl RouteTable {
    /// Validates a configuration and builds the table that replaces this one.
    ///
    /// # Errors
    /// Returns the first [`RouteError`] found. The caller then keeps this table.
    pub fn with_configuration(
        &self,
        configuration: RouteConfiguration,
    ) -> Result<Self, RouteError> {
        if configuration.version <= self.version {
            return Err(RouteError::Stale {
                offered: configuration.version,
                current: self.version,
            });
        }
        let services = configuration.services.into_iter();
        let mut table = Self {
            version: configuration.version,
            hosts: Map::default(),
            services: services.map(|s| (s.name.clone(), s)).collect(),
            limits: configuration.limits,
            route_count: configuration.routes.len(),
        };
        for route in configuration.routes {
            table.add_route(route)?;
        }
        Ok(table)
    }

    fn add_route(&mut self, route: Route) -> Result<(), RouteError> {
        self.validate_route(&route)?;
        let prefixes = self
            .hosts
            .entry(route.host.to_ascii_lowercase())
            .or_default();
        let name = route.name.clone();
        let previous = prefixes.insert(route.prefix.clone(), Arc::new(route));
        match previous {
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
        if route.services.iter().all(|service| service.weight == 0) {
            return Err(RouteError::ZeroWeight(name()));
        }
        let is_unknown =
            |weighted: &&crate::WeightedService| !self.services.contains_key(&weighted.service);
        match route.services.iter().find(is_unknown) {
            None => Ok(()),
            Some(weighted) => Err(RouteError::UnknownService {
                route: name(),
                service: weighted.service.clone(),
            }),
        }
    }

    /// Returns the route of the host with the longest prefix of the path, or `None` if no route
    /// matches.
    ///
    /// The cost depends on the number of slashes in the path, not on the number of routes.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut prefix_ends = path.match_indices('/').rev().map(|(slash, _)| slash + 1);
        prefix_ends.find_map(|end| prefixes.get(&path[..end]))
    }

    /// Returns the service with the given name, or `None` if it is not configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the version of the configuration; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.route_count
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.route_count == 0
    }
}
