//! Node that owns shards of workflows on a managed platform.

use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use compio::net::TcpListener;
use eyre::WrapErr;
use futures_channel::mpsc;
use futures_util::StreamExt;
use hemlocksaddle_adapters::{
    peers::{self, WebSocketPeers, key::PeerKey},
    runtime::CompioRuntime,
};
use hemlocksaddle_platform::{
    callers::{Server, Service},
    fleet::HttpFleet,
    formats::PlatformFormats,
    settings::File,
    store::LogStore,
};
use hemlocksaddle_shard::{Node, node::Ports};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::program::{bind, end_process_on_panic, signals};

/// Time between the answer "not ready" and the end of accepting requests.
///
/// The balancer asks once a second and needs two misses.
const STOP_NOTICE: Duration = Duration::from_millis(2_300);

/// Interval at which requests in progress are counted at a planned stop.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// Part of the grace time that is left for the end of the process itself.
const STOP_RESERVE: Duration = Duration::from_millis(700);

/// Reads the settings file and runs its node until a signal asks for a planned stop.
///
/// # Errors
///
/// Fails if the runtime cannot be created or an address cannot be listened on.
pub fn run(path: PathBuf, file: File) -> eyre::Result<()> {
    end_process_on_panic();
    let runtime = compio::runtime::Runtime::new().wrap_err("runtime cannot be created")?;
    runtime.block_on(serve(path, file))
}

async fn serve(path: PathBuf, file: File) -> eyre::Result<()> {
    let mut signals = signals(&[SIGTERM, SIGINT, SIGHUP])?;
    let addresses = file.addresses;
    let callers = bind(addresses.callers, "callers").await?;
    let ready = bind(addresses.ready, "ready").await?;
    let peers_listener = bind(addresses.peers, "peers").await?;
    let metrics = bind(addresses.metrics, "metrics").await?;
    let ports = Ports {
        runtime: Rc::new(CompioRuntime::new()),
        store: LogStore::new(addresses.store),
        formats: Rc::new(PlatformFormats),
        fleet: HttpFleet::new(),
    };
    let node = Node::new(file.node.clone(), ports).wrap_err("metrics cannot be registered")?;
    node.start();
    let server = Server::new(node.clone(), file.caller_connections);
    let side = Server::new(node.clone(), file.caller_connections);
    compio::runtime::spawn(server.clone().serve(callers, Service::Callers)).detach();
    compio::runtime::spawn(side.clone().serve(ready, Service::Ready)).detach();
    compio::runtime::spawn(side.serve(metrics, Service::Metrics)).detach();
    compio::runtime::spawn(serve_peers(node.clone(), peers_listener)).detach();
    wait_for_stop(&path, &node, &mut signals).await;
    stop(&node, &server, Duration::from_millis(file.grace_ms.0)).await;
    Ok(())
}

async fn serve_peers(node: Rc<Node>, listener: TcpListener) {
    let key = match PeerKey::try_from(&*node.peer_key().await) {
        Ok(key) => key,
        Err(cause) => {
            log::error!(target: "hemlocksaddle", "key of the peers is not valid: {cause}");
            return;
        }
    };
    node.set_peers(Rc::new(WebSocketPeers::new(key.clone())));
    let accepting = node.clone();
    peers::listen(listener, key, move |link| accepting.accept_peer(link)).await;
}

/// Returns when a planned stop is asked for; checks the settings when they change.
async fn wait_for_stop(path: &Path, node: &Node, signals: &mut mpsc::UnboundedReceiver<i32>) {
    while let Some(SIGHUP) = signals.next().await {
        // Addresses and limits hold for the life of the process; a restart applies new ones.
        match File::load(path) {
            Ok(_) => node.log_reload("valid; in force after a restart"),
            Err(cause) => node.log_reload(&cause.to_string()),
        }
    }
}

/// Hands the shards over, waits until the balancer has noticed, and answers what is in progress.
async fn stop(node: &Node, server: &Server, grace: Duration) {
    let deadline = std::time::Instant::now() + grace.saturating_sub(STOP_RESERVE);
    node.release();
    compio::time::sleep(STOP_NOTICE).await;
    server.stop();
    while (node.frontend.open_requests() > 0 || server.connections() > 0 || node.owned() > 0)
        && std::time::Instant::now() < deadline
    {
        compio::time::sleep(STOP_CHECK).await;
    }
}
