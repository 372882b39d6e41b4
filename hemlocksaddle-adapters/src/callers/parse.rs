//! Parsing and validation of requests from callers.

use std::sync::Arc;

use bytes::Bytes;
use hemlocksaddle_node::{requests::idempotency::GENERATED_PREFIX, settings::Limits};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    document::{Document, Revision},
    hash::stable_hash,
    job::{JobSpec, Urgency},
    name::{IdempotencyKey, ServiceName},
    outcome::ResultCode,
    request::{QuickRequest, RequestId},
    resources::Resources,
};
use http::{HeaderMap, Uri};
use serde::Deserialize;

use super::service::Refusal;
use crate::headers;

/// Result of parsing.
pub(super) type Result<T> = std::result::Result<T, Refusal>;

/// Maximum number of tasks per job.
const MAX_TASKS: u32 = 10_000;

/// Maximum wait of a long poll.
const MAX_WAIT: Millis = Millis(30_000);

/// Request headers that the node interprets.
pub(super) struct RequestOptions {
    key: Option<IdempotencyKey>,
    idempotent: bool,
    deadline_ms: Option<Millis>,
    urgency: Urgency,
}

/// JSON body of a job submission.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    #[serde(default = "one")]
    tasks: u32,
    cpu_milli: u64,
    memory_mb: u64,
    #[serde(default)]
    accelerators: u64,
    expected_run_ms: u64,
    #[serde(default)]
    resumable: bool,
}

fn one() -> u32 {
    1
}

/// Refusal of malformed input.
pub(super) fn malformed(detail: impl Into<Arc<str>>) -> Refusal {
    (ResultCode::Malformed, detail.into())
}

/// Checks the number of headers and their total size.
pub(super) fn check_limits(headers: &HeaderMap, limits: &Limits) -> Result<()> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    if headers.len() <= limits.headers && bytes <= limits.header_bytes {
        return Ok(());
    }
    let detail = format!(
        "{} headers of {bytes} bytes; allowed are {} headers of {} bytes",
        headers.len(),
        limits.headers,
        limits.header_bytes
    );
    Err((ResultCode::HeaderLimits, detail.into()))
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(format!("header {name} is given more than once")));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| malformed(format!("header {name} is not text")))
}

impl TryFrom<&HeaderMap> for RequestOptions {
    type Error = Refusal;
    fn try_from(headers: &HeaderMap) -> Result<RequestOptions> {
        Ok(RequestOptions {
            key: single_value(headers, "idempotency-key")?
                .map(idempotency_key)
                .transpose()?,
            idempotent: match single_value(headers, "idempotent")? {
                None | Some("false") => false,
                Some("true") => true,
                Some(other) => return Err(not_one_of("Idempotent", other, "true, false")),
            },
            deadline_ms: single_value(headers, "deadline-ms")?
                .map(|text| positive_number("header Deadline-Ms", text))
                .transpose()?
                .map(Millis),
            urgency: match single_value(headers, "urgency")? {
                None | Some("normal") => Urgency::Normal,
                Some("urgent") => Urgency::Urgent,
                Some("batch") => Urgency::Batch,
                Some(other) => return Err(not_one_of("Urgency", other, "urgent, normal, batch")),
            },
        })
    }
}

fn idempotency_key(text: &str) -> Result<IdempotencyKey> {
    if text.starts_with(GENERATED_PREFIX) {
        let detail = format!("idempotency keys that start with {GENERATED_PREFIX} are reserved");
        return Err(malformed(detail));
    }
    IdempotencyKey::try_from(text).map_err(|error| malformed(error.to_string()))
}

fn not_one_of(header: &str, found: &str, allowed: &str) -> Refusal {
    malformed(format!(
        "header {header} is {found:?}; allowed are {allowed}"
    ))
}

/// Parses a decimal number greater than zero.
fn positive_number(what: &str, text: &str) -> Result<u64> {
    let parsed = text.parse::<u64>().ok().filter(|number| *number > 0);
    parsed.ok_or_else(|| malformed(format!("{what} is {text:?}; allowed is a number from 1")))
}

/// Parses the service name in a path segment.
pub(super) fn service_name(segment: &str) -> Result<ServiceName> {
    ServiceName::try_from(segment).map_err(|error| malformed(error.to_string()))
}

/// Numeric value of the query parameter `name`, if there is a query; any other query is malformed.
fn query_number(uri: &Uri, name: &str) -> Result<Option<u64>> {
    let Some(query) = uri.query().filter(|query| !query.is_empty()) else {
        return Ok(None);
    };
    let value = query.split_once('=').filter(|(found, _)| *found == name);
    let number = value.and_then(|(_, value)| value.parse().ok());
    number
        .map(Some)
        .ok_or_else(|| malformed(format!("query {query:?}; allowed is {name}=NUMBER")))
}

/// Wait of a long poll, limited to [`MAX_WAIT`].
pub(super) fn wait(uri: &Uri) -> Result<Millis> {
    let wait = query_number(uri, "wait_ms")?.unwrap_or(0);
    Ok(Millis(wait).min(MAX_WAIT))
}

/// Document revision on which an operator's change is based.
pub(super) fn expected_revision(uri: &Uri) -> Result<Revision> {
    let revision = query_number(uri, "expected_revision")?;
    let missing = || malformed("query expected_revision=NUMBER is missing");
    revision.map(Revision).ok_or_else(missing)
}

/// Parses a synchronous request; without a deadline, the service's maximum applies.
pub(super) fn request(
    id: RequestId,
    service: ServiceName,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<QuickRequest> {
    let options = RequestOptions::try_from(headers)?;
    let forwarded = headers::forwarded(headers).ok_or_else(|| malformed("a header is not text"))?;
    Ok(QuickRequest {
        id,
        service,
        key: options.key,
        idempotent: options.idempotent,
        deadline_ms: options.deadline_ms.unwrap_or(Millis(u64::MAX)),
        urgency: options.urgency,
        headers: forwarded,
        body,
    })
}

/// Parses a job and assigns it to the team in the service's document.
pub(super) fn job(
    document: &Document,
    now: WallMs,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<JobSpec> {
    let options = RequestOptions::try_from(headers)?;
    let parsed: JobBody =
        serde_json::from_slice(body).map_err(|error| malformed(format!("job body: {error}")))?;
    if !(1..=MAX_TASKS).contains(&parsed.tasks) {
        let detail = format!("tasks is {}; allowed are 1 to {MAX_TASKS}", parsed.tasks);
        return Err(malformed(detail));
    }
    if parsed.cpu_milli == 0 || parsed.memory_mb == 0 {
        return Err(malformed("cpu_milli and memory_mb must be at least 1"));
    }
    Ok(JobSpec {
        service: document.service.clone(),
        team: document.team.clone(),
        key: options.key,
        body_hash: stable_hash(&[body]),
        tasks: parsed.tasks,
        demand: Resources {
            cpu_milli: parsed.cpu_milli,
            memory_mb: parsed.memory_mb,
            accelerators: parsed.accelerators,
        },
        expected_run_ms: parsed.expected_run_ms,
        urgency: options.urgency,
        idempotent: options.idempotent,
        resumable: parsed.resumable,
        deadline_ms: options.deadline_ms.map(|duration| now + duration),
    })
}
