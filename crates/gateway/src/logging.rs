//! JSON log lines on standard output, written by a thread so that requests never block on them.

use {
    crate::GatewayError,
    log::{LevelFilter, Record},
    log4rs::{
        Config,
        append::Append,
        config::{Appender, Root},
        encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
    },
    std::{
        io::Write,
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
    },
};

/// Maximum number of lines waiting to be written; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Encodes log records and queues them for the writer thread.
#[derive(Debug)]
struct QueueAppender {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    dropped_lines: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut writer = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut writer, record)?;
        let dropped_lines = self.dropped_lines.swap(0, Ordering::Relaxed);
        let mut line = writer.0;
        if dropped_lines > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_lines_left_out\",\"lines\":{dropped_lines}}}\n"
            );
            line.extend_from_slice(note.as_bytes());
        }
        if self.lines.try_send(line).is_err() {
            self.dropped_lines
                .fetch_add(dropped_lines + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Installs the global logger and starts its writer thread.
///
/// # Errors
/// [`GatewayError::Log`] when a logger is already installed or the thread cannot be started.
pub fn init(level: LevelFilter) -> Result<(), GatewayError> {
    let log_error = |error: &dyn std::fmt::Display| GatewayError::Log(error.to_string());
    let (lines, queued_lines) = sync_channel(MAX_QUEUED_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write_lines(&queued_lines))
        .map_err(|e| log_error(&e))?;
    let appender = QueueAppender {
        encoder: JsonEncoder::new(),
        lines,
        dropped_lines: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(appender)))
        .build(Root::builder().appender("queue").build(level))
        .map_err(|e| log_error(&e))?;
    log4rs::init_config(config).map_err(|e| log_error(&e))?;
    Ok(())
}

/// Writes lines until standard output is closed, which leaves nowhere to report the error.
fn write_lines(queued_lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queued_lines.recv() {
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
