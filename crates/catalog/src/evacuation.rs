//! Evacuation of a zone.

use {std::time::Duration, wire::Revision};

/// Time for which an evacuation that the store has lost stays active, so that the operator can
/// start it again.
const LOST_START_GRACE: Duration = Duration::from_secs(10);
/// Time for which an evacuation stays ended although the store has lost its end. Shorter, since
/// the operator may also have started it anew.
const LOST_END_GRACE: Duration = Duration::from_millis(1700);

/// A change that takes effect later, unless another one comes first.
#[derive(Debug, Clone, Copy)]
struct Pending {
    is_active: bool,
    at: Duration,
}

/// Whether the targets of a zone receive no new requests, at its newest store revision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evacuation {
    revision: Revision,
    is_active: bool,
    /// Time of the last change; used only once the evacuation has ended.
    changed_at: Duration,
    pending: Option<Pending>,
}

impl Evacuation {
    pub(crate) fn new(is_active: bool, revision: Revision, now: Duration) -> Self {
        Self {
            revision,
            is_active,
            changed_at: now,
            pending: None,
        }
    }

    /// Applies a newer row. Returns whether the state changed.
    ///
    /// The first row of another era may be from the snapshot that the store was restored from. If it
    /// contradicts the known state, it takes effect only after a time in which the operator
    /// writes again what was lost.
    pub(crate) fn update(&mut self, is_active: bool, revision: Revision, now: Duration) -> bool {
        if self.revision >= revision {
            return false;
        }
        let is_other_era = self.revision.era() != revision.era();
        self.revision = revision;
        self.pending = None;
        if is_active == self.is_active {
            return false;
        }
        if is_other_era {
            let grace = if self.is_active {
                LOST_START_GRACE
            } else {
                LOST_END_GRACE
            };
            let at = now + grace;
            self.pending = Some(Pending { is_active, at });
            return false;
        }
        self.is_active = is_active;
        self.changed_at = now;
        true
    }

    /// Applies the pending change if it is due. Returns whether the state changed.
    pub(crate) fn settle(&mut self, now: Duration) -> bool {
        let Some(due) = self.pending.filter(|pending| pending.at <= now) else {
            return false;
        };
        self.pending = None;
        self.is_active = due.is_active;
        self.changed_at = now;
        true
    }

    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Returns the time since the evacuation ended, or `None` while it is active.
    pub(crate) fn time_since_end(&self, now: Duration) -> Option<Duration> {
        (!self.is_active).then(|| now.saturating_sub(self.changed_at))
    }
}
