//! Tries the whole system on loopback and says whether its promises held.

use {
    clap::Parser,
    hdrhistogram::Histogram,
    rig::{Audit, Load, Options, Rig, RigError},
    stand::caller::{Record, Status},
    std::{
        process::ExitCode,
        time::{Duration, Instant},
    },
    wire::{Change, Kind, Mark},
};

/// Starts entry VMs and stand-ins, sends mixed requests through look-ups while
/// a preset is switched, an upstream leaves, one VM stops and one is killed.
#[derive(Debug, Parser)]
struct Args {
    /// Shipped fleet settings to use.
    #[arg(long, default_value = "takbo")]
    firm: String,
    /// VMs to start.
    #[arg(long, default_value_t = 6)]
    vms: u8,
    /// Callers that send at the same time.
    #[arg(long, default_value_t = 12)]
    callers: usize,
}

const STOP_TIMEOUT: Duration = Duration::from_secs(70);
const PAUSE: Duration = Duration::from_millis(150);
const STAGE: Duration = Duration::from_secs(1);
const SENDS: u32 = 6;
const LONGEST_US: u64 = 600_000_000;
const PRESET: &str = "peak";

#[actix_rt::main]
async fn main() -> ExitCode {
    match attempt(&Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn attempt(args: &Args) -> Result<bool, RigError> {
    println!(
        "starting {} VMs with the settings of {}",
        args.vms, args.firm
    );
    let mut rig = Rig::start(Options {
        settings_name: args.firm.clone(),
        vm_count: args.vms,
        ..Options::default()
    })
    .await?;
    let load = Load::start(
        rig.create_callers(args.callers),
        &rig.build_requests(SENDS),
        PAUSE,
    );
    let events = drive(&mut rig).await?;
    actix_rt::time::sleep(STAGE).await;
    let records = load.stop().await;
    let audit = Audit::from_records(&records, &rig.fetch_runs().await?);
    let held = audit.guarantees_hold() && events.held();
    print(&records, &audit, &events);
    Ok(held)
}

/// What the operator's changes and the stops came to.
struct Events {
    preset_ms: u128,
    preset_on: usize,
    vm_count: usize,
    leaving: String,
    leaving_on: usize,
    stopped: String,
    stop_code: Option<i32>,
    killed: String,
}

impl Events {
    fn held(&self) -> bool {
        self.preset_on == self.vm_count
            && self.leaving_on == self.vm_count
            && self.stop_code == Some(0)
    }
}

/// Switches a preset, marks an upstream as leaving, stops a VM and kills another.
async fn drive(rig: &mut Rig) -> Result<Events, RigError> {
    actix_rt::time::sleep(STAGE).await;
    let start = Instant::now();
    let change = Change::Preset {
        name: PRESET.to_owned(),
        expect: 1,
    };
    let switched = rig.admin.propose_change(&rig.vm_specs[0], change).await?;
    let preset_ms = start.elapsed().as_millis();
    actix_rt::time::sleep(STAGE).await;
    let service = &rig.fleet.services[0];
    let leaving = service.targets[0].name.clone();
    let mark = Mark {
        kind: Kind::Target,
        name: leaving.clone(),
    };
    let marked = rig
        .admin
        .propose_change(&rig.vm_specs[1], Change::Leaving(mark))
        .await?;
    actix_rt::time::sleep(STAGE).await;
    let stopped = rig.vm_processes[2].name().to_owned();
    rig.vm_processes[2].terminate();
    let status = wait(rig, 2).await;
    let killed = rig.vm_processes[3].name().to_owned();
    rig.vm_processes[3].kill();
    Ok(Events {
        preset_ms,
        preset_on: switched.confirmed.len(),
        vm_count: rig.vm_processes.len(),
        leaving,
        leaving_on: marked.confirmed.len(),
        stopped,
        stop_code: status,
        killed,
    })
}

/// Waits for a stop without holding up the callers of this thread.
async fn wait(rig: &mut Rig, index: usize) -> Option<i32> {
    let end = Instant::now() + STOP_TIMEOUT;
    while rig.vm_processes[index].is_running() && Instant::now() < end {
        actix_rt::time::sleep(PAUSE).await;
    }
    let status = rig.vm_processes[index].wait_for_exit(Duration::ZERO);
    status.and_then(|status| status.code())
}

fn micros(ms: f64) -> u64 {
    let time = Duration::from_secs_f64(ms / 1000.0);
    u64::try_from(time.as_micros()).unwrap_or(LONGEST_US)
}

fn print(records: &[Record], audit: &Audit, events: &Events) {
    let mut took =
        Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
    for record in records
        .iter()
        .filter(|record| record.status == Status::Answered)
    {
        took.saturating_record(micros(record.took_ms));
    }
    let ms = |quantile: f64| Duration::from_micros(took.value_at_quantile(quantile));
    let rows = [
        ("sent", audit.sent.to_string()),
        ("answered", audit.answered.to_string()),
        ("not run", audit.not_run.to_string()),
        ("may have run", audit.may_have_run.to_string()),
        ("no answer", audit.unanswered.to_string()),
        ("run twice", audit.duplicate_run_keys.len().to_string()),
        (
            "told not run, but ran",
            audit.false_refusal_keys.len().to_string(),
        ),
        ("wrong or cut answers", audit.wrong_answers.to_string()),
        ("runs beyond slots", audit.runs_over_slots.to_string()),
        ("p50 of answers", format!("{:?}", ms(0.5))),
        (
            "p99 of answers, retries and waits included",
            format!("{:?}", ms(0.99)),
        ),
        (
            "preset in force",
            format!(
                "{PRESET} on {} of {} VMs after {} ms",
                events.preset_on, events.vm_count, events.preset_ms
            ),
        ),
        (
            "leaving",
            format!(
                "{} on {} of {} VMs",
                events.leaving, events.leaving_on, events.vm_count
            ),
        ),
        (
            "stopped",
            format!("{}, exit code {:?}", events.stopped, events.stop_code),
        ),
        ("killed", events.killed.clone()),
    ];
    for (name, value) in rows {
        println!("{name:<44} {value}");
    }
    let held = audit.guarantees_hold() && events.held();
    println!(
        "{}",
        if held {
            "the promises held"
        } else {
            "A PROMISE DID NOT HOLD"
        }
    );
}
