//! Client for the platform's protocol, JSON over HTTP/1.1.
//!
//! | request | body | response |
//! | --- | --- | --- |
//! | `POST /streams/{stream}` | the record | `{"offset": N}` |
//! | `GET /streams/{stream}?from=N&wait_ms=N` | | [`wire::ReadResponse`] |
//! | `GET /hosts` | | `HostList`, or status 304 if it matches `If-None-Match` |
//! | `POST /workers/{worker}/start` | `StartTask` | `StartReply` |
//! | `POST /workers/{worker}/renew` | `Renew` | `WorkerReport` |
//! | `POST /workers/{worker}/stop` | [`wire::Stop`] | |
//! | `POST /workers/{worker}/throttle` | [`wire::Throttle`] | |
//!
//! Status 4xx or 503 means that the call had no effect; any other status except 200
//! leaves the outcome unknown. A platform with another protocol is supported by a
//! sibling of this module.

pub mod wire;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use futures_util::FutureExt;
use hemlocksaddle_node::ports::{Hosts, Log, PortError, PortFuture, ReadBatch, Result, Workers};
use hemlocksaddle_types::{
    clock::Millis,
    host::HostList,
    job::{Attempt, TaskId},
    name::WorkerName,
    record::{Offset, Stream},
    worker::{Renew, StartReply, StartTask, WorkerReport},
};
use http::{HeaderValue, Method, StatusCode, header::IF_NONE_MATCH};
use serde::{Serialize, de::DeserializeOwned};

use crate::http::{Call, Client, Response};

/// Addresses of the platform's services and the timeout of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Address of a gateway to the workers; `None` if each worker is called at its own address.
    pub workers: Option<SocketAddr>,
    /// Timeout of a call; the wait of a read is added to it.
    pub call_ms: Millis,
}

/// Implementation of the platform's ports over HTTP.
pub struct HttpPlatform {
    addresses: Addresses,
    client: Client,
    /// Last received host list with its entity tag.
    hosts: RefCell<Option<(HeaderValue, HostList)>>,
}

impl HttpPlatform {
    /// Creates an adapter for the ports [`Log`], [`Hosts`] and [`Workers`].
    #[must_use]
    pub fn new(addresses: Addresses) -> Rc<HttpPlatform> {
        Rc::new(HttpPlatform {
            addresses,
            client: Client::default(),
            hosts: RefCell::default(),
        })
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: String,
        wait: Millis,
    ) -> Result<T> {
        let call = Call {
            method: Method::GET,
            address,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let timeout = self.addresses.call_ms + wait;
        decode(&success_body(self.client.call(call, timeout).await?)?)
    }

    /// Fetches the host list with a conditional request.
    ///
    /// Every node polls each second, while the list of a large platform changes only
    /// every few minutes.
    async fn fetch_hosts(&self) -> Result<HostList> {
        let sent_etag = self.hosts.borrow().as_ref().map(|(etag, _)| etag.clone());
        let call = Call {
            method: Method::GET,
            address: self.addresses.hosts,
            path: String::from("/hosts"),
            headers: sent_etag
                .iter()
                .map(|sent_etag| (IF_NONE_MATCH, sent_etag.clone()))
                .collect(),
            body: Bytes::new(),
        };
        let response = self.client.call(call, self.addresses.call_ms).await?;
        if response.status == StatusCode::NOT_MODIFIED {
            // A concurrent fetch may have replaced the list that the response refers to.
            let hosts = self.hosts.borrow();
            let same = hosts
                .as_ref()
                .filter(|(etag, _)| Some(etag) == sent_etag.as_ref());
            return same.map(|(_, list)| list.clone()).ok_or(PortError::Unknown);
        }
        let etag = response.etag.clone();
        let list: HostList = decode(&success_body(response)?)?;
        *self.hosts.borrow_mut() = etag.map(|etag| (etag, list.clone()));
        Ok(list)
    }

    async fn post(&self, address: SocketAddr, path: String, body: Bytes) -> Result<Bytes> {
        let call = Call {
            method: Method::POST,
            address,
            path,
            headers: Vec::new(),
            body,
        };
        success_body(self.client.call(call, self.addresses.call_ms).await?)
    }

    async fn post_order(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        action: &str,
        order: &impl Serialize,
    ) -> Result<Bytes> {
        let body = serde_json::to_vec(order).map_err(|_| PortError::NotSent)?;
        let address = self.addresses.workers.unwrap_or(address);
        let path = format!("/workers/{worker}/{action}");
        self.post(address, path, Bytes::from(body)).await
    }
}

/// Returns the body of a successful response and maps other statuses to errors.
fn success_body(response: Response) -> Result<Bytes> {
    match response.status {
        StatusCode::OK => Ok(response.body),
        StatusCode::SERVICE_UNAVAILABLE => Err(PortError::NotSent),
        status if status.is_client_error() => Err(PortError::NotSent),
        _ => Err(PortError::Unknown),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|cause| {
        log::warn!(target: "hemlocksaddle", "cannot decode the response of the platform: {cause}");
        PortError::Unknown
    })
}

impl Log for HttpPlatform {
    fn append(&self, stream: Stream, record: Bytes) -> PortFuture<'_, Result<Offset>> {
        async move {
            let path = format!("/streams/{}", stream.name());
            let body = self.post(self.addresses.log, path, record).await?;
            let appended: wire::AppendResponse = decode(&body)?;
            Ok(appended.offset)
        }
        .boxed_local()
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Millis,
    ) -> PortFuture<'_, Result<ReadBatch>> {
        async move {
            let path = format!(
                "/streams/{}?from={}&wait_ms={}",
                stream.name(),
                from.0,
                wait.0
            );
            let response: wire::ReadResponse = self.get(self.addresses.log, path, wait).await?;
            response.try_into()
        }
        .boxed_local()
    }
}

impl Hosts for HttpPlatform {
    fn fetch(&self) -> PortFuture<'_, Result<HostList>> {
        self.fetch_hosts().boxed_local()
    }
}

impl Workers for HttpPlatform {
    fn start(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        order: StartTask,
    ) -> PortFuture<'_, Result<StartReply>> {
        let worker = worker.clone();
        async move { decode(&self.post_order(address, &worker, "start", &order).await?) }
            .boxed_local()
    }

    fn renew(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        renew: Renew,
    ) -> PortFuture<'_, Result<WorkerReport>> {
        let worker = worker.clone();
        async move { decode(&self.post_order(address, &worker, "renew", &renew).await?) }
            .boxed_local()
    }

    fn stop(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        checkpoint: bool,
    ) -> PortFuture<'_, Result<()>> {
        let worker = worker.clone();
        let order = wire::Stop {
            task,
            attempt,
            checkpoint,
        };
        async move {
            self.post_order(address, &worker, "stop", &order).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn throttle(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        on: bool,
    ) -> PortFuture<'_, Result<()>> {
        let worker = worker.clone();
        let order = wire::Throttle { task, attempt, on };
        async move {
            self.post_order(address, &worker, "throttle", &order)
                .await?;
            Ok(())
        }
        .boxed_local()
    }
}
