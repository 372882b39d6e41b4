//! The fake platform behind HTTP sockets, for process tests and examples.
//!
//! The in-memory fakes run on their virtual clock, which [`FakePlatform::run`]
//! advances with real time in steps of a millisecond. A call becomes a task on
//! that clock; it is cancelled if the caller closes the connection.

pub mod control;
mod routes;
mod server;

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::net::TcpListener;
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use hemlocksaddle_node::ports::Ports;
use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostRole},
    name::ServiceName,
};
use http::request::Parts;
use serde::{Deserialize, Serialize};

use crate::{
    checker::Rule,
    network::Endpoint,
    platform::{Deployment, Platform},
    runtime::ENVIRONMENT,
};
use server::{MaybeResponse, serve};

/// Interval at which the virtual clock is advanced to real time.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Hosts and limits of a fake platform.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Hosts. The addresses of workers and executors are replaced by those of listeners.
    pub hosts: Vec<Host>,
    /// Service of the executors.
    pub service: ServiceName,
    /// Slots of each executor.
    pub slots: usize,
    /// Maximum number of connections to each executor; more are reported as a violation.
    pub connections: usize,
    /// Seed of service times and clocks.
    pub seed: u64,
}

/// Listening addresses of a fake platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Log.
    pub log: SocketAddr,
    /// Host list.
    pub hosts: SocketAddr,
    /// All workers.
    pub workers: SocketAddr,
    /// Control calls.
    pub control: SocketAddr,
    /// Executors in the order of the hosts.
    pub executors: Vec<SocketAddr>,
}

/// State shared by the handlers.
struct Shared {
    platform: Rc<Platform>,
    ports: Ports,
    service: ServiceName,
    connections: u32,
    requests: Cell<u64>,
    requests_running: Cell<u64>,
    responses_to_lose: Cell<u64>,
}

impl Shared {
    /// Runs a call on the virtual clock; dropping this future cancels the call.
    async fn run<T: 'static>(
        self: &Rc<Self>,
        call: impl Future<Output = T> + 'static,
    ) -> Option<T> {
        let (mut response_tx, response_rx) = oneshot::channel();
        self.platform.sim.spawn(ENVIRONMENT, async move {
            let ended = select(Box::pin(call), response_tx.cancellation()).await;
            if let Either::Left((output, _)) = ended {
                let _ = response_tx.send(output);
            }
        });
        response_rx.await.ok()
    }

    /// Drops the response if a response is due to be lost.
    fn drop_if_lost(&self, response: MaybeResponse) -> MaybeResponse {
        let left = self.responses_to_lose.get();
        self.responses_to_lose.set(left.saturating_sub(1));
        response.filter(|_| left == 0)
    }
}

/// Platform that listens on loopback sockets.
pub struct FakePlatform {
    shared: Rc<Shared>,
    /// Listening addresses.
    pub addresses: Addresses,
}

impl FakePlatform {
    /// Binds all listeners to free ports and serves them in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be bound.
    pub async fn start(mut layout: Layout) -> io::Result<FakePlatform> {
        let platform = TcpListener::bind("127.0.0.1:0").await?;
        let control = TcpListener::bind("127.0.0.1:0").await?;
        let address = platform.local_addr()?;
        let mut executors = Vec::new();
        for host in &mut layout.hosts {
            match host.role {
                HostRole::Worker { .. } => host.address = address,
                HostRole::Executor { .. } => {
                    let listener = TcpListener::bind("127.0.0.1:0").await?;
                    host.address = listener.local_addr()?;
                    executors.push((host.address, listener));
                }
                HostRole::Node { .. } => {}
            }
        }
        let addresses = Addresses {
            log: address,
            hosts: address,
            workers: address,
            control: control.local_addr()?,
            executors: executors.iter().map(|(address, _)| *address).collect(),
        };
        let shared = shared(layout);
        listen(&shared, platform, routes::platform);
        listen(&shared, control, control::handle);
        for (address, listener) in executors {
            listen_executor(&shared, address, listener);
        }
        Ok(FakePlatform { shared, addresses })
    }

    /// Advances the virtual clock with real time; never returns.
    pub async fn run(&self) {
        let started = Instant::now();
        loop {
            compio::time::sleep(CLOCK_STEP).await;
            let due = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            let sim = &self.shared.platform.sim;
            sim.run_for(Millis(due.saturating_sub(sim.now().0)));
        }
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.shared.platform.sim.close();
    }
}

fn shared(layout: Layout) -> Rc<Shared> {
    let platform = Platform::with_hosts(Deployment::small(), layout.hosts, layout.seed);
    platform.set_slots(layout.slots);
    Rc::new(Shared {
        ports: platform.ports_of(Endpoint::new(ENVIRONMENT, "http", None)),
        platform,
        service: layout.service,
        connections: u32::try_from(layout.connections).unwrap_or(u32::MAX),
        requests: Cell::new(0),
        requests_running: Cell::new(0),
        responses_to_lose: Cell::new(0),
    })
}

/// Serves, in the background, an executor that responds at once with the request's body.
pub fn serve_echo(listener: TcpListener) {
    serve(
        listener,
        Rc::new(|_, body| async move { server::bytes(body) }.boxed_local()),
        |_| {},
    );
}

fn listen<F>(
    shared: &Rc<Shared>,
    listener: TcpListener,
    handle: impl Fn(Rc<Shared>, Parts, Bytes) -> F + 'static,
) where
    F: Future<Output = MaybeResponse> + 'static,
{
    let shared = shared.clone();
    let handler = move |parts, body| handle(shared.clone(), parts, body).boxed_local();
    serve(listener, Rc::new(handler), |_| {});
}

fn listen_executor(shared: &Rc<Shared>, address: SocketAddr, listener: TcpListener) {
    let (checked, shared) = (shared.clone(), shared.clone());
    let handler =
        move |parts, body| routes::executor(shared.clone(), address, parts, body).boxed_local();
    serve(listener, Rc::new(handler), move |open| {
        if open > checked.connections as usize {
            let detail = format!(
                "{address} has {open} connections, at most {}",
                checked.connections
            );
            checked.platform.checker.report(Rule::Connections, detail);
        }
    });
}
