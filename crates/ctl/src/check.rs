//! Checks settings files.

use {settings::LoadError, std::path::Path};

/// Checks a file and says in one line what it holds.
pub(crate) fn check_file(file: &Path, as_vm: bool) -> Result<String, LoadError> {
    if as_vm {
        let vm = settings::load_vm(file)?;
        return Ok(format!(
            "{}: VM {} in {} is fine",
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
        "{}: {} with {} sites, {} services, {targets} targets and {} presets is fine",
        file.display(),
        fleet.customer,
        fleet.sites.len(),
        fleet.services.len(),
        fleet.presets.len()
    ))
}
