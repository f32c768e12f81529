//! Reads settings files and reports every fault with file, key and reason.

use {
    crate::{Fleet, LoadError, RawFleet, RawVm, ValidationError, Vm},
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// Reads and checks the fleet file that all VMs share.
///
/// # Errors
/// [`LoadError`] names the file, the key and the reason.
pub fn load_fleet(path: &Path) -> Result<Fleet, LoadError> {
    let raw: RawFleet = parse(path)?;
    Fleet::check(&raw).map_err(|errors| invalid(path, errors))
}

/// Reads and checks the file of one VM, without the fleet file that it names.
///
/// # Errors
/// [`LoadError`] names the file, the key and the reason.
pub fn load_vm(path: &Path) -> Result<Vm, LoadError> {
    let raw: RawVm = parse(path)?;
    let folder = path.parent().unwrap_or_else(|| Path::new("."));
    Vm::check(raw, folder).map_err(|errors| invalid(path, errors))
}

fn parse<T: DeserializeOwned>(path: &Path) -> Result<T, LoadError> {
    let text = fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    serde_saphyr::from_str(&text).map_err(|error| LoadError::Malformed {
        path: path.to_owned(),
        reason: one_line(&error.to_string()),
    })
}

/// Keeps the first line of a parser's message: the rest draws the source text.
fn one_line(message: &str) -> String {
    let first = message.lines().find(|line| !line.trim().is_empty());
    let line = first.unwrap_or("not YAML").trim();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

fn invalid(path: &Path, errors: Vec<ValidationError>) -> LoadError {
    LoadError::Invalid {
        path: path.to_owned(),
        errors,
    }
}
