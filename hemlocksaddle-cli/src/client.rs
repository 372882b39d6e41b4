//! HTTP client for nodes.
//!
//! A command that any node can answer tries the nodes in order until one takes
//! the request. A request that changes something moves on only if the connection
//! could not be made or the answer says "not run"; after a lost answer it is
//! reported as unknown rather than sent again.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use http::Method;

use crate::error::{Error, ErrorKind, Result};

/// Longest wait for an answer; above the longest long poll of 30 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Request to a node.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

impl Request {
    /// Request without headers and body.
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

/// Answer of a node.
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
    /// Whether the status is in the 200s.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The answer itself, or an error that says why the node refused.
    pub fn error_for_status(self) -> Result<Response> {
        if self.is_success() {
            return Ok(self);
        }
        let code = self.code.map_or(String::new(), |c| format!("code {c}, "));
        let state = self.run_state.as_deref().unwrap_or("run state not given");
        let body = self.body.trim();
        let message = format!(
            "refused with status {} ({code}{state}): {body}",
            self.status
        );
        Err(Error::new(ErrorKind::Failed, message))
    }
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No connection; certain to have had no effect.
    NotSent(String),
    /// Connection broke or timed out after it was made.
    NoResponse(String),
}

/// Client for a list of nodes.
#[derive(Clone, Debug)]
pub struct Client {
    nodes: Vec<SocketAddr>,
}

impl Client {
    /// Client for nodes; at least one is needed.
    pub fn new(nodes: Vec<SocketAddr>) -> Result<Client> {
        if nodes.is_empty() {
            let message = "no node given: use --node IP:PORT, once for each node";
            return Err(Error::new(ErrorKind::Usage, message));
        }
        Ok(Client { nodes })
    }

    /// Sends a call to the first node that takes it.
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
                        format!("{node}: {reason}; it is not known whether this took effect");
                    return Err(Error::new(ErrorKind::Failed, message));
                }
            }
        }
        let message = format!("no node answered: {}", failures.join("; "));
        Err(Error::new(ErrorKind::Unreachable, message))
    }

    /// Sends a call to all nodes at once.
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

/// Sends one call to one node.
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
