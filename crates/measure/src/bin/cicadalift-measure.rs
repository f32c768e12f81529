//! Command line of the benchmarks.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "results are printed with few digits"
)]

use {
    clap::{Parser, Subcommand},
    eyre::{Result, eyre},
    measure::{
        Baseline, Fault, KindSummary, LoadView, Measurement, OpenLoop, Policy, ScalingPoint, Scene,
        SystemUnderTest, Workload, simulate,
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

/// Benchmarks cicadalift on real processes and stand-ins, and by simulation.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compare load balancing policies under different loads and faults.
    Scenes(Scenes),
    /// Simulate workloads with a global and a local view of the load, and print the earned credit.
    Bound {
        /// Workload files.
        days: Vec<PathBuf>,
        /// Number of simulations, each with its own random arrivals and running times.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Measure how much of a customer's quota is used, and the worst window, without a network.
    Quotas,
    /// Measure how processor time, memory and message sizes scale.
    Slopes {
        /// Numbers of VM processes to start, each measured separately.
        #[arg(long, value_delimiter = ',', default_value = "6,12,24,48")]
        vms: Vec<u8>,
        /// Measure only VM processes without requests.
        #[arg(long)]
        resting: bool,
        /// Duration of each measurement of VM processes, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
}

#[derive(Debug, Parser)]
struct Scenes {
    /// Run only scenes whose names contain this text.
    #[arg(long, default_value = "")]
    scene: String,
    /// Policies to compare.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "random,least-reported,two-choices,ideal,system"
    )]
    policies: Vec<String>,
    /// Name of the shipped settings.
    #[arg(long, default_value = "takbo")]
    firm: String,
    /// Number of entry VMs.
    #[arg(long, default_value_t = 12)]
    vms: u8,
    /// Mean service time in milliseconds.
    #[arg(long, default_value_t = 100.0)]
    service_ms: f64,
    /// Maximum age of reported load in milliseconds, for the baseline policies.
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
    /// Measured time of each policy and scene in seconds, after a warm-up of 2 s.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Seed of random arrivals and service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the table and the plot.
    #[arg(long, default_value = "results")]
    results: PathBuf,
}

/// Attempts of a caller that tries the next VM of its lookup when a VM fails.
const MAX_SENDS: u32 = 3;
const WARM_UP_TIME: Duration = Duration::from_secs(2);
const CALLER_COUNT: usize = 60;
/// Time for which [`Fault::FreezeVm`] suspends a VM.
const FREEZE_TIME: Duration = Duration::from_secs(5);

#[actix_rt::main]
async fn main() -> Result<()> {
    match Args::parse().command {
        Command::Scenes(args) => compare_policies(&args).await,
        Command::Bound { days, seeds } => days
            .iter()
            .try_for_each(|path| print_simulation(path, seeds)),
        Command::Quotas => {
            print_quotas();
            Ok(())
        }
        Command::Slopes {
            vms,
            resting,
            seconds,
        } => print_scaling(&vms, resting, Duration::from_secs(seconds)).await,
    }
}

/// Prints the mean results of all seeds for each request kind and load view.
fn print_simulation(path: &Path, seed_count: u64) -> Result<()> {
    let workload = Workload::read(path)?;
    println!("{}", path.display());
    for (name, load_view) in [("all", LoadView::Global), ("own", LoadView::Local)] {
        let runs: Vec<_> = (1..=seed_count)
            .map(|seed| simulate(&workload, load_view, seed))
            .collect();
        for (index, kind) in workload.kinds.iter().enumerate() {
            let mean = |value: fn(&KindSummary) -> f64| {
                let sum: f64 = runs.iter().map(|run| value(&run[index].1)).sum();
                sum / seed_count.max(1) as f64
            };
            println!(
                "  knows {name:<4} {:<16} earned {:.3}  in time {:.3}  late {:.3}",
                kind.name,
                mean(|summary| summary.credit_ratio),
                mean(|summary| f64::from(summary.in_time) / f64::from(summary.sent.max(1))),
                mean(|summary| f64::from(summary.late) / f64::from(summary.sent.max(1))),
            );
        }
    }
    Ok(())
}

/// Prints how much of a quota is used in each case.
fn print_quotas() {
    println!("| case | VMs | asked for | used of the limit | worst window of the bound |");
    println!("| --- | --- | --- | --- | --- |");
    for case in measure::measure_quotas() {
        println!(
            "| {} | {} | {} times the rate | {:.3} | {:.3} |",
            case.name, case.vms, case.factor, case.used, case.worst_window
        );
    }
}

/// Measures and prints scaling points as a table.
async fn print_scaling(vms: &[u8], only_idle: bool, measured_time: Duration) -> Result<()> {
    let print_points = |points: &[ScalingPoint]| {
        for point in points {
            println!(
                "{:<52} {:>8} {:>14.3} {}",
                point.name, point.size, point.value, point.unit
            );
        }
    };
    println!("{:<52} {:>8} {:>14} unit", "what", "size", "value");
    if !only_idle {
        print_points(&measure::measure_in_process());
        print_points(&measure::measure_lookups(&[1000, 2000, 4000]).await?);
        for sites in [6, 40, 160] {
            print_points(&measure::measure_idle_vms_with_fleet(sites, 1, measured_time).await?);
        }
        for blocks in [1_000, 10_000, 31_000] {
            print_points(&measure::measure_idle_vms_with_fleet(160, blocks, measured_time).await?);
        }
    }
    for count in vms {
        print_points(&measure::measure_idle_vms(*count, measured_time).await?);
    }
    Ok(())
}

/// Measures each policy in each scene, and writes a table and a plot.
async fn compare_policies(args: &Scenes) -> Result<()> {
    fs::create_dir_all(&args.results)?;
    println!("{args:?}");
    println!("{TABLE_HEADER}");
    let scenes: Vec<Scene> = measure::all_scenes()
        .into_iter()
        .filter(|scene| scene.name.contains(&args.scene))
        .collect();
    let mut p99_ms_by_policy: Vec<(String, Vec<f64>)> = Vec::new();
    let mut table = String::new();
    for policy in &args.policies {
        let mut p99_ms = Vec::new();
        for scene in &scenes {
            let measurement = measure_policy(args, policy, scene).await?;
            let row = format_row(policy, scene, &measurement);
            println!("{row}");
            table.push_str(&row);
            table.push('\n');
            p99_ms.push(measurement.response_time(0.99).as_secs_f64() * 1e3);
        }
        p99_ms_by_policy.push((policy.clone(), p99_ms));
    }
    fs::write(
        args.results.join("scenes.txt"),
        format!("{args:?}\n{TABLE_HEADER}\n{table}"),
    )?;
    let scene_names: Vec<&str> = scenes.iter().map(|scene| scene.name).collect();
    draw_plot(&args.results, &scene_names, &p99_ms_by_policy)
}

fn draw_plot(
    directory: &Path,
    scene_names: &[&str],
    p99_ms_by_policy: &[(String, Vec<f64>)],
) -> Result<()> {
    let path = directory.join("p99.svg");
    measure::plot_p99(&path, scene_names, p99_ms_by_policy)
        .map_err(|error| eyre!("{}: {error}", path.display()))
}

const TABLE_HEADER: &str = "policy         scene            sent  answered  refused  other  goodput  p50 ms  p99 ms  refusal p50 ms  beyond slots";

fn format_row(policy: &str, scene: &Scene, measurement: &Measurement) -> String {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    format!(
        "{policy:<14} {:<14} {:>6} {:>9} {:>8} {:>6} {:>8.3} {:>7.1} {:>7.1} {:>15.2} {:>13}",
        scene.name,
        measurement.sent,
        measurement.answered,
        measurement.refused,
        measurement.other,
        measurement.goodput,
        ms(measurement.response_time(0.5)),
        ms(measurement.response_time(0.99)),
        ms(measurement.refusal_time(0.5)),
        measurement.beyond_slots,
    )
}

/// Starts the system, runs the load of a scene with a policy and injects its fault.
async fn measure_policy(args: &Scenes, policy: &str, scene: &Scene) -> Result<Measurement> {
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
    let mut request = rig.build_requests(1).swap_remove(0);
    request.timeout = Duration::from_secs(2);
    if matches!(scene.fault, Fault::KillVm | Fault::FreezeVm) {
        request.max_sends = MAX_SENDS;
    }
    let system = build_system(args, policy, &rig)?;
    let open_loop = OpenLoop {
        requests_per_s: capacity * scene.capacity_ratio,
        warm_up_time: WARM_UP_TIME,
        measured_time: Duration::from_secs(args.seconds),
        seed: args.seed,
    };
    let (loaded_system, fault_target) = (system.clone(), service.targets[0].name.clone());
    let load = actix_rt::spawn(async move { open_loop.run(&loaded_system, &request).await });
    actix_rt::time::sleep(WARM_UP_TIME).await;
    inject_fault(&mut rig, scene.fault, &fault_target, args.service_ms).await?;
    let mut measurement = load.await?;
    measurement.goodput = measurement.answered as f64 / args.seconds as f64 / capacity;
    measurement.beyond_slots = match &system {
        SystemUnderTest::Baseline(baseline) => baseline.shed_count(),
        SystemUnderTest::Cicadalift(_) => rig.fetch_shed_count().await?,
    };
    Ok(measurement)
}

/// Creates the system to measure for a policy name.
fn build_system(args: &Scenes, policy: &str, rig: &Rig) -> Result<SystemUnderTest> {
    let max_report_age = Duration::from_millis(args.lag_ms);
    let vm_count = usize::from(args.vms);
    let baseline = |policy| {
        let service = &rig.fleet.services[0];
        SystemUnderTest::Baseline(Rc::new(Baseline::for_service(
            policy,
            service,
            vm_count,
            max_report_age,
            args.seed,
        )))
    };
    match policy {
        "system" => Ok(SystemUnderTest::Cicadalift(Rc::new(RefCell::new(
            rig.create_callers(CALLER_COUNT),
        )))),
        "random" => Ok(baseline(Policy::Random)),
        "least-reported" => Ok(baseline(Policy::LeastReported)),
        "two-choices" => Ok(baseline(Policy::TwoChoices)),
        "ideal" => Ok(baseline(Policy::Ideal)),
        _ => Err(eyre!("unknown policy {policy:?}")),
    }
}

/// Returns the index of the VM that owns the first pool of the measured service, or 0 if it is
/// unknown.
async fn find_pool_owner(rig: &Rig) -> usize {
    let (service, site) = (&rig.fleet.services[0].name, &rig.fleet.sites[0].name);
    rig.find_owner(service, site).await.unwrap_or(0)
}

/// Injects a fault; returns after the end of [`Fault::FreezeVm`].
async fn inject_fault(rig: &mut Rig, fault: Fault, target: &str, service_ms: f64) -> Result<()> {
    let behaviour = |service_ms, fault| upstream::Behaviour {
        service_ms,
        fault,
        restart_ms: 1000,
    };
    match fault {
        Fault::None => {}
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
            let owner = find_pool_owner(rig).await;
            rig.vm_processes[owner].kill();
        }
        Fault::FreezeVm => {
            let owner = find_pool_owner(rig).await;
            rig.vm_processes[owner].freeze();
            actix_rt::time::sleep(FREEZE_TIME).await;
            rig.vm_processes[owner].resume();
        }
        Fault::PlatformDown => {
            let down = stand::platform::FaultConfig {
                mode: stand::platform::Mode::Down,
                ..stand::platform::FaultConfig::default()
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
