//! Applies changes of routes, targets and evacuations to the node.

use {
    super::{Node, state::duration_ms},
    crate::{Configuration, peers::merge_pending_statements},
    catalog::{Target, TargetState},
    route::{RouteTable, Warning},
    std::{rc::Rc, time::Duration},
    wire::Revision,
};

/// Maximum number of log lines per second about targets that were added, updated or removed.
const MAX_TARGET_LINES_PER_S: u32 = 16;

impl Node {
    /// Replaces the route table and the customers with those of a configuration, unless that is out
    /// of date. `origin` names the store, or the VM that delivered the configuration.
    pub(crate) fn apply_configuration(
        &self,
        configuration: Configuration,
        row_revision: Revision,
        origin: &str,
    ) {
        let mut routes = configuration.routes;
        let version = routes.version;
        let warnings = std::mem::take(&mut routes.warnings);
        let result = self.route_table().with_configuration(routes);
        match result {
            Ok(table) => {
                log::info!(event = "routes_in_force", version = version, row:% = row_revision, heard_from = origin, routes = table.len(), unusable = table.unusable_routes().len(); "route configuration applied");
                report_configuration(&table, &warnings);
                self.forget_services(&table);
                *self.route_table.borrow_mut() = Rc::new(table);
                self.set_customers(configuration.customers, version);
                self.service_rotations.borrow_mut().clear();
            }
            Err(error) if error.offered == error.current => {
                log::info!(event = "routes_unchanged", version = version, row:% = row_revision; "route configuration in force read again");
            }
            Err(error) => {
                log::warn!(event = "routes_rejected", version = version, row:% = row_revision, reason:% = error; "route configuration rejected; the previous one stays in force");
            }
        }
    }

    /// Adds or updates a target. If its process is new or moved to another address, statistics and
    /// idle connections of the previous one are discarded, also if that had left in the meantime.
    pub(crate) fn apply_target(&self, target: Target, row_revision: Revision, now: Duration) {
        let id = target.id.clone();
        let is_draining = target.state == TargetState::Draining;
        let cold_ms = duration_ms(target.warmup_left);
        let started_at_ms = target.started_at_ms;
        let address = target.address;
        let previous = self
            .catalog
            .borrow()
            .get(&id)
            .map(|t| (t.started_at_ms, t.address));
        if !self.catalog.borrow_mut().upsert(target, row_revision, now) {
            return;
        }
        if previous != Some((started_at_ms, address)) {
            self.balancer.borrow_mut().reset_target(&id);
            self.client.close_idle(address);
        }
        if self.may_log_target_line() {
            log::info!(event = "target_known", target = id.as_str(), row:% = row_revision, draining = is_draining, cold_ms = cold_ms, born_ms = started_at_ms; "target added or updated");
        }
        merge_pending_statements(self, &id);
    }

    /// Removes a target whose row was deleted or has become invalid.
    ///
    /// With `after_outage`, the store has only just become reachable again. The removal is then
    /// delayed, since the target may still renew its row.
    pub(crate) fn remove_target(
        &self,
        id: &str,
        row_revision: Revision,
        reason: &str,
        after_outage: bool,
    ) {
        let now = self.now();
        let settled_at = after_outage.then(|| self.store_settles_at());
        if self
            .catalog
            .borrow_mut()
            .remove(id, row_revision, settled_at, now)
            && self.may_log_target_line()
        {
            log::info!(event = "target_gone", target = id, row:% = row_revision, reason = reason, held = after_outage; "target row deleted or invalid; its target is removed, or kept for a while if held");
        }
    }

    fn may_log_target_line(&self) -> bool {
        let mut lines = self.target_lines.borrow_mut();
        lines.may_log(MAX_TARGET_LINES_PER_S, self.now())
    }

    /// Logs how many changes of targets were not logged one by one.
    pub(crate) fn report_omitted_target_lines(&self) {
        let omitted = self.target_lines.borrow_mut().take_omitted(self.now());
        if let Some(omitted) = omitted {
            let newest = self.replica().newest_revision();
            log::info!(event = "target_lines_omitted", omitted = omitted, row:% = newest; "this many targets more were added, updated or removed; the state dump lists the row of each");
        }
    }

    /// Starts or ends the evacuation of a zone.
    pub(crate) fn apply_evacuation(
        &self,
        zone: &str,
        is_active: bool,
        row_revision: Revision,
        now: Duration,
    ) {
        if self
            .catalog
            .borrow_mut()
            .set_evacuation(zone, is_active, row_revision, now)
        {
            log::info!(event = "evacuation", zone = zone, active = is_active, row:% = row_revision; "evacuation of the zone started or ended; while it is active, the zone receives no new requests");
        }
    }

    /// Updates the state derived from rows after some were applied: the version announced to
    /// peers, the statistics of removed targets and the number of targets.
    pub(crate) fn refresh_derived_state(&self) {
        let newest = self.replica().newest_revision();
        self.member_view().set_control_revision(newest);
        let catalog = self.catalog.borrow();
        self.balancer
            .borrow_mut()
            .retain_targets(|id| catalog.get(id).is_some());
        self.update_limited_targets();
        metrics::gauge!("cicadalift_targets").set(to_f64(catalog.len()));
        #[allow(clippy::cast_precision_loss, reason = "versions stay far below 2^52")]
        metrics::gauge!("cicadalift_newest_row").set(newest.version() as f64);
    }
}

/// Logs what was not understood of a configuration and updates the metrics of its routes.
fn report_configuration(table: &RouteTable, warnings: &[Warning]) {
    let version = table.version();
    for warning in warnings {
        log::warn!(event = "configuration_unclear", subject = warning.subject.as_str(), reason = warning.reason.as_str(), version = version; "part of the configuration was not understood; a safe value holds in its place");
    }
    for route in table.unusable_routes() {
        log::warn!(event = "route_unusable", route = route.name.as_str(), host = route.host.as_str(), prefix = route.prefix.as_str(), reason = route.reason.as_str(), version = version; "route cannot be served; its requests are refused until the configuration changes");
    }
    metrics::gauge!("cicadalift_routes").set(to_f64(table.len()));
    metrics::gauge!("cicadalift_routes_unusable").set(to_f64(table.unusable_routes().len()));
    metrics::gauge!("cicadalift_configuration_warnings").set(to_f64(warnings.len()));
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) fn to_f64(count: usize) -> f64 {
    count as f64
}
