//! Process of a node that owns workflow shards on a managed platform.

use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
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
use hemlocksaddle_types::clock::Millis;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::program::{bind, end_process_on_panic, signals};

/// Time between the first "not ready" response and the earliest exit.
///
/// The load balancer probes once a second and removes a node after two failed probes.
const DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Interval at which a planned stop checks whether requests, connections or shards are left.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for the last answers to be written after idle connections were closed.
const WRITE_LIMIT: Duration = Duration::from_millis(200);

/// Runs a node until SIGTERM or SIGINT; `path` is the settings file that SIGHUP validates again.
///
/// # Errors
///
/// Fails if the runtime or the signal handlers cannot be created, an address cannot be bound or
/// the metrics cannot be registered.
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
        store: LogStore::new(
            addresses.store,
            file.node.link_kbps,
            file.process.store_answers(),
        ),
        formats: Rc::new(PlatformFormats),
        fleet: HttpFleet::new(file.process.worker_answers()),
    };
    let node = Node::new(file.node.clone(), ports).wrap_err("metrics cannot be registered")?;
    node.start();
    let limits = file.process;
    let caller_limits = limits.callers(file.caller_connections);
    let server = Server::new(node.clone(), Service::Callers, caller_limits);
    let ready_server = Server::new(node.clone(), Service::Ready, limits.probes());
    let metrics_server = Server::new(node.clone(), Service::Metrics, limits.probes());
    compio::runtime::spawn(server.clone().serve(callers)).detach();
    compio::runtime::spawn(ready_server.serve(ready)).detach();
    compio::runtime::spawn(metrics_server.serve(metrics)).detach();
    let pending = limits.pending_peers();
    compio::runtime::spawn(serve_peers(node.clone(), peers_listener, pending)).detach();
    wait_for_stop(&path, &node, &mut signals).await;
    stop(&node, &server, file.grace_ms).await;
    Ok(())
}

async fn serve_peers(node: Rc<Node>, listener: TcpListener, max_pending: usize) {
    let key = match PeerKey::try_from(&*node.peer_key().await) {
        Ok(key) => key,
        Err(cause) => {
            log::error!(target: "hemlocksaddle", "peer key is not valid: {cause}");
            return;
        }
    };
    node.set_peers(Rc::new(WebSocketPeers::new(key.clone())));
    let acceptor = node.clone();
    peers::listen(listener, key, max_pending, move |link| {
        acceptor.accept_peer(link)
    })
    .await;
}

/// Waits for SIGTERM or SIGINT; on SIGHUP, validates the settings file and logs the result.
async fn wait_for_stop(path: &Path, node: &Node, signals: &mut mpsc::UnboundedReceiver<i32>) {
    while let Some(SIGHUP) = signals.next().await {
        // Addresses and limits are fixed at startup; new values take effect after a restart.
        match File::load(path) {
            Ok(_) => node.log_reload("valid; in force after a restart"),
            Err(cause) => node.log_reload(&cause.to_string()),
        }
    }
}

/// Planned stop: releases the shards, waits until the load balancer has removed the node, then
/// until callers have left their connections, within the grace period.
///
/// Further signals have no effect: the process ends as soon as possible anyway.
async fn stop(node: &Node, server: &Server, grace: Millis) {
    let shutdown = node.shut_down(grace);
    server.drain();
    let is_open = || node.frontend.open_requests() > 0 || server.connections() > 0;
    compio::time::sleep(DRAIN_DELAY.min(Duration::from_millis(grace.0 / 2))).await;
    server.close_unused(shutdown);
    let is_owner = || node.owned() > 0 || node.is_claiming();
    while (is_open() || is_owner()) && !shutdown.is_over(node.now()) {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    server.close();
    // Connections that were accepted last are served; what has arrived on others is read.
    loop {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if !is_open() || shutdown.is_over(node.now()) {
            break;
        }
    }
    // What has been read is answered; what arrives later is not read any more.
    server.close_idle();
    let closed_at = Instant::now();
    while is_open() && closed_at.elapsed() < WRITE_LIMIT {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
