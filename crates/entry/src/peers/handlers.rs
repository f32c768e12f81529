//! HTTP handlers of the listener for other VMs.

use {
    super::gossip,
    crate::{node::Node, run::Context, steering},
    actix_web::{HttpResponse, web},
    std::sync::Arc,
    wire::{Document, Forward, Gossip},
};

const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Registers the routes of the listener for other VMs.
pub(crate) fn configure_routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route("/peer/gossip", web::post().to(handle_gossip))
        .route("/peer/probe", web::post().to(handle_probe))
        .route("/peer/control", web::post().to(handle_pushed_document))
        .route("/peer/document", web::post().to(handle_document_pull))
        .route("/peer/forward", web::post().to(handle_forward));
}

async fn handle_gossip(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok(message) = wire::decode::<Gossip>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let node = &context.node;
    let peer_is_new = !node.state().view.contains(&message.from.name);
    if gossip::merge_message(node, &message) {
        let (node, clients) = (node.clone(), context.clients.clone());
        actix_web::rt::spawn(async move {
            let address = node.peer_address(&message.from.name, &message.from.peer);
            gossip::pull_document(&node, &clients, &address).await;
        });
    }
    respond_encoded(&gossip::build_message(node, peer_is_new))
}

/// Probes a member for a peer that cannot reach it; responds whether the member
/// responded.
async fn handle_probe(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok(name) = wire::decode::<String>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let node = &context.node;
    let advertised_address = {
        let state = node.state();
        let members = state.view.members();
        let member = members.into_iter().find(|member| member.name == name);
        member.map(|member| member.peer.clone())
    };
    let Some(advertised_address) = advertised_address else {
        return respond_encoded(&false);
    };
    let address = node.peer_address(&name, &advertised_address);
    respond_encoded(&gossip::exchange(node, &context.clients, &address, false).await)
}

async fn handle_pushed_document(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok(document) = wire::decode::<Document>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let node = &context.node;
    respond_encoded(&adopt_document(node, &document))
}

/// Puts a document in force if it is newer; returns the version in force.
fn adopt_document(node: &Arc<Node>, document: &Document) -> u64 {
    let now = node.now();
    let mut state = node.state();
    if state.adopt_document(document, now) {
        log::info!(event = "control_adopted", version = document.version, source = "push"; "control document in force");
    }
    state.replica.version()
}

async fn handle_document_pull(context: web::Data<Context>) -> HttpResponse {
    let document = context.node.state().replica.current().cloned();
    respond_encoded(&document)
}

async fn handle_forward(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok((head, request_bytes)) = wire::decode_frame::<Forward>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let request_body = body.slice_ref(request_bytes);
    let response = steering::run_forwarded(&context, head, request_body).await;
    let frame = wire::encode_frame(&steering::build_reply(&response), &response.body);
    frame.map_or_else(
        |_| HttpResponse::InternalServerError().finish(),
        |frame| HttpResponse::Ok().body(frame),
    )
}

fn respond_encoded<T: serde::Serialize>(value: &T) -> HttpResponse {
    wire::encode(value).map_or_else(
        |_| HttpResponse::InternalServerError().finish(),
        |bytes| HttpResponse::Ok().body(bytes),
    )
}
