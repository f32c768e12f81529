//! Entry point of the process that runs on each entry VM.

use {clap::Parser, entry::Args};

fn main() -> std::process::ExitCode {
    entry::run(&Args::parse())
}
