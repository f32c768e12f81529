//! Whether and since when the store responds, to this VM or to the one that it receives rows from.

use {
    super::{Node, duration_ms},
    crate::StoreError,
    std::time::Duration,
};

/// Time after the end of a store outage in which missing target rows may still be renewed:
/// targets rewrite their rows within about two seconds.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Reachability of the store, as seen by the calls for one table.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TableHealth {
    failing_since: Option<Duration>,
    recovered_at: Option<Duration>,
}

impl Node {
    /// Records a successful store call for a table.
    pub(crate) fn record_store_success(&self, table: &str) {
        self.last_store_contact.set(Some(self.now()));
        self.end_table_failure(table);
    }

    fn end_table_failure(&self, table: &str) {
        let now = self.now();
        let mut table_health = self.table_health.borrow_mut();
        let health = table_health.entry(table.to_owned()).or_default();
        if let Some(since) = health.failing_since.take() {
            health.recovered_at = Some(now);
            let away_ms = duration_ms(now.saturating_sub(since));
            log::info!(event = "dependency_regained", dependency = "store", table = table, away_ms = away_ms; "store is reachable again");
        }
    }

    /// Records a batch from an update source that can reach the store. This counts as a success
    /// for every table whose calls failed. `store_age` is the time since the store responded to the
    /// source, or `None` if the source does not say.
    pub(crate) fn record_source_success(&self, store_age: Option<Duration>) {
        let heard_at = self.now().saturating_sub(store_age.unwrap_or_default());
        let previous = self.last_store_contact.get();
        self.last_store_contact.set(previous.max(Some(heard_at)));
        let tables: Vec<String> = {
            let table_health = self.table_health.borrow();
            let failing = table_health
                .iter()
                .filter(|(_, health)| health.failing_since.is_some());
            failing.map(|(table, _)| table.clone()).collect()
        };
        for table in tables {
            self.end_table_failure(&table);
        }
    }

    /// Records a failed store call for a table. Only the first failure of an outage is logged.
    pub(crate) fn record_store_failure(&self, table: &str, error: &StoreError) {
        let now = self.now();
        let mut table_health = self.table_health.borrow_mut();
        let health = table_health.entry(table.to_owned()).or_default();
        if health.failing_since.is_none() {
            health.failing_since = Some(now);
            self.replica_changes.send_replace(());
            log::warn!(event = "dependency_lost", dependency = "store", table = table, reason:% = error; "store call failed; routes and targets may become outdated");
        }
    }

    /// Gives targets and the operator time to write again what the store has lost, as after an
    /// outage.
    pub(super) fn unsettle_store(&self) {
        let now = self.now();
        let mut table_health = self.table_health.borrow_mut();
        for table in &self.store.tables {
            let health = table_health.entry(table.clone()).or_default();
            health.recovered_at = Some(now);
        }
    }

    /// Returns the time since the store last responded, directly or through the update source, or
    /// `None` if it never did.
    pub(crate) fn time_since_store_contact(&self) -> Option<Duration> {
        let last = self.last_store_contact.get()?;
        Some(self.now().saturating_sub(last))
    }

    /// Returns whether the most recent store calls for all tables succeeded.
    pub(crate) fn is_store_available(&self) -> bool {
        let table_health = self.table_health.borrow();
        table_health
            .values()
            .all(|health| health.failing_since.is_none())
    }

    /// Returns whether the store has been reachable for [`SETTLE_TIME`], so that targets have had
    /// time to renew rows that expired during an outage.
    pub(crate) fn is_store_settled(&self) -> bool {
        self.store_settles_at() <= self.now()
    }

    /// Returns when the store has been, or will have been, reachable for [`SETTLE_TIME`], if it
    /// stays so from now on.
    pub(crate) fn store_settles_at(&self) -> Duration {
        let now = self.now();
        let table_health = self.table_health.borrow();
        let times = table_health.values().map(|health| {
            if health.failing_since.is_some() {
                return now + SETTLE_TIME;
            }
            let recovered_at = health.recovered_at;
            recovered_at.map_or(Duration::ZERO, |at| at + SETTLE_TIME)
        });
        times.max().unwrap_or_default()
    }
}
