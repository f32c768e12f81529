//! Responses to requests beyond the quota of their customer.

use {
    super::{
        head::RequestHead,
        response::{HttpResponse, limited_response, unavailable_response},
    },
    crate::{
        Node,
        http_client::SendTracker,
        node::{HeldToken, duration_ms},
    },
    customer::{Customer, quota::Refusal},
    std::rc::Rc,
};

/// Takes a token for a request of a customer, if it needs one, or returns the response that refuses it.
pub(super) async fn admit(
    node: &Rc<Node>,
    customer: &Customer,
    head: &RequestHead,
    tracker: &SendTracker,
) -> Result<Option<HeldToken>, Box<HttpResponse>> {
    let refusal = match node.admit_customer(customer).await {
        Ok(token) => {
            return Ok(token.map(|token| HeldToken::new(node, &customer.name, token, tracker)));
        }
        Err(refusal) => refusal,
    };
    let id = head.request_id.to_str().unwrap_or_default();
    let name = customer.name.as_str();
    let response = match refusal {
        Refusal::Limited { retry_after } => {
            log::info!(event = "request_refused", request = id, customer = name, status = 429, reason = "quota", after_ms = duration_ms(retry_after); "request refused: its customer's quota is used up");
            node.count_quota_refusal(name, "limit");
            limited_response("quota used up", retry_after)
        }
        Refusal::Unknown { retry_after } => {
            log::info!(event = "request_refused", request = id, customer = name, status = 503, reason = "quota unknown", after_ms = duration_ms(retry_after); "request refused: no VM could tell whether its customer's quota is used up");
            node.count_quota_refusal(name, "unknown");
            unavailable_response("quota not known", retry_after)
        }
    };
    Err(Box::new(response))
}
