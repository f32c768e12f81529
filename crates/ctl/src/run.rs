//! Runs a command and maps its result to an exit code.

use {
    crate::{
        args::{Args, Command, MarkKind},
        check,
        client::VmClient,
        errors::CommandError,
        output::{self, Status},
    },
    clap::CommandFactory,
    serde::Serialize,
    std::process::ExitCode,
    uuid::Uuid,
    wire::{Change, Decision, Kind, Mark, Proposal, Verdict},
};

const EXIT_FAILED: u8 = 1;
const EXIT_INVALID: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;
const EXIT_UNCONFIRMED: u8 = 5;

/// Runs the command, prints its result and returns one of the exit codes listed by `--help`.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    match &args.command {
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(*shell, &mut command, "cicadalift", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
        Command::Check { file, as_vm } => match check::check_file(file, *as_vm) {
            Ok(line) => {
                println!("{line}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(EXIT_INVALID)
            }
        },
        _ => actix_rt::System::new()
            .block_on(run_on_vm(args))
            .unwrap_or_else(|error| {
                eprintln!("{error}");
                ExitCode::from(EXIT_FAILED)
            }),
    }
}

/// Runs a command that sends requests to a VM.
async fn run_on_vm(args: &Args) -> Result<ExitCode, CommandError> {
    let vm = VmClient::from_args(args)?;
    match &args.command {
        Command::Status => {
            let status: Status = vm.get("/v1/status").await?;
            print_result(args, &status, output::format_status(&status));
            Ok(ExitCode::SUCCESS)
        }
        Command::Dump => {
            let dump: serde_json::Value = vm.get("/v1/state").await?;
            println!("{dump:#}");
            Ok(ExitCode::SUCCESS)
        }
        Command::Switch { preset, expect } => {
            let expect = match expect {
                Some(version) => *version,
                None => fetch_version(&vm).await?,
            };
            let name = preset.clone();
            propose_change(args, &vm, Change::Preset { name, expect }).await
        }
        Command::Leave { kind, name } => {
            propose_change(args, &vm, Change::Leaving(build_mark(*kind, name))).await
        }
        Command::Return { kind, name } => {
            propose_change(args, &vm, Change::Back(build_mark(*kind, name))).await
        }
        // `run` handles these commands, which need no VM.
        Command::Check { .. } | Command::Completions { .. } => Ok(ExitCode::SUCCESS),
    }
}

/// Returns the version of the control document in force, or 0 if the VM has none yet.
async fn fetch_version(vm: &VmClient) -> Result<u64, CommandError> {
    let status: Status = vm.get("/v1/status").await?;
    Ok(status.control.map_or(0, |control| control.version))
}

/// Proposes a change, prints the decision of the VM and returns its exit code.
///
/// The random operation id makes the submission idempotent.
async fn propose_change(
    args: &Args,
    vm: &VmClient,
    change: Change,
) -> Result<ExitCode, CommandError> {
    let proposal = Proposal {
        op: Uuid::new_v4().simple().to_string(),
        change,
    };
    let decision: Decision = vm.post("/v1/changes", &proposal).await?;
    print_result(args, &decision, output::format_decision(&decision));
    Ok(ExitCode::from(match decision.verdict {
        Verdict::Accepted if decision.unconfirmed.is_empty() => 0,
        Verdict::Accepted => EXIT_UNCONFIRMED,
        Verdict::Conflict => EXIT_CONFLICT,
        Verdict::Invalid => EXIT_INVALID,
        Verdict::Unknown => EXIT_UNKNOWN,
    }))
}

fn build_mark(kind: MarkKind, name: &str) -> Mark {
    Mark {
        kind: match kind {
            MarkKind::Target => Kind::Target,
            MarkKind::ServiceZone => Kind::ServiceZone,
            MarkKind::Zone => Kind::Zone,
            MarkKind::Vm => Kind::Vm,
        },
        name: name.to_owned(),
    }
}

/// Prints a value as JSON with `--json`, otherwise its text.
fn print_result<T: Serialize>(args: &Args, value: &T, text: String) {
    if args.json {
        println!("{}", serde_json::to_string_pretty(value).unwrap_or(text));
    } else {
        println!("{text}");
    }
}
