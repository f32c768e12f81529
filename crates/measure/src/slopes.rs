//! Slopes of state, messages and processor time, for `docs/CAPACITY.md`.

use {
    crate::fleet,
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
    steer::{Candidate, Quarantine, RegionTable, SiteSelector},
    wire::{Document, Gossip, Kind, Mark, Poison, Pool},
};

const SEED: u64 = 1;
const LOOKUPS: u32 = 1_000_000;
const ROUNDS: u32 = 200;
const PREFIX_BITS: u8 = 24;
/// Time after a start until its news have gone round, and more for each VM.
const SETTLE: Duration = Duration::from_secs(5);
const SETTLE_EACH: Duration = Duration::from_millis(800);
const TICKS_PER_S: f64 = 100.0;

/// One measured point of a slope.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What was measured.
    pub what: &'static str,
    /// Size at which it was measured.
    pub size: usize,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

fn point(what: &'static str, size: usize, value: f64, unit: &'static str) -> Slope {
    Slope {
        what,
        size,
        value,
        unit,
    }
}

/// All points that need no process.
#[must_use]
pub fn slopes() -> Vec<Slope> {
    let mut out = Vec::new();
    for size in [10_000, 100_000, 310_000] {
        out.extend(atlas(size));
    }
    for sites in [3, 40, 160] {
        out.push(decision(sites));
    }
    for size in [18, 160, 480] {
        out.push(owners(size, 12));
        out.push(owners(size, 520));
    }
    for size in [12, 130, 520] {
        out.extend(view(size));
    }
    for size in [0, 10, 100] {
        out.push(document(size));
    }
    for size in [1, 8, 24] {
        out.push(gossip(size));
    }
    for size in [100, 1_000, 10_000] {
        out.push(quarantine(size));
    }
    out
}

fn per(start: Instant, rounds: u32) -> f64 {
    start.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn atlas(size: usize) -> Vec<Slope> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut blocks = Vec::with_capacity(size);
    for index in 0..size {
        let first = u32::try_from(index).unwrap_or(0) * (u32::MAX / 310_000);
        let first = Ipv4Addr::from(first & (u32::MAX << (32 - PREFIX_BITS)));
        blocks.push(ClientBlock {
            first_address: first,
            prefix_bits: PREFIX_BITS,
            region_index: index % 160,
        });
    }
    let start = Instant::now();
    let atlas = RegionTable::from_blocks(&blocks);
    let built = start.elapsed().as_secs_f64() * 1e3;
    let addresses: Vec<Ipv4Addr> = (0..4096)
        .map(|_| Ipv4Addr::from(random.random::<u32>()))
        .collect();
    let start = Instant::now();
    for index in 0..LOOKUPS as usize {
        black_box(atlas.find_region(addresses[index % addresses.len()]));
    }
    vec![
        point("client blocks: build", size, built, "ms"),
        point("client blocks: bytes", size, atlas.size_bytes() as f64, "B"),
        point("client blocks: one search", size, per(start, LOOKUPS), "ns"),
    ]
}

/// Client to site at 310,000 blocks, by sites: what a look-up decides in memory.
fn decision(sites: usize) -> Slope {
    let blocks: Vec<ClientBlock> = (0..310_000_u32)
        .map(|index| ClientBlock {
            first_address: Ipv4Addr::from(index << (32 - PREFIX_BITS)),
            prefix_bits: PREFIX_BITS,
            region_index: index as usize % sites,
        })
        .collect();
    let atlas = RegionTable::from_blocks(&blocks);
    let candidate = |index: usize| Candidate {
        site: format!("site-{index}"),
        weight: Some(1),
        round_trip_ms: u32::try_from(index % 40).unwrap_or(0),
        wait_ms: 0,
        usable: true,
    };
    let candidates: Vec<Candidate> = (0..sites).map(candidate).collect();
    let choices: Vec<SiteSelector> = (0..sites)
        .map(|_| SiteSelector::from_candidates(&candidates))
        .collect();
    let mut random = StdRng::seed_from_u64(SEED);
    let addresses: Vec<Ipv4Addr> = (0..4096)
        .map(|_| Ipv4Addr::from(random.random_range(0..310_000_u32) << (32 - PREFIX_BITS)))
        .collect();
    let start = Instant::now();
    for index in 0..LOOKUPS {
        let address = addresses[index as usize % addresses.len()];
        let region = atlas.find_region(address).unwrap_or(0);
        black_box(choices[region].pick(f64::from(index % 100) / 100.0));
    }
    point(
        "look-up decision, 310,000 blocks, by sites",
        sites,
        per(start, LOOKUPS),
        "ns",
    )
}

fn member(index: usize) -> Member {
    Member {
        name: format!("cebu-a-vm{index}"),
        zone: "cebu-a".to_owned(),
        peer: format!("10.9.{}.{}:8101", index / 250, index % 250),
        caller: format!("10.9.{}.{}:8100", index / 250, index % 250),
        boot_ms: 1_796_000_000_000,
        beat: 1,
        status: Status::Alive,
        control: 9,
    }
}

fn owners(pools: usize, members: usize) -> Slope {
    let members: Vec<Member> = (0..members).map(member).collect();
    let serving: Vec<&Member> = members.iter().collect();
    let names: Vec<String> = (0..pools)
        .map(|index| format!("service-{}@site-{}", index % 3, index / 3))
        .collect();
    let start = Instant::now();
    for _ in 0..ROUNDS / 10 {
        for name in &names {
            let members = serving.iter().map(|member| (*member, 0));
            black_box(member::select_owner(name, members));
        }
    }
    let what = if members.len() > 100 {
        "owners of pools, 520 members"
    } else {
        "owners of pools, 12 members"
    };
    point(what, pools, per(start, ROUNDS / 10) / 1e3, "µs")
}

fn view(size: usize) -> Vec<Slope> {
    let members: Vec<Member> = (1..size).map(member).collect();
    let now = Duration::from_secs(1);
    let mut view = View::new(member(0), Timeouts::default());
    view.merge(&members, now);
    let news: Vec<Member> = members.iter().take(24).cloned().collect();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        view.merge(black_box(&news), now);
        view.tick(now);
        black_box(view.take_updates(24));
    }
    let bytes = wire::encode(&members).map_or(0, |bytes| bytes.len());
    vec![
        point(
            "members: one exchange and tick",
            size,
            per(start, ROUNDS) / 1e3,
            "µs",
        ),
        point("members: full list on the wire", size, bytes as f64, "B"),
    ]
}

fn document(marks: usize) -> Slope {
    let mark = |index: usize| Mark {
        kind: Kind::Target,
        name: format!("racegate-cebu-a-{index}"),
    };
    let document = Document {
        version: 980,
        preset: "maintenance".to_owned(),
        marks: (0..marks).map(mark).collect(),
        ops: (0..64).map(|index| format!("m:{index:032x}")).collect(),
    };
    let bytes = wire::encode(&document).map_or(0, |bytes| bytes.len());
    point("control document by marks", marks, bytes as f64, "B")
}

fn gossip(news: usize) -> Slope {
    let pool = |index: usize| Pool {
        service: "racegate".to_owned(),
        site: format!("site-{index}"),
        owner: format!("cebu-a-vm{index}"),
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
        from: member(0),
        members: (0..news).map(member).collect(),
        pools: (0..news).map(pool).collect(),
        poisons: (0..news.min(2)).map(poison).collect(),
    };
    let bytes = wire::encode(&gossip).map_or(0, |bytes| bytes.len());
    point(
        "gossip message by news of each kind",
        news,
        bytes as f64,
        "B",
    )
}

fn quarantine(size: usize) -> Slope {
    let mut quarantine = Quarantine::default();
    let now = Duration::from_secs(1);
    for index in 0..size {
        quarantine.merge(&format!("{index:032x}"), 1, Duration::from_mins(1), now);
    }
    let start = Instant::now();
    for index in 0..LOOKUPS / 10 {
        black_box(quarantine.blocked_for(&format!("{index:032x}"), now));
    }
    point("quarantine: one look", size, per(start, LOOKUPS / 10), "ns")
}

/// Points of so many real VMs at rest: processor time, memory and control traffic of each.
///
/// # Errors
/// When the rig cannot be started.
pub async fn resting(vms: u8, window: Duration) -> Result<Vec<Slope>, RigError> {
    let options = Options {
        vm_count: vms,
        use_fault_proxy: true,
        log_level: "warn".to_owned(),
        ..Options::default()
    };
    let rig = Rig::start(options).await?;
    actix_rt::time::sleep(SETTLE + SETTLE_EACH * u32::from(vms)).await;
    let ids: Vec<u32> = rig.vm_processes.iter().map(rig::Process::id).collect();
    let (cpu, bytes) = (cpu_s(&ids), rig.fetch_proxied_bytes().await?);
    let before = rig.fetch_platform_stats().await?;
    actix_rt::time::sleep(window).await;
    let seconds = window.as_secs_f64() * f64::from(vms);
    let used = (cpu_s(&ids) - cpu) / seconds * 100.0;
    let sent = (rig.fetch_proxied_bytes().await? - bytes) as f64 / seconds;
    let after = rig.fetch_platform_stats().await?;
    let size = usize::from(vms);
    Ok(vec![
        point("VM at rest: processor", size, used, "% of a core"),
        point("VM at rest: memory", size, rss_mb(&ids), "MB"),
        point(
            "VM at rest: control traffic, both ways",
            size,
            sent / 1e3,
            "KB/s",
        ),
        point(
            "all VMs at rest: reads of the platform",
            size,
            (after.reads - before.reads) as f64 / window.as_secs_f64(),
            "/s",
        ),
        point(
            "all VMs at rest: writes to the platform",
            size,
            (after.writes - before.writes) as f64 / window.as_secs_f64(),
            "/s",
        ),
    ])
}

/// Points of real VMs at rest with settings of so many sites and client blocks.
///
/// # Errors
/// When the rig cannot be started.
pub async fn resting_at(
    sites: usize,
    blocks: usize,
    window: Duration,
) -> Result<Vec<Slope>, RigError> {
    let rig = Rig::start(Options {
        vm_count: 3,
        log_level: "warn".to_owned(),
        fleet_yaml: Some(fleet(sites, blocks)),
        ..Options::default()
    })
    .await?;
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    let ids: Vec<u32> = rig.vm_processes.iter().map(rig::Process::id).collect();
    let before = cpu_s(&ids);
    actix_rt::time::sleep(window).await;
    let seconds = window.as_secs_f64() * ids.len() as f64;
    let used = (cpu_s(&ids) - before) / seconds * 100.0;
    let pools = 3 * sites;
    let (cpu, memory) = if blocks > 1 {
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
    let size = if blocks > 1 { blocks } else { pools };
    Ok(vec![
        point(cpu, size, used, "% of a core"),
        point(memory, size, rss_mb(&ids), "MB"),
    ])
}

/// Processor time of one look-up over HTTP on one VM.
///
/// # Errors
/// When the rig cannot be started.
pub async fn lookups(rates: &[u32]) -> Result<Vec<Slope>, RigError> {
    let rig = Rig::start(Options {
        log_level: "warn".to_owned(),
        ..Options::default()
    })
    .await?;
    let ids = [rig.vm_processes[0].id()];
    let url = format!("{}/v1/lookup?service=bibdesk", rig.vm_specs[0].caller_url());
    let mut out = Vec::new();
    for rate in rates {
        let client = awc::Client::default();
        let start = Instant::now();
        let before = cpu_s(&ids);
        let mut done = 0_u32;
        while start.elapsed() < Duration::from_secs(5) {
            let calls = (0..*rate / 50).map(|_| async { client.get(&url).send().await.is_ok() });
            let answers = futures_util::future::join_all(calls).await;
            done += u32::try_from(answers.into_iter().filter(|ok| *ok).count()).unwrap_or(0);
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let micros = (cpu_s(&ids) - before) * 1e6 / f64::from(done.max(1));
        let per_s = (f64::from(done) / start.elapsed().as_secs_f64()) as usize;
        out.push(point(
            "one look-up over HTTP: processor, by look-ups/s",
            per_s,
            micros,
            "µs",
        ));
    }
    Ok(out)
}

/// Processor time that the processes have used.
fn cpu_s(ids: &[u32]) -> f64 {
    let ticks = |id: &u32| -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let rest = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: f64 = fields.get(11)?.parse().ok()?;
        let system: f64 = fields.get(12)?.parse().ok()?;
        Some(user + system)
    };
    ids.iter().filter_map(ticks).sum::<f64>() / TICKS_PER_S
}

/// Mean resident memory of the processes.
fn rss_mb(ids: &[u32]) -> f64 {
    let rss = |id: &u32| -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    ids.iter().filter_map(rss).sum::<f64>() / 1e3 / ids.len() as f64
}
