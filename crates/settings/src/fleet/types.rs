//! The checked settings that run.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

/// Everything the VMs share, checked: every name refers to something that exists.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The customer whose traffic is steered.
    pub customer: String,
    /// Regions by position; other parts refer to them by name.
    pub regions: Vec<Region>,
    /// Groups of availability zones that share one queue for each service.
    pub sites: Vec<Site>,
    /// Limits of the links between edges in one region and upstreams in another.
    pub links: Vec<Link>,
    /// Client blocks and the region nearest to each.
    pub client_blocks: Vec<ClientBlock>,
    /// Services with their operations and targets.
    pub services: Vec<Service>,
    /// Presets that an operator may put in force.
    pub presets: Vec<Preset>,
    /// Preset in force until an operator switches for the first time.
    pub initial_preset: String,
}

/// A region and the rate of requests that its upstreams carry together.
#[derive(Debug, Clone)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Most requests dispatched into the region in any second.
    pub max_requests_per_s: u32,
}

/// Availability zones of one place that are steered as one.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Region the site stands in.
    pub region: String,
    /// Availability zones of the site.
    pub zones: Vec<String>,
}

/// Limit of the link from edges in one region to upstreams in another.
#[derive(Debug, Clone)]
pub struct Link {
    /// Region of the edge.
    pub from: String,
    /// Region of the upstreams.
    pub to: String,
    /// Time a message takes in one direction, in milliseconds.
    pub one_way_ms: u32,
    /// Most requests over the link in any second.
    pub max_requests_per_s: u32,
}

/// A block of client addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientBlock {
    /// First address of the block.
    pub first_address: Ipv4Addr,
    /// Length of the prefix in bits.
    pub prefix_bits: u8,
    /// Position of the nearest region in [`Fleet::regions`].
    pub region_index: usize,
}

/// A service with the operations that callers may ask for.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service, the first segment of a caller's path.
    pub name: String,
    /// Operations, matched by method and path prefix.
    pub operations: Vec<Operation>,
    /// Targets in all availability zones.
    pub targets: Vec<Target>,
}

/// One kind of request to a service.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Name for logs and metrics.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Prefix of the path behind the service's name.
    pub path_prefix: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Longest time an answer may take, in milliseconds.
    pub timeout_ms: u64,
}

/// One upstream process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Availability zone the target stands in.
    pub zone: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub max_connections: u32,
}

/// One way to divide traffic, for ordinary days, peaks or maintenance.
#[derive(Debug, Clone)]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Shares by service; a service that is not listed goes to the nearest site.
    pub shares: BTreeMap<String, Share>,
}

/// How one service's requests are divided between sites.
#[derive(Debug, Clone)]
pub struct Share {
    /// Rate that the preset is made for.
    pub expected_requests_per_s: u32,
    /// Weight of each site; a site that is not listed gets none.
    pub site_weights: BTreeMap<String, u32>,
    /// Most requests a second that a site takes from clients of other regions.
    pub shift_caps_requests_per_s: BTreeMap<String, u32>,
}

impl Fleet {
    /// Site of an availability zone.
    #[must_use]
    pub fn site_of_zone(&self, zone: &str) -> Option<&Site> {
        let holds = |site: &&Site| site.zones.iter().any(|z| z == zone);
        self.sites.iter().find(holds)
    }

    /// Link from edges in one region to upstreams in another.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Option<&Link> {
        let joins = |link: &&Link| link.from == from && link.to == to;
        self.links.iter().find(joins)
    }

    /// Service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Preset of that name.
    #[must_use]
    pub fn preset(&self, name: &str) -> Option<&Preset> {
        self.presets.iter().find(|preset| preset.name == name)
    }

    /// Region of that name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.name == name)
    }
}

impl Service {
    /// Operation whose method matches and whose path is the longest prefix.
    #[must_use]
    pub fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .filter(|op| op.method == method && path.starts_with(&op.path_prefix))
            .max_by_key(|op| op.path_prefix.len())
    }
}
