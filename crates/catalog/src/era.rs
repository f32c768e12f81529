//! Decides from the store's responses whether it was restored from an older snapshot.

use wire::Revision;

/// How the store names its era in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NamedEra {
    /// By a number, which rises when the store is restored from an older snapshot. A store that
    /// has no eras counts as one in era 0.
    Number(u64),
    /// By something that is not a number.
    Unreadable,
}

impl NamedEra {
    /// Returns the number, or 0 if there is none.
    #[must_use]
    pub fn number(self) -> u64 {
        match self {
            Self::Number(number) => number,
            Self::Unreadable => 0,
        }
    }
}

/// What a full read of a table says about the era of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The era of the known rows goes on.
    None,
    /// The store has begun this era.
    Begun(u64),
    /// The store names an older era than before or one that cannot be read, or its version went
    /// back within an era. It may have been restored from a snapshot all the same, so the era that
    /// holds on the VMs is raised to this one.
    Assumed(u64),
}

/// Follows how the store names its era. The era that holds on the VMs is the same number, except
/// after the store named an older one or one that cannot be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct EraTracker {
    /// `None` if the store has not responded since another VM told of a new era.
    last_named: Option<NamedEra>,
}

impl EraTracker {
    /// Returns whether a watch that was answered at `revision` reports all changes since `after`.
    /// If not, the table must be read in full.
    pub fn is_continued(&mut self, named: NamedEra, revision: Revision, after: Revision) -> bool {
        if named == NamedEra::Number(after.era()) {
            self.last_named = Some(named);
        }
        let is_same_era = self.last_named == Some(named) && named != NamedEra::Unreadable;
        is_same_era && revision.version() >= after.version()
    }

    /// Returns which era begins with a full read that was answered at `version`. `era` is that of
    /// the known rows, and `known` the revision up to which the table was known before the call.
    pub fn follow(
        &mut self,
        named: NamedEra,
        version: u64,
        era: u64,
        known: Option<Revision>,
    ) -> EraChange {
        let previous = self.last_named.replace(named);
        if let NamedEra::Number(number) = named
            && number > era
        {
            return EraChange::Begun(number);
        }
        let is_renamed = previous.is_some_and(|previous| previous != named);
        let is_expected = named == NamedEra::Number(era);
        let has_gone_back = known.is_some_and(|known| Revision::new(era, version) < known);
        if has_gone_back || (is_renamed && !is_expected) {
            return EraChange::Assumed(era + 1);
        }
        EraChange::None
    }

    /// Forgets how the store named its era, as another VM has told of a newer one.
    pub fn forget(&mut self) {
        self.last_named = None;
    }
}
