//! HTTP client for nodes.
//!
//! A request that any node can serve is sent to the nodes in order until one
//! accepts it. A request that changes state fails over to the next node only if
//! the connection could not be established or the node answers 503 with the run
//! state `not_run`. If its response is lost, it is not retried, as that could
//! apply it twice; the outcome is reported as unknown.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use http::Method;

use crate::error::{Error, ErrorKind, Result};

/// Timeout of a request after the connection check; exceeds the nodes' maximum long poll of 30 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Request to a node.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Request {
        Request {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Request {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<String>) -> Request {
        self.body = body.into();
        self
    }
}

/// Response of a node.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of `Result-Code`, if present.
    pub code: Option<u16>,
    /// Value of `Run-State`, if present.
    pub run_state: Option<String>,
    /// Value of `Location`, if present.
    pub location: Option<String>,
    /// Body.
    pub body: String,
}

impl Response {
    /// Whether the status is 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the response, or an error with its status and body if the status is not 2xx.
    pub fn error_for_status(self) -> Result<Response> {
        if self.is_success() {
            return Ok(self);
        }
        let code = self.code.map_or(String::new(), |c| format!("code {c}, "));
        let state = self.run_state.as_deref().unwrap_or("no run state");
        let body = self.body.trim();
        let message = format!(
            "request refused with status {} ({code}{state}): {body}",
            self.status
        );
        Err(Error::new(ErrorKind::Failed, message))
    }
}

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The connection could not be established, so the request had no effect.
    NotSent(String),
    /// The connection failed or timed out after it was established, so the outcome is unknown.
    NoResponse(String),
}

/// Client for a list of nodes.
#[derive(Clone, Debug)]
pub struct Client {
    nodes: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client; fails with [`ErrorKind::Usage`] if `nodes` is empty.
    pub fn new(nodes: Vec<SocketAddr>) -> Result<Client> {
        if nodes.is_empty() {
            let message = "no node given: pass --node IP:PORT once for each node";
            return Err(Error::new(ErrorKind::Usage, message));
        }
        Ok(Client { nodes })
    }

    /// Sends a request to the nodes in order until one accepts it.
    ///
    /// Fails with [`ErrorKind::Unreachable`] if no node does, and with
    /// [`ErrorKind::Failed`] if a request that changes state may have taken effect.
    pub async fn send_to_any(&self, request: &Request) -> Result<Response> {
        let safe = request.method == Method::GET;
        let mut failures = Vec::new();
        for node in &self.nodes {
            match send(*node, request).await {
                Ok(response) if response.status == 503 => {
                    failures.push(format!("{node}: status 503, {}", response.body.trim()));
                    if !safe && response.run_state.as_deref() != Some("not_run") {
                        return response.error_for_status();
                    }
                }
                Ok(response) => return Ok(response),
                Err(RequestError::NotSent(reason)) => failures.push(format!("{node}: {reason}")),
                Err(RequestError::NoResponse(reason)) if safe => {
                    failures.push(format!("{node}: {reason}"))
                }
                Err(RequestError::NoResponse(reason)) => {
                    let message =
                        format!("{node}: {reason}; the outcome of the request is unknown");
                    return Err(Error::new(ErrorKind::Failed, message));
                }
            }
        }
        let message = format!("no node answered: {}", failures.join("; "));
        Err(Error::new(ErrorKind::Unreachable, message))
    }

    /// Sends a request to all nodes concurrently.
    pub async fn send_to_all(
        &self,
        request: &Request,
    ) -> Vec<(SocketAddr, std::result::Result<Response, RequestError>)> {
        let sends = self.nodes.iter().map(|node| async move {
            let result = send(*node, request).await;
            (*node, result)
        });
        join_all(sends).await
    }
}

/// Sends a request to one node.
///
/// A test connection is made first, to tell a node that cannot be reached from a
/// request that was sent without a response.
async fn send(node: SocketAddr, request: &Request) -> std::result::Result<Response, RequestError> {
    let probe = compio::net::TcpStream::connect(node);
    match compio::time::timeout(CONNECT_TIMEOUT, probe).await {
        Ok(Ok(_connection)) => {}
        Ok(Err(error)) => return Err(RequestError::NotSent(error.to_string())),
        Err(_elapsed) => return Err(RequestError::NotSent(String::from("connection timed out"))),
    }
    match compio::time::timeout(REQUEST_TIMEOUT, exchange(node, request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(RequestError::NoResponse(error.to_string())),
        Err(_elapsed) => Err(RequestError::NoResponse(String::from("no answer in time"))),
    }
}

async fn exchange(node: SocketAddr, request: &Request) -> cyper::Result<Response> {
    let url = format!("http://{node}{}", request.path);
    let mut builder = cyper::Client::new()?.request(request.method.clone(), url)?;
    for (name, value) in &request.headers {
        builder = builder.header(*name, value)?;
    }
    let response = builder.body(request.body.clone()).send().await?;
    let header_value = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.to_string())
    };
    let (code, run_state, location) = (
        header_value("result-code"),
        header_value("run-state"),
        header_value("location"),
    );
    Ok(Response {
        status: response.status().as_u16(),
        code: code.and_then(|code| code.parse().ok()),
        run_state,
        location,
        body: response.text().await?,
    })
}
