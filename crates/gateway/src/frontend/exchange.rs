//! Exchanges with targets whose response goes on arriving when the request may be sent to another one.

use {
    super::record::{
        RelayedExchange, observe_body, record_outcome, record_passed_on, record_relayed_exchange,
    },
    crate::{
        Node,
        http_client::{Outcome, PartialResponse, has_memory_for_stream},
        node::{RequestContext, Reservation, duration_ms},
    },
    balance::Dispatch,
    std::rc::Rc,
};

/// An exchange with a target.
pub(super) enum Exchange {
    Ended(Outcome),
    /// Its response goes on arriving when the request may be sent to another target.
    Open(Box<OpenExchange>),
}

impl Exchange {
    /// Awaits the end of the exchange.
    pub(super) async fn finish(
        self,
        node: &Rc<Node>,
        context: &RequestContext,
        fingerprint: &str,
    ) -> Outcome {
        match self {
            Self::Ended(outcome) => outcome,
            Self::Open(exchange) => exchange.finish(node, context, fingerprint).await,
        }
    }
}

/// An exchange whose response goes on arriving. Dropping it closes its connection.
pub(super) struct OpenExchange {
    response: Box<PartialResponse>,
    /// The request counts as in flight at its target.
    reservation: Rc<Reservation>,
    /// Name of the VM that relays the response; `None` if it comes from the target itself.
    through: Option<String>,
}

impl OpenExchange {
    pub(super) fn new(
        response: Box<PartialResponse>,
        reservation: &Rc<Reservation>,
        through: Option<String>,
    ) -> Self {
        Self {
            response,
            reservation: reservation.clone(),
            through,
        }
    }

    /// Returns the dispatch to the target that is at work on the request.
    pub(super) fn dispatch(&self) -> &Dispatch {
        &self.reservation.dispatch
    }

    /// Logs that the request may be sent to another target from now on.
    pub(super) fn report_overdue(&self, node: &Node, context: &RequestContext) {
        let now = node.now();
        let dispatch = self.dispatch();
        let through = self.through.as_deref().unwrap_or_default();
        let took_ms = duration_ms(now.saturating_sub(dispatch.sent_at));
        let left_ms = duration_ms(context.deadline.saturating_sub(now));
        let objective_ms = duration_ms(context.route.objective);
        metrics::counter!("cicadalift_bodies_overdue_total").increment(1);
        log::info!(event = "body_overdue", request = context.id.as_str(), target = dispatch.target.as_str(), through = through, bytes = self.response.arrived_bytes(), took_ms = took_ms, left_ms = left_ms, objective_ms = objective_ms; "body without a length still comes; its request may be sent to another target beside it");
    }

    /// Awaits the rest of the response, and records how the exchange ended.
    pub(super) async fn finish(
        self,
        node: &Rc<Node>,
        context: &RequestContext,
        fingerprint: &str,
    ) -> Outcome {
        let outcome = self.response.finish().await;
        let reservation = &self.reservation;
        match &self.through {
            None => record_outcome(node, context, reservation, &outcome, fingerprint),
            Some(through) => {
                let exchange = RelayedExchange {
                    through,
                    outcome: &outcome,
                    running_time: None,
                };
                record_relayed_exchange(node, context, reservation, &exchange, fingerprint);
            }
        }
        observe_body(node, context, reservation, outcome)
    }

    /// Returns the response for the VM that relayed the request, which decides whether the request is
    /// sent to another target. It gets the rest of the body while it arrives.
    pub(super) async fn pass_on(
        self,
        node: &Rc<Node>,
        context: &RequestContext,
        fingerprint: &str,
    ) -> Outcome {
        if !has_memory_for_stream(&node.client.memory) {
            return self.finish(node, context, fingerprint).await;
        }
        let reservation = self.reservation;
        let mut response = match self.response.into_streamed() {
            Ok(response) => response,
            Err(fault) => return Outcome::Indeterminate(fault),
        };
        let (target, sent_at) = (&reservation.dispatch.target, reservation.dispatch.sent_at);
        node.record_statements(target, &response.feedback, sent_at, &context.id, true);
        let load = response.feedback.load;
        let (node, context) = (node.clone(), context.clone());
        let fingerprint = fingerprint.to_owned();
        response.body.on_end(move |end| {
            record_passed_on(&node, &context, &reservation, load, end, &fingerprint);
        });
        Outcome::Answered(Box::new(response))
    }
}
