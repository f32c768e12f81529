//! Failures of reading and checking settings.

use std::{fmt, io, path::PathBuf};

/// One thing that is wrong in a file: which key, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the key inside the file, as `services[0].targets[2].slots`.
    pub key: String,
    /// What the value breaks.
    pub reason: String,
}

impl ValidationError {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// Why a settings file was not taken.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file could not be read at all.
    #[error("{}: file: {source}", path.display())]
    Unreadable {
        /// The file named on the command line.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The file is not YAML of the expected shape.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// The file named on the command line.
        path: PathBuf,
        /// Line, key and cause, on one line.
        reason: String,
    },
    /// The file parses, but its values contradict each other or the limits.
    #[error("{}", list(path, errors))]
    Invalid {
        /// The file named on the command line.
        path: PathBuf,
        /// Every fault found, in the order of the file.
        errors: Vec<ValidationError>,
    },
}

fn list(path: &std::path::Path, errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}
