//! Carries a command out.

use {
    crate::{
        args::{Args, Command, What},
        check,
        client::Vm,
        errors::CommandError,
        print::{self, Status},
    },
    clap::CommandFactory,
    serde::Serialize,
    std::process::ExitCode,
    uuid::Uuid,
    wire::{Change, Decision, Kind, Mark, Proposal, Verdict},
};

const FAILED: u8 = 1;
const INVALID: u8 = 2;
const CONFLICT: u8 = 3;
const UNKNOWN: u8 = 4;
const UNCONFIRMED: u8 = 5;

/// Carries the command out and returns the exit code that `--help` explains.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    match &args.command {
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(*shell, &mut command, "cicadalift", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
        Command::Check { file, as_vm } => match check::check(file, *as_vm) {
            Ok(line) => {
                println!("{line}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(INVALID)
            }
        },
        _ => actix_rt::System::new()
            .block_on(call(args))
            .unwrap_or_else(|error| {
                eprintln!("{error}");
                ExitCode::from(FAILED)
            }),
    }
}

async fn call(args: &Args) -> Result<ExitCode, CommandError> {
    let vm = Vm::named(args)?;
    match &args.command {
        Command::Status => {
            let status: Status = vm.get("/v1/status").await?;
            show(args, &status, print::status(&status));
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
                None => version(&vm).await?,
            };
            let name = preset.clone();
            propose(args, &vm, Change::Preset { name, expect }).await
        }
        Command::Leave { kind, name } => {
            propose(args, &vm, Change::Leaving(mark(*kind, name))).await
        }
        Command::Return { kind, name } => propose(args, &vm, Change::Back(mark(*kind, name))).await,
        Command::Check { .. } | Command::Completions { .. } => Ok(ExitCode::SUCCESS),
    }
}

async fn version(vm: &Vm) -> Result<u64, CommandError> {
    let status: Status = vm.get("/v1/status").await?;
    Ok(status.control.map_or(0, |control| control.version))
}

async fn propose(args: &Args, vm: &Vm, change: Change) -> Result<ExitCode, CommandError> {
    let proposal = Proposal {
        op: Uuid::new_v4().simple().to_string(),
        change,
    };
    let decision: Decision = vm.post("/v1/changes", &proposal).await?;
    show(args, &decision, print::decision(&decision));
    Ok(ExitCode::from(match decision.verdict {
        Verdict::Accepted if decision.unconfirmed.is_empty() => 0,
        Verdict::Accepted => UNCONFIRMED,
        Verdict::Conflict => CONFLICT,
        Verdict::Invalid => INVALID,
        Verdict::Unknown => UNKNOWN,
    }))
}

fn mark(kind: What, name: &str) -> Mark {
    Mark {
        kind: match kind {
            What::Target => Kind::Target,
            What::ServiceZone => Kind::ServiceZone,
            What::Zone => Kind::Zone,
            What::Vm => Kind::Vm,
        },
        name: name.to_owned(),
    }
}

fn show<T: Serialize>(args: &Args, value: &T, text: String) {
    if args.json {
        println!("{}", serde_json::to_string_pretty(value).unwrap_or(text));
    } else {
        println!("{text}");
    }
}
