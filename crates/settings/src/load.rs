//! Loads settings files and reports each error with file, key and reason.

use {
    crate::{Fleet, LoadError, RawFleet, RawVm, ValidationError, Vm},
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// Loads and validates the fleet file, which all VMs share.
///
/// # Errors
/// [`LoadError`] if the file cannot be read, parsed or validated.
pub fn load_fleet(path: &Path) -> Result<Fleet, LoadError> {
    let raw: RawFleet = parse_file(path)?;
    Fleet::from_raw(&raw).map_err(|errors| invalid_error(path, errors))
}

/// Loads and validates the file of one VM, but not the fleet file that it refers to.
///
/// # Errors
/// [`LoadError`] if the file cannot be read, parsed or validated.
pub fn load_vm(path: &Path) -> Result<Vm, LoadError> {
    let raw: RawVm = parse_file(path)?;
    let directory = path.parent().unwrap_or_else(|| Path::new("."));
    Vm::from_raw(raw, directory).map_err(|errors| invalid_error(path, errors))
}

fn parse_file<T: DeserializeOwned>(path: &Path) -> Result<T, LoadError> {
    let text = fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    serde_saphyr::from_str(&text).map_err(|error| LoadError::Malformed {
        path: path.to_owned(),
        reason: first_line(&error.to_string()),
    })
}

/// Returns the first line of a parser's message; the other lines show a source excerpt.
fn first_line(message: &str) -> String {
    let first = message.lines().find(|line| !line.trim().is_empty());
    let line = first.unwrap_or("not valid YAML").trim();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

fn invalid_error(path: &Path, errors: Vec<ValidationError>) -> LoadError {
    LoadError::Invalid {
        path: path.to_owned(),
        errors,
    }
}
