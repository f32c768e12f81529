//! How old the known configuration may be, and whether it is too old to trust keys.
//!
//! The bounds are kept by [`customer::Freshness`].

use {
    super::Node,
    crate::{Clock, peers::StoreNews},
    customer::Confirmation,
    std::time::Duration,
    wire::Revision,
};

/// Part of the bound that is left for what the VM cannot measure, as the time until the head of a
/// request is read.
const MARGIN: Duration = Duration::from_millis(100);
/// Part of the bound after which other VMs are asked for a newer confirmation.
const AGING_FRACTION: f64 = 0.6;

impl Node {
    /// Records the time of the store's clock in an answer about a table, all of whose changes are
    /// known up to a revision. `asked_at` is the time of [`Clock::boot_time`] before the call.
    pub(crate) fn record_store_time(
        &self,
        table: &str,
        revision: Revision,
        store_time: Option<Duration>,
        asked_at: Duration,
    ) {
        let Some(store_time) = store_time else {
            return;
        };
        let mut freshness = self.freshness.borrow_mut();
        freshness.record_store_time(revision.era(), store_time, asked_at);
        if table == self.store.configuration_table {
            let confirmation = Confirmation {
                revision,
                store_time,
            };
            freshness.record_confirmation(confirmation, revision, Clock::boot_time());
        }
    }

    /// Takes over what another VM knows of the store, once its rows are applied. `asked_at` is the
    /// time of [`Clock::boot_time`] before it was asked.
    pub(crate) fn record_store_news(&self, news: &StoreNews, asked_at: Duration) {
        let known = self
            .replica()
            .table_revision(&self.store.configuration_table);
        let (Some(confirmation), Some(known)) = (news.confirmation, known) else {
            return;
        };
        let mut freshness = self.freshness.borrow_mut();
        if let Some(store_time) = news.store_time {
            let era = confirmation.revision.era();
            freshness.record_store_time(era, store_time, asked_at);
        }
        freshness.record_confirmation(confirmation, known, Clock::boot_time());
    }

    /// Returns what this VM knows of the store, for other VMs; nothing where no bound is set.
    pub(crate) fn store_news(&self) -> StoreNews {
        if self.bounds().revocation_time.is_none() {
            return StoreNews::default();
        }
        let freshness = self.freshness.borrow();
        StoreNews {
            confirmation: freshness.confirmation(),
            store_time: freshness.store_time(Clock::boot_time()),
        }
    }

    /// Forgets what is known of the store's clock when an era begins.
    pub(super) fn begin_freshness_era(&self, era: u64) {
        self.freshness.borrow_mut().begin_era(era);
    }

    /// Returns the greatest age that the known configuration may have, or `None` if nothing is known
    /// of it.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(Clock::boot_time())
    }

    /// Returns whether keys can still be trusted: one that was withdrawn longer ago than the bound
    /// would be known.
    pub(crate) fn may_trust_keys(&self) -> bool {
        let Some(bound) = self.bounds().revocation_time else {
            return true;
        };
        let age = self.configuration_age();
        age.is_some_and(|age| age <= bound.saturating_sub(MARGIN))
    }

    /// Returns whether other VMs should be asked for a newer confirmation of the configuration.
    pub(crate) fn is_configuration_aging(&self) -> bool {
        let Some(bound) = self.bounds().revocation_time else {
            return false;
        };
        let age = self.configuration_age();
        self.customers().is_some() && age.is_none_or(|age| age > bound.mul_f64(AGING_FRACTION))
    }
}
