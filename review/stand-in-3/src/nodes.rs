//! Node processes, started by the command of the deploy file.

use std::{
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::executors::{MAX_HOLD_MS, ZONES};

/// Settings that differ between cases.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Memory of a machine.
    pub memory_mb: u64,
}

/// Node process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Whether the reader of the logs has stopped reading.
    pub is_stalled: Arc<AtomicBool>,
    pub process: Child,
}

/// Free ports on a loopback address that only this node uses.
fn free_ports(number: usize) -> io::Result<Vec<SocketAddr>> {
    let id = std::process::id();
    let host = Ipv4Addr::new(
        127,
        1 + (id >> 8 & 0x7f) as u8,
        (id & 0xff) as u8,
        1 + number as u8,
    );
    let listeners = (0..4).map(|_| TcpListener::bind((host, 0)));
    let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Node {
    /// Starts a node with settings as the template of the deploy file gives them.
    pub fn start(
        number: usize,
        store: SocketAddr,
        directory: &Path,
        limits: Limits,
    ) -> io::Result<Node> {
        let name = format!("front-{}-1", ZONES[number % ZONES.len()]);
        let ports = free_ports(number)?;
        let (callers, ready) = (ports[0], ports[1]);
        let text = format!(
            "[node]\nname = {name}\ndata_centre = {}\ncallers = {callers}\nready = {ready}\npeers = {}\nmetrics = {}\ncpu_share = 0.25\nlink_mbps = 1000\ncaller_connections = 4100\n\n[platform]\nstore = {store}\n\n[limits]\nlease_ms = {MAX_HOLD_MS}\nkeep_ended_s = 120\ngrace_s = 6\nmemory_mb = {}\nmax_fds = 4100\n\n[scheduler]\nreservations = off\n",
            ZONES[number % ZONES.len()],
            ports[2],
            ports[3],
            limits.memory_mb,
        );
        let settings = directory.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = directory.join(format!("{name}.log"));
        let is_stalled = Arc::new(AtomicBool::new(false));
        let process = spawn(&settings, &log, &is_stalled)?;
        Ok(Node {
            name,
            callers,
            ready,
            settings,
            log,
            is_stalled,
            process,
        })
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = spawn(&self.settings, &self.log, &self.is_stalled)?;
        Ok(())
    }

    /// Memory of the process in use, in kB; `None` if it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(settings: &Path, log: &Path, is_stalled: &Arc<AtomicBool>) -> io::Result<Child> {
    let mut process = Command::new("target/release/hemlocksaddled")
        .args(["--shards", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(
            File::options()
                .create(true)
                .append(true)
                .open(log.with_extension("err"))?,
        )
        .spawn()?;
    // The script ends what is left if this process is ended.
    let pids = log.with_file_name("pids");
    let mut pids = File::options().create(true).append(true).open(pids)?;
    writeln!(pids, "{}", process.id())?;
    if let Some(output) = process.stdout.take() {
        let file = File::options().create(true).append(true).open(log)?;
        let is_stalled = is_stalled.clone();
        thread::spawn(move || read_logs(output, file, &is_stalled));
    }
    Ok(process)
}

/// Reads the logs of a process, as the platform does; pauses while it is stalled.
fn read_logs(mut output: ChildStdout, mut file: File, is_stalled: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    loop {
        while is_stalled.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        match output.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => {
                // A full disk loses log lines only.
                let _ = file.write_all(&buffer[..length]);
            }
        }
    }
}
