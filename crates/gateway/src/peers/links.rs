//! Learns the link rates of other VMs, where large responses call for them.

use {
    super::{records::query_value, socket::peer_address},
    crate::{
        HttpResponse, Node, StoreError, frontend::text_response, http_client::ClientRequest,
        node::Cause,
    },
    bytes::Bytes,
    hyper::{Request, StatusCode, body::Incoming},
    std::{rc::Rc, time::Duration},
    wire::{Link, Member},
};

/// Path under which a VM states link rates.
const LINKS_PATH: &str = "/links";
/// Time allowed for the answer of another VM.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which one of the VMs with unknown links is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Returns whether another VM asks for link rates.
pub(crate) fn is_links_request(request: &Request<Incoming>) -> bool {
    request.uri().path() == LINKS_PATH
}

/// Returns the link rates that this VM knows of the zone `zone` in the query.
pub(crate) fn serve_links(node: &Node, request: &Request<Incoming>) -> HttpResponse {
    let zone = query_value(request.uri().query().unwrap_or_default(), "zone");
    record_own_link(node);
    let links = {
        let view = node.member_view();
        let members = view.members();
        let in_zone = members.iter().filter(|m| zone.is_none_or(|z| m.zone == z));
        node.links.borrow().select(in_zone.map(|m| m.name.as_str()))
    };
    match wire::encode(&links) {
        Ok(bytes) => HttpResponse::new(Bytes::from(bytes).into()),
        Err(error) => {
            log::error!(event = "links_unwritable", reason:% = error; "link rates cannot be encoded; a peer does not get them");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "links cannot be written")
        }
    }
}

/// Asks VMs with unknown links, one at a time, as long as there is a route for downloads, until the
/// process ends.
pub(crate) async fn learn_links(node: Rc<Node>) {
    loop {
        tokio::time::sleep(ASK_INTERVAL).await;
        if !node.route_table().has_downloads() {
            continue;
        }
        record_own_link(&node);
        forget_replaced_vms(&node);
        let Some(partner) = choose_partner(&node) else {
            continue;
        };
        match fetch_links(&node, &partner).await {
            Ok(links) => merge_links(&node, &partner, links),
            Err(error) => {
                if !matches!(error, StoreError::Rejected(_)) {
                    node.links.borrow_mut().forget_asked(&partner.name);
                }
                log::info!(event = "links_not_learned", vm = partner.name.as_str(), reason:% = error; "another VM did not state link rates; its link counts as narrow until it does");
            }
        }
    }
}

fn record_own_link(node: &Node) {
    let Some(mbps) = node.settings.link_mbps else {
        return;
    };
    let own = Link {
        vm: node.settings.name.clone(),
        boot_ms: node.member_view().local_member().boot_ms,
        mbps,
    };
    node.links.borrow_mut().merge([own]);
}

/// Forgets the links of VMs that are no members any more.
fn forget_replaced_vms(node: &Node) {
    let view = node.member_view();
    let is_known = |vm: &str| vm == node.settings.name || view.contains(vm);
    node.links.borrow_mut().retain(is_known);
}

fn choose_partner(node: &Node) -> Option<Member> {
    let view = node.member_view();
    let mut links = node.links.borrow_mut();
    let zone = &node.settings.zone;
    links
        .choose_next(zone, view.peers(), node.now(), &mut rand::rng())
        .cloned()
}

async fn fetch_links(node: &Rc<Node>, partner: &Member) -> Result<Vec<Link>, StoreError> {
    let malformed = |reason: String| StoreError::Malformed(reason);
    let address = peer_address(partner);
    let address = address.ok_or_else(|| malformed("address of the VM".to_owned()))?;
    let path = format!("{LINKS_PATH}?zone={}", partner.zone);
    let request = ClientRequest::get(address, &path, TIMEOUT);
    let response = node.client.execute(request).await?;
    node.record_traffic(Cause::Links, address, path.len() + response.length());
    if response.status != 200 {
        return Err(StoreError::Rejected(response.status));
    }
    wire::decode(&response.body).map_err(|error| malformed(error.to_string()))
}

fn merge_links(node: &Node, partner: &Member, heard: Vec<Link>) {
    let count = heard.len();
    let mut links = node.links.borrow_mut();
    let previous = links.generation();
    links.merge(heard);
    if links.generation() != previous {
        log::info!(event = "links_learned", heard_from = partner.name.as_str(), zone = partner.zone.as_str(), links = count; "link rates of VMs learned; queues of targets that serve downloads are owned by those with wide links");
        metrics::counter!("cicadalift_links_learned_total")
            .increment(links.generation() - previous);
    }
}
