//! Node processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    executors::{MAX_HOLD, ZONES},
    record::Record,
    store::{Port, Store},
};

/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Node process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub port: Arc<Port>,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    record: Arc<Record>,
    child: Option<Child>,
}

/// Nodes of a deployment.
pub struct Nodes {
    pub list: Vec<Node>,
}

impl Nodes {
    /// Starts nodes; `root` is the repository and `folder` a temporary folder.
    pub fn start(
        count: usize,
        root: &Path,
        folder: &Path,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Nodes> {
        let template = fs::read_to_string(root.join("deploy/node.ini"))?;
        let mut list = Vec::new();
        for number in 0..count {
            let port = Port::open(store, number)?;
            let [callers, ready, peers, metrics] = free_addresses()?;
            let name = format!("front-{number}");
            let values = [
                ("node", name.clone()),
                ("zone", ZONES[number % ZONES.len()].to_owned()),
                ("listen.front", callers.to_string()),
                ("listen.readyAddr", ready.to_string()),
                ("ip", "127.0.0.1".to_owned()),
                ("portRange.0", peers.port().to_string()),
                ("portRange.1", metrics.port().to_string()),
                ("limits.cpuShare", "0.25".to_owned()),
                ("limits.linkMbps", "1000".to_owned()),
                ("limits.maxFds", "4100".to_owned()),
                ("platform.addr", port.address.to_string()),
                ("bounds.maxHoldMs", MAX_HOLD.as_millis().to_string()),
                ("bounds.status_s", "120".to_owned()),
                ("bounds.graceS", "6".to_owned()),
            ];
            let mut text = template.clone();
            for (key, value) in values {
                text = text.replace(&format!("{{{{{key}}}}}"), &value);
            }
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, text)?;
            let mut node = Node {
                callers,
                port,
                settings,
                log: folder.join(format!("{name}.log")),
                root: root.to_owned(),
                record: record.clone(),
                child: None,
                name,
            };
            node.spawn()?;
            list.push(node);
        }
        Ok(Nodes { list })
    }
}

impl Node {
    fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.root.join("target/release/hemlocksaddled"))
            .args(["--shards", "--settings"])
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{} started", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and starts it again.
    pub fn kill_and_restart(&mut self) -> io::Result<()> {
        self.record.line(&format!("{} is killed", self.name));
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        thread::sleep(RESTART_DELAY);
        self.spawn()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 4];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
