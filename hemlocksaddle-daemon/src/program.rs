//! Process lifecycle of a node: start, signals, planned stop.

use std::{
    net::SocketAddr,
    path::Path,
    pin::pin,
    process,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::TcpListener;
use eyre::WrapErr;
use futures_channel::mpsc;
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use hemlocksaddle_adapters::{
    callers::CallerServer,
    peers::{self, WebSocketPeers},
    platform::{self, HttpPlatform},
    runtime::CompioRuntime,
    targets::HttpTargets,
};
use hemlocksaddle_node::{node::Node, ports::Ports};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{service::NodeService, settings::File};

/// Interval at which a node that is not ready logs the reason.
const NOT_READY_LOG_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time between the first 503 at `/readyz` and closing the listener.
///
/// Load balancers probe about once a second and remove a node after one or two failed probes.
const DRAIN_DELAY: Duration = Duration::from_millis(2_000);

/// Exit code when a second signal ends the planned stop.
const EXIT_SECOND_SIGNAL: i32 = 3;

/// Reads the settings file and runs the node until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings file is invalid or if [`run_node`] fails.
pub fn run(settings_path: &Path) -> eyre::Result<()> {
    run_node(File::load(settings_path)?)
}

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the runtime or the signal handlers cannot be created or an address cannot be bound.
pub fn run_node(file: File) -> eyre::Result<()> {
    end_process_on_panic();
    let runtime = compio::runtime::Runtime::new().wrap_err("runtime cannot be created")?;
    runtime.block_on(serve(file))
}

/// Installs a panic hook that aborts the process when a task panics.
///
/// The runtime would keep running without the task, and such a node might neither
/// serve nor release what it owns. After an abort the process is replaced and its
/// successors take over.
pub(crate) fn end_process_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        log::error!(target: "hemlocksaddle", "aborting after a panic: {panic}");
        process::abort();
    }));
}

async fn serve(file: File) -> eyre::Result<()> {
    let mut signals = signals(&[SIGTERM, SIGINT])?;
    let callers_listener = bind(file.addresses.callers, "callers").await?;
    let peers_listener = bind(file.addresses.peers_listen, "peers_listen").await?;
    let service = NodeService::new(ports(&file), file.node.clone());
    let node = service.node.clone();
    node.start();

    let acceptor = node.clone();
    let on_link = move |link| acceptor.accept_peer(link);
    compio::runtime::spawn(peers::listen(
        peers_listener,
        file.peer_key.clone(),
        peers::MAX_PENDING,
        on_link,
    ))
    .detach();
    let callers = CallerServer::new(service, file.node.limits);
    compio::runtime::spawn(callers.clone().serve(callers_listener)).detach();
    compio::runtime::spawn(log_until_ready(node.clone(), file.addresses.log)).detach();

    let signal = signals.next().await;
    log::info!(target: "hemlocksaddle", "{}: planned stop", signal_name(signal));
    let stopping = pin!(stop(&node, &callers));
    if let Either::Right((signal, _)) = select(stopping, signals.next()).await {
        log::error!(target: "hemlocksaddle", "{} during the planned stop: exiting immediately", signal_name(signal));
        process::exit(EXIT_SECOND_SIGNAL);
    }
    Ok(())
}

/// Planned stop: drains the callers' connections first, while the node is still fully functional.
async fn stop(node: &Node, callers: &CallerServer) {
    callers.announce_stop();
    compio::time::sleep(DRAIN_DELAY).await;
    let open = callers.stop().await;
    if open > 0 {
        log::warn!(target: "hemlocksaddle", "{open} caller connections still open after the maximum wait: their answers were not read");
    }
    node.stop().await;
}

/// Listens on an address; the error names `key`, the address's key in section `[node]`.
pub(crate) async fn bind(address: SocketAddr, key: &str) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("cannot listen on [node] {key} = {address}"))
}

fn ports(file: &File) -> Ports {
    let platform = HttpPlatform::new(platform::Addresses {
        log: file.addresses.log,
        hosts: file.addresses.hosts,
        workers: file.addresses.workers,
        call_ms: file.node.timing.platform_call_ms,
    });
    Ports {
        runtime: Rc::new(CompioRuntime::new()),
        log: platform.clone(),
        hosts: platform.clone(),
        workers: platform,
        targets: Rc::new(HttpTargets::new()),
        peers: Rc::new(WebSocketPeers::new(file.peer_key.clone())),
    }
}

/// Logs at an interval why the node is not ready, until it is ready or stops.
async fn log_until_ready(node: Rc<Node>, log_address: SocketAddr) {
    let started = Instant::now();
    loop {
        compio::time::sleep(NOT_READY_LOG_INTERVAL).await;
        if node.is_ready() || node.core().stopping.get() {
            return;
        }
        let reason = if node.core().journal.log_is_up() {
            format!("reading the log at {log_address}")
        } else {
            format!("the log at {log_address} does not answer")
        };
        log::warn!(
            target: "hemlocksaddle",
            "not ready for {} s: {reason}; waiting",
            started.elapsed().as_secs()
        );
    }
}

/// Returns a channel that yields the given signals as they arrive.
///
/// A dedicated thread receives them: a signal handler may interrupt the runtime
/// at any instruction and must not wake its tasks directly.
pub(crate) fn signals(numbers: &[i32]) -> eyre::Result<mpsc::UnboundedReceiver<i32>> {
    let mut received = Signals::new(numbers).wrap_err("signals cannot be received")?;
    let (sender, receiver) = mpsc::unbounded();
    std::thread::spawn(move || {
        for signal in received.forever() {
            if sender.unbounded_send(signal).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn signal_name(signal: Option<i32>) -> &'static str {
    match signal {
        Some(SIGTERM) => "SIGTERM",
        Some(SIGINT) => "SIGINT",
        _ => "signal thread ended",
    }
}
