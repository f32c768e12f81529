//! Validates a fleet file and collects all errors in it.

use {
    super::{
        capacity,
        raw::{RawClientBlock, RawFleet, RawPreset, RawService, RawShare, RawTarget},
        types::{
            ClientBlock, Fleet, Link, Operation, Preset, Region, Service, Share, Site, Target,
        },
    },
    crate::ValidationError,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{Ipv4Addr, SocketAddr},
    },
};

const MAX_PREFIX_BITS: u8 = 32;

impl Fleet {
    pub(crate) fn from_raw(raw: &RawFleet) -> Result<Self, Vec<ValidationError>> {
        let mut errors = Vec::new();
        check_topology(raw, &mut errors);
        let fleet = Self {
            customer: raw.firm.clone(),
            regions: build_regions(raw, &mut errors),
            sites: build_sites(raw),
            links: build_links(raw),
            client_blocks: build_client_blocks(raw, &mut errors),
            services: build_services(raw, &mut errors),
            presets: build_presets(raw, &mut errors),
            initial_preset: raw.first_preset.clone(),
        };
        if fleet.preset(&fleet.initial_preset).is_none() {
            let reason = format!("preset {:?} does not exist", fleet.initial_preset);
            errors.push(ValidationError::new("first_preset", reason));
        }
        capacity::check_presets(&fleet, &mut errors);
        if errors.is_empty() {
            Ok(fleet)
        } else {
            Err(errors)
        }
    }
}

fn check_topology(raw: &RawFleet, errors: &mut Vec<ValidationError>) {
    let region_names: BTreeSet<&str> = raw.regions.iter().map(|r| r.name.as_str()).collect();
    require_unique("regions", raw.regions.iter().map(|r| &r.name), errors);
    require_unique("sites", raw.sites.iter().map(|s| &s.name), errors);
    let zones = raw.sites.iter().flat_map(|site| &site.zones);
    require_unique("sites.zones", zones, errors);
    for (i, site) in raw.sites.iter().enumerate() {
        let key = format!("sites[{i}].region");
        require_known(&key, "region", &site.region, &region_names, errors);
    }
    for (i, link) in raw.links.iter().enumerate() {
        require_known(
            &format!("links[{i}].from"),
            "region",
            &link.from,
            &region_names,
            errors,
        );
        require_known(
            &format!("links[{i}].to"),
            "region",
            &link.to,
            &region_names,
            errors,
        );
        require_positive(
            &format!("links[{i}].requests_per_s"),
            link.requests_per_s,
            errors,
        );
    }
}

fn build_regions(raw: &RawFleet, errors: &mut Vec<ValidationError>) -> Vec<Region> {
    let mut out = Vec::new();
    for (i, region) in raw.regions.iter().enumerate() {
        require_positive(
            &format!("regions[{i}].requests_per_s"),
            region.requests_per_s,
            errors,
        );
        out.push(Region {
            name: region.name.clone(),
            max_requests_per_s: region.requests_per_s,
        });
    }
    out
}

fn build_sites(raw: &RawFleet) -> Vec<Site> {
    let build_site = |site: &super::raw::RawSite| Site {
        name: site.name.clone(),
        region: site.region.clone(),
        zones: site.zones.clone(),
    };
    raw.sites.iter().map(build_site).collect()
}

fn build_links(raw: &RawFleet) -> Vec<Link> {
    let build_link = |link: &super::raw::RawLink| Link {
        from: link.from.clone(),
        to: link.to.clone(),
        one_way_ms: link.one_way_ms,
        max_requests_per_s: link.requests_per_s,
    };
    raw.links.iter().map(build_link).collect()
}

fn build_client_blocks(raw: &RawFleet, errors: &mut Vec<ValidationError>) -> Vec<ClientBlock> {
    let mut out = Vec::new();
    for (i, raw_block) in raw.clients.iter().enumerate() {
        match parse_client_block(raw, raw_block) {
            Ok(block) => out.push(block),
            Err(reason) => errors.push(ValidationError::new(format!("clients[{i}]"), reason)),
        }
    }
    out
}

fn parse_client_block(raw: &RawFleet, raw_block: &RawClientBlock) -> Result<ClientBlock, String> {
    let region_index = raw.regions.iter().position(|r| r.name == raw_block.region);
    let region_index =
        region_index.ok_or_else(|| format!("region {:?} does not exist", raw_block.region))?;
    let invalid_block = || {
        format!(
            "{:?} is not an IPv4 block in the form ADDRESS/PREFIX",
            raw_block.block
        )
    };
    let (first_address, prefix_bits) = raw_block.block.split_once('/').ok_or_else(invalid_block)?;
    let first_address: Ipv4Addr = first_address.parse().map_err(|_| invalid_block())?;
    let prefix_bits: u8 = prefix_bits.parse().map_err(|_| invalid_block())?;
    if prefix_bits > MAX_PREFIX_BITS {
        return Err(invalid_block());
    }
    Ok(ClientBlock {
        first_address,
        prefix_bits,
        region_index,
    })
}

fn build_services(raw: &RawFleet, errors: &mut Vec<ValidationError>) -> Vec<Service> {
    require_unique("services", raw.services.iter().map(|s| &s.name), errors);
    let targets = raw.services.iter().flat_map(|s| &s.targets);
    require_unique(
        "services.targets.name",
        targets.clone().map(|t| &t.name),
        errors,
    );
    require_unique(
        "services.targets.address",
        targets.map(|t| &t.address),
        errors,
    );
    let zones: BTreeSet<&str> = raw
        .sites
        .iter()
        .flat_map(|site| &site.zones)
        .map(String::as_str)
        .collect();
    let mut out = Vec::new();
    for (i, service) in raw.services.iter().enumerate() {
        out.push(Service {
            name: service.name.clone(),
            operations: build_operations(service, i, errors),
            targets: build_targets(service, i, &zones, errors),
        });
    }
    out
}

fn build_operations(
    service: &RawService,
    service_index: usize,
    errors: &mut Vec<ValidationError>,
) -> Vec<Operation> {
    let mut out = Vec::new();
    if service.operations.is_empty() {
        let key = format!("services[{service_index}].operations");
        errors.push(ValidationError::new(
            key,
            "must contain at least one operation",
        ));
    }
    for (j, op) in service.operations.iter().enumerate() {
        let key = format!("services[{service_index}].operations[{j}]");
        if op.timeout_ms == 0 {
            errors.push(ValidationError::new(
                format!("{key}.timeout_ms"),
                "must be above 0",
            ));
        }
        if !op.path.starts_with('/') {
            errors.push(ValidationError::new(
                format!("{key}.path"),
                "must start with /",
            ));
        }
        out.push(Operation {
            name: op.name.clone(),
            method: op.method.clone(),
            path_prefix: op.path.clone(),
            idempotent: op.idempotent,
            timeout_ms: op.timeout_ms,
        });
    }
    out
}

fn build_targets(
    service: &RawService,
    service_index: usize,
    zones: &BTreeSet<&str>,
    errors: &mut Vec<ValidationError>,
) -> Vec<Target> {
    let mut out = Vec::new();
    for (j, target) in service.targets.iter().enumerate() {
        let key = format!("services[{service_index}].targets[{j}]");
        require_positive(&format!("{key}.slots"), target.slots, errors);
        require_known(
            &format!("{key}.zone"),
            "availability zone",
            &target.zone,
            zones,
            errors,
        );
        if target.connections < target.slots {
            let reason = format!("must be at least the number of slots ({})", target.slots);
            errors.push(ValidationError::new(format!("{key}.connections"), reason));
        }
        match build_target(target) {
            Ok(checked) => out.push(checked),
            Err(reason) => errors.push(ValidationError::new(format!("{key}.address"), reason)),
        }
    }
    out
}

fn build_target(target: &RawTarget) -> Result<Target, String> {
    let address: SocketAddr = target
        .address
        .parse()
        .map_err(|_| format!("{:?} is not an address in the form IP:PORT", target.address))?;
    Ok(Target {
        name: target.name.clone(),
        zone: target.zone.clone(),
        address,
        slots: target.slots,
        max_connections: target.connections,
    })
}

fn build_presets(raw: &RawFleet, errors: &mut Vec<ValidationError>) -> Vec<Preset> {
    require_unique("presets", raw.presets.iter().map(|p| &p.name), errors);
    let mut out = Vec::new();
    for (i, preset) in raw.presets.iter().enumerate() {
        out.push(Preset {
            name: preset.name.clone(),
            shares: build_shares(raw, preset, i, errors),
        });
    }
    out
}

fn build_shares(
    raw: &RawFleet,
    preset: &RawPreset,
    preset_index: usize,
    errors: &mut Vec<ValidationError>,
) -> BTreeMap<String, Share> {
    let services: BTreeSet<&str> = raw.services.iter().map(|s| s.name.as_str()).collect();
    let mut out = BTreeMap::new();
    for (j, share) in preset.shares.iter().enumerate() {
        let key = format!("presets[{preset_index}].shares[{j}]");
        require_known(
            &format!("{key}.service"),
            "service",
            &share.service,
            &services,
            errors,
        );
        check_share_sites(raw, share, &key, errors);
        let checked = Share {
            expected_requests_per_s: share.expected_requests_per_s,
            site_weights: share.sites.clone(),
            shift_caps_requests_per_s: share.shift_caps_requests_per_s.clone(),
        };
        if out.insert(share.service.clone(), checked).is_some() {
            errors.push(ValidationError::new(
                key,
                format!("service {:?} is listed twice", share.service),
            ));
        }
    }
    out
}

fn check_share_sites(
    raw: &RawFleet,
    share: &RawShare,
    key: &str,
    errors: &mut Vec<ValidationError>,
) {
    let sites: BTreeSet<&str> = raw.sites.iter().map(|s| s.name.as_str()).collect();
    for site in share.sites.keys() {
        require_known(&format!("{key}.sites"), "site", site, &sites, errors);
    }
    for site in share.shift_caps_requests_per_s.keys() {
        let key = format!("{key}.shift_caps_requests_per_s");
        require_known(&key, "site", site, &sites, errors);
    }
    if share.sites.values().all(|weight| *weight == 0) {
        errors.push(ValidationError::new(
            format!("{key}.sites"),
            "at least one weight must be above 0",
        ));
    }
}

/// Adds an error for each name that occurs more than once.
fn require_unique<'a>(
    key: &str,
    names: impl Iterator<Item = &'a String>,
    errors: &mut Vec<ValidationError>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            errors.push(ValidationError::new(
                key,
                format!("{name:?} is listed twice"),
            ));
        }
    }
}

/// Adds an error if `name` is not among the names of items of this kind.
fn require_known(
    key: &str,
    kind: &str,
    name: &str,
    known_names: &BTreeSet<&str>,
    errors: &mut Vec<ValidationError>,
) {
    if !known_names.contains(name) {
        errors.push(ValidationError::new(
            key,
            format!("{kind} {name:?} does not exist"),
        ));
    }
}

fn require_positive(key: &str, value: u32, errors: &mut Vec<ValidationError>) {
    if value == 0 {
        errors.push(ValidationError::new(key, "must be above 0"));
    }
}
