//! Child process of a rig.

use {
    crate::{RigError, addresses::program_directory},
    std::{
        fs::File,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running program of this workspace. It is killed when this value is dropped.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace and writes its standard output and error to a file.
    ///
    /// # Errors
    /// [`RigError::Io`] if the file cannot be created or the program cannot be started.
    pub fn start(
        name: &str,
        program: &str,
        args: &[String],
        log_path: &Path,
    ) -> Result<Self, RigError> {
        let stdout = File::create(log_path).map_err(RigError::io("log file"))?;
        let stderr = stdout.try_clone().map_err(RigError::io("log file"))?;
        let child = Command::new(program_directory().join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .map_err(RigError::io(program))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the name given to [`Process::start`].
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests a graceful shutdown (`SIGTERM`).
    pub fn terminate(&self) {
        self.send_signal(libc::SIGTERM);
    }

    /// Requests a reload of the settings (`SIGHUP`).
    pub fn reload_settings(&self) {
        self.send_signal(libc::SIGHUP);
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process (`SIGSTOP`).
    pub fn freeze(&self) {
        self.send_signal(libc::SIGSTOP);
    }

    /// Resumes the process after [`Process::freeze`].
    pub fn resume(&self) {
        self.send_signal(libc::SIGCONT);
    }

    /// Blocks until the process exits and returns its status, or `None` after the timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() > deadline {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    #[expect(
        unsafe_code,
        reason = "the standard library has no safe function that sends a signal"
    )]
    fn send_signal(&self, signal: libc::c_int) {
        let Ok(pid) = libc::pid_t::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: signals are sent only to a child whose exit status has not been collected, so
        // no other process has its ID.
        unsafe {
            libc::kill(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
