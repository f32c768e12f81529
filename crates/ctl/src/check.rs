//! Validates settings files.

use {settings::LoadError, std::path::Path};

/// Validates a settings file and returns a one-line summary of its contents.
///
/// The error lists every fault found in the file.
pub(crate) fn check_file(file: &Path, as_vm: bool) -> Result<String, LoadError> {
    if as_vm {
        let vm = settings::load_vm(file)?;
        return Ok(format!(
            "{}: valid; VM {} in zone {}",
            file.display(),
            vm.name,
            vm.zone
        ));
    }
    let fleet = settings::load_fleet(file)?;
    let targets: usize = fleet
        .services
        .iter()
        .map(|service| service.targets.len())
        .sum();
    Ok(format!(
        "{}: valid; {} with {} sites, {} services, {targets} targets and {} presets",
        file.display(),
        fleet.customer,
        fleet.sites.len(),
        fleet.services.len(),
        fleet.presets.len()
    ))
}
