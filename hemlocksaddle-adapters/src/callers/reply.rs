//! Construction of HTTP responses to callers.

use bytes::Bytes;
use hemlocksaddle_types::{
    outcome::{ResultCode, RunState},
    request::QuickResponse,
};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, LOCATION, RETRY_AFTER},
};
use http_body_util::Full;
use serde::Serialize;

use super::service::Refusal;
use crate::headers;

/// HTTP response with a buffered body.
pub(super) type Reply = Response<Full<Bytes>>;

/// Result codes after which the same request may succeed on retry.
const RETRYABLE: &[ResultCode] = &[
    ResultCode::Overloaded,
    ResultCode::QuotaExceeded,
    ResultCode::NotReady,
    ResultCode::LogUnavailable,
    ResultCode::Stopping,
    ResultCode::OwnerUnreachable,
];

fn reply(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

fn with_code(mut reply: Reply, code: ResultCode) -> Reply {
    let headers = reply.headers_mut();
    headers.insert("result-code", HeaderValue::from(code.number()));
    let state = HeaderValue::from_static(code.run_state().as_str());
    headers.insert("run-state", state);
    reply
}

/// Plain text without a result code, for probes and metrics.
pub(super) fn text(status: u16, body: impl Into<Bytes>) -> Reply {
    reply(status, "text/plain; charset=utf-8", body)
}

/// JSON response with the result code `Completed`.
pub(super) fn json(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_code(
        reply(status, "application/json", body),
        ResultCode::Completed,
    )
}

/// Response to an accepted job; its run state is `MayHaveRun`, since the job has not ended.
pub(super) fn accepted(location: &str, value: &impl Serialize) -> Reply {
    let mut reply = json(202, value);
    if let Ok(location) = HeaderValue::from_str(location) {
        reply.headers_mut().insert(LOCATION, location);
    }
    let state = HeaderValue::from_static(RunState::MayHaveRun.as_str());
    reply.headers_mut().insert("run-state", state);
    reply
}

/// Response to a refused request.
pub(super) fn refusal((code, detail): &Refusal) -> Reply {
    from_response(QuickResponse::refusal(*code, detail))
}

/// Refusal that closes the connection, since the rest of the request is not read.
pub(super) fn refusal_and_close(refused: &Refusal) -> Reply {
    let mut reply = refusal(refused);
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
    reply
}

/// Response to a synchronous request.
pub(super) fn from_response(response: QuickResponse) -> Reply {
    let code = response.code;
    let mut reply = match response.status {
        0 => {
            let number = code.number();
            let detail = String::from_utf8_lossy(&response.body);
            let body = format!("{number} {}: {detail}\n", code.text());
            text(code.http_status(), body)
        }
        status => {
            let mut reply = Response::new(Full::new(response.body));
            *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            headers::add_forwarded(reply.headers_mut(), &response.headers);
            reply
        }
    };
    let retry_after_ms = response.retry_after_ms.map(|delay| delay.0);
    let retryable = RETRYABLE.contains(&code).then_some(1_000);
    if let Some(delay_ms) = retry_after_ms.or(retryable) {
        let seconds = HeaderValue::from(delay_ms.div_ceil(1_000).max(1));
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    with_code(reply, code)
}
