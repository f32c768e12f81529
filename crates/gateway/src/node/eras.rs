//! Follows the eras of the store, each of which begins with a restore from an older snapshot.
//!
//! See `docs/PLATFORM.md`, section "Eras of the store".

use {super::Node, crate::VersionedRows, catalog::EraChange, tokio::sync::watch, wire::Revision};

impl Node {
    /// Returns a receiver that is notified when an era begins.
    pub(crate) fn subscribe_eras(&self) -> watch::Receiver<u64> {
        self.era_changes.subscribe()
    }

    /// Returns the changes that the store reported since a revision of the known era, or `None` if
    /// the store may have been restored from a snapshot, so that they need not be all.
    pub(crate) fn accept_changes(
        &self,
        changes: VersionedRows,
        after: Revision,
    ) -> Option<VersionedRows> {
        let mut tracker = self.era_tracker.get();
        let is_continued = tracker.is_continued(changes.era, changes.revision, after);
        self.era_tracker.set(tracker);
        is_continued.then(|| changes.in_era(after.era()))
    }

    /// Takes over the era of a table that was just read in full from the store, and returns its
    /// rows in the era that holds on this VM. `known` is the revision up to which the table was
    /// known before the call.
    pub(crate) fn accept_table(
        &self,
        read: VersionedRows,
        known: Option<Revision>,
    ) -> VersionedRows {
        let era = self.replica().era();
        let version = read.revision.version();
        let mut tracker = self.era_tracker.get();
        let change = tracker.follow(read.era, version, era, known);
        self.era_tracker.set(tracker);
        let begun = match change {
            EraChange::None => return read.in_era(era),
            EraChange::Begun(begun) => begun,
            EraChange::Assumed(begun) => {
                log::warn!(event = "era_went_back", named:? = read.era, known = era, version = version; "store names an older era than before or none that can be read, or its version went back; it counts as restored from a snapshot");
                metrics::counter!("cicadalift_eras_gone_back_total").increment(1);
                begun
            }
        };
        self.begin_era(begun, "store");
        read.in_era(begun)
    }

    /// Takes over a newer era that another VM has learned of.
    pub(crate) fn accept_era_of_peer(&self, era: u64, peer: &str) {
        let mut tracker = self.era_tracker.get();
        tracker.forget();
        self.era_tracker.set(tracker);
        self.begin_era(era, peer);
    }

    /// Begins an era: all tables have to be read in full.
    fn begin_era(&self, era: u64, learned_from: &str) {
        #[allow(clippy::cast_precision_loss, reason = "eras stay far below 2^52")]
        metrics::gauge!("cicadalift_store_era").set(era as f64);
        let previous = self.replica().era();
        let is_first_contact = self.replica().is_empty();
        self.replica().begin_era(era);
        self.begin_freshness_era(era);
        if is_first_contact {
            return;
        }
        let start = self.replica().era_start();
        self.member_view().set_control_revision(start);
        self.unsettle_store();
        self.era_changes.send_modify(|count| *count += 1);
        log::warn!(event = "era_changed", from = previous, to = era, learned_from = learned_from; "store was restored from an older snapshot; all tables are read again");
    }
}
