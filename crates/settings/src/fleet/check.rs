//! Checks a fleet file, and lists all of its faults at once.

use {
    super::{
        caps,
        raw::{RawBlock, RawFleet, RawPreset, RawService, RawShare, RawTarget},
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
    pub(crate) fn check(raw: &RawFleet) -> Result<Self, Vec<ValidationError>> {
        let mut faults = Vec::new();
        check_places(raw, &mut faults);
        let fleet = Self {
            customer: raw.firm.clone(),
            regions: regions(raw, &mut faults),
            sites: sites(raw),
            links: links(raw),
            client_blocks: client_blocks(raw, &mut faults),
            services: services(raw, &mut faults),
            presets: presets(raw, &mut faults),
            initial_preset: raw.first_preset.clone(),
        };
        if fleet.preset(&fleet.initial_preset).is_none() {
            let reason = format!("preset {:?} does not exist", fleet.initial_preset);
            faults.push(ValidationError::new("first_preset", reason));
        }
        caps::check_presets(&fleet, &mut faults);
        if faults.is_empty() {
            Ok(fleet)
        } else {
            Err(faults)
        }
    }
}

fn check_places(raw: &RawFleet, faults: &mut Vec<ValidationError>) {
    let region_names: BTreeSet<&str> = raw.regions.iter().map(|r| r.name.as_str()).collect();
    unique("regions", raw.regions.iter().map(|r| &r.name), faults);
    unique("sites", raw.sites.iter().map(|s| &s.name), faults);
    let zones = raw.sites.iter().flat_map(|site| &site.zones);
    unique("sites.zones", zones, faults);
    for (i, site) in raw.sites.iter().enumerate() {
        let key = format!("sites[{i}].region");
        exists(&key, "region", &site.region, &region_names, faults);
    }
    for (i, link) in raw.links.iter().enumerate() {
        exists(
            &format!("links[{i}].from"),
            "region",
            &link.from,
            &region_names,
            faults,
        );
        exists(
            &format!("links[{i}].to"),
            "region",
            &link.to,
            &region_names,
            faults,
        );
        positive(
            &format!("links[{i}].requests_per_s"),
            link.requests_per_s,
            faults,
        );
    }
}

fn regions(raw: &RawFleet, faults: &mut Vec<ValidationError>) -> Vec<Region> {
    let mut out = Vec::new();
    for (i, region) in raw.regions.iter().enumerate() {
        positive(
            &format!("regions[{i}].requests_per_s"),
            region.requests_per_s,
            faults,
        );
        out.push(Region {
            name: region.name.clone(),
            max_requests_per_s: region.requests_per_s,
        });
    }
    out
}

fn sites(raw: &RawFleet) -> Vec<Site> {
    let one = |site: &super::raw::RawSite| Site {
        name: site.name.clone(),
        region: site.region.clone(),
        zones: site.zones.clone(),
    };
    raw.sites.iter().map(one).collect()
}

fn links(raw: &RawFleet) -> Vec<Link> {
    let one = |link: &super::raw::RawLink| Link {
        from: link.from.clone(),
        to: link.to.clone(),
        one_way_ms: link.one_way_ms,
        max_requests_per_s: link.requests_per_s,
    };
    raw.links.iter().map(one).collect()
}

fn client_blocks(raw: &RawFleet, faults: &mut Vec<ValidationError>) -> Vec<ClientBlock> {
    let mut out = Vec::new();
    for (i, one) in raw.clients.iter().enumerate() {
        match block(raw, one) {
            Ok(block) => out.push(block),
            Err(reason) => faults.push(ValidationError::new(format!("clients[{i}]"), reason)),
        }
    }
    out
}

fn block(raw: &RawFleet, one: &RawBlock) -> Result<ClientBlock, String> {
    let region = raw.regions.iter().position(|r| r.name == one.region);
    let region = region.ok_or_else(|| format!("region {:?} does not exist", one.region))?;
    let bad = || format!("{:?} is not ADDRESS/PREFIX", one.block);
    let (first, prefix) = one.block.split_once('/').ok_or_else(bad)?;
    let first: Ipv4Addr = first.parse().map_err(|_| bad())?;
    let prefix: u8 = prefix.parse().map_err(|_| bad())?;
    if prefix > MAX_PREFIX_BITS {
        return Err(bad());
    }
    Ok(ClientBlock {
        first_address: first,
        prefix_bits: prefix,
        region_index: region,
    })
}

fn services(raw: &RawFleet, faults: &mut Vec<ValidationError>) -> Vec<Service> {
    unique("services", raw.services.iter().map(|s| &s.name), faults);
    let targets = raw.services.iter().flat_map(|s| &s.targets);
    unique(
        "services.targets.name",
        targets.clone().map(|t| &t.name),
        faults,
    );
    unique(
        "services.targets.address",
        targets.map(|t| &t.address),
        faults,
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
            operations: operations(service, i, faults),
            targets: targets_of(service, i, &zones, faults),
        });
    }
    out
}

fn operations(service: &RawService, i: usize, faults: &mut Vec<ValidationError>) -> Vec<Operation> {
    let mut out = Vec::new();
    if service.operations.is_empty() {
        let key = format!("services[{i}].operations");
        faults.push(ValidationError::new(
            key,
            "must name at least one operation",
        ));
    }
    for (j, op) in service.operations.iter().enumerate() {
        let key = format!("services[{i}].operations[{j}]");
        if op.timeout_ms == 0 {
            faults.push(ValidationError::new(
                format!("{key}.timeout_ms"),
                "must be above 0",
            ));
        }
        if !op.path.starts_with('/') {
            faults.push(ValidationError::new(
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

fn targets_of(
    service: &RawService,
    i: usize,
    zones: &BTreeSet<&str>,
    faults: &mut Vec<ValidationError>,
) -> Vec<Target> {
    let mut out = Vec::new();
    for (j, target) in service.targets.iter().enumerate() {
        let key = format!("services[{i}].targets[{j}]");
        positive(&format!("{key}.slots"), target.slots, faults);
        exists(
            &format!("{key}.zone"),
            "availability zone",
            &target.zone,
            zones,
            faults,
        );
        if target.connections < target.slots {
            let reason = format!("must be at least the {} slots", target.slots);
            faults.push(ValidationError::new(format!("{key}.connections"), reason));
        }
        match check_target(target) {
            Ok(checked) => out.push(checked),
            Err(reason) => faults.push(ValidationError::new(format!("{key}.address"), reason)),
        }
    }
    out
}

fn check_target(target: &RawTarget) -> Result<Target, String> {
    let address: SocketAddr = target
        .address
        .parse()
        .map_err(|_| format!("{:?} is not IP:PORT", target.address))?;
    Ok(Target {
        name: target.name.clone(),
        zone: target.zone.clone(),
        address,
        slots: target.slots,
        max_connections: target.connections,
    })
}

fn presets(raw: &RawFleet, faults: &mut Vec<ValidationError>) -> Vec<Preset> {
    unique("presets", raw.presets.iter().map(|p| &p.name), faults);
    let mut out = Vec::new();
    for (i, preset) in raw.presets.iter().enumerate() {
        out.push(Preset {
            name: preset.name.clone(),
            shares: shares(raw, preset, i, faults),
        });
    }
    out
}

fn shares(
    raw: &RawFleet,
    preset: &RawPreset,
    i: usize,
    faults: &mut Vec<ValidationError>,
) -> BTreeMap<String, Share> {
    let services: BTreeSet<&str> = raw.services.iter().map(|s| s.name.as_str()).collect();
    let mut out = BTreeMap::new();
    for (j, share) in preset.shares.iter().enumerate() {
        let key = format!("presets[{i}].shares[{j}]");
        exists(
            &format!("{key}.service"),
            "service",
            &share.service,
            &services,
            faults,
        );
        check_share_sites(raw, share, &key, faults);
        let checked = Share {
            expected_requests_per_s: share.expected_requests_per_s,
            site_weights: share.sites.clone(),
            shift_caps_requests_per_s: share.shift_caps_requests_per_s.clone(),
        };
        if out.insert(share.service.clone(), checked).is_some() {
            faults.push(ValidationError::new(
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
    faults: &mut Vec<ValidationError>,
) {
    let sites: BTreeSet<&str> = raw.sites.iter().map(|s| s.name.as_str()).collect();
    for site in share.sites.keys() {
        exists(&format!("{key}.sites"), "site", site, &sites, faults);
    }
    for site in share.shift_caps_requests_per_s.keys() {
        let key = format!("{key}.shift_caps_requests_per_s");
        exists(&key, "site", site, &sites, faults);
    }
    if share.sites.values().all(|weight| *weight == 0) {
        faults.push(ValidationError::new(
            format!("{key}.sites"),
            "at least one weight must be above 0",
        ));
    }
}

fn unique<'a>(
    key: &str,
    names: impl Iterator<Item = &'a String>,
    faults: &mut Vec<ValidationError>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            faults.push(ValidationError::new(
                key,
                format!("{name:?} is listed twice"),
            ));
        }
    }
}

fn exists(
    key: &str,
    kind: &str,
    name: &str,
    known: &BTreeSet<&str>,
    faults: &mut Vec<ValidationError>,
) {
    if !known.contains(name) {
        faults.push(ValidationError::new(
            key,
            format!("{kind} {name:?} does not exist"),
        ));
    }
}

fn positive(key: &str, value: u32, faults: &mut Vec<ValidationError>) {
    if value == 0 {
        faults.push(ValidationError::new(key, "must be above 0"));
    }
}
