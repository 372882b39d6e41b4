//! Runs one case of the review: the node program as separate processes, between stand-ins.
//!
//! Usage: `stand-in CASE RECORD`, in the root of the repository. Exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod client;
mod executors;
mod http;
mod json;
mod nodes;
mod record;
mod store;

use std::{
    env, fs, io, panic,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Clients, Step},
    executors::{Executor, POOL, World},
    json::{Json, object},
    nodes::Nodes,
    record::Record,
    store::Store,
};

/// Time within which a deployment has to accept its first submission.
const READY_TIMEOUT: Duration = Duration::from_millis(25_000);

/// Deployment of nodes and stand-ins.
pub struct Deployment {
    pub trouble: bool,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub world: Arc<World>,
    pub executors: Vec<Arc<Executor>>,
    pub nodes: Nodes,
    pub clients: Arc<Clients>,
    folder: PathBuf,
}

/// Route as the operator writes it: name, path prefix and most attempts.
pub type Route = (&'static str, &'static str, u64);

impl Deployment {
    fn start(
        record: &Path,
        nodes: usize,
        executors: usize,
        routes: &[Route],
    ) -> io::Result<Deployment> {
        let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let record = Arc::new(Record::create(record)?);
        let store = Arc::new(Store::default());
        let world = World::new(record.clone(), store.clone());
        let executors = Executor::start_all(&world, executors)?;
        write_config(&store, &record, 3, routes);
        let root = env::current_dir()?;
        let nodes = Nodes::start(nodes, &root, &folder, &store, &record)?;
        let addresses = nodes.list.iter().map(|node| node.callers).collect();
        let clients = Clients::new(&world, addresses);
        let deployment = Deployment {
            trouble: env::var("TROUBLE").as_deref() != Ok("0"),
            record,
            store,
            world,
            executors,
            nodes,
            clients,
            folder,
        };
        deployment.await_ready(routes)?;
        Ok(deployment)
    }

    fn await_ready(&self, routes: &[Route]) -> io::Result<()> {
        let started = Instant::now();
        let step = Step {
            count: 1,
            cpu: 100,
            estimate_ms: 100,
            ..Step::default()
        };
        while started.elapsed() < READY_TIMEOUT {
            if self
                .clients
                .submit(routes[0].1, "ms=100", std::slice::from_ref(&step))
                .1
            {
                return Ok(());
            }
        }
        Err(io::Error::other("the deployment accepts nothing"))
    }

    /// Waits until a time since the start of the case.
    pub fn wait(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.list.clear();
        if env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Writes a version of the operator's configuration.
pub fn write_config(store: &Store, record: &Record, version: u64, routes: &[Route]) {
    let route = |&(name, prefix, attempts): &Route| {
        object([
            ("name", name.into()),
            ("host", client::HOST.into()),
            ("pathPrefix", prefix.into()),
            ("timeoutMs", 3_000.into()),
            ("targetCompletionMs", 1_000.into()),
            ("priority", 0.into()),
            ("service", POOL.into()),
            ("maxAttempts", attempts.into()),
            ("stretch", Json::Number(1.5)),
        ])
    };
    let service = object([("name", POOL.into()), ("admissionCheck", Json::Bool(true))]);
    let config = object([
        ("version", version.into()),
        ("routes", Json::List(routes.iter().map(route).collect())),
        ("services", Json::List(vec![service])),
        ("limits", object([("maxBodyBytes", 262_144.into())])),
    ]);
    store.put("keyed.op", "config", &config.to_string());
    let names: Vec<_> = routes.iter().map(|(name, ..)| *name).collect();
    record.line(&format!(
        "operator: configuration {version} with routes {names:?}"
    ));
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-in CASE RECORD");
        return ExitCode::from(2);
    };
    // A panic of a stand-in is no finding about the program.
    let outcome = panic::catch_unwind(|| cases::run(&case, Path::new(&record)));
    let outcome = outcome.unwrap_or_else(|_| Err(io::Error::other("a stand-in panicked")));
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken.iter().take(5) {
                println!("broken: {line}");
            }
            println!("broken {} times", broken.len());
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
