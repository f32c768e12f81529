//! Scenes: combinations of a load and a fault in which policies are compared.

/// The fault that is injected when the warm-up ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One target takes ten times as long for each request.
    SlowTarget,
    /// One target accepts requests and never responds.
    SilentTarget,
    /// One target refuses connections.
    DownTarget,
    /// The VM that owns a pool of the service is killed.
    KillVm,
    /// The VM that owns a pool of the service is suspended for a few seconds.
    FreezeVm,
    /// The platform is unavailable.
    PlatformDown,
    /// An availability zone is marked as leaving.
    DrainZone,
}

/// A load and a fault.
#[derive(Debug, Clone, Copy)]
pub struct Scene {
    /// Name on the command line and in tables.
    pub name: &'static str,
    /// Request rate as a ratio of the capacity of all slots.
    pub capacity_ratio: f64,
    /// Fault that is injected.
    pub fault: Fault,
}

const fn scene(name: &'static str, capacity_ratio: f64, fault: Fault) -> Scene {
    Scene {
        name,
        capacity_ratio,
        fault,
    }
}

/// Returns all scenes.
#[must_use]
pub fn all_scenes() -> Vec<Scene> {
    vec![
        scene("steady-50", 0.5, Fault::None),
        scene("steady-80", 0.8, Fault::None),
        scene("steady-95", 0.95, Fault::None),
        scene("over-1.2", 1.2, Fault::None),
        scene("over-2", 2.0, Fault::None),
        scene("over-5", 5.0, Fault::None),
        scene("slow-target", 0.6, Fault::SlowTarget),
        scene("silent-target", 0.6, Fault::SilentTarget),
        scene("down-target", 0.6, Fault::DownTarget),
        scene("drain-zone", 0.6, Fault::DrainZone),
        scene("kill-vm", 0.6, Fault::KillVm),
        scene("freeze-vm", 0.6, Fault::FreezeVm),
        scene("platform-down", 0.6, Fault::PlatformDown),
    ]
}
