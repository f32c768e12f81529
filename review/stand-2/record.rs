//! What was sent, answered and run, with the time of each.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<String>>)>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }

    pub fn note(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        self.0.1.lock().unwrap().push(format!("{at:8.3} s  {text}"));
    }

    pub fn write(&self, folder: &PathBuf) {
        let lines = self.0.1.lock().unwrap().join("\n");
        if let Err(error) = fs::write(folder.join("record.txt"), lines + "\n") {
            eprintln!("record.txt cannot be written: {error}");
        }
    }
}
