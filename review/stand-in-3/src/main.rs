//! Plays the cases 11 to 15 that are scripts: `stand-in-3 CASE DIRECTORY RECORD`, in the root of the repository.
//!
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. Ends all processes that it has started.

mod client;
mod consumers;
mod executors;
mod http;
mod json;
mod logs;
mod nodes;
mod record;
mod store;

use std::{io, net::SocketAddr, path::Path, process::ExitCode, sync::Arc, thread, time::Duration};

use client::Work;
use executors::Processors;
use nodes::{Limits, Node};
use record::Record;
use store::Store;

/// Time from the start of the machines to that of the traffic.
const LEAD: Duration = Duration::from_secs(10);

/// Time from the end of the traffic until submissions are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// System on a platform of stand-ins.
pub struct System {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub nodes: Vec<Node>,
    pub processors: Arc<Processors>,
    pub has_trouble: bool,
}

impl System {
    fn start(directory: &Path, record: Arc<Record>, limits: Limits) -> io::Result<System> {
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", &configuration());
        let processors = executors::start(8, &store, &record)?;
        let served = store.clone();
        let address = http::serve(move |call| served.handle(&call))?;
        let nodes = (0..3).map(|number| Node::start(number, address, directory, limits));
        let nodes = nodes.collect::<io::Result<Vec<_>>>()?;
        let system = System {
            store,
            record,
            nodes,
            processors: Arc::new(processors),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        thread::sleep(LEAD);
        for node in &system.nodes {
            if !is_ready(node.ready) {
                return Err(io::Error::other(format!("{} is not ready", node.name)));
            }
        }
        Ok(system)
    }

    /// Addresses for consumers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }
}

/// Whether a node answers the platform's probe with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let answered = http::request(address, "GET", "/ready", "x", b"", Duration::from_secs(1));
    answered.is_ok_and(|(status, _)| status == 200)
}

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"redoslijed\",\"host\":\"{}\",\"pathPrefix\":\"{}\",\"timeoutMs\":3000,\"targetCompletionMs\":250,\"priority\":0,\"service\":\"{}\",\"maxAttempts\":2,\"stretch\":1.5}}],\"services\":[{{\"name\":\"{}\",\"admissionCheck\":true}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        consumers::HOST,
        consumers::PREFIX,
        executors::SERVICE,
        executors::SERVICE,
    )
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, directory, record] = &arguments[..] else {
        eprintln!("usage: stand-in-3 CASE DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let play = |record: Arc<Record>| {
        let limits = Limits { memory_mb: 260 };
        let system = System::start(Path::new(directory), record, limits)?;
        match case.as_str() {
            "labels" => client::play(system, limits, Work::Labels),
            "gangs" => client::play(system, limits, Work::Gangs),
            "steps" => client::play(system, limits, Work::Steps),
            "logs" => logs::play(system),
            _ => Err(io::Error::other("unknown case")),
        }
    };
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(cause) => {
            eprintln!("no record: {cause}");
            return ExitCode::from(2);
        }
    };
    let verdict = play(record.clone());
    let code = match verdict {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            1
        }
        Err(cause) => {
            record.note(&format!("the case could not run: {cause}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
