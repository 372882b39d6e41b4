//! Child processes of the scenario.

use std::{
    fs::File,
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use eyre::{OptionExt, WrapErr};
use hemlocksaddle_fakes::http::Addresses;

use crate::deployment::NodeAddresses;

/// Interval at which a process is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Child process, killed on drop.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts this program in another role, with its standard error appended to a log file.
    fn start(arguments: &[&str], stdin: Stdio, stdout: Stdio, log: &Path) -> eyre::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(arguments)
            .stdin(stdin)
            .stdout(stdout)
            .stderr(log);
        let child = command.spawn().wrap_err("a process cannot be started")?;
        Ok(Process { child })
    }

    /// Starts a node.
    pub(crate) fn node(settings: &Path) -> eyre::Result<Process> {
        let path = settings.display().to_string();
        let log = log_path(settings);
        Process::start(&["node", &path], Stdio::null(), Stdio::null(), &log)
    }

    /// Starts the fake platform and waits for its addresses.
    pub(crate) fn platform(
        nodes: &[NodeAddresses],
        directory: &Path,
    ) -> eyre::Result<(Process, Addresses)> {
        let log = directory.join("platform.log");
        let mut process = Process::start(&["platform"], Stdio::piped(), Stdio::piped(), &log)?;
        let mut stdin = process.child.stdin.take().ok_or_eyre("no standard input")?;
        writeln!(stdin, "{}", serde_json::to_string(nodes)?)?;
        let stdout = process
            .child
            .stdout
            .take()
            .ok_or_eyre("no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses = serde_json::from_str(&line).wrap_err("the fake platform did not start")?;
        Ok((process, addresses))
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub(crate) fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Requests a planned stop with SIGTERM.
    pub(crate) fn terminate(&self) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id())?;
        let id = rustix::process::Pid::from_raw(id).ok_or_eyre("no process id")?;
        rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        Ok(())
    }

    /// Returns whether the process is still running.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    pub(crate) async fn wait_for_exit(&mut self) -> eyre::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a node's log file, next to its settings file.
pub(crate) fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}
