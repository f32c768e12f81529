//! Questions between VMs for tokens of customers, their answers, and handovers of customers.

use {
    super::socket::Socket,
    crate::{
        Node,
        node::{Cause, Reaction, duration_ms},
    },
    customer::{
        RateLimit,
        quota::{Entitlement, Grant, Handover},
    },
    serde::Serialize,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{QuotaClaim, QuotaGrant, QuotaHandover, QuotaReply, QuotaRequest, QuotaSpan, QuotaWant},
};

/// Factor from requests per second to those per 1,000 seconds.
const SECONDS_PER_UNIT: f64 = 1000.0;
/// Factor from tokens to thousandths of them.
const MILLI: f64 = 1000.0;

/// Asks a VM for tokens of a customer.
pub(crate) fn send_query(
    node: &Rc<Node>,
    to: SocketAddr,
    number: u64,
    customer: &str,
    entitlement: Entitlement,
    tokens: u32,
) {
    let request = QuotaRequest {
        from: node.settings.name.clone(),
        number,
        wants: vec![QuotaWant {
            customer: customer.to_owned(),
            tokens,
            limit_per_1000_s: to_whole(entitlement.limit.requests_per_s * SECONDS_PER_UNIT),
            burst: to_whole(entitlement.limit.burst),
            version: entitlement.version,
        }],
    };
    send_later(node, to, request);
}

/// Answers the questions of another VM.
pub(super) async fn answer(
    node: &Rc<Node>,
    socket: &Rc<Socket>,
    request: QuotaRequest,
    from: SocketAddr,
) {
    let mut grants = Vec::with_capacity(request.wants.len());
    for want in request.wants {
        let asked = (from, request.number);
        let reaction = node.react_at_once(&want.customer, entitlement(&want), want.tokens);
        match reaction.map(|reaction| node.pass_on(&want.customer, reaction, from)) {
            Ok(Reaction::Grant(grant)) => grants.push(to_message(want.customer, grant)),
            Ok(Reaction::Forward(successor)) => forward(node, successor, asked, &want),
            Err(_) => answer_later(node, socket, asked, want),
        }
    }
    if grants.is_empty() {
        return;
    }
    let reply = QuotaReply {
        number: request.number,
        grants,
    };
    socket.send(node, Cause::Quotas, from, &reply).await;
}

/// Answers a question once the customer was handed over to this VM, or was not in time.
fn answer_later(node: &Rc<Node>, socket: &Rc<Socket>, asked: (SocketAddr, u64), want: QuotaWant) {
    let node = node.clone();
    let socket = socket.clone();
    tokio::task::spawn_local(async move {
        let reaction = node.react(&want.customer, entitlement(&want), want.tokens);
        let reaction = reaction.await;
        match node.pass_on(&want.customer, reaction, asked.0) {
            Reaction::Grant(grant) => {
                let (from, number) = asked;
                let grants = vec![to_message(want.customer, grant)];
                let reply = QuotaReply { number, grants };
                socket.send(&node, Cause::Quotas, from, &reply).await;
            }
            Reaction::Forward(successor) => forward(&node, successor, asked, &want),
        }
    });
}

fn forward(node: &Rc<Node>, successor: SocketAddr, asked: (SocketAddr, u64), want: &QuotaWant) {
    node.forward_query(
        successor,
        asked,
        &want.customer,
        entitlement(want),
        want.tokens,
    );
}

/// Takes the answer of another VM, or passes it on to the VM that asked first.
pub(super) async fn record_reply(node: &Rc<Node>, socket: &Socket, reply: QuotaReply) {
    if let Some(forwarded) = node.take_forwarded(reply.number) {
        let reply = QuotaReply {
            number: forwarded.number,
            ..reply
        };
        socket
            .send(node, Cause::Quotas, forwarded.asked_by, &reply)
            .await;
        return;
    }
    for answer in reply.grants {
        let grant = Grant {
            tokens: answer.tokens,
            retry_after: Duration::from_millis(answer.retry_after_ms),
            is_limited: answer.limited,
        };
        node.record_grant(&answer.customer, reply.number, grant);
    }
}

/// Asks the VM that was the owner of a customer what it gave out.
pub(crate) fn send_claim(node: &Rc<Node>, to: SocketAddr, customer: &str) {
    let claim = QuotaClaim {
        customer: customer.to_owned(),
        from: node.settings.name.clone(),
    };
    send_later(node, to, claim);
}

/// Gives a customer to the VM that claims it.
pub(super) async fn answer_claim(
    node: &Rc<Node>,
    socket: &Socket,
    claim: QuotaClaim,
    from: SocketAddr,
) {
    let handover = node.hand_over_customer(&claim.customer, from);
    let message = handover_message(node, claim.customer, &handover);
    socket.send(node, Cause::Quotas, from, &message).await;
}

/// Gives the customers of this VM, which leaves, to those that own them next.
pub(crate) fn hand_over_customers(node: &Rc<Node>) {
    for (customer, successor) in node.successors() {
        let handover = node.hand_over_customer(&customer, successor);
        let message = handover_message(node, customer, &handover);
        send_later(node, successor, message);
    }
}

/// Takes note of what the owner before gave out.
pub(super) fn record_handover(node: &Node, message: &QuotaHandover) {
    let grants = message.grants.iter();
    let grants = grants.map(|span| (Duration::from_millis(span.age_ms), span.tokens));
    let handover = Handover {
        owner_for: message.owner_for_ms.map(Duration::from_millis),
        level: to_number(message.level_milli) / MILLI,
        grants: grants.collect(),
    };
    node.take_customer_over(&message.customer, &handover);
}

fn handover_message(node: &Node, customer: String, handover: &Handover) -> QuotaHandover {
    let grants = handover.grants.iter().map(|(age, tokens)| QuotaSpan {
        age_ms: duration_ms(*age),
        tokens: *tokens,
    });
    QuotaHandover {
        customer,
        from: node.settings.name.clone(),
        grants: grants.collect(),
        level_milli: to_whole(handover.level * MILLI),
        owner_for_ms: handover.owner_for.map(duration_ms),
    }
}

fn send_later(node: &Rc<Node>, to: SocketAddr, message: impl Serialize + 'static) {
    let Some(socket) = node.socket() else {
        return;
    };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        socket.send(&node, Cause::Quotas, to, &message).await;
    });
}

fn to_message(customer: String, grant: Grant) -> QuotaGrant {
    QuotaGrant {
        customer,
        tokens: grant.tokens,
        retry_after_ms: duration_ms(grant.retry_after),
        limited: grant.is_limited,
    }
}

fn entitlement(want: &QuotaWant) -> Entitlement {
    Entitlement {
        limit: RateLimit {
            requests_per_s: to_number(want.limit_per_1000_s) / SECONDS_PER_UNIT,
            burst: to_number(want.burst),
        },
        version: want.version,
    }
}

#[allow(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
fn to_number(whole: u64) -> f64 {
    whole as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are not negative; huge ones saturate"
)]
fn to_whole(number: f64) -> u64 {
    number.round() as u64
}
