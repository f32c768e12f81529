//! Validated configuration of the fleet.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

/// Configuration shared by all VMs. Every name in it refers to an item that exists.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Customer whose traffic is steered.
    pub customer: String,
    /// Regions. Client blocks refer to them by position, other items by name.
    pub regions: Vec<Region>,
    /// Groups of availability zones that share one queue per service.
    pub sites: Vec<Site>,
    /// Limits of the network links between regions.
    pub links: Vec<Link>,
    /// Blocks of client addresses with the region nearest to each.
    pub client_blocks: Vec<ClientBlock>,
    /// Services with their operations and targets.
    pub services: Vec<Service>,
    /// Presets that an operator can put in force.
    pub presets: Vec<Preset>,
    /// Name of the preset in force until an operator first switches to another one.
    pub initial_preset: String,
}

/// A region and the maximum request rate of all its upstreams together.
#[derive(Debug, Clone)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Maximum number of requests dispatched to the region in any second.
    pub max_requests_per_s: u32,
}

/// Availability zones of one location that are steered as a unit.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Name of the region of the site.
    pub region: String,
    /// Names of the availability zones of the site.
    pub zones: Vec<String>,
}

/// Limit of the network link from VMs in one region to upstreams in another.
#[derive(Debug, Clone)]
pub struct Link {
    /// Name of the region of the VMs.
    pub from: String,
    /// Name of the region of the upstreams.
    pub to: String,
    /// One-way latency in milliseconds.
    pub one_way_ms: u32,
    /// Maximum number of requests over the link in any second.
    pub max_requests_per_s: u32,
}

/// A CIDR block of client addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientBlock {
    /// First address of the block.
    pub first_address: Ipv4Addr,
    /// Prefix length in bits.
    pub prefix_bits: u8,
    /// Index of the nearest region in [`Fleet::regions`].
    pub region_index: usize,
}

/// A service with the operations that callers can request.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service, which is the first segment of the request path.
    pub name: String,
    /// Operations; a request is matched by method and path prefix.
    pub operations: Vec<Operation>,
    /// Targets of the service in all availability zones.
    pub targets: Vec<Target>,
}

/// A kind of request to a service.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Name used in logs and metrics.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Prefix of the request path after the name of the service.
    pub path_prefix: String,
    /// Whether the operation can safely be executed more than once.
    pub idempotent: bool,
    /// Maximum response time in milliseconds.
    pub timeout_ms: u64,
}

/// An upstream process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Name of the availability zone of the target.
    pub zone: String,
    /// Address the target listens on.
    pub address: SocketAddr,
    /// Maximum number of requests the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections the target accepts concurrently.
    pub max_connections: u32,
}

/// A named division of traffic between sites, such as for ordinary days, peaks or maintenance.
#[derive(Debug, Clone)]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Shares by service name. Requests to a service without a share go to the nearest site.
    pub shares: BTreeMap<String, Share>,
}

/// Division of the requests to one service between sites.
#[derive(Debug, Clone)]
pub struct Share {
    /// Request rate that the preset is designed for, in requests per second.
    pub expected_requests_per_s: u32,
    /// Weight by site name; a site that is not listed has weight 0.
    pub site_weights: BTreeMap<String, u32>,
    /// Maximum rate of requests from clients of other regions, in requests per second, by name
    /// of the receiving site.
    pub shift_caps_requests_per_s: BTreeMap<String, u32>,
}

impl Fleet {
    /// Returns the site that contains the availability zone.
    #[must_use]
    pub fn site_of_zone(&self, zone: &str) -> Option<&Site> {
        let contains_zone = |site: &&Site| site.zones.iter().any(|z| z == zone);
        self.sites.iter().find(contains_zone)
    }

    /// Returns the link from VMs in region `from` to upstreams in region `to`.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Option<&Link> {
        let connects = |link: &&Link| link.from == from && link.to == to;
        self.links.iter().find(connects)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the preset with this name.
    #[must_use]
    pub fn preset(&self, name: &str) -> Option<&Preset> {
        self.presets.iter().find(|preset| preset.name == name)
    }

    /// Returns the region with this name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.name == name)
    }
}

impl Service {
    /// Returns the operation with this method and the longest matching path prefix.
    #[must_use]
    pub fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .filter(|op| op.method == method && path.starts_with(&op.path_prefix))
            .max_by_key(|op| op.path_prefix.len())
    }
}
