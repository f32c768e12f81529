//! The routing table, which matches requests by host and longest path prefix.

use {
    crate::{
        Kind, Limits, LookupError, Route, RouteConfiguration, RouteError, Service,
        StaleConfiguration, UnusableRoute,
    },
    std::sync::Arc,
    wire::Map,
};

/// What a host and prefix lead to.
#[derive(Debug, Clone)]
enum Entry {
    Usable(Arc<Route>),
    Unusable,
}

/// A validated configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    hosts: Map<String, Map<String, Entry>>,
    services: Map<String, Service>,
    /// Services to which a route for downloads leads.
    download_services: Vec<String>,
    limits: Limits,
    route_count: usize,
    unusable_routes: Vec<UnusableRoute>,
}

impl RouteTable {
    /// Validates a configuration and builds the table that replaces this one.
    ///
    /// A route that is invalid becomes an unusable one; the others are not affected.
    ///
    /// # Errors
    /// [`StaleConfiguration`] if the configuration is not newer. The caller then keeps this table.
    pub fn with_configuration(
        &self,
        configuration: RouteConfiguration,
    ) -> Result<Self, StaleConfiguration> {
        if configuration.version <= self.version {
            return Err(StaleConfiguration {
                offered: configuration.version,
                current: self.version,
            });
        }
        let services = configuration.services.into_iter();
        let mut table = Self {
            version: configuration.version,
            hosts: Map::default(),
            services: services.map(|s| (s.name.clone(), s)).collect(),
            download_services: Vec::new(),
            limits: configuration.limits,
            route_count: 0,
            unusable_routes: Vec::new(),
        };
        for route in configuration.routes {
            table.add_route(route);
        }
        for unusable in configuration.unusable_routes {
            table.add_unusable_route(unusable);
        }
        Ok(table)
    }

    fn add_route(&mut self, route: Route) {
        if let Err(error) = self.validate_route(&route) {
            self.add_unusable_route(UnusableRoute {
                name: route.name,
                host: route.host,
                prefix: route.prefix,
                reason: error.to_string(),
            });
            return;
        }
        self.route_count += 1;
        self.add_download_services(&route);
        let prefix = route.prefix.clone();
        self.prefixes_mut(&route.host)
            .insert(prefix, Entry::Usable(Arc::new(route)));
    }

    fn add_download_services(&mut self, route: &Route) {
        if route.kind != Kind::Download {
            return;
        }
        let used = route.services.iter().filter(|service| service.weight > 0);
        let names = used.map(|service| service.service.clone());
        self.download_services.extend(names);
    }

    /// Keeps the host and prefix of an unusable route, unless another route has the same ones.
    fn add_unusable_route(&mut self, unusable: UnusableRoute) {
        let mut prefix = unusable.prefix.clone();
        if !prefix.ends_with('/') {
            prefix.push('/');
        }
        self.prefixes_mut(&unusable.host)
            .entry(prefix)
            .or_insert(Entry::Unusable);
        self.unusable_routes.push(unusable);
    }

    fn prefixes_mut(&mut self, host: &str) -> &mut Map<String, Entry> {
        self.hosts.entry(host.to_ascii_lowercase()).or_default()
    }

    fn validate_route(&self, route: &Route) -> Result<(), RouteError> {
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(RouteError::InvalidPrefix);
        }
        if route.timeout.is_zero() || route.max_attempts == 0 {
            return Err(RouteError::ZeroLimit);
        }
        if route.services.is_empty() {
            return Err(RouteError::NoService);
        }
        if route.services.iter().all(|service| service.weight == 0) {
            return Err(RouteError::ZeroWeight);
        }
        let is_unknown =
            |weighted: &&crate::WeightedService| !self.services.contains_key(&weighted.service);
        if let Some(weighted) = route.services.iter().find(is_unknown) {
            return Err(RouteError::UnknownService(weighted.service.clone()));
        }
        let prefixes = self.hosts.get(&route.host.to_ascii_lowercase());
        if prefixes.is_some_and(|prefixes| prefixes.contains_key(&route.prefix)) {
            return Err(RouteError::DuplicateMatch);
        }
        Ok(())
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// The cost depends on the number of slashes in the path, not on the number of routes.
    ///
    /// # Errors
    /// [`LookupError::NoMatch`] if no route matches, and [`LookupError::Unusable`] if the one that
    /// matches cannot be served.
    pub fn find_route(&self, host: &str, path: &str) -> Result<&Arc<Route>, LookupError> {
        let prefixes = self
            .hosts
            .get(&host.to_ascii_lowercase())
            .ok_or(LookupError::NoMatch)?;
        let mut prefix_ends = path.match_indices('/').rev().map(|(slash, _)| slash + 1);
        match prefix_ends.find_map(|end| prefixes.get(&path[..end])) {
            Some(Entry::Usable(route)) => Ok(route),
            Some(Entry::Unusable) => Err(LookupError::Unusable),
            None => Err(LookupError::NoMatch),
        }
    }

    /// Returns the regions in which all routes of a host may run that are bound to regions; empty if
    /// no route is, or if they have none in common.
    #[must_use]
    pub fn common_regions(&self, host: &str) -> Vec<&str> {
        let entries = self.hosts.get(&host.to_ascii_lowercase());
        let routes = entries.into_iter().flat_map(Map::values);
        let mut bound = routes.filter_map(|entry| match entry {
            Entry::Usable(route) if !route.allowed_regions.is_empty() => Some(route),
            Entry::Usable(_) | Entry::Unusable => None,
        });
        let first = bound.next().map(|route| route.allowed_regions.as_slice());
        let mut regions: Vec<&str> = first
            .unwrap_or_default()
            .iter()
            .map(String::as_str)
            .collect();
        for route in bound {
            regions.retain(|region| route.allows_region(region));
        }
        regions
    }

    /// Returns the routes that refuse their requests because they cannot be served.
    #[must_use]
    pub fn unusable_routes(&self) -> &[UnusableRoute] {
        &self.unusable_routes
    }

    /// Returns the service with the given name, or `None` if it is not configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns whether any route is for downloads.
    #[must_use]
    pub fn has_downloads(&self) -> bool {
        !self.download_services.is_empty()
    }

    /// Returns whether a route for downloads leads to the service.
    #[must_use]
    pub fn serves_downloads(&self, service: &str) -> bool {
        self.download_services.iter().any(|name| name == service)
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

    /// Returns the number of routes that can be served.
    #[must_use]
    pub fn len(&self) -> usize {
        self.route_count
    }

    /// Returns whether no route can be served.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.route_count == 0
    }
}
