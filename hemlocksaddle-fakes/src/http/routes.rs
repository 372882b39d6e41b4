//! Routes that the nodes call: log, host list, workers and executors.

use std::{collections::BTreeMap, hash::BuildHasher, net::SocketAddr, rc::Rc, sync::Arc};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use foldhash::fast::FixedState;
use hemlocksaddle_node::ports::{PortError, Result};
use hemlocksaddle_types::{
    clock::Millis,
    job::{Attempt, TaskId, Urgency},
    name::{IdempotencyKey, NodeName, WorkerName},
    record::{Offset, Stream},
    request::{QuickRequest, RequestId},
    unit::QueueIndex,
};
use http::{HeaderValue, Method, StatusCode, header, request::Parts};
use serde::{Deserialize, Serialize};
use serde_json::json as object;

use super::{
    Shared,
    server::{MaybeResponse, bytes, json, status},
};

/// Header that identifies a request and is echoed in its response.
const REQUEST_ID: &str = "request-id";

/// Header by which a caller tells the checker that the request may run more than once.
const MAY_REPEAT: &str = "may-repeat";

/// Deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Millis = Millis(10_000);

pub(super) async fn platform(shared: Rc<Shared>, parts: Parts, body: Bytes) -> MaybeResponse {
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (parts.method.clone(), segments.as_slice()) {
        (Method::GET, ["hosts"]) => hosts(&shared, &parts).await,
        (Method::GET, ["streams", stream]) => match parse_stream(stream) {
            Some(stream) => read(&shared, stream, parts.uri.query().unwrap_or_default()).await,
            None => status(StatusCode::NOT_FOUND),
        },
        (Method::POST, ["streams", stream]) => match parse_stream(stream) {
            Some(stream) => append(&shared, stream, body).await,
            None => status(StatusCode::NOT_FOUND),
        },
        (Method::POST, ["workers", worker, action]) => {
            worker_call(&shared, worker, action, &body).await
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Response to a call: status 503 if it had no effect, a closed connection if that is unknown.
fn call_response<T: Serialize>(result: Result<T>) -> MaybeResponse {
    match result {
        Ok(value) => json(&value),
        Err(PortError::NotSent) => status(StatusCode::SERVICE_UNAVAILABLE),
        Err(PortError::Unknown) => None,
    }
}

/// Host list with an entity tag over its hosts, which does not cover the time of the list.
async fn hosts(shared: &Rc<Shared>, parts: &Parts) -> MaybeResponse {
    let port = shared.ports.hosts.clone();
    let list = shared.run(async move { port.fetch().await }).await?;
    let hosts = list.as_ref().map(|list| serde_json::to_vec(&list.hosts));
    let Ok(Ok(hosts)) = hosts else {
        return call_response(list);
    };
    let tag = FixedState::with_seed(0).hash_one(hosts);
    let tag = HeaderValue::try_from(format!("\"{tag:016x}\"")).ok()?;
    let mut response = match parts.headers.get(header::IF_NONE_MATCH) == Some(&tag) {
        true => status(StatusCode::NOT_MODIFIED),
        false => call_response(list),
    }?;
    response.headers_mut().insert(header::ETAG, tag);
    Some(response)
}

fn parse_stream(name: &str) -> Option<Stream> {
    match name {
        "documents" => Some(Stream::Documents),
        "claims" => Some(Stream::Claims),
        _ => {
            let index = name.strip_prefix("queue-")?.parse().ok()?;
            Some(Stream::Queue(QueueIndex(index)))
        }
    }
}

async fn read(shared: &Rc<Shared>, stream: Stream, query: &str) -> MaybeResponse {
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(name, _)| *name == key)?.1;
        value.parse::<u64>().ok()
    };
    let (Some(from), Some(wait)) = (value("from"), value("wait_ms")) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let port = shared.ports.log.clone();
    let reading = async move { port.read(stream, Offset(from), Millis(wait)).await };
    let batch = shared.run(reading).await?;
    call_response(batch.map(|batch| {
        let records = batch.records.iter();
        let records: Vec<_> = records
            .map(|(offset, record)| (offset, STANDARD.encode(record)))
            .collect();
        object!({ "first": batch.first, "next": batch.next, "records": records })
    }))
}

async fn append(shared: &Rc<Shared>, stream: Stream, record: Bytes) -> MaybeResponse {
    let port = shared.ports.log.clone();
    let offset = shared
        .run(async move { port.append(stream, record).await })
        .await?;
    shared.drop_if_lost(call_response(
        offset.map(|offset| object!({ "offset": offset })),
    ))
}

#[derive(Deserialize)]
struct Stop {
    task: TaskId,
    attempt: Attempt,
    checkpoint: bool,
}

#[derive(Deserialize)]
struct Throttle {
    task: TaskId,
    attempt: Attempt,
    on: bool,
}

async fn worker_call(
    shared: &Rc<Shared>,
    worker: &str,
    action: &str,
    body: &Bytes,
) -> MaybeResponse {
    let Ok(worker) = WorkerName::try_from(worker) else {
        return status(StatusCode::NOT_FOUND);
    };
    let port = shared.ports.workers.clone();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let response = match action {
        "start" => {
            let Ok(order) = serde_json::from_slice(body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            let call = async move { port.start(address, &worker, order).await };
            call_response(shared.run(call).await?)
        }
        "renew" => {
            let Ok(renew) = serde_json::from_slice(body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            let call = async move { port.renew(address, &worker, renew).await };
            call_response(shared.run(call).await?)
        }
        "stop" => {
            let Ok(Stop {
                task,
                attempt,
                checkpoint,
            }) = serde_json::from_slice(body)
            else {
                return status(StatusCode::BAD_REQUEST);
            };
            let call = async move { port.stop(address, &worker, task, attempt, checkpoint).await };
            call_response(shared.run(call).await?)
        }
        "throttle" => {
            let Ok(Throttle { task, attempt, on }) = serde_json::from_slice(body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            let call = async move { port.throttle(address, &worker, task, attempt, on).await };
            call_response(shared.run(call).await?)
        }
        _ => status(StatusCode::NOT_FOUND),
    };
    shared.drop_if_lost(response)
}

/// Serves a request to the executor at an address.
pub(super) async fn executor(
    shared: Rc<Shared>,
    address: SocketAddr,
    parts: Parts,
    body: Bytes,
) -> MaybeResponse {
    let number = shared.requests.get() + 1;
    shared.requests.set(number);
    let request = parse_synchronous_request(&shared, number, &parts, body)?;
    let port = shared.ports.targets.clone();
    let (service, connections) = (shared.service.clone(), shared.connections);
    let timeout = request.deadline_ms;
    let serving = async move {
        port.send(address, &service, connections, request, timeout)
            .await
    };
    let _running = RunningRequest::new(&shared);
    let served = shared.run(serving).await?.ok()?;
    let mut response = bytes(served.body)?;
    if let Some(id) = parts.headers.get(REQUEST_ID) {
        response.headers_mut().insert(REQUEST_ID, id.clone());
    }
    Some(response)
}

/// Counts a request while it is served.
struct RunningRequest(Rc<Shared>);

impl RunningRequest {
    fn new(shared: &Rc<Shared>) -> RunningRequest {
        let count = &shared.requests_running;
        count.set(count.get() + 1);
        RunningRequest(shared.clone())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let count = &self.0.requests_running;
        count.set(count.get() - 1);
    }
}

fn parse_synchronous_request(
    shared: &Shared,
    number: u64,
    parts: &Parts,
    body: Bytes,
) -> Option<QuickRequest> {
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((Arc::from(name.as_str()), Arc::from(value)))
    });
    let headers: BTreeMap<Arc<str>, Arc<str>> = headers.collect();
    let key = headers.get("idempotency-key").cloned();
    let deadline = headers
        .get("deadline-ms")
        .and_then(|text| text.parse().ok());
    Some(QuickRequest {
        id: RequestId {
            node: NodeName::try_from("http").ok()?,
            started_ms: 0,
            number,
        },
        service: shared.service.clone(),
        key: key.and_then(|key| IdempotencyKey::try_from(key).ok()),
        idempotent: headers.contains_key(MAY_REPEAT),
        deadline_ms: deadline.map_or(DEFAULT_DEADLINE, Millis),
        urgency: Urgency::Normal,
        headers,
        body,
    })
}
