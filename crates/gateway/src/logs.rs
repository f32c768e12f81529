//! JSON lines on standard output that never hold a request up.

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

/// Lines that wait for the reader of the log; more are counted and left out.
const MAX_LINES: usize = 4096;

/// Hands lines to a thread that alone waits for the reader of the log.
#[derive(Debug)]
struct Queue {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    left_out: AtomicU64,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut writer = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut writer, record)?;
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        let mut line = writer.0;
        if left_out > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_lines_left_out\",\"lines\":{left_out}}}\n"
            );
            line.extend_from_slice(note.as_bytes());
        }
        if self.lines.try_send(line).is_err() {
            self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts the log.
///
/// # Errors
/// [`GatewayError::Log`] when a log was started before.
pub fn init(level: LevelFilter) -> Result<(), GatewayError> {
    let failed = |error: &dyn std::fmt::Display| GatewayError::Log(error.to_string());
    let (lines, waiting) = sync_channel(MAX_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write(&waiting))
        .map_err(|e| failed(&e))?;
    let queue = Queue {
        encoder: JsonEncoder::new(),
        lines,
        left_out: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(queue)))
        .build(Root::builder().appender("queue").build(level))
        .map_err(|e| failed(&e))?;
    log4rs::init_config(config).map_err(|e| failed(&e))?;
    Ok(())
}

/// Writes lines until the process ends; without a reader there is nobody to tell.
fn write(waiting: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = waiting.recv() {
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
