//! What becomes of a request whose caller leaves before the response.

use {
    super::{
        in_flight,
        response::{HttpResponse, text_response},
    },
    crate::{
        Node,
        http_client::SendTracker,
        node::{RequestContext, duration_ms},
    },
    hyper::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// A request in progress. If it is dropped before its response, its caller has left.
pub(super) struct Guard {
    node: Rc<Node>,
    tracker: SendTracker,
    id: String,
    arrived_at: Duration,
    /// Whether another VM relayed the request.
    is_relayed: bool,
    is_idempotent: bool,
    is_answered: bool,
}

impl Guard {
    pub(super) fn new(node: &Rc<Node>, context: &RequestContext) -> Self {
        Self {
            node: node.clone(),
            tracker: context.tracker.clone(),
            id: context.id.clone(),
            arrived_at: context.arrived_at,
            is_relayed: context.assignment.is_some(),
            is_idempotent: context.is_idempotent(),
            is_answered: false,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let was_sent = self.tracker.is_at_target() || self.tracker.may_have_run();
        let stage = if was_sent { "sent" } else { "not sent" };
        let after_ms = duration_ms(self.node.now().saturating_sub(self.arrived_at));
        metrics::counter!("cicadalift_callers_left_total", "stage" => stage).increment(1);
        log::info!(event = "caller_left", request = self.id.as_str(), stage = stage, relayed = self.is_relayed, after_ms = after_ms; "caller left before the response; a request that was not sent to a target is dropped");
        self.tracker.record_caller_left();
    }
}

/// Runs a request until its caller leaves, or to its end if it is at a target then and may run once
/// only. It counts as in flight as long as it runs.
///
/// Hyper drops the future of a request whose caller disconnects. A request that may run once only runs
/// in a task of its own, which is not cancelled while it is at a target.
pub(super) async fn run_request(
    mut guard: Guard,
    in_flight: Rc<in_flight::Guard>,
    future: impl Future<Output = HttpResponse> + 'static,
) -> HttpResponse {
    let future = async move {
        let response = future.await;
        drop(in_flight);
        response
    };
    let response = if guard.is_idempotent {
        future.await
    } else {
        run_once(guard.tracker.clone(), future).await
    };
    guard.is_answered = true;
    response
}

/// Runs a request in a task that ends when nobody waits for the response and no target has it.
async fn run_once(
    tracker: SendTracker,
    future: impl Future<Output = HttpResponse> + 'static,
) -> HttpResponse {
    let task = tokio::task::spawn_local(async move {
        tokio::select! {
            biased;
            () = tracker.abandoned() => {
                // Nobody receives this.
                text_response(StatusCode::SERVICE_UNAVAILABLE, "caller left")
            }
            response = future => response,
        }
    });
    task.await.unwrap_or_else(|error| {
        log::error!(event = "task_failed", reason:% = error; "request task panicked; responding with status 500");
        text_response(StatusCode::INTERNAL_SERVER_ERROR, "internal error")
    })
}
