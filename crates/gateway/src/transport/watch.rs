//! Watches whether the peer of a connection takes what it was sent.

use {
    super::socket::{read_delivery, tolerate_slow_reader},
    balance::slow_reader::{SlowReader, Verdict},
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::atomic::{AtomicBool, Ordering},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, Sleep},
    },
};

/// Interval between two looks at a connection with bytes on their way. Several fit into the time after
/// which the kernel closes it.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Less than this fits the window of any peer and is not watched.
const MIN_WATCHED_BYTES: usize = 4096;

/// The watch of one connection. It looks now and then as long as bytes are on their way.
#[derive(Default)]
pub(super) struct Watch {
    /// Wakes the task of the connection for the next look.
    timer: Option<Pin<Box<Sleep>>>,
    reader: SlowReader,
    /// Bytes written since the peer last had everything.
    pending_bytes: usize,
    is_tolerated: bool,
    started_at: Option<Instant>,
}

impl Watch {
    /// Records that the kernel took bytes, or none as its buffer is full.
    pub(super) fn record_write(&mut self, written: Option<usize>, context: &mut Context<'_>) {
        self.pending_bytes += written.unwrap_or(0);
        let is_pending = written.is_none() || self.pending_bytes >= MIN_WATCHED_BYTES;
        if is_pending && self.timer.is_none() {
            self.arm(context);
        }
    }

    /// Looks at the connection if it is time to.
    ///
    /// # Errors
    /// [`io::ErrorKind::TimedOut`] if the peer is gone, or takes nothing more after `deadline`.
    pub(super) fn poll(
        &mut self,
        socket: &TcpStream,
        deadline: Option<Instant>,
        context: &mut Context<'_>,
    ) -> io::Result<()> {
        let Some(timer) = &mut self.timer else {
            return Ok(());
        };
        if timer.as_mut().poll(context) == Poll::Pending {
            return Ok(());
        }
        self.timer = None;
        let delivery = match read_delivery(socket) {
            Ok(delivery) => delivery,
            Err(error) => {
                report_untold(&error);
                return Ok(());
            }
        };
        let now = Instant::now();
        let started_at = *self.started_at.get_or_insert(now);
        let verdict = self.reader.judge(&delivery, now - started_at);
        let is_late = deadline.is_some_and(|deadline| now >= deadline);
        match verdict {
            Verdict::Gone => return Err(io::ErrorKind::TimedOut.into()),
            Verdict::Pauses if is_late => return Err(io::ErrorKind::TimedOut.into()),
            Verdict::Delivered => {
                self.pending_bytes = 0;
                return self.tolerate(socket, false);
            }
            Verdict::Reads | Verdict::Pauses => self.tolerate(socket, true)?,
            Verdict::Unclear => {}
        }
        self.arm(context);
        Ok(())
    }

    /// Returns whether the peer may not have taken everything yet.
    pub(super) fn is_pending(&self) -> bool {
        self.timer.is_some()
    }

    fn arm(&mut self, context: &mut Context<'_>) {
        let mut timer = Box::pin(tokio::time::sleep(LOOK_INTERVAL));
        // Registers the task.
        let _ = timer.as_mut().poll(context);
        self.timer = Some(timer);
    }

    /// Lets the kernel wait for a slow peer, or not.
    pub(super) fn tolerate(&mut self, socket: &TcpStream, is_tolerated: bool) -> io::Result<()> {
        if self.is_tolerated == is_tolerated {
            return Ok(());
        }
        self.is_tolerated = is_tolerated;
        tolerate_slow_reader(socket, is_tolerated)
    }
}

/// Reports once that the kernel does not tell what the peers of connections take. It then closes
/// connections of slow readers like those of peers that are gone.
fn report_untold(error: &io::Error) {
    static IS_REPORTED: AtomicBool = AtomicBool::new(false);
    if !IS_REPORTED.swap(true, Ordering::Relaxed) {
        log::warn!(event = "deliveries_untold", reason:% = error; "the kernel does not tell what peers have taken; connections of readers that pause are closed after 1.5 s");
    }
}
