//! HTTP client for the nodes and the fake platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::ensure;
use http::Method;
use serde::{Serialize, de::DeserializeOwned};

/// Timeout of a call; longer than any deadline or long poll of this example.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Response to a call.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// Value of the header `Result-Code`; 0 if it is absent.
    pub(crate) code: u16,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// HTTP client with a connection pool.
#[derive(Clone)]
pub(crate) struct Client(cyper::Client);

impl Client {
    /// Creates a client without connections.
    pub(crate) fn new() -> eyre::Result<Client> {
        Ok(Client(cyper::Client::new()?))
    }

    /// Sends a request and waits for the complete response.
    pub(crate) async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> eyre::Result<Response> {
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
            eyre::Ok(Response {
                status,
                code: code.unwrap_or(0),
                body: response.bytes().await?,
            })
        };
        compio::time::timeout(TIMEOUT, exchange).await?
    }

    /// Sends a GET request.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> eyre::Result<Response> {
        self.call(Method::GET, address, path, &[], Bytes::new())
            .await
    }

    /// Sends a GET request and decodes its JSON response; any status but 200 is an error.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> eyre::Result<T> {
        let response = self.get(address, path).await?;
        ensure!(
            response.status == 200,
            "{path}: unexpected HTTP status {}",
            response.status
        );
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Posts a JSON value to the control interface of the fake platform.
    pub(crate) async fn control(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> eyre::Result<()> {
        let body = serde_json::to_vec(body)?;
        let response = self.call(Method::POST, address, path, &[], body).await?;
        ensure!(
            response.status == 200,
            "{path}: unexpected HTTP status {}",
            response.status
        );
        Ok(())
    }
}
