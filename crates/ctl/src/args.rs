//! Arguments of the command line.

use {
    clap::{Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    std::path::PathBuf,
};

/// Operates cicadalift: presets, leaving upstreams and VMs, and what is in force.
#[derive(Debug, Parser)]
#[command(name = "cicadalift", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Operators' address of any VM.
    #[arg(long, global = true, value_name = "IP:PORT", env = "CICADALIFT_VM")]
    pub vm: Option<String>,
    /// File with the operators' credential.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "CICADALIFT_TOKEN_FILE"
    )]
    pub token_file: Option<PathBuf>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done, and in force on every VM that is known
  1  the VM did not answer, or refused the credential
  2  wrong arguments or settings
  3  another operator's preset came first; nothing was changed
  4  not known whether the change was accepted; look at the status and repeat it
  5  accepted, but some VMs have not confirmed it yet";

/// One thing to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show the preset and the marks in force, and where they have reached.
    Status,
    /// Put a preset in force.
    Switch {
        /// Name of the preset.
        preset: String,
        /// Version that you have seen; the one in force now without it.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Mark something as leaving: it gets no new work.
    Leave {
        /// What it is.
        kind: MarkKind,
        /// Its name; SERVICE/ZONE for a service in a zone.
        name: String,
    },
    /// Take a mark away: it gets work again, starting cold.
    Return {
        /// What it is.
        kind: MarkKind,
        /// Its name.
        name: String,
    },
    /// Show all that steers on a VM.
    Dump,
    /// Check settings, and list every fault.
    Check {
        /// Fleet settings; VM settings with --as-vm.
        file: PathBuf,
        /// The file holds the settings of a VM.
        #[arg(long)]
        as_vm: bool,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Kinds of things that can be marked.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum MarkKind {
    /// One target.
    Target,
    /// One service in one availability zone.
    ServiceZone,
    /// A whole availability zone.
    Zone,
    /// One entry VM.
    Vm,
}
