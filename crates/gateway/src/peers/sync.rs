//! Takes over all membership records of another VM now and then.

use {
    super::{
        crash::{known_crashes, take_over_crashes},
        records::{
            ENCODING_PARAMETER, mark_compressed, query_value, restore_body, takes_compressed,
        },
        socket::peer_address,
    },
    crate::{
        HttpResponse, Node, StoreError, frontend::text_response, http_client::ClientRequest,
        node::Cause,
    },
    bytes::Bytes,
    hyper::{Request, StatusCode, body::Incoming},
    member::{Scope, choose_sync_partner, delay_before_sync, sync_scopes},
    std::{rc::Rc, time::Duration},
    wire::{Datagram, Member, Signal},
};

const MEMBERS_PATH: &str = "/members";
const TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between checks whether another VM has been discovered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether another VM asks for the membership records of this one.
pub(crate) fn is_sync_request(request: &Request<Incoming>) -> bool {
    request.uri().path() == MEMBERS_PATH
}

/// Returns the membership records of this VM, or those of the zone `zone` in the query, in the form
/// of a datagram.
pub(crate) fn serve_members(node: &Node, request: &Request<Incoming>) -> HttpResponse {
    let query = request.uri().query().unwrap_or_default();
    let zone = query_value(query, "zone");
    let datagram = {
        let view = node.member_view();
        Datagram {
            signal: Signal::Ack,
            number: 0,
            from: view.local_member().clone(),
            about: String::new(),
            news: view.records_for_peer(zone),
            crashes: known_crashes(node),
        }
    };
    let compressed = takes_compressed(query);
    let encoded = wire::encode(&datagram);
    let encoded = if compressed {
        encoded.and_then(|bytes| wire::compress(&bytes))
    } else {
        encoded
    };
    match encoded {
        Ok(bytes) => {
            let mut response = HttpResponse::new(Bytes::from(bytes).into());
            if compressed {
                mark_compressed(&mut response);
            }
            response
        }
        Err(error) => {
            log::error!(event = "members_unwritable", reason:% = error; "membership records cannot be encoded; a peer does not get them");
            text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "members cannot be written",
            )
        }
    }
}

/// Takes over the membership records of another VM, several times soon after this VM has discovered
/// others and then at an interval, until the process ends.
pub(crate) async fn sync_members(node: Rc<Node>) {
    while node.member_view().peers().is_empty() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    for count in 0.. {
        tokio::time::sleep(delay_before_sync(count)).await;
        for scope in sync_scopes(count) {
            sync_with_partner(&node, *scope).await;
        }
    }
}

async fn sync_with_partner(node: &Rc<Node>, scope: Scope) {
    let Some(partner) = choose_partner(node, scope) else {
        return;
    };
    match fetch_members(node, &partner, scope).await {
        Ok(datagram) => merge_members(node, &datagram),
        Err(error) => {
            log::info!(event = "members_not_synced", vm = partner.name.as_str(), reason:% = error; "membership records could not be taken over from another VM; gossip goes on");
        }
    }
}

fn choose_partner(node: &Node, scope: Scope) -> Option<Member> {
    let view = node.member_view();
    let zone = &node.settings.zone;
    choose_sync_partner(zone, scope, view.peers(), &mut rand::rng()).cloned()
}

async fn fetch_members(
    node: &Rc<Node>,
    partner: &Member,
    scope: Scope,
) -> Result<Datagram, StoreError> {
    let malformed = |reason: String| StoreError::Malformed(reason);
    let address = peer_address(partner);
    let address = address.ok_or_else(|| malformed("address of the VM".to_owned()))?;
    let path = match scope {
        Scope::All => format!("{MEMBERS_PATH}?{ENCODING_PARAMETER}"),
        Scope::Zone => format!("{MEMBERS_PATH}?zone={}&{ENCODING_PARAMETER}", partner.zone),
    };
    let request = ClientRequest::get(address, &path, TIMEOUT);
    let response = node.client.execute(request).await?;
    node.record_traffic(Cause::Members, address, path.len() + response.length());
    if response.status != 200 {
        return Err(StoreError::Rejected(response.status));
    }
    let body = restore_body(response).map_err(|error| malformed(error.to_string()))?;
    wire::decode(&body).map_err(|error| malformed(error.to_string()))
}

fn merge_members(node: &Node, datagram: &Datagram) {
    take_over_crashes(node, &datagram.crashes);
    let now = node.now();
    let mut view = node.member_view();
    let previous = view.generation();
    view.record_contact(&datagram.from, now);
    view.merge_all(&datagram.news, now);
    if view.generation() != previous {
        log::info!(event = "members_changed", heard_from = datagram.from.name.as_str(), serving = view.serving_members().len(), records = datagram.news.len(); "membership changed by records taken over from another VM");
    }
}
