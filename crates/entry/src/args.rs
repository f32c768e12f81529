//! Command line arguments of the entry process.

use {clap::Parser, std::path::PathBuf};

/// Steers callers' requests to upstreams from one VM.
#[derive(Debug, Clone, Parser)]
#[command(name = "cicadalift-entry", version)]
pub struct Args {
    /// YAML file with the settings of this VM; it names the file of the fleet settings.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Most verbose level that is logged: error, warn, info or debug.
    #[arg(long, default_value = "info")]
    pub log: log::LevelFilter,
}
