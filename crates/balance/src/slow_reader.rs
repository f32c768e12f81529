//! Tells a peer that reads slowly, or not at all for a while, from one that is gone.
//!
//! A peer whose receive window is closed still acknowledges each probe of it. One that is gone
//! acknowledges nothing.

use std::time::Duration;

/// A peer counts as gone if what it was sent stays unacknowledged for this long.
pub const GONE_AFTER: Duration = Duration::from_millis(1500);

/// What is known of the bytes that were sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// Bytes that wait for room in the peer's window.
    pub unsent_bytes: u64,
    /// Bytes that the peer has acknowledged so far.
    pub acknowledged_bytes: u64,
    /// Whether segments or probes are on their way that the peer has not acknowledged.
    pub awaits_acknowledgement: bool,
    /// Time since the peer last acknowledged anything.
    pub since_acknowledgement: Duration,
}

/// What a look at a connection shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The peer has everything.
    Delivered,
    /// The peer is there, and has taken bytes since the last look.
    Reads,
    /// The peer is there, but has taken nothing since the last look.
    Pauses,
    /// It is not known whether the peer is still there.
    Unclear,
    /// The peer is gone.
    Gone,
}

/// The peer of one connection.
#[derive(Debug, Default)]
pub struct SlowReader {
    /// Since when nothing was acknowledged although something should be.
    silent_since: Option<Duration>,
    acknowledged_bytes: u64,
}

impl SlowReader {
    /// Judges the peer by what is known at `now`.
    pub fn judge(&mut self, delivery: &Delivery, now: Duration) -> Verdict {
        let has_taken = delivery.acknowledged_bytes > self.acknowledged_bytes;
        self.acknowledged_bytes = delivery.acknowledged_bytes;
        if !delivery.awaits_acknowledgement {
            self.silent_since = None;
            return match (delivery.unsent_bytes, has_taken) {
                (0, _) => Verdict::Delivered,
                (_, true) => Verdict::Reads,
                (_, false) => Verdict::Pauses,
            };
        }
        let acknowledged_at = now.saturating_sub(delivery.since_acknowledgement);
        let silent_since = match self.silent_since {
            Some(since) if since >= acknowledged_at => since,
            Some(_) => acknowledged_at,
            // The acknowledgement of a probe may be on its way.
            None => now,
        };
        self.silent_since = Some(silent_since);
        match now.saturating_sub(silent_since) {
            silence if silence >= GONE_AFTER => Verdict::Gone,
            _ if has_taken => Verdict::Reads,
            _ => Verdict::Unclear,
        }
    }
}
