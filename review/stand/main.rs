//! Plays the scripts of the review: `stand CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod downloads;
mod gone;
mod queue;
mod stand;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Result of a case: whether the rule was broken.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    if let Err(error) = stand::open_record(&Path::new(folder).join("record.txt")) {
        eprintln!("{error}");
        return ExitCode::from(2);
    }
    let temporary = std::env::temp_dir().join(format!("cicadalift-review-{}", std::process::id()));
    let verdict = play(case, &temporary);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (line, code) = match verdict {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    stand::note(&format!("verdict  {line}"));
    println!("{line}");
    ExitCode::from(code)
}

fn play(case: &str, temporary: &PathBuf) -> Verdict {
    std::fs::create_dir_all(temporary).map_err(|e| e.to_string())?;
    match case {
        "restart-download" => downloads::restart(temporary),
        "restart-queue" => queue::restart(temporary),
        "pause-download" => downloads::pause(temporary),
        "gone" => gone::play(temporary),
        "memory" => downloads::memory(temporary),
        _ => Err(format!("no case {case}")),
    }
}
