//! Cases of the second review. `scene NAME FOLDER` plays one and writes `record.txt` into FOLDER.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod json;
mod machine;
mod net;
mod record;
mod store;
mod target;
mod world;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: scene NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(name, &PathBuf::from(folder), has_trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
