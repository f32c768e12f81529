//! The operators' command line.

use {clap::Parser, ctl::Args};

fn main() -> std::process::ExitCode {
    ctl::run(&Args::parse())
}
