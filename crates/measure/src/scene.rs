//! What happens while a load runs.

/// A fault in the middle of a scene.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// One target takes ten times as long.
    SlowTarget,
    /// One target accepts and never answers.
    SilentTarget,
    /// One target refuses connections.
    DownTarget,
    /// The VM that owns a pool is killed.
    KillVm,
    /// The VM that owns a pool is frozen and wakes.
    FreezeVm,
    /// The platform is down.
    PlatformDown,
    /// An availability zone is marked as leaving.
    DrainZone,
}

/// A load with a fault.
#[derive(Debug, Clone, Copy)]
pub struct Scene {
    /// Name for tables.
    pub name: &'static str,
    /// Rate as a part of the slots' capacity.
    pub capacity_ratio: f64,
    /// What goes wrong.
    pub fault: Fault,
}

const fn scene(name: &'static str, capacity_ratio: f64, fault: Fault) -> Scene {
    Scene {
        name,
        capacity_ratio,
        fault,
    }
}

/// All scenes.
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
