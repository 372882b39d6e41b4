//! Routing of requests to the service.

use std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, select};
use hemlocksaddle_types::{
    clock::Millis,
    document::{Document, Revision},
    job::{JobId, JobStatus},
    name::ServiceName,
    outcome::ResultCode,
};
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde_json::json;

use super::{
    CallerServer,
    parse::{self, Result, malformed},
    reply::{self, Reply},
    service::Refusal,
};

/// Timeout for reading a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request.
pub(super) async fn handle(
    server: Rc<CallerServer>,
    request: Request<Incoming>,
) -> std::result::Result<Reply, Infallible> {
    let (head, body) = request.into_parts();
    if let Err(refused) = parse::check_limits(&head.headers, &server.limits) {
        return Ok(reply::refusal_and_close(&refused));
    }
    let body = match read_body(body, server.limits.body_bytes).await {
        Ok(body) => body,
        Err(refused) => return Ok(reply::refusal_and_close(&refused)),
    };
    let result = server.route(&head, body).await;
    let mut reply = result.unwrap_or_else(|refused| reply::refusal(&refused));
    if server.stop_announced.get() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply)
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes> {
    let collect = Limited::new(body, limit).collect();
    match compio::time::timeout(BODY_READ_TIMEOUT, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body exceeds {limit} bytes");
            Err((ResultCode::BodyTooLarge, detail.into()))
        }
        Ok(Err(error)) => Err(malformed(format!("the body cannot be read: {error}"))),
        Err(_elapsed) => Err(malformed("the body did not arrive in time")),
    }
}

impl CallerServer {
    async fn route(&self, head: &Parts, body: Bytes) -> Result<Reply> {
        let segments: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        match (&head.method, segments.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(reply::text(200, "alive\n")),
            (&Method::GET, ["readyz"]) => Ok(self.readiness()),
            (&Method::GET, ["metrics"]) => Ok(reply::text(200, self.service.metrics_text())),
            (&Method::GET, ["v1", "status"]) => Ok(reply::json(200, &self.service.status())),
            (&Method::GET, ["v1", "burn"]) => Ok(reply::json(200, &self.service.burn())),
            (&Method::GET, ["v1", "documents"]) => Ok(self.list_documents()),
            (method, ["v1", "documents", name]) => {
                self.handle_document(method, &head.uri, parse::service_name(name)?, body)
                    .await
            }
            (&Method::POST, ["v1", "services", name, "requests"]) => {
                self.execute(parse::service_name(name)?, &head.headers, body)
                    .await
            }
            (&Method::POST, ["v1", "services", name, "jobs"]) => {
                self.submit(parse::service_name(name)?, &head.headers, &body)
                    .await
            }
            (method, ["v1", "jobs", job, rest @ ..]) => {
                self.handle_job(method, &head.uri, job, rest).await
            }
            (method, _) => Err(unknown_route(method, &head.uri)),
        }
    }

    fn check_ready(&self) -> Result<()> {
        if self.is_stopping() {
            return Err((ResultCode::Stopping, "the node is stopping".into()));
        }
        if !self.service.is_ready() {
            return Err((ResultCode::NotReady, "the node has not caught up".into()));
        }
        Ok(())
    }

    fn readiness(&self) -> Reply {
        if self.stop_announced.get() {
            return reply::refusal(&(ResultCode::Stopping, "the node is about to stop".into()));
        }
        match self.check_ready() {
            Ok(()) => reply::text(200, "ready\n"),
            Err(refused) => reply::refusal(&refused),
        }
    }

    async fn execute(
        &self,
        service: ServiceName,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Reply> {
        self.check_ready()?;
        let id = self.service.next_request_id();
        let request = parse::request(id, service, headers, body)?;
        Ok(reply::from_response(self.service.execute(request).await))
    }

    async fn submit(
        &self,
        service: ServiceName,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<Reply> {
        self.check_ready()?;
        let (document, _) = self.find_document(&service)?;
        let spec = parse::job(&document, self.service.wall_now(), headers, body)?;
        let job = self.service.submit(spec).await?.to_string();
        let location = format!("/v1/jobs/{job}");
        Ok(reply::accepted(&location, &json!({ "job": job })))
    }

    async fn handle_job(
        &self,
        method: &Method,
        uri: &Uri,
        job: &str,
        rest: &[&str],
    ) -> Result<Reply> {
        let job: JobId = job
            .parse()
            .map_err(|error: hemlocksaddle_types::error::Error| malformed(error.to_string()))?;
        match (method, rest) {
            (&Method::GET, []) => {
                let status = self.wait_for_status(job, parse::wait(uri)?).await?;
                Ok(reply::json(200, &status_json(&status)))
            }
            (&Method::DELETE, []) => {
                self.service.cancel(job).await?;
                Ok(reply::json(
                    200,
                    &json!({"job": job.to_string(), "cancelled": true}),
                ))
            }
            (&Method::GET, ["explain"]) => {
                let decisions = self.service.explain(job).await?;
                Ok(reply::json(200, &decisions))
            }
            _ => Err(unknown_route(method, uri)),
        }
    }

    /// Waits for the end of a job (long poll); a planned stop returns the current status early.
    async fn wait_for_status(&self, job: JobId, wait: Millis) -> Result<JobStatus> {
        if wait == Millis(0) || self.is_stopping() {
            return self.service.job_status(job, Millis(0)).await;
        }
        let ended = self.service.job_status(job, wait);
        let stopped = Box::pin(self.stop.wait_past(0));
        match select(ended, stopped).await {
            Either::Left((status, _)) => status,
            Either::Right(((), _)) => self.service.job_status(job, Millis(0)).await,
        }
    }

    fn find_document(&self, service: &ServiceName) -> Result<(Rc<Document>, Revision)> {
        let documents = self.service.documents();
        let found = documents.into_iter().find(|(d, _)| d.service == *service);
        let detail = || format!("no document describes the service {service}");
        found.ok_or_else(|| (ResultCode::UnknownService, Arc::from(detail())))
    }

    fn list_documents(&self) -> Reply {
        let documents = self.service.documents();
        let values: Vec<serde_json::Value> = documents.iter().map(document_json).collect();
        reply::json(200, &values)
    }

    async fn handle_document(
        &self,
        method: &Method,
        uri: &Uri,
        service: ServiceName,
        body: Bytes,
    ) -> Result<Reply> {
        match *method {
            Method::GET => Ok(reply::json(
                200,
                &document_json(&self.find_document(&service)?),
            )),
            Method::PUT => {
                self.check_ready()?;
                let expected = parse::expected_revision(uri)?;
                let text = std::str::from_utf8(&body);
                let text = text.map_err(|_| malformed("the document is not UTF-8 text"))?;
                let publish = self.service.publish(service.clone(), expected, text.into());
                let revision = publish.await?;
                let value = json!({"service": service, "revision": revision});
                Ok(reply::json(200, &value))
            }
            _ => Err(unknown_route(method, uri)),
        }
    }
}

fn unknown_route(method: &Method, uri: &Uri) -> Refusal {
    malformed(format!("{method} {} does not exist", uri.path()))
}

fn document_json((document, revision): &(Rc<Document>, Revision)) -> serde_json::Value {
    json!({
        "service": document.service,
        "revision": revision,
        "text": document.text,
    })
}

fn status_json(status: &JobStatus) -> serde_json::Value {
    json!({
        "job": status.job.to_string(),
        "queued": status.queued,
        "running": status.running,
        "completed": status.completed,
        "result": status.result,
        "run_state": status.result.map(|code| code.run_state().as_str()),
        "detail": status.detail,
    })
}
