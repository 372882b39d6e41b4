//! HTTP/1.1 client for synchronous requests to executors.
//!
//! A target accepts `POST /v1/services/{service}/requests` with the headers
//! `Request-Id`, `Deadline-Ms` and `Idempotency-Key` and the forwarded headers of
//! the caller. It may return `Request-Id`, which the node compares with the one sent.
//!
//! A connection carries one request at a time. It is reused only after a complete
//! response, only within [`IDLE_TIMEOUT`], and only for idempotent requests: a
//! target may close an idle connection while a request is being written to it, and
//! then it is unknown whether the request ran. If a request ends in any other way,
//! or its future is dropped, its connection is closed, so that a late response
//! cannot be taken for that of another request.

mod pool;

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hemlocksaddle_node::ports::{PortError, PortFuture, Result, Targets};
use hemlocksaddle_types::{
    clock::Millis,
    name::ServiceName,
    outcome::ResultCode,
    request::{QuickRequest, QuickResponse, REQUEST_ID_HEADER},
};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use self::pool::{Pool, PooledConnection};
use crate::headers;

/// Time after its last response for which an idle connection may be reused.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Connection pools of all targets.
#[derive(Default)]
pub struct HttpTargets {
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
}

impl HttpTargets {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> HttpTargets {
        HttpTargets::default()
    }

    /// Number of open connections to an address, including idle ones.
    #[must_use]
    pub fn open_connections(&self, address: SocketAddr) -> u32 {
        let pools = self.pools.borrow();
        pools
            .get(&address)
            .map_or(0, |pool| pool.open_connections())
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|other, pool| *other == address || !pool.is_empty());
        pools
            .entry(address)
            .or_insert_with(|| Pool::new(address))
            .clone()
    }
}

impl Targets for HttpTargets {
    fn send(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        connections: u32,
        request: QuickRequest,
        timeout: Millis,
    ) -> PortFuture<'_, Result<QuickResponse>> {
        let pool = self.pool(address);
        let idempotent = request.idempotent;
        let message = to_http(address, service, request);
        Box::pin(async move {
            let message = message?;
            let timeout = Duration::from_millis(timeout.0);
            let connect = pool.connect(connections, idempotent);
            let connection = compio::time::timeout(CONNECT_TIMEOUT.min(timeout), connect).await;
            let mut connection = connection.map_err(|_elapsed| PortError::NotSent)??;
            let exchange = exchange(&mut connection, message);
            let response = compio::time::timeout(timeout, exchange)
                .await
                .map_err(|_elapsed| PortError::Unknown)??;
            connection.return_to_pool();
            Ok(response)
        })
    }
}

async fn exchange(
    connection: &mut PooledConnection,
    message: Request<Full<Bytes>>,
) -> Result<QuickResponse> {
    match connection.sender().try_send_request(message).await {
        Ok(response) => read_response(response).await,
        // hyper returns the message only if no byte of it was written.
        Err(mut error) => match error.take_message() {
            Some(_message) => Err(PortError::NotSent),
            None => Err(PortError::Unknown),
        },
    }
}

fn to_http(
    address: SocketAddr,
    service: &ServiceName,
    request: QuickRequest,
) -> Result<Request<Full<Bytes>>> {
    let text = |text: String| HeaderValue::try_from(text).map_err(|_| PortError::NotSent);
    let mut message = Request::new(Full::new(request.body));
    *message.method_mut() = Method::POST;
    *message.uri_mut() = format!("/v1/services/{service}/requests")
        .parse()
        .map_err(|_| PortError::NotSent)?;
    let headers = message.headers_mut();
    headers::add_forwarded(headers, &request.headers);
    headers.insert(HOST, text(address.to_string())?);
    headers.insert(REQUEST_ID_HEADER, text(request.id.to_string())?);
    headers.insert("deadline-ms", text(request.deadline_ms.0.to_string())?);
    if let Some(key) = &request.key {
        headers.insert("idempotency-key", text(key.to_string())?);
    }
    Ok(message)
}

/// Reads the complete response.
///
/// A body that is delimited only by the end of the connection is rejected: its end
/// cannot be told from a broken connection.
async fn read_response(response: Response<Incoming>) -> Result<QuickResponse> {
    let (head, body) = response.into_parts();
    let without_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if !without_body && !is_delimited(&head.headers) {
        return Err(PortError::Unknown);
    }
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = collected.map_err(|_| PortError::Unknown)?.to_bytes();
    let mut headers = headers::forwarded(&head.headers).ok_or(PortError::Unknown)?;
    if let Some(id) = head.headers.get(REQUEST_ID_HEADER) {
        let id = id.to_str().map_err(|_| PortError::Unknown)?;
        headers.insert(REQUEST_ID_HEADER.into(), id.into());
    }
    let failed = head.status.is_client_error() || head.status.is_server_error();
    Ok(QuickResponse {
        code: if failed {
            ResultCode::TargetError
        } else {
            ResultCode::Completed
        },
        status: head.status.as_u16(),
        headers,
        body,
        retry_after_ms: None,
    })
}

fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
