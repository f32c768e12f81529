//! Counts the bytes that this VM and other VMs exchange, by cause and distance.
//!
//! See `docs/design/peer-traffic.md`.

use {
    super::Node,
    balance::Locality,
    std::{net::SocketAddr, time::Duration},
    wire::Map,
};

/// Interval between two lines that state the counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Why two VMs exchange bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Cause {
    /// Rows of the store, and the confirmation that there are no newer ones.
    Rows,
    /// All membership records of a VM.
    Members,
    /// Link rates of VMs.
    Links,
    /// Probes of the failure detector, with the news that they carry.
    Probes,
    /// What targets state about themselves.
    Statements,
    /// Tokens of customers, asked for and given out.
    Quotas,
    /// Requests of callers, passed on to the VM that owns the target's queue.
    RelayedRequests,
    /// Responses to those, except bodies that are passed on while they arrive.
    RelayedResponses,
    /// Bodies that are passed on while they arrive.
    RelayedStreams,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Rows => "rows",
            Self::Members => "members",
            Self::Links => "links",
            Self::Probes => "probes",
            Self::Statements => "statements",
            Self::Quotas => "quotas",
            Self::RelayedRequests => "relayed requests",
            Self::RelayedResponses => "relayed responses",
            Self::RelayedStreams => "relayed streams",
        }
    }
}

/// Bytes and messages of one cause over one distance.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    bytes: u64,
    messages: u64,
}

/// What was exchanged since the last report.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    counts: Map<(Cause, Locality), Count>,
    /// Distances to the VMs by address, for one generation of the member view: each message is
    /// counted, so that they are not looked up each time.
    distances: Map<SocketAddr, Locality>,
    generation: u64,
}

impl Traffic {
    fn record(&mut self, cause: Cause, distance: Locality, bytes: usize) {
        let count = self.counts.entry((cause, distance)).or_default();
        count.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        count.messages += 1;
    }

    /// Returns the counts as `cause, distance: bytes in messages`, and starts anew.
    fn take_summary(&mut self) -> String {
        let mut counts: Vec<_> = std::mem::take(&mut self.counts).into_iter().collect();
        counts.sort_by_key(|(key, _)| *key);
        let texts = counts.into_iter().map(|((cause, distance), count)| {
            let (cause, distance) = (cause.as_str(), distance.as_str());
            format!("{cause}, {distance}: {} in {}", count.bytes, count.messages)
        });
        texts.collect::<Vec<_>>().join("; ")
    }
}

impl Node {
    /// Counts bytes that this VM and another one at `address` exchanged.
    pub(crate) fn record_traffic(&self, cause: Cause, address: SocketAddr, bytes: usize) {
        self.record_traffic_over(cause, self.distance_to(address), bytes);
    }

    /// Counts bytes that this VM and another one at a known distance exchanged.
    pub(crate) fn record_traffic_over(&self, cause: Cause, distance: Locality, bytes: usize) {
        let labels = [("cause", cause.as_str()), ("distance", distance.as_str())];
        let bytes_total = u64::try_from(bytes).unwrap_or(u64::MAX);
        metrics::counter!("cicadalift_peer_bytes_total", &labels).increment(bytes_total);
        metrics::counter!("cicadalift_peer_messages_total", &labels).increment(1);
        self.traffic.borrow_mut().record(cause, distance, bytes);
    }

    /// Returns the distance to the VM at an address. One that is not known counts as far.
    fn distance_to(&self, address: SocketAddr) -> Locality {
        let mut traffic = self.traffic.borrow_mut();
        let view = self.member_view();
        if traffic.generation != view.generation() {
            traffic.generation = view.generation();
            let members = view.members();
            let addresses = members.iter().filter_map(|member| {
                let address = member.peer.parse().ok()?;
                Some((address, self.distance_to_zone(&member.zone)))
            });
            traffic.distances = addresses.collect();
        }
        let known = traffic.distances.get(&address);
        known.copied().unwrap_or(Locality::OtherRegion)
    }

    fn distance_to_zone(&self, zone: &str) -> Locality {
        if zone == self.settings.zone {
            Locality::SameZone
        } else if self.settings.region_of(zone) == self.settings.region {
            Locality::SameRegion
        } else {
            Locality::OtherRegion
        }
    }
}

/// Logs at an interval what was exchanged with other VMs, until the process ends.
pub(crate) async fn report_traffic(node: std::rc::Rc<Node>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let summary = node.traffic.borrow_mut().take_summary();
        log::info!(event = "peer_traffic", interval_s = REPORT_INTERVAL.as_secs(), bytes = summary.as_str(); "bytes exchanged with other VMs, counted where the exchange began");
    }
}
