//! Measures policies by scene, and slopes.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures are shown with few digits"
)]

use {
    clap::{Parser, Subcommand},
    eyre::{Result, eyre},
    measure::{
        Baseline, Cell, Day, Earned, Fault, Knowledge, Open, Policy, Scene, Slope, Target, play,
    },
    rig::{Options, Rig},
    stand::upstream,
    std::{
        cell::RefCell,
        fs,
        path::{Path, PathBuf},
        rc::Rc,
        time::Duration,
    },
    wire::{Change, Kind, Mark},
};

/// Measures decisions on real processes with the stand-ins.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compare policies in scenes of load and faults.
    Scenes(Scenes),
    /// Work out what a day could earn, by what VMs know of each other's requests.
    Bound {
        /// Descriptions of days.
        days: Vec<PathBuf>,
        /// Seeds of arrivals and running times.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Measure the slopes of the page on capacity.
    Slopes {
        /// Numbers of real VMs to start.
        #[arg(long, value_delimiter = ',', default_value = "6,12,24,48")]
        vms: Vec<u8>,
        /// Only those real VMs at rest.
        #[arg(long)]
        resting: bool,
        /// Seconds to watch each.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
}

#[derive(Debug, Parser)]
struct Scenes {
    /// Scenes whose names contain this text; all without it.
    #[arg(long, default_value = "")]
    scene: String,
    /// Policies to compare.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "random,least-reported,two-choices,ideal,system"
    )]
    policies: Vec<String>,
    /// Shipped settings.
    #[arg(long, default_value = "takbo")]
    firm: String,
    /// Entry VMs.
    #[arg(long, default_value_t = 12)]
    vms: u8,
    /// Mean service time in milliseconds.
    #[arg(long, default_value_t = 100.0)]
    service_ms: f64,
    /// Lag of reported load in milliseconds.
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
    /// Counted seconds of each cell, after 2 s that are not counted.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Seed of arrivals and service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for the table and the plot.
    #[arg(long, default_value = "results")]
    results: PathBuf,
}

/// Sends of a caller that goes down the list of its look-up when a VM fails.
const SENDS: u32 = 3;
const WARM_UP: Duration = Duration::from_secs(2);
const CALLERS: usize = 60;
const FREEZE: Duration = Duration::from_secs(5);

#[actix_rt::main]
async fn main() -> Result<()> {
    match Args::parse().command {
        Command::Scenes(args) => compare(&args).await,
        Command::Bound { days, seeds } => days.iter().try_for_each(|day| bound(day, seeds)),
        Command::Slopes {
            vms,
            resting,
            seconds,
        } => slopes(&vms, resting, Duration::from_secs(seconds)).await,
    }
}

/// Prints the mean over the seeds for each kind.
fn bound(path: &Path, seeds: u64) -> Result<()> {
    let day = Day::read(path)?;
    println!("{}", path.display());
    for (name, knowledge) in [("all", Knowledge::All), ("own", Knowledge::Own)] {
        let runs: Vec<_> = (1..=seeds)
            .map(|seed| play(&day, knowledge, seed))
            .collect();
        for (index, kind) in day.kinds.iter().enumerate() {
            let mean = |of: fn(&Earned) -> f64| {
                let sum: f64 = runs.iter().map(|run| of(&run[index].1)).sum();
                sum / seeds.max(1) as f64
            };
            println!(
                "  knows {name:<4} {:<16} earned {:.3}  in time {:.3}  late {:.3}",
                kind.name,
                mean(|earned| earned.part),
                mean(|earned| f64::from(earned.in_time) / f64::from(earned.sent.max(1))),
                mean(|earned| f64::from(earned.late) / f64::from(earned.sent.max(1))),
            );
        }
    }
    Ok(())
}

async fn slopes(vms: &[u8], only_resting: bool, window: Duration) -> Result<()> {
    let show = |slopes: &[Slope]| {
        for slope in slopes {
            println!(
                "{:<52} {:>8} {:>14.3} {}",
                slope.what, slope.size, slope.value, slope.unit
            );
        }
    };
    println!("{:<52} {:>8} {:>14} unit", "what", "size", "value");
    if !only_resting {
        show(&measure::slopes());
        show(&measure::lookups(&[1000, 2000, 4000]).await?);
        for sites in [6, 40, 160] {
            show(&measure::resting_at(sites, 1, window).await?);
        }
        for blocks in [1_000, 10_000, 31_000] {
            show(&measure::resting_at(160, blocks, window).await?);
        }
    }
    for count in vms {
        show(&measure::resting(*count, window).await?);
    }
    Ok(())
}

async fn compare(args: &Scenes) -> Result<()> {
    fs::create_dir_all(&args.results)?;
    println!("{args:?}");
    println!("{HEAD}");
    let scenes: Vec<Scene> = measure::scenes()
        .into_iter()
        .filter(|scene| scene.name.contains(&args.scene))
        .collect();
    let mut lines: Vec<(String, Vec<f64>)> = Vec::new();
    let mut table = String::new();
    for policy in &args.policies {
        let mut line = Vec::new();
        for scene in &scenes {
            let cell = measure_cell(args, policy, scene).await?;
            let row = row(policy, scene, &cell);
            println!("{row}");
            table.push_str(&row);
            table.push('\n');
            line.push(cell.answer(0.99).as_secs_f64() * 1e3);
        }
        lines.push((policy.clone(), line));
    }
    fs::write(
        args.results.join("scenes.txt"),
        format!("{args:?}\n{HEAD}\n{table}"),
    )?;
    let names: Vec<&str> = scenes.iter().map(|scene| scene.name).collect();
    draw(&args.results, &names, &lines)
}

fn draw(folder: &Path, names: &[&str], lines: &[(String, Vec<f64>)]) -> Result<()> {
    let path = folder.join("p99.svg");
    measure::plot(&path, names, lines).map_err(|error| eyre!("{}: {error}", path.display()))
}

const HEAD: &str = "policy         scene            sent  answered  refused  other  goodput  p50 ms  p99 ms  refusal p50 ms  beyond slots";

fn row(policy: &str, scene: &Scene, cell: &Cell) -> String {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    format!(
        "{policy:<14} {:<14} {:>6} {:>9} {:>8} {:>6} {:>8.3} {:>7.1} {:>7.1} {:>15.2} {:>13}",
        scene.name,
        cell.sent,
        cell.answered,
        cell.refused,
        cell.other,
        cell.goodput,
        ms(cell.answer(0.5)),
        ms(cell.answer(0.99)),
        ms(cell.refusal(0.5)),
        cell.beyond_slots,
    )
}

async fn measure_cell(args: &Scenes, policy: &str, scene: &Scene) -> Result<Cell> {
    let mut rig = Rig::start(Options {
        settings_name: args.firm.clone(),
        vm_count: args.vms,
        mean_service_ms: args.service_ms,
        log_level: "warn".to_owned(),
        seed: args.seed,
        ..Options::default()
    })
    .await?;
    let service = rig.fleet.services[0].clone();
    let slots: u32 = service.targets.iter().map(|target| target.slots).sum();
    let capacity = f64::from(slots) * 1000.0 / args.service_ms;
    let mut plan = rig.build_requests(1).swap_remove(0);
    plan.timeout = Duration::from_secs(2);
    if matches!(scene.fault, Fault::KillVm | Fault::FreezeVm) {
        plan.max_sends = SENDS;
    }
    let target = target(args, policy, &rig)?;
    let open = Open {
        rate: capacity * scene.load,
        warm_up: WARM_UP,
        counted: Duration::from_secs(args.seconds),
        seed: args.seed,
    };
    let (load, fault_target) = (target.clone(), service.targets[0].name.clone());
    let load = actix_rt::spawn(async move { open.run(&load, &plan).await });
    actix_rt::time::sleep(WARM_UP).await;
    inject(&mut rig, scene.fault, &fault_target, args.service_ms).await?;
    let mut cell = load.await?;
    cell.goodput = cell.answered as f64 / args.seconds as f64 / capacity;
    cell.beyond_slots = match &target {
        Target::Baseline(baseline) => baseline.sheds(),
        Target::System(_) => rig.fetch_shed_count().await?,
    };
    Ok(cell)
}

fn target(args: &Scenes, policy: &str, rig: &Rig) -> Result<Target> {
    let lag = Duration::from_millis(args.lag_ms);
    let vms = usize::from(args.vms);
    let baseline = |policy| {
        let service = &rig.fleet.services[0];
        Target::Baseline(Rc::new(Baseline::of(policy, service, vms, lag, args.seed)))
    };
    match policy {
        "system" => Ok(Target::System(Rc::new(RefCell::new(
            rig.create_callers(CALLERS),
        )))),
        "random" => Ok(baseline(Policy::Random)),
        "least-reported" => Ok(baseline(Policy::LeastReported)),
        "two-choices" => Ok(baseline(Policy::TwoChoices)),
        "ideal" => Ok(baseline(Policy::Ideal)),
        _ => Err(eyre!("policy {policy:?} does not exist")),
    }
}

/// The VM that owns the first pool of the measured service.
async fn owner(rig: &Rig) -> usize {
    let (service, site) = (&rig.fleet.services[0].name, &rig.fleet.sites[0].name);
    rig.find_owner(service, site).await.unwrap_or(0)
}

async fn inject(rig: &mut Rig, fault: Fault, target: &str, service_ms: f64) -> Result<()> {
    let behaviour = |service_ms, fault| upstream::Behaviour {
        service_ms,
        fault,
        restart_ms: 1000,
    };
    match fault {
        Fault::Nothing => {}
        Fault::SlowTarget => {
            let slow = behaviour(service_ms * 10.0, upstream::Fault::None);
            rig.set_target_behaviour(target, slow).await?;
        }
        Fault::SilentTarget => {
            let silent = behaviour(service_ms, upstream::Fault::Silent);
            rig.set_target_behaviour(target, silent).await?;
        }
        Fault::DownTarget => {
            let down = behaviour(service_ms, upstream::Fault::Down);
            rig.set_target_behaviour(target, down).await?;
        }
        Fault::KillVm => {
            let owner = owner(rig).await;
            rig.vm_processes[owner].kill();
        }
        Fault::FreezeVm => {
            let owner = owner(rig).await;
            rig.vm_processes[owner].freeze();
            actix_rt::time::sleep(FREEZE).await;
            rig.vm_processes[owner].resume();
        }
        Fault::PlatformDown => {
            let down = stand::platform::Fault {
                mode: stand::platform::Mode::Down,
                ..stand::platform::Fault::default()
            };
            rig.set_platform_fault(&down).await?;
        }
        Fault::DrainZone => {
            let mark = Mark {
                kind: Kind::Zone,
                name: rig.vm_specs[0].zone.clone(),
            };
            rig.admin
                .propose_change(&rig.vm_specs[0], Change::Leaving(mark))
                .await?;
        }
    }
    Ok(())
}
