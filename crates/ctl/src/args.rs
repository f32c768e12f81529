//! Command line arguments.

use {
    clap::{Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    std::path::PathBuf,
};

/// Operates cicadalift: switches presets, marks targets, services, zones and VMs as leaving, and
/// shows the state of a VM.
#[derive(Debug, Parser)]
#[command(name = "cicadalift", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Address of the operators' interface of any VM.
    #[arg(long, global = true, value_name = "IP:PORT", env = "CICADALIFT_VM")]
    pub vm: Option<String>,
    /// File that contains the operator token.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "CICADALIFT_TOKEN_FILE"
    )]
    pub token_file: Option<PathBuf>,
    /// Print the result as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done, and in force on every known VM
  1  no VM address or token file given, the request failed, or the VM rejected the token
  2  invalid arguments or settings
  3  another operator switched the preset first; nothing was changed
  4  unknown whether the change was accepted; check the status and repeat the command
  5  accepted, but not yet confirmed by every VM";

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show the preset and the leaving marks in force, and the version that each VM has applied.
    Status,
    /// Switch to a preset.
    Switch {
        /// Name of the preset.
        preset: String,
        /// Version of the control document that you have seen; by default the one in force. The
        /// switch is rejected as a conflict if the preset was switched after that version.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Mark a target, service, zone or VM as leaving, so that it receives no new requests.
    Leave {
        /// Kind of the marked object.
        kind: MarkKind,
        /// Name of the object; SERVICE/ZONE for a service in a zone.
        name: String,
    },
    /// Remove a leaving mark, so that requests are sent again, beginning with a slow start.
    Return {
        /// Kind of the marked object.
        kind: MarkKind,
        /// Name of the object; SERVICE/ZONE for a service in a zone.
        name: String,
    },
    /// Show the complete steering state of a VM as JSON.
    Dump,
    /// Check a settings file and list all errors in it.
    Check {
        /// The fleet settings; the settings of a VM with --as-vm.
        file: PathBuf,
        /// Read the file as the settings of a VM.
        #[arg(long)]
        as_vm: bool,
    },
    /// Print a completion script for a shell.
    Completions {
        /// Shell that reads the script.
        shell: Shell,
    },
}

/// Kinds of objects that can be marked as leaving.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum MarkKind {
    /// A single target.
    Target,
    /// A service in an availability zone.
    ServiceZone,
    /// An entire availability zone.
    Zone,
    /// An entry VM.
    Vm,
}
