//! Calls to the nodes and to the stand-in.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::ensure;
use http::Method;
use serde::{Serialize, de::DeserializeOwned};

/// Longest wait for an answer; above the longest deadline and long poll used here.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Answer of a node.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Header `Result-Code`; 0 if there is none.
    pub(crate) code: u16,
    /// Body.
    pub(crate) body: Bytes,
}

/// Client with its connections.
#[derive(Clone)]
pub(crate) struct Client(cyper::Client);

impl Client {
    /// Client without connections.
    pub(crate) fn new() -> eyre::Result<Client> {
        Ok(Client(cyper::Client::new()?))
    }

    /// Calls a path and waits for the whole answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> eyre::Result<Answer> {
        let mut request = self.0.request(method, format!("http://{address}{path}"))?;
        for (name, value) in headers {
            request = request.header(*name, *value)?;
        }
        let request = request.body(body.into());
        let exchange = async {
            let response = request.send().await?;
            let status = response.status().as_u16();
            let code = response.headers().get("result-code");
            let code = code.and_then(|code| code.to_str().ok()?.parse().ok());
            eyre::Ok(Answer {
                status,
                code: code.unwrap_or(0),
                body: response.bytes().await?,
            })
        };
        compio::time::timeout(TIMEOUT, exchange).await?
    }

    /// Gets a path.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> eyre::Result<Answer> {
        self.call(Method::GET, address, path, &[], Bytes::new())
            .await
    }

    /// Gets a JSON value.
    pub(crate) async fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> eyre::Result<T> {
        let answer = self.get(address, path).await?;
        ensure!(
            answer.status == 200,
            "{path} is answered with {}",
            answer.status
        );
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Posts a JSON value to the stand-in's control.
    pub(crate) async fn control(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> eyre::Result<()> {
        let body = serde_json::to_vec(body)?;
        let answer = self.call(Method::POST, address, path, &[], body).await?;
        ensure!(
            answer.status == 200,
            "{path} is answered with {}",
            answer.status
        );
        Ok(())
    }
}
