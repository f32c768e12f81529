//! Decisions that are in force only where a deployment calls for them, unless the settings say otherwise.

/// When decisions are in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// From the first sign that a deployment calls for them.
    #[default]
    Auto,
    /// At all times.
    Always,
    /// At no time.
    Never,
}

impl Mode {
    /// Returns whether the decisions are in force, by whether the deployment calls for them.
    #[must_use]
    pub fn is_in_force(self, is_called_for: bool) -> bool {
        match self {
            Self::Auto => is_called_for,
            Self::Always => true,
            Self::Never => false,
        }
    }
}

/// Whether a group of decisions is in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct Activation {
    mode: Mode,
    is_called_for: bool,
}

impl Activation {
    /// Changes when the decisions are in force.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Records that the deployment calls for these decisions. Returns whether they are in force
    /// from now on and were not before.
    pub fn call_for(&mut self) -> bool {
        let was_active = self.is_active();
        self.is_called_for = true;
        !was_active && self.is_active()
    }

    /// Returns whether the decisions are in force.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.mode.is_in_force(self.is_called_for)
    }
}
