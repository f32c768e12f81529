//! Datagrams between VMs.

use {
    crate::Node,
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
    wire::{Crash, Datagram, Map, Member, Signal},
};

const MAX_BYTES: usize = 8192;
/// Records of changed members in one datagram.
const MAX_NEWS: usize = 6;
const MAX_CRASHES: usize = 8;
/// How often a crash count is told.
const CRASH_SENDS: u32 = 12;

/// The socket, and the answers that are awaited on it.
pub(crate) struct Socket {
    udp: UdpSocket,
    awaited: std::cell::RefCell<Map<u64, tokio::sync::oneshot::Sender<()>>>,
    number: std::cell::Cell<u64>,
}

impl Socket {
    /// Opens the socket.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            udp: UdpSocket::bind(address).await?,
            awaited: std::cell::RefCell::default(),
            number: std::cell::Cell::new(1),
        })
    }

    /// A number that no other datagram of this VM bears.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.number.get();
        self.number.set(number + 1);
        number
    }

    /// Awaits the answer to a datagram.
    pub(crate) fn expect(&self, number: u64) -> tokio::sync::oneshot::Receiver<()> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.awaited.borrow_mut().insert(number, sender);
        receiver
    }

    /// Awaits it no longer.
    pub(crate) fn give_up(&self, number: u64) {
        self.awaited.borrow_mut().remove(&number);
    }

    /// Sends a datagram; one that is lost is like one that the network lost.
    pub(crate) async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let sent = match wire::encode(datagram) {
            Ok(bytes) => self.udp.send_to(&bytes, to).await.map(drop),
            Err(error) => Err(std::io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::debug!(event = "datagram_lost", reason:% = error; "datagram not sent");
        }
    }
}

/// A datagram from this VM with the news that it has.
pub(crate) fn datagram(node: &Node, signal: Signal, number: u64, about: &str) -> Datagram {
    let mut view = node.member_view();
    let news = view.take_updates(MAX_NEWS);
    Datagram {
        signal,
        number,
        from: view.local_member().clone(),
        about: about.to_owned(),
        news,
        crashes: crashes(node),
    }
}

fn crashes(node: &Node) -> Vec<Crash> {
    let mut told = node.crash_reports.borrow_mut();
    for (_, sends) in told.iter_mut().take(MAX_CRASHES) {
        *sends += 1;
    }
    let out = told
        .iter()
        .take(MAX_CRASHES)
        .map(|(crash, _)| crash.clone());
    let out = out.collect();
    told.retain(|(_, sends)| *sends < CRASH_SENDS);
    out
}

/// Takes datagrams until the process ends.
pub(crate) async fn receive_datagrams(node: Rc<Node>, socket: Rc<Socket>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match socket.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(event = "datagram_lost", reason:% = error; "nothing received");
                continue;
            }
        };
        match wire::decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => take(&node, &socket, datagram, from).await,
            Err(error) => {
                log::warn!(event = "datagram_unreadable", from:% = from, reason:% = error; "datagram dropped");
            }
        }
    }
}

async fn take(node: &Rc<Node>, socket: &Rc<Socket>, datagram: Datagram, from: SocketAddr) {
    hear(node, &datagram);
    match datagram.signal {
        Signal::Ping => {
            let answer = self::datagram(node, Signal::Ack, datagram.number, "");
            socket.send(from, &answer).await;
        }
        Signal::Ack => {
            let awaited = socket.awaited.borrow_mut().remove(&datagram.number);
            if let Some(awaited) = awaited {
                // The receiver may have stopped waiting, which is no fault.
                let _ = awaited.send(());
            }
        }
        Signal::Ask => {
            let helper = super::prober::help(node.clone(), socket.clone(), datagram, from);
            tokio::task::spawn_local(helper);
        }
    }
}

fn hear(node: &Rc<Node>, datagram: &Datagram) {
    let now = node.now();
    {
        let mut view = node.member_view();
        let before = view.generation();
        view.record_contact(&datagram.from, now);
        view.merge(&datagram.news, now);
        if view.generation() != before {
            log::info!(event = "members_changed", heard_from = datagram.from.name.as_str(), serving = view.serving().len(); "view of the VMs changed");
        }
    }
    for crash in &datagram.crashes {
        super::crash::merge(node, crash);
    }
}

/// Address for datagrams of a member.
pub(crate) fn address(member: &Member) -> Option<SocketAddr> {
    member.peer.parse().ok()
}
