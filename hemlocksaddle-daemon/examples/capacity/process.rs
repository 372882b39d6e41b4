//! Child processes and their resource usage.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    process::{Child, Command, Stdio},
};

use eyre::{OptionExt, WrapErr};

/// Child process, killed on drop.
pub(crate) struct Process(Child);

impl Process {
    /// Starts this program in another role, with pipes for standard input and output.
    pub(crate) fn start(arguments: &[&str]) -> eyre::Result<Process> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(arguments);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let child = command.spawn().wrap_err("a process cannot be started")?;
        Ok(Process(child))
    }

    /// Writes a line to the process and returns the next line that it prints.
    pub(crate) fn exchange_line(&mut self, line: &str) -> eyre::Result<String> {
        let stdin = self.0.stdin.as_mut().ok_or_eyre("no standard input")?;
        writeln!(stdin, "{line}")?;
        let stdout = self.0.stdout.as_mut().ok_or_eyre("no standard output")?;
        let mut response = String::new();
        BufReader::new(stdout).read_line(&mut response)?;
        Ok(response)
    }

    /// Processor time of all threads so far in seconds.
    ///
    /// Reads the scheduler statistics, which count nanoseconds; the 10 ms ticks of
    /// `/proc/PID/stat` are too coarse here.
    pub(crate) fn cpu_seconds(&self) -> eyre::Result<f64> {
        let mut nanoseconds = 0;
        for thread in fs::read_dir(format!("/proc/{}/task", self.0.id()))? {
            let text = fs::read_to_string(thread?.path().join("schedstat"))?;
            let running = text
                .split(' ')
                .next()
                .ok_or_eyre("schedstat has an unknown format")?;
            nanoseconds += running.parse::<u64>()?;
        }
        Ok(nanoseconds as f64 / 1e9)
    }

    /// Resident memory in kB.
    pub(crate) fn memory_kb(&self) -> eyre::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
        Ok(value.ok_or_eyre("/proc/PID/status has no VmRSS")?.parse()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
