//! One started program.

use {
    crate::{RigError, addresses::program_directory},
    std::{
        fs::File,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

const POLL: Duration = Duration::from_millis(20);

/// A started program; killed when it is dropped.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace, its output in a file.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn start(name: &str, program: &str, args: &[String], log: &Path) -> Result<Self, RigError> {
        let out = File::create(log).map_err(RigError::io("log file"))?;
        let err = out.try_clone().map_err(RigError::io("log file"))?;
        let child = Command::new(program_directory().join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(RigError::io(program))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Name given at the start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Asks it to read its settings again.
    pub fn reload_settings(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Stops it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on after a freeze.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() > until {
                return None;
            }
            std::thread::sleep(POLL);
        }
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    #[expect(
        unsafe_code,
        reason = "signals have no safe call in the standard library"
    )]
    fn signal(&self, signal: libc::c_int) {
        let Ok(id) = libc::pid_t::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: the child has not been waited for, so its number is still its own.
        unsafe {
            libc::kill(id, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
