//! The listener for other VMs.

use {
    super::gossip,
    crate::{node::Node, run::Context, steering},
    actix_web::{HttpResponse, web},
    std::sync::Arc,
    wire::{Document, Forward, Gossip},
};

const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Routes of the listener for other VMs.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route("/peer/gossip", web::post().to(gossip))
        .route("/peer/probe", web::post().to(probe))
        .route("/peer/control", web::post().to(control))
        .route("/peer/document", web::post().to(document))
        .route("/peer/forward", web::post().to(forward));
}

async fn gossip(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok(news) = wire::decode::<Gossip>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let node = &context.node;
    let newcomer = !node.state().view.contains(&news.from.name);
    if gossip::absorb(node, &news) {
        let (node, clients) = (node.clone(), context.clients.clone());
        actix_web::rt::spawn(async move {
            let address = node.peer_address(&news.from.name, &news.from.peer);
            gossip::fetch_document(&node, &clients, &address).await;
        });
    }
    pack(&gossip::compose(node, newcomer))
}

async fn probe(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok(name) = wire::decode::<String>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let node = &context.node;
    let own = {
        let state = node.state();
        let all = state.view.members();
        let member = all.into_iter().find(|member| member.name == name);
        member.map(|member| member.peer.clone())
    };
    let Some(own) = own else {
        return pack(&false);
    };
    let address = node.peer_address(&name, &own);
    pack(&gossip::exchange(node, &context.clients, &address, false).await)
}

async fn control(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok(document) = wire::decode::<Document>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let node = &context.node;
    pack(&adopt(node, &document))
}

fn adopt(node: &Arc<Node>, document: &Document) -> u64 {
    let now = node.now();
    let mut state = node.state();
    if state.adopt_document(document, now) {
        log::info!(event = "control_adopted", version = document.version, source = "push"; "control document in force");
    }
    state.replica.version()
}

async fn document(context: web::Data<Context>) -> HttpResponse {
    let document = context.node.state().replica.current().cloned();
    pack(&document)
}

async fn forward(context: web::Data<Context>, body: web::Bytes) -> HttpResponse {
    let Ok((head, rest)) = wire::decode_frame::<Forward>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let request_body = body.slice_ref(rest);
    let answer = steering::run_forwarded(&context, head, request_body).await;
    let frame = wire::encode_frame(&steering::build_reply(&answer), &answer.body);
    frame.map_or_else(
        |_| HttpResponse::InternalServerError().finish(),
        |frame| HttpResponse::Ok().body(frame),
    )
}

fn pack<T: serde::Serialize>(value: &T) -> HttpResponse {
    wire::encode(value).map_or_else(
        |_| HttpResponse::InternalServerError().finish(),
        |bytes| HttpResponse::Ok().body(bytes),
    )
}
