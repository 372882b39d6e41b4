//! Minimal HTTP server around a handler.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use serde::Serialize;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Response, or `None` to close the connection without one.
pub(super) type MaybeResponse = Option<Response<Full<Bytes>>>;

/// Handler of a listener.
pub(super) type Handler = Rc<dyn Fn(Parts, Bytes) -> LocalBoxFuture<'static, MaybeResponse>>;

/// Response with a JSON body.
pub(super) fn json(value: &impl Serialize) -> MaybeResponse {
    match serde_json::to_vec(value) {
        Ok(body) => bytes(Bytes::from(body)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Response with a body.
pub(super) fn bytes(body: Bytes) -> MaybeResponse {
    Some(Response::new(Full::new(body)))
}

/// Response without a body.
pub(super) fn status(status: StatusCode) -> MaybeResponse {
    let mut response = Response::default();
    *response.status_mut() = status;
    Some(response)
}

/// Serves connections in the background; `on_accept` gets the number of open ones after each accept.
pub(super) fn serve(listener: TcpListener, handler: Handler, on_accept: impl Fn(usize) + 'static) {
    let accepting = async move {
        let open = Rc::new(Cell::new(0));
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            open.set(open.get() + 1);
            on_accept(open.get());
            let (handler, open) = (handler.clone(), open.clone());
            let connection = async move {
                serve_connection(tcp, handler).await;
                open.set(open.get() - 1);
            };
            compio::runtime::spawn(connection).detach();
        }
    };
    compio::runtime::spawn(accepting).detach();
}

async fn serve_connection(tcp: TcpStream, handler: Handler) {
    let _ = tcp.set_nodelay(true);
    let service = service_fn(move |request| respond(handler.clone(), request));
    let connection = http1::Builder::new().serve_connection(HyperStream::new_plain(tcp), service);
    let _ = connection.await;
}

/// Error in place of a dropped response; hyper then closes the connection.
#[derive(Debug)]
struct ResponseDropped;

impl std::fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response dropped on purpose")
    }
}

impl std::error::Error for ResponseDropped {}

async fn respond(
    handler: Handler,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ResponseDropped> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(ResponseDropped);
    };
    handler(parts, body.to_bytes()).await.ok_or(ResponseDropped)
}
