//! Polls the platform in turn, spread over time.

use {
    crate::{node::Node, peers},
    actix::{Actor, AsyncContext, Context},
    ports::{Condition, Effect, Op, OpResult, Platform, PlatformError, Range},
    std::{sync::Arc, time::Duration},
    wire::Document,
};

/// Key of the row that holds the control document.
pub(crate) const CONTROL_ROW: &str = "control";

const CONTROL_INTERVAL: Duration = Duration::from_secs(2);
const LIST_INTERVAL: Duration = Duration::from_secs(5);
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Rows in one sweep: 1,000 a second, more than claims can be written.
const SWEEP_ROWS: u32 = 5000;

/// Polls the platform for one node.
pub(crate) struct Poller {
    pub(crate) node: Arc<Node>,
    pub(crate) platform: Platform,
}

impl Actor for Poller {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.poll_control();
        self.poll_list();
        ctx.run_interval(CONTROL_INTERVAL, |this, _| this.poll_control());
        ctx.run_interval(LIST_INTERVAL, |this, _| this.poll_list());
        ctx.run_interval(SWEEP_INTERVAL, |this, _| this.sweep());
    }
}

impl Poller {
    fn poll_control(&self) {
        let (node, platform) = (self.node.clone(), self.platform.clone());
        actix::spawn(async move {
            if let Ok(document) = read_document(&node, &platform).await {
                heard(&node, &document);
            }
        });
    }

    fn poll_list(&self) {
        let (node, list) = (self.node.clone(), self.platform.vms.list.clone());
        actix::spawn(async move {
            let Ok(listed) = list(()).await else {
                return;
            };
            for vm in listed.iter().filter(|vm| !vm.leaving) {
                peers::add_peer(&node, vm);
            }
        });
    }

    /// Removes expired claims; only one VM at a time, the first by name.
    fn sweep(&self) {
        let mine = {
            let state = self.node.state();
            let serving = state.view.serving_members();
            serving
                .first()
                .is_some_and(|first| first.name == self.node.vm.name)
        };
        if !mine {
            return;
        }
        let range = Range {
            from: "claim/t/".to_owned(),
            to: once::Key::sweep_end(self.node.clock.unix_ms()),
            limit: SWEEP_ROWS,
        };
        let sweep = self.platform.table.delete_range.clone();
        actix::spawn(async move {
            if let Ok(rows) = sweep(range).await {
                log::debug!(event = "claims_swept", rows = rows; "expired claims removed");
            }
        });
    }
}

fn heard(node: &Node, document: &Document) {
    let now = node.now();
    let mut state = node.state();
    state.platform_contact_at = now;
    if state.adopt_document(document, now) {
        log::info!(event = "control_adopted", version = document.version, source = "platform"; "control document in force");
    }
}

/// Reads the control document; the first VM of a new fleet writes it.
pub(crate) async fn read_document(
    node: &Node,
    platform: &Platform,
) -> Result<Document, PlatformError> {
    let mut rows = (platform.table.get)(vec![CONTROL_ROW.to_owned()]).await?;
    if let Some(row) = rows.pop().flatten() {
        return serde_json::from_str(&row.value).map_err(|_| PlatformError::ResponseLost);
    }
    let first = control::initial_document(&node.state().fleet.initial_preset);
    let value = serde_json::to_string(&first).map_err(|_| PlatformError::ResponseLost)?;
    let op = Op {
        key: CONTROL_ROW.to_owned(),
        condition: Condition::Absent,
        effect: Effect::Put(value),
    };
    match (platform.table.commit)(vec![op]).await?.pop() {
        Some(OpResult::Refused(Some(row))) => {
            serde_json::from_str(&row.value).map_err(|_| PlatformError::ResponseLost)
        }
        Some(OpResult::Applied(_)) => Ok(first),
        _ => Err(PlatformError::ResponseLost),
    }
}
