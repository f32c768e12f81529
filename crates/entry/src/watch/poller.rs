//! Actor that polls the platform and removes expired claims from the table service.

use {
    crate::{node::Node, peers},
    actix::{Actor, AsyncContext, Context},
    ports::{Condition, Effect, Op, OpResult, Platform, PlatformError, Range},
    std::{sync::Arc, time::Duration},
    wire::Document,
};

/// Key of the row in the table service that holds the control document.
pub(crate) const CONTROL_ROW_KEY: &str = "control";

const DOCUMENT_INTERVAL: Duration = Duration::from_secs(2);
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Rows that one sweep removes at most: 1,000 per second, more than the rate at which
/// claims can be written.
const MAX_SWEEP_ROWS: u32 = 5000;

/// Actor that polls the platform for one node.
pub(crate) struct Poller {
    pub(crate) node: Arc<Node>,
    pub(crate) platform: Platform,
}

impl Actor for Poller {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.poll_document();
        self.poll_vm_list();
        ctx.run_interval(DOCUMENT_INTERVAL, |this, _| this.poll_document());
        ctx.run_interval(VM_LIST_INTERVAL, |this, _| this.poll_vm_list());
        ctx.run_interval(SWEEP_INTERVAL, |this, _| this.sweep_claims());
    }
}

impl Poller {
    fn poll_document(&self) {
        let (node, platform) = (self.node.clone(), self.platform.clone());
        actix::spawn(async move {
            if let Ok(document) = read_document(&node, &platform).await {
                adopt_document(&node, &document);
            }
        });
    }

    fn poll_vm_list(&self) {
        let (node, list) = (self.node.clone(), self.platform.vms.list.clone());
        actix::spawn(async move {
            let Ok(vms) = list(()).await else {
                return;
            };
            for vm in vms.iter().filter(|vm| !vm.leaving) {
                peers::add_peer(&node, vm);
            }
        });
    }

    /// Removes expired claims. Only one VM sweeps at a time: the serving member that is
    /// first by name.
    fn sweep_claims(&self) {
        let is_sweeper = {
            let state = self.node.state();
            let serving = state.view.serving_members();
            serving
                .first()
                .is_some_and(|first| first.name == self.node.vm.name)
        };
        if !is_sweeper {
            return;
        }
        let range = Range {
            from: "claim/t/".to_owned(),
            to: once::Key::sweep_end(self.node.clock.unix_time_ms()),
            limit: MAX_SWEEP_ROWS,
        };
        let delete_range = self.platform.table.delete_range.clone();
        actix::spawn(async move {
            if let Ok(rows) = delete_range(range).await {
                log::debug!(event = "claims_swept", rows = rows; "expired claims removed");
            }
        });
    }
}

/// Records that the platform responded and puts its document in force if it is newer.
fn adopt_document(node: &Node, document: &Document) {
    let now = node.now();
    let mut state = node.state();
    state.platform_contact_at = now;
    if state.adopt_document(document, now) {
        log::info!(event = "control_adopted", version = document.version, source = "platform"; "control document in force");
    }
}

/// Returns the control document of the table service. In a new fleet, the first VM to
/// call this writes the initial document. A row that cannot be parsed gives
/// [`PlatformError::ResponseLost`].
pub(crate) async fn read_document(
    node: &Node,
    platform: &Platform,
) -> Result<Document, PlatformError> {
    let mut rows = (platform.table.get)(vec![CONTROL_ROW_KEY.to_owned()]).await?;
    if let Some(row) = rows.pop().flatten() {
        return serde_json::from_str(&row.value).map_err(|_| PlatformError::ResponseLost);
    }
    let initial = control::initial_document(&node.state().fleet.initial_preset);
    let value = serde_json::to_string(&initial).map_err(|_| PlatformError::ResponseLost)?;
    let op = Op {
        key: CONTROL_ROW_KEY.to_owned(),
        condition: Condition::Absent,
        effect: Effect::Put(value),
    };
    match (platform.table.commit)(vec![op]).await?.pop() {
        Some(OpResult::Refused(Some(row))) => {
            serde_json::from_str(&row.value).map_err(|_| PlatformError::ResponseLost)
        }
        Some(OpResult::Applied(_)) => Ok(initial),
        _ => Err(PlatformError::ResponseLost),
    }
}
