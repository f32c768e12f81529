//! Communication between VMs: membership gossip, link rates, crash counts, quotas, statements of
//! targets and replicated rows.

mod crash;
mod links;
mod prober;
mod quota;
mod records;
mod socket;
mod statements;
mod sync;

pub(crate) use crash::detect_crash;
pub(crate) use links::{is_links_request, learn_links, serve_links};
pub(crate) use prober::{broadcast_ping, probe_members, send_ping};
pub(crate) use quota::{hand_over_customers, send_claim, send_query};
pub(crate) use records::{
    ENCODING_PARAMETER, STORE_AGE_MS_HEADER, StoreNews, restore_body, serve_records,
};
pub(crate) use socket::{Socket, peer_address, receive_datagrams};
pub(crate) use statements::{HeardStatement, broadcast_statements, merge_pending_statements};
pub(crate) use sync::{is_sync_request, serve_members, sync_members};
