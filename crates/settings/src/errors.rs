//! Errors of reading and validating settings files.

use std::{fmt, io, path::PathBuf};

/// An invalid value in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the key inside the file, such as `services[0].targets[2].slots`.
    pub key: String,
    /// Rule that the value violates.
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

/// Why a settings file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("{}: cannot read the file: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid YAML or does not match the schema.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// First line of the parser's message, with position and cause.
        reason: String,
    },
    /// The file parses, but some values are out of range or inconsistent with others.
    #[error("{}", format_errors(path, errors))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All errors found, in the order of the checks.
        errors: Vec<ValidationError>,
    },
}

fn format_errors(path: &std::path::Path, errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors
        .iter()
        .map(|error| format!("{}: {error}", path.display()))
        .collect();
    lines.join("\n")
}
