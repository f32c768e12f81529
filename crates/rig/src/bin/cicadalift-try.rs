//! Runs the complete system on loopback under load, changes and failures, and reports whether
//! the guarantees given to callers held.

use {
    clap::Parser,
    hdrhistogram::Histogram,
    rig::{Audit, LoadGenerator, Options, Rig, RigError},
    stand::caller::{Record, Status},
    std::{
        process::ExitCode,
        time::{Duration, Instant},
    },
    wire::{Change, Kind, Mark},
};

/// Starts entry VMs and stand-ins, and sends mixed requests while a preset is
/// switched, a target is marked as leaving, one VM is stopped and one is killed.
///
/// Exits with code 0 if all guarantees held, every VM confirmed the changes and the stopped VM
/// exited with code 0. Exits with code 1 otherwise.
#[derive(Debug, Parser)]
struct Args {
    /// Name of the fleet settings in `settings/`, without the extension.
    #[arg(long, default_value = "takbo")]
    firm: String,
    /// Number of VMs to start, at least 4.
    #[arg(long, default_value_t = 6)]
    vms: u8,
    /// Number of callers that send requests concurrently.
    #[arg(long, default_value_t = 12)]
    callers: usize,
}

const STOP_TIMEOUT: Duration = Duration::from_secs(70);
/// Pause of a caller between requests, and interval at which a stop is polled.
const PAUSE: Duration = Duration::from_millis(150);
/// Time under load before and after each change.
const STAGE_DURATION: Duration = Duration::from_secs(1);
const MAX_SENDS: u32 = 6;
const MAX_RESPONSE_US: u64 = 600_000_000;
const PRESET: &str = "peak";

#[actix_rt::main]
async fn main() -> ExitCode {
    match run(&Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<bool, RigError> {
    println!(
        "starting {} VMs with the fleet settings {}",
        args.vms, args.firm
    );
    let mut rig = Rig::start(Options {
        settings_name: args.firm.clone(),
        vm_count: args.vms,
        ..Options::default()
    })
    .await?;
    let load = LoadGenerator::start(
        rig.create_callers(args.callers),
        &rig.build_requests(MAX_SENDS),
        PAUSE,
    );
    let events = inject_events(&mut rig).await?;
    actix_rt::time::sleep(STAGE_DURATION).await;
    let records = load.stop().await;
    let audit = Audit::from_records(&records, &rig.fetch_runs().await?);
    let passed = audit.guarantees_hold() && events.succeeded();
    print_report(&records, &audit, &events);
    Ok(passed)
}

/// Results of the changes by the operator and of stopping and killing VMs.
struct Events {
    preset_took_ms: u128,
    /// Number of VMs that confirmed the preset.
    preset_vm_count: usize,
    vm_count: usize,
    leaving_target: String,
    /// Number of VMs that confirmed the leaving mark.
    leaving_vm_count: usize,
    stopped_vm: String,
    /// Exit code of the stopped VM; `None` if it was killed or did not exit in time.
    exit_code: Option<i32>,
    killed_vm: String,
}

impl Events {
    fn succeeded(&self) -> bool {
        self.preset_vm_count == self.vm_count
            && self.leaving_vm_count == self.vm_count
            && self.exit_code == Some(0)
    }
}

/// Switches the preset, marks a target as leaving, stops one VM and kills another.
async fn inject_events(rig: &mut Rig) -> Result<Events, RigError> {
    actix_rt::time::sleep(STAGE_DURATION).await;
    let started_at = Instant::now();
    let change = Change::Preset {
        name: PRESET.to_owned(),
        expect: 1,
    };
    let preset_decision = rig.admin.propose_change(&rig.vm_specs[0], change).await?;
    let preset_took_ms = started_at.elapsed().as_millis();
    actix_rt::time::sleep(STAGE_DURATION).await;
    let service = &rig.fleet.services[0];
    let leaving_target = service.targets[0].name.clone();
    let mark = Mark {
        kind: Kind::Target,
        name: leaving_target.clone(),
    };
    let leaving_decision = rig
        .admin
        .propose_change(&rig.vm_specs[1], Change::Leaving(mark))
        .await?;
    actix_rt::time::sleep(STAGE_DURATION).await;
    let stopped_vm = rig.vm_processes[2].name().to_owned();
    rig.vm_processes[2].terminate();
    let exit_code = wait_for_exit(rig, 2).await;
    let killed_vm = rig.vm_processes[3].name().to_owned();
    rig.vm_processes[3].kill();
    Ok(Events {
        preset_took_ms,
        preset_vm_count: preset_decision.confirmed.len(),
        vm_count: rig.vm_processes.len(),
        leaving_target,
        leaving_vm_count: leaving_decision.confirmed.len(),
        stopped_vm,
        exit_code,
        killed_vm,
    })
}

/// Waits for the exit of a VM and returns its exit code, or `None` after the timeout.
///
/// Yields between polls because the callers run on this thread.
async fn wait_for_exit(rig: &mut Rig, vm_index: usize) -> Option<i32> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while rig.vm_processes[vm_index].is_running() && Instant::now() < deadline {
        actix_rt::time::sleep(PAUSE).await;
    }
    let status = rig.vm_processes[vm_index].wait_for_exit(Duration::ZERO);
    status.and_then(|status| status.code())
}

fn ms_to_us(ms: f64) -> u64 {
    let duration = Duration::from_secs_f64(ms / 1000.0);
    u64::try_from(duration.as_micros()).unwrap_or(MAX_RESPONSE_US)
}

fn print_report(records: &[Record], audit: &Audit, events: &Events) {
    let mut response_us = Histogram::<u64>::new_with_bounds(1, MAX_RESPONSE_US, 3)
        .expect("histogram bounds are valid");
    for record in records
        .iter()
        .filter(|record| record.status == Status::Answered)
    {
        response_us.saturating_record(ms_to_us(record.took_ms));
    }
    let response_time =
        |quantile: f64| Duration::from_micros(response_us.value_at_quantile(quantile));
    let rows = [
        ("sent", audit.sent.to_string()),
        ("answered", audit.answered.to_string()),
        ("not run", audit.not_run.to_string()),
        ("may have run", audit.may_have_run.to_string()),
        ("no complete response", audit.unanswered.to_string()),
        (
            "keys that ran more than once",
            audit.duplicate_run_keys.len().to_string(),
        ),
        (
            "keys that ran despite a refusal",
            audit.false_not_run_keys.len().to_string(),
        ),
        (
            "wrong or truncated responses",
            audit.wrong_responses.to_string(),
        ),
        (
            "runs over the slots of a target",
            audit.runs_over_slots.to_string(),
        ),
        ("p50 response time", format!("{:?}", response_time(0.5))),
        (
            "p99 response time, with retries and waits",
            format!("{:?}", response_time(0.99)),
        ),
        (
            "preset in force",
            format!(
                "{PRESET} on {} of {} VMs after {} ms",
                events.preset_vm_count, events.vm_count, events.preset_took_ms
            ),
        ),
        (
            "leaving",
            format!(
                "{} on {} of {} VMs",
                events.leaving_target, events.leaving_vm_count, events.vm_count
            ),
        ),
        (
            "stopped",
            format!("{}, exit code {:?}", events.stopped_vm, events.exit_code),
        ),
        ("killed", events.killed_vm.clone()),
    ];
    for (name, value) in rows {
        println!("{name:<44} {value}");
    }
    let passed = audit.guarantees_hold() && events.succeeded();
    println!(
        "{}",
        if passed {
            "all guarantees held, and all changes and stops succeeded"
        } else {
            "A GUARANTEE WAS VIOLATED, OR A CHANGE OR STOP FAILED"
        }
    );
}
