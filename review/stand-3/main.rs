//! Stand-ins and checks of the cases in `review/11` and on. The first argument names the case, the
//! second its folder. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod directory;
mod heads;
mod http;
mod json;
mod poison;
mod stale;
mod store;
mod target;
mod world;

use {
    poison::Plan,
    std::{path::PathBuf, process::ExitCode, time::Duration},
    target::Reaction,
};

/// How a case ended.
pub enum End {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match world::Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "directory" => directory::play(&record, has_trouble),
        "heads" => heads::play(&record, has_trouble),
        "stale" => stale::play(&record, has_trouble),
        "poison" => poison::play(
            &record,
            has_trouble,
            &Plan {
                reaction: Reaction::Crash,
                played: Duration::from_secs(94),
                machines: 6,
                copies: 1,
                interval: Duration::from_millis(3300),
                sends: usize::MAX,
                vms: 6,
            },
        ),
        "midway" => poison::play(
            &record,
            has_trouble,
            &Plan {
                reaction: Reaction::CrashMidway,
                played: Duration::from_secs(40),
                machines: 6,
                copies: 1,
                interval: Duration::from_millis(3300),
                sends: usize::MAX,
                vms: 6,
            },
        ),
        _ => End::NotRun(format!("no case {case}")),
    });
    let end = played.unwrap_or_else(|_| End::NotRun("the case panicked".to_owned()));
    match end {
        End::Held => {
            record.say("held");
            ExitCode::SUCCESS
        }
        End::Broken => {
            record.say("broken");
            ExitCode::from(1)
        }
        End::NotRun(reason) => {
            record.say(&format!("not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
