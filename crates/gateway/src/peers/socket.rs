//! Gossip datagrams between VMs.

use {
    super::{
        quota,
        statements::{merge_statements, send_statements},
    },
    crate::{Node, node::Cause},
    serde::Serialize,
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
    wire::{
        Crash, Datagram, Map, Member, QuotaClaim, QuotaHandover, QuotaReply, QuotaRequest, Signal,
        Statements,
    },
};

/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 8192;
/// Maximum number of membership records in one datagram.
const MAX_MEMBER_UPDATES: usize = 6;
/// Maximum number of crash counts in one datagram.
const MAX_CRASH_REPORTS: usize = 8;
/// Number of datagrams in which a crash count is sent.
const CRASH_REPORT_SENDS: u32 = 12;

/// The gossip socket and the acknowledgements that are expected on it.
pub(crate) struct Socket {
    udp: UdpSocket,
    /// By sequence number, the channel that is notified of the acknowledgement.
    expected_acks: std::cell::RefCell<Map<u64, tokio::sync::oneshot::Sender<()>>>,
    next_number: std::cell::Cell<u64>,
}

impl Socket {
    /// Opens a socket on the given address.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            udp: UdpSocket::bind(address).await?,
            expected_acks: std::cell::RefCell::default(),
            next_number: std::cell::Cell::new(1),
        })
    }

    /// Returns a sequence number that this socket has not used yet.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Returns a receiver that is notified when the datagram with a sequence number is
    /// acknowledged.
    pub(crate) fn expect_ack(&self, number: u64) -> tokio::sync::oneshot::Receiver<()> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.expected_acks.borrow_mut().insert(number, sender);
        receiver
    }

    /// Stops expecting the acknowledgement of a datagram.
    pub(crate) fn forget_ack(&self, number: u64) {
        self.expected_acks.borrow_mut().remove(&number);
    }

    /// Sends a datagram. Errors are only logged, since the network may lose datagrams anyway.
    pub(crate) async fn send(
        &self,
        node: &Node,
        cause: Cause,
        to: SocketAddr,
        datagram: &impl Serialize,
    ) {
        let result = match wire::encode(datagram) {
            Ok(bytes) => {
                node.record_traffic(cause, to, bytes.len());
                self.udp.send_to(&bytes, to).await.map(drop)
            }
            Err(error) => Err(std::io::Error::other(error)),
        };
        if let Err(error) = result {
            log::debug!(event = "datagram_lost", reason:% = error; "datagram could not be sent");
        }
    }
}

/// Builds a datagram from this VM with the membership records and crash counts that changed
/// recently, and counts them as sent.
pub(crate) fn build_datagram(node: &Node, signal: Signal, number: u64, about: &str) -> Datagram {
    let mut view = node.member_view();
    let news = view.take_updates(MAX_MEMBER_UPDATES);
    Datagram {
        signal,
        number,
        from: view.local_member().clone(),
        about: about.to_owned(),
        news,
        crashes: take_crash_reports(node),
    }
}

/// Returns the crash counts for the next datagram and removes those that were sent often enough.
fn take_crash_reports(node: &Node) -> Vec<Crash> {
    let mut reports = node.crash_reports.borrow_mut();
    for (_, sends) in reports.iter_mut().take(MAX_CRASH_REPORTS) {
        *sends += 1;
    }
    let batch = reports
        .iter()
        .take(MAX_CRASH_REPORTS)
        .map(|(crash, _)| crash.clone());
    let batch = batch.collect();
    reports.retain(|(_, sends)| *sends < CRASH_REPORT_SENDS);
    batch
}

/// Receives and processes datagrams until the process ends.
pub(crate) async fn receive_datagrams(node: Rc<Node>, socket: Rc<Socket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(event = "datagram_lost", reason:% = error; "datagram could not be received");
                continue;
            }
        };
        let bytes = &buffer[..length];
        match wire::decode::<Datagram>(bytes) {
            Ok(datagram) => handle_datagram(&node, &socket, datagram, from).await,
            Err(error) => {
                if let Ok(request) = wire::decode::<QuotaRequest>(bytes) {
                    quota::answer(&node, &socket, request, from).await;
                } else if let Ok(reply) = wire::decode::<QuotaReply>(bytes) {
                    quota::record_reply(&node, &socket, reply).await;
                } else if let Ok(claim) = wire::decode::<QuotaClaim>(bytes) {
                    quota::answer_claim(&node, &socket, claim, from).await;
                } else if let Ok(handover) = wire::decode::<QuotaHandover>(bytes) {
                    quota::record_handover(&node, &handover);
                } else if let Ok(statements) = wire::decode::<Statements>(bytes) {
                    merge_statements(&node, statements);
                } else {
                    log::warn!(event = "datagram_unreadable", from:% = from, reason:% = error; "datagram cannot be decoded and is dropped");
                }
            }
        }
    }
}

async fn handle_datagram(
    node: &Rc<Node>,
    socket: &Rc<Socket>,
    datagram: Datagram,
    from: SocketAddr,
) {
    if merge_gossip(node, &datagram) {
        // A VM that has just started knows no statements of targets yet.
        send_statements(node, socket, from).await;
    }
    match datagram.signal {
        Signal::Ping => {
            let acknowledgement = self::build_datagram(node, Signal::Ack, datagram.number, "");
            socket
                .send(node, Cause::Probes, from, &acknowledgement)
                .await;
        }
        Signal::Ack => {
            let expected = socket.expected_acks.borrow_mut().remove(&datagram.number);
            if let Some(sender) = expected {
                // The send fails if the prober no longer waits, which is not an error.
                let _ = sender.send(());
            }
        }
        Signal::Ask => {
            let probe = super::prober::probe_for_peer(node.clone(), socket.clone(), datagram, from);
            tokio::task::spawn_local(probe);
        }
    }
}

/// Merges the sender's membership record and everything that it passed on. Returns whether the
/// membership changed.
fn merge_gossip(node: &Rc<Node>, datagram: &Datagram) -> bool {
    let now = node.now();
    let is_changed = {
        let mut view = node.member_view();
        let previous = view.generation();
        view.record_contact(&datagram.from, now);
        view.merge(&datagram.news, now);
        if view.generation() != previous {
            log::info!(event = "members_changed", heard_from = datagram.from.name.as_str(), serving = view.serving_members().len(); "membership changed");
        }
        view.generation() != previous
    };
    for crash in &datagram.crashes {
        super::crash::merge_report(node, crash);
    }
    is_changed
}

/// Returns the address at which other VMs reach a member, or `None` if it cannot be parsed.
pub(crate) fn peer_address(member: &Member) -> Option<SocketAddr> {
    member.peer.parse().ok()
}
