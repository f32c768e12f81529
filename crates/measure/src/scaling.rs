//! Measures how processor time, memory and message sizes scale, for `docs/CAPACITY.md`.

use {
    crate::build_fleet_yaml,
    member::{Member, Status, Timeouts, View},
    rand::{Rng, SeedableRng, rngs::StdRng},
    rig::{Options, Rig, RigError},
    settings::ClientBlock,
    std::{
        fs,
        hint::black_box,
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    steer::{Quarantine, RegionTable, SiteCandidate, SiteSelector},
    wire::{Document, Gossip, Kind, Mark, Poison, Pool, Revision},
};

const SEED: u64 = 1;
/// Repetitions of cheap operations.
const LOOKUP_COUNT: u32 = 1_000_000;
/// Repetitions of expensive operations.
const ROUND_COUNT: u32 = 200;
const PREFIX_BITS: u8 = 24;
/// Time after the start until gossip has converged, plus `SETTLE_TIME_PER_VM` for each VM.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const SETTLE_TIME_PER_VM: Duration = Duration::from_millis(800);
/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// A cost measured at one size.
#[derive(Debug, Clone)]
pub struct ScalingPoint {
    /// Measured operation or state.
    pub name: &'static str,
    /// Number of elements at which it was measured.
    pub size: usize,
    /// Measured cost, in `unit`.
    pub value: f64,
    /// Unit of `value`.
    pub unit: &'static str,
}

fn point(name: &'static str, size: usize, value: f64, unit: &'static str) -> ScalingPoint {
    ScalingPoint {
        name,
        size,
        value,
        unit,
    }
}

/// Measures everything that can run in this process, without VM processes.
#[must_use]
pub fn measure_in_process() -> Vec<ScalingPoint> {
    let mut points = Vec::new();
    for size in [10_000, 100_000, 310_000] {
        points.extend(measure_region_table(size));
    }
    for sites in [3, 40, 160] {
        points.push(measure_lookup_decision(sites));
    }
    for size in [18, 160, 480] {
        points.push(measure_owner_selection(size, 12));
        points.push(measure_owner_selection(size, 520));
    }
    for size in [12, 130, 520] {
        points.extend(measure_membership(size));
    }
    for size in [0, 10, 100] {
        points.push(measure_control_document(size));
    }
    for size in [1, 8, 24] {
        points.push(measure_gossip_message(size));
    }
    for size in [100, 1_000, 10_000] {
        points.push(measure_quarantine(size));
    }
    points
}

/// Returns the mean time of a round in nanoseconds.
fn ns_per_round(start: Instant, rounds: u32) -> f64 {
    start.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn measure_region_table(block_count: usize) -> Vec<ScalingPoint> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut blocks = Vec::with_capacity(block_count);
    for index in 0..block_count {
        let first = u32::try_from(index).unwrap_or(0) * (u32::MAX / 310_000);
        let first = Ipv4Addr::from(first & (u32::MAX << (32 - PREFIX_BITS)));
        blocks.push(ClientBlock {
            first_address: first,
            prefix_bits: PREFIX_BITS,
            region_index: index % 160,
        });
    }
    let start = Instant::now();
    let region_table = RegionTable::from_blocks(&blocks);
    let build_ms = start.elapsed().as_secs_f64() * 1e3;
    let addresses: Vec<Ipv4Addr> = (0..4096)
        .map(|_| Ipv4Addr::from(rng.random::<u32>()))
        .collect();
    let start = Instant::now();
    for index in 0..LOOKUP_COUNT as usize {
        black_box(region_table.find_region(addresses[index % addresses.len()]));
    }
    vec![
        point("client blocks: build", block_count, build_ms, "ms"),
        point(
            "client blocks: bytes",
            block_count,
            region_table.size_bytes() as f64,
            "B",
        ),
        point(
            "client blocks: one search",
            block_count,
            ns_per_round(start, LOOKUP_COUNT),
            "ns",
        ),
    ]
}

/// Measures how long a lookup takes to find the region of a client among 310,000 blocks and to
/// choose a site.
fn measure_lookup_decision(site_count: usize) -> ScalingPoint {
    let blocks: Vec<ClientBlock> = (0..310_000_u32)
        .map(|index| ClientBlock {
            first_address: Ipv4Addr::from(index << (32 - PREFIX_BITS)),
            prefix_bits: PREFIX_BITS,
            region_index: index as usize % site_count,
        })
        .collect();
    let region_table = RegionTable::from_blocks(&blocks);
    let candidate = |index: usize| SiteCandidate {
        site: format!("site-{index}"),
        weight: Some(1),
        round_trip_ms: u32::try_from(index % 40).unwrap_or(0),
        wait_ms: 0,
        is_usable: true,
    };
    let candidates: Vec<SiteCandidate> = (0..site_count).map(candidate).collect();
    let selectors: Vec<SiteSelector> = (0..site_count)
        .map(|_| SiteSelector::from_candidates(&candidates))
        .collect();
    let mut rng = StdRng::seed_from_u64(SEED);
    let addresses: Vec<Ipv4Addr> = (0..4096)
        .map(|_| Ipv4Addr::from(rng.random_range(0..310_000_u32) << (32 - PREFIX_BITS)))
        .collect();
    let start = Instant::now();
    for index in 0..LOOKUP_COUNT {
        let address = addresses[index as usize % addresses.len()];
        let region = region_table.find_region(address).unwrap_or(0);
        black_box(selectors[region].pick(f64::from(index % 100) / 100.0));
    }
    point(
        "look-up decision, 310,000 blocks, by sites",
        site_count,
        ns_per_round(start, LOOKUP_COUNT),
        "ns",
    )
}

fn build_member(index: usize) -> Member {
    Member {
        name: format!("cebu-a-vm{index}"),
        zone: "cebu-a".to_owned(),
        peer: format!("10.9.{}.{}:8101", index / 250, index % 250),
        caller: format!("10.9.{}.{}:8100", index / 250, index % 250),
        boot_ms: 1_796_000_000_000,
        beat: 1,
        status: Status::Alive,
        control: Revision::new(0, 9),
    }
}

fn measure_owner_selection(pool_count: usize, member_count: usize) -> ScalingPoint {
    let members: Vec<Member> = (0..member_count).map(build_member).collect();
    let serving: Vec<&Member> = members.iter().collect();
    let pool_names: Vec<String> = (0..pool_count)
        .map(|index| format!("service-{}@site-{}", index % 3, index / 3))
        .collect();
    let start = Instant::now();
    for _ in 0..ROUND_COUNT / 10 {
        for name in &pool_names {
            let members = serving.iter().map(|member| (*member, 0));
            black_box(member::select_owner(name, members));
        }
    }
    let name = if members.len() > 100 {
        "owners of pools, 520 members"
    } else {
        "owners of pools, 12 members"
    };
    point(
        name,
        pool_count,
        ns_per_round(start, ROUND_COUNT / 10) / 1e3,
        "µs",
    )
}

fn measure_membership(member_count: usize) -> Vec<ScalingPoint> {
    let members: Vec<Member> = (1..member_count).map(build_member).collect();
    let now = Duration::from_secs(1);
    let mut view = View::new(build_member(0), Timeouts::default());
    view.merge(&members, now);
    let changed: Vec<Member> = members.iter().take(24).cloned().collect();
    let start = Instant::now();
    for _ in 0..ROUND_COUNT {
        view.merge(black_box(&changed), now);
        view.expire_members(now);
        black_box(view.take_updates(24));
    }
    let bytes = wire::encode(&members).map_or(0, |bytes| bytes.len());
    vec![
        point(
            "members: one exchange and tick",
            member_count,
            ns_per_round(start, ROUND_COUNT) / 1e3,
            "µs",
        ),
        point(
            "members: full list on the wire",
            member_count,
            bytes as f64,
            "B",
        ),
    ]
}

fn measure_control_document(mark_count: usize) -> ScalingPoint {
    let mark = |index: usize| Mark {
        kind: Kind::Target,
        name: format!("racegate-cebu-a-{index}"),
    };
    let document = Document {
        version: 980,
        preset: "maintenance".to_owned(),
        marks: (0..mark_count).map(mark).collect(),
        ops: (0..64).map(|index| format!("m:{index:032x}")).collect(),
    };
    let bytes = wire::encode(&document).map_or(0, |bytes| bytes.len());
    point("control document by marks", mark_count, bytes as f64, "B")
}

fn measure_gossip_message(update_count: usize) -> ScalingPoint {
    let pool = |index: usize| Pool {
        service: "racegate".to_owned(),
        site: format!("site-{index}"),
        owner: format!("cebu-a-vm{index}"),
        boot_ms: 1,
        beat: 70_000,
        free: 7,
        queued: 3,
        wait_ms: 120,
    };
    let poison = |index: usize| Poison {
        fingerprint: format!("{index:032x}"),
        count: 1,
        expires_ms: 1_796_000_000_000,
    };
    let gossip = Gossip {
        from: build_member(0),
        members: (0..update_count).map(build_member).collect(),
        pools: (0..update_count).map(pool).collect(),
        poisons: (0..update_count.min(2)).map(poison).collect(),
    };
    let bytes = wire::encode(&gossip).map_or(0, |bytes| bytes.len());
    point(
        "gossip message by news of each kind",
        update_count,
        bytes as f64,
        "B",
    )
}

fn measure_quarantine(entry_count: usize) -> ScalingPoint {
    let mut quarantine = Quarantine::default();
    let now = Duration::from_secs(1);
    for index in 0..entry_count {
        quarantine.merge(&format!("{index:032x}"), 1, Duration::from_mins(1), now);
    }
    let start = Instant::now();
    for index in 0..LOOKUP_COUNT / 10 {
        black_box(quarantine.remaining_time(&format!("{index:032x}"), now));
    }
    point(
        "quarantine: one look",
        entry_count,
        ns_per_round(start, LOOKUP_COUNT / 10),
        "ns",
    )
}

/// Measures the processor time, memory and control traffic per VM without requests, and the
/// requests of all VMs to the platform.
///
/// # Errors
/// Fails if the VMs cannot be started or a stand-in does not respond.
pub async fn measure_idle_vms(
    vm_count: u8,
    measured_time: Duration,
) -> Result<Vec<ScalingPoint>, RigError> {
    let options = Options {
        vm_count,
        use_fault_proxy: true,
        log_level: "warn".to_owned(),
        ..Options::default()
    };
    let rig = Rig::start(options).await?;
    actix_rt::time::sleep(SETTLE_TIME + SETTLE_TIME_PER_VM * u32::from(vm_count)).await;
    let process_ids: Vec<u32> = rig.vm_processes.iter().map(rig::Process::id).collect();
    let (cpu_before, bytes_before) = (cpu_seconds(&process_ids), rig.fetch_proxied_bytes().await?);
    let before = rig.fetch_platform_stats().await?;
    actix_rt::time::sleep(measured_time).await;
    let vm_seconds = measured_time.as_secs_f64() * f64::from(vm_count);
    let cpu_percent = (cpu_seconds(&process_ids) - cpu_before) / vm_seconds * 100.0;
    let bytes_per_s = (rig.fetch_proxied_bytes().await? - bytes_before) as f64 / vm_seconds;
    let after = rig.fetch_platform_stats().await?;
    let size = usize::from(vm_count);
    Ok(vec![
        point("VM at rest: processor", size, cpu_percent, "% of a core"),
        point("VM at rest: memory", size, mean_rss_mb(&process_ids), "MB"),
        point(
            "VM at rest: control traffic, both ways",
            size,
            bytes_per_s / 1e3,
            "KB/s",
        ),
        point(
            "all VMs at rest: reads of the platform",
            size,
            (after.reads - before.reads) as f64 / measured_time.as_secs_f64(),
            "/s",
        ),
        point(
            "all VMs at rest: writes to the platform",
            size,
            (after.writes - before.writes) as f64 / measured_time.as_secs_f64(),
            "/s",
        ),
    ])
}

/// Measures the processor time and memory per VM without requests, for fleet settings with the
/// given numbers of sites and client blocks.
///
/// # Errors
/// Fails if the VMs cannot be started.
pub async fn measure_idle_vms_with_fleet(
    site_count: usize,
    client_block_count: usize,
    measured_time: Duration,
) -> Result<Vec<ScalingPoint>, RigError> {
    let rig = Rig::start(Options {
        vm_count: 3,
        log_level: "warn".to_owned(),
        fleet_yaml: Some(build_fleet_yaml(site_count, client_block_count)),
        ..Options::default()
    })
    .await?;
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    let process_ids: Vec<u32> = rig.vm_processes.iter().map(rig::Process::id).collect();
    let cpu_before = cpu_seconds(&process_ids);
    actix_rt::time::sleep(measured_time).await;
    let vm_seconds = measured_time.as_secs_f64() * process_ids.len() as f64;
    let cpu_percent = (cpu_seconds(&process_ids) - cpu_before) / vm_seconds * 100.0;
    let pool_count = 3 * site_count;
    let (cpu_name, memory_name) = if client_block_count > 1 {
        (
            "VM at rest, 480 pools, by client blocks: processor",
            "VM at rest, 480 pools, by client blocks: memory",
        )
    } else {
        (
            "VM at rest, by pools: processor",
            "VM at rest, by pools: memory",
        )
    };
    let size = if client_block_count > 1 {
        client_block_count
    } else {
        pool_count
    };
    Ok(vec![
        point(cpu_name, size, cpu_percent, "% of a core"),
        point(memory_name, size, mean_rss_mb(&process_ids), "MB"),
    ])
}

/// Measures the processor time that a VM takes for a lookup over HTTP, at each of the rates.
///
/// # Errors
/// Fails if the VMs cannot be started.
pub async fn measure_lookups(rates_per_s: &[u32]) -> Result<Vec<ScalingPoint>, RigError> {
    let rig = Rig::start(Options {
        log_level: "warn".to_owned(),
        ..Options::default()
    })
    .await?;
    let process_ids = [rig.vm_processes[0].id()];
    let url = format!("{}/v1/lookup?service=bibdesk", rig.vm_specs[0].caller_url());
    let mut points = Vec::new();
    for rate in rates_per_s {
        let client = awc::Client::default();
        let start = Instant::now();
        let cpu_before = cpu_seconds(&process_ids);
        let mut completed = 0_u32;
        while start.elapsed() < Duration::from_secs(5) {
            let requests = (0..*rate / 50).map(|_| async { client.get(&url).send().await.is_ok() });
            let responses = futures_util::future::join_all(requests).await;
            completed += u32::try_from(responses.into_iter().filter(|ok| *ok).count()).unwrap_or(0);
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let cpu_us = (cpu_seconds(&process_ids) - cpu_before) * 1e6 / f64::from(completed.max(1));
        let per_s = (f64::from(completed) / start.elapsed().as_secs_f64()) as usize;
        points.push(point(
            "one look-up over HTTP: processor, by look-ups/s",
            per_s,
            cpu_us,
            "µs",
        ));
    }
    Ok(points)
}

/// Returns the processor time that the processes have used in total, in seconds.
fn cpu_seconds(process_ids: &[u32]) -> f64 {
    let ticks = |id: &u32| -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let rest = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: f64 = fields.get(11)?.parse().ok()?;
        let system: f64 = fields.get(12)?.parse().ok()?;
        Some(user + system)
    };
    process_ids.iter().filter_map(ticks).sum::<f64>() / TICKS_PER_S
}

/// Returns the mean resident memory of the processes, in megabytes.
fn mean_rss_mb(process_ids: &[u32]) -> f64 {
    let rss = |id: &u32| -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    process_ids.iter().filter_map(rss).sum::<f64>() / 1e3 / process_ids.len() as f64
}
