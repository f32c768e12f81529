//! Command line of the entry process.

use {clap::Parser, std::path::PathBuf};

/// Steers callers' requests to upstreams from one VM.
#[derive(Debug, Clone, Parser)]
#[command(name = "cicadalift-entry", version)]
pub struct Args {
    /// Settings of this VM, in YAML; they name the fleet's settings.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Lowest level of the log: error, warn, info, debug.
    #[arg(long, default_value = "info")]
    pub log: log::LevelFilter,
}
