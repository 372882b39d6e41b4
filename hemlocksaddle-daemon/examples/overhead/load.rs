//! Closed-loop load over keep-alive connections: each caller has one request in progress.

use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};

/// Body of each request.
const BODY: &[u8] = b"order 1: 12 of design 4";

/// Latencies of a set of requests.
pub(crate) struct Sample {
    latency_us: Histogram<u64>,
    /// Requests without a successful response that echoes the body.
    pub(crate) failed: u64,
}

impl Sample {
    /// Creates an empty sample.
    pub(crate) fn new() -> eyre::Result<Sample> {
        Ok(Sample {
            latency_us: Histogram::new(3)?,
            failed: 0,
        })
    }

    /// Adds the requests of another sample.
    pub(crate) fn add(&mut self, other: &Sample) -> eyre::Result<()> {
        self.latency_us.add(&other.latency_us)?;
        self.failed += other.failed;
        Ok(())
    }

    /// Requests with a successful response.
    pub(crate) fn served(&self) -> u64 {
        self.latency_us.len()
    }
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |quantile| self.latency_us.value_at_quantile(quantile);
        f.pad(&format!("{}, {}", at(0.5), at(0.99)))
    }
}

/// Destination of requests.
pub(crate) struct Endpoint {
    /// Addresses, assigned to callers in round-robin order.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Path of the request.
    pub(crate) path: &'static str,
}

impl Endpoint {
    /// Sends `count` requests from `in_progress` concurrent callers.
    pub(crate) async fn send(&self, in_progress: usize, count: usize) -> eyre::Result<Sample> {
        let sample = Rc::new(RefCell::new(Sample::new()?));
        let mut callers = Vec::new();
        for caller in 0..in_progress {
            let address = self.addresses[caller % self.addresses.len()];
            let request_count = count / in_progress + usize::from(caller < count % in_progress);
            let requests = run_caller(address, self.path, request_count, sample.clone());
            callers.push(compio::runtime::spawn(requests));
        }
        for caller in callers {
            caller
                .await
                .map_err(|_| eyre::eyre!("a task that sends requests panicked"))??;
        }
        let empty = Sample::new()?;
        Ok(sample.replace(empty))
    }
}

async fn run_caller(
    address: SocketAddr,
    path: &'static str,
    count: usize,
    sample: Rc<RefCell<Sample>>,
) -> eyre::Result<()> {
    let tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    let (mut sender, driver) = handshake(HyperStream::new_plain(tcp)).await?;
    let driver = compio::runtime::spawn(async move {
        // A connection error also fails the exchange, which reports it.
        let _ = driver.await;
    });
    for _ in 0..count {
        let began = Instant::now();
        let is_valid = exchange(&mut sender, address, path).await?;
        let latency_us = u64::try_from(began.elapsed().as_micros())?;
        let sample = &mut *sample.borrow_mut();
        if is_valid {
            sample.latency_us.record(latency_us)?;
        } else {
            sample.failed += 1;
        }
    }
    drop(driver);
    Ok(())
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> eyre::Result<bool> {
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .header("idempotent", "true")
        .body(Full::new(Bytes::from_static(BODY)))?;
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let is_success = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(is_success && body == BODY)
}
