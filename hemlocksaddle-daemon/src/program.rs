//! Life of the process: start, signals, planned stop.

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

/// Interval at which a node that cannot serve yet says why.
const WAITING_EVERY: Duration = Duration::from_millis(2_000);

/// Time between the answer 503 at `/readyz` and the end of accepting requests:
/// balancers ask about once a second and drop a node after one or two failures.
const STOP_NOTICE: Duration = Duration::from_millis(2_000);

/// Exit code after a second signal.
const EXIT_FORCED: i32 = 3;

/// Reads the settings file and runs its node until a signal asks for a planned stop.
pub fn run(settings_path: &Path) -> eyre::Result<()> {
    run_node(File::load(settings_path)?)
}

/// Runs a node until a signal asks for a planned stop.
pub fn run_node(file: File) -> eyre::Result<()> {
    end_process_on_panic();
    let runtime = compio::runtime::Runtime::new().wrap_err("runtime cannot be created")?;
    runtime.block_on(serve(file))
}

/// Ends the process when a task panics.
///
/// The runtime would go on without the task, and a node without one of its tasks
/// may neither serve nor give up what it owns. A process that is gone is
/// replaced, and its successors take over.
pub(crate) fn end_process_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        log::error!(target: "hemlocksaddle", "process ends: {panic}");
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

    let accepting = node.clone();
    let on_link = move |link| accepting.accept_peer(link);
    compio::runtime::spawn(peers::listen(
        peers_listener,
        file.peer_key.clone(),
        on_link,
    ))
    .detach();
    let callers = CallerServer::new(service, file.node.limits);
    compio::runtime::spawn(callers.clone().serve(callers_listener)).detach();
    compio::runtime::spawn(say_why_not_ready(node.clone(), file.addresses.log)).detach();

    let signal = signals.next().await;
    log::info!(target: "hemlocksaddle", "{}: planned stop", name(signal));
    let stopping = pin!(stop(&node, &callers));
    if let Either::Right((signal, _)) = select(stopping, signals.next()).await {
        log::error!(target: "hemlocksaddle", "{} during the planned stop: ended at once", name(signal));
        process::exit(EXIT_FORCED);
    }
    Ok(())
}

/// Planned stop: callers get their answers first, while the node still does all of its work.
async fn stop(node: &Node, callers: &CallerServer) {
    callers.announce_stop();
    compio::time::sleep(STOP_NOTICE).await;
    let open = callers.stop().await;
    if open > 0 {
        log::warn!(target: "hemlocksaddle", "{open} connections of callers did not take their answer");
    }
    node.stop().await;
}

pub(crate) async fn bind(address: SocketAddr, key: &str) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("[node] {key} = {address} cannot be listened on"))
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

/// Logs that the node waits, until it serves.
async fn say_why_not_ready(node: Rc<Node>, log_address: SocketAddr) {
    let started = Instant::now();
    loop {
        compio::time::sleep(WAITING_EVERY).await;
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

/// Signals of a set, as they arrive.
///
/// A thread of its own receives them: a handler that runs between two
/// instructions of the runtime must not wake the runtime's tasks itself.
pub(crate) fn signals(wanted: &[i32]) -> eyre::Result<mpsc::UnboundedReceiver<i32>> {
    let mut received = Signals::new(wanted).wrap_err("signals cannot be received")?;
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

fn name(signal: Option<i32>) -> &'static str {
    match signal {
        Some(SIGTERM) => "SIGTERM",
        Some(SIGINT) => "SIGINT",
        _ => "end of the signal thread",
    }
}
