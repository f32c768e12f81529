//! Position in the history of a versioned source.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// A version together with the era of the source that assigned it.
///
/// A source that is restored from an older snapshot assigns versions a second time. It then begins a
/// new era, so that no version of an older era is taken for one of a newer: a revision of a newer
/// era is the greater one, whatever the versions are.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    // Compared in this order.
    era: u64,
    version: u64,
}

impl Revision {
    /// Creates a revision; `era` is 0 for a source that has no eras.
    #[must_use]
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the version within the era. It is comparable only with versions of the same era;
    /// compare revisions instead.
    #[must_use]
    pub const fn version(self) -> u64 {
        self.version
    }
}

/// Formats as era and version with a dot between them.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.version)
    }
}

/// The text is not two numbers with a dot between them.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a revision")]
pub struct InvalidRevision(String);

impl FromStr for Revision {
    type Err = InvalidRevision;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once('.');
        let numbers =
            parts.and_then(|(era, version)| Some((era.parse().ok()?, version.parse().ok()?)));
        let (era, version) = numbers.ok_or_else(|| InvalidRevision(text.to_owned()))?;
        Ok(Self { era, version })
    }
}
