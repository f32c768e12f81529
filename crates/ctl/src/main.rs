//! Entry point of the operators' command line, `cicadalift`.

use {clap::Parser, ctl::Args};

fn main() -> std::process::ExitCode {
    ctl::run(&Args::parse())
}
