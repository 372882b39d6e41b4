//! Implementation of the commands.

use std::{fs, net::SocketAddr, path::Path, sync::Arc};

use hemlocksaddle_types::{
    burn::NodeBurn,
    document::Document,
    job::JobId,
    name::{DataCentre, ServiceName},
};
use http::Method;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};

use crate::{
    args::{Args, Command, Publish, Submit},
    burn,
    client::{Client, Request, RequestError},
    drain,
    error::{Error, ErrorKind, Result},
    page,
};

/// Wait that a long poll asks for, in milliseconds.
const LONG_POLL_MS: u64 = 25_000;

/// Document in a node's response.
#[derive(Clone, Debug, Deserialize)]
pub struct StoredDocument {
    /// Service that the document belongs to.
    pub service: ServiceName,
    /// Current revision.
    pub revision: u64,
    /// Text of the current revision.
    pub text: String,
}

/// Runs a command and returns its output.
pub async fn run(args: Args) -> Result<String> {
    let json = args.json;
    if let Command::Check(check) = &args.command {
        let document = read_document(&check.file)?;
        return Ok(format_output(
            json,
            &json!({"service": document.service, "valid": true}),
            || format!("document of service {} is valid", document.service),
        ));
    }
    let client = Client::new(args.node)?;
    match args.command {
        Command::Check(_) | Command::CheckConfiguration(_) => unreachable!("handled before"),
        Command::Publish(publish) => run_publish(&client, json, &publish).await,
        Command::Documents(documents) => {
            let path = match documents.service {
                Some(service) => format!("/v1/documents/{}", parse_service(&service)?),
                None => String::from("/v1/documents"),
            };
            Ok(client
                .send_to_any(&Request::new(Method::GET, path))
                .await?
                .error_for_status()?
                .body)
        }
        Command::Status(_) => status(&client, json).await,
        Command::Submit(submit) => run_submit(&client, json, submit).await,
        Command::Watch(watch) => run_watch(&client, json, &parse_job(&watch.job)?).await,
        Command::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", parse_job(&cancel.job)?);
            Ok(client
                .send_to_any(&Request::new(Method::DELETE, path))
                .await?
                .error_for_status()?
                .body)
        }
        Command::Drain(drain) => set_data_centre_out(&client, json, &drain.data_centre, true).await,
        Command::Undrain(undrain) => {
            set_data_centre_out(&client, json, &undrain.data_centre, false).await
        }
        Command::Explain(explain) => run_explain(&client, json, &parse_job(&explain.job)?).await,
        Command::Burn(burn) => run_burn(&client, json, burn.html.as_deref()).await,
    }
}

fn format_output(json: bool, value: &Value, text: impl FnOnce() -> String) -> String {
    if json { value.to_string() } else { text() }
}

fn usage_error(error: impl ToString) -> Error {
    Error::new(ErrorKind::Usage, error.to_string())
}

fn parse_service(text: &str) -> Result<ServiceName> {
    ServiceName::try_from(text).map_err(usage_error)
}

fn parse_job(text: &str) -> Result<JobId> {
    text.parse().map_err(usage_error)
}

fn read_document(file: &Path) -> Result<Document> {
    let text = fs::read_to_string(file)
        .map_err(|error| usage_error(format!("cannot read {}: {error}", file.display())))?;
    Document::try_from(Arc::<str>::from(text))
        .map_err(|error| usage_error(format!("{}: {error}", file.display())))
}

async fn run_publish(client: &Client, json: bool, publish: &Publish) -> Result<String> {
    let document = read_document(&publish.file)?;
    let revision =
        send_document(client, &document.service, publish.expected, &document.text).await?;
    let value = json!({"service": document.service, "revision": revision});
    Ok(format_output(json, &value, || {
        format!("service {} is at revision {revision}", document.service)
    }))
}

/// Publishes a document if `expected` is its current revision; returns the new revision.
async fn send_document(
    client: &Client,
    service: &ServiceName,
    expected: u64,
    text: &str,
) -> Result<u64> {
    let path = format!("/v1/documents/{service}?expected_revision={expected}");
    let response = client
        .send_to_any(&Request::new(Method::PUT, path).body(text))
        .await?
        .error_for_status()?;
    let value: Value = parse_json(&response.body)?;
    value["revision"].as_u64().ok_or_else(|| {
        Error::new(
            ErrorKind::Failed,
            format!("response has no revision: {}", response.body),
        )
    })
}

fn parse_json<T: DeserializeOwned>(body: &str) -> Result<T> {
    serde_json::from_str(body)
        .map_err(|error| Error::new(ErrorKind::Failed, format!("cannot parse response: {error}")))
}

async fn status(client: &Client, json: bool) -> Result<String> {
    let results = client
        .send_to_all(&Request::new(Method::GET, "/v1/status"))
        .await;
    let mut nodes = Vec::new();
    let mut lines = Vec::new();
    if results.iter().all(|(_, result)| result.is_err()) {
        return Err(Error::new(ErrorKind::Unreachable, "no node answered"));
    }
    for (node, result) in results {
        let value = match result {
            Ok(response) => parse_json(&response.body)?,
            Err(RequestError::NotSent(reason) | RequestError::NoResponse(reason)) => {
                json!({"error": reason})
            }
        };
        lines.push(format!("{node}: {}", status_line(&value)));
        nodes.push(json!({"address": node, "status": value}));
    }
    Ok(format_output(json, &Value::from(nodes), || {
        lines.join("\n")
    }))
}

/// Summary of a node's status in one line; `--json` prints the full status.
#[must_use]
pub fn status_line(status: &Value) -> String {
    if let Some(error) = status["error"].as_str() {
        return format!("no answer: {error}");
    }
    let text_or_unknown = |value: &Value| value.as_str().unwrap_or("unknown").to_string();
    let count_matching = |list: &Value, predicate: fn(&Value) -> bool| {
        let list = list.as_array().map_or(&[][..], Vec::as_slice);
        (
            list.iter().filter(|entry| predicate(entry)).count(),
            list.len(),
        )
    };
    let state = match (&status["ready"], &status["stopping"]) {
        (_, Value::Bool(true)) => "stopping",
        (Value::Bool(true), _) => "ready",
        _ => "not ready",
    };
    let log = match status["log"]["is_up"] {
        Value::Bool(true) => "up",
        _ => "down",
    };
    let (leased, units) = count_matching(&status["units"], |unit| unit["has_right"] == true);
    let (ready, peers) = count_matching(&status["peers"], |peer| peer["ready"] == true);
    let documents = status["documents"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let revisions = documents
        .iter()
        .map(|document| format!("{}@{}", text_or_unknown(&document[0]), document[1]));
    format!(
        "{} in {} is {state}; log {log}; may act on {leased} of its {units} units; \
         {ready} of {peers} peers ready; documents {}",
        text_or_unknown(&status["node"]),
        text_or_unknown(&status["data_centre"]),
        revisions.collect::<Vec<_>>().join(" ")
    )
}

async fn run_submit(client: &Client, json: bool, submit: Submit) -> Result<String> {
    let service = parse_service(&submit.service)?;
    let body = json!({
        "tasks": submit.tasks,
        "cpu_milli": submit.cpu_milli,
        "memory_mb": submit.memory_mb,
        "accelerators": submit.accelerators,
        "expected_run_ms": submit.expected_run_ms,
        "resumable": submit.resumable,
    });
    let mut request = Request::new(Method::POST, format!("/v1/services/{service}/jobs"))
        .header("content-type", "application/json")
        .header("urgency", submit.urgency)
        .header("idempotent", submit.idempotent.to_string())
        .body(body.to_string());
    if let Some(key) = submit.key {
        request = request.header("idempotency-key", key);
    }
    let response = client.send_to_any(&request).await?.error_for_status()?;
    let location = response.location.unwrap_or_default();
    let job = location.rsplit('/').next().unwrap_or_default().to_string();
    Ok(format_output(json, &json!({"job": job}), || job.clone()))
}

async fn run_watch(client: &Client, json: bool, job: &JobId) -> Result<String> {
    let request = Request::new(
        Method::GET,
        format!("/v1/jobs/{job}?wait_ms={LONG_POLL_MS}"),
    );
    loop {
        let response = client.send_to_any(&request).await?.error_for_status()?;
        let value: Value = parse_json(&response.body)?;
        if !value["result"].is_null() {
            return Ok(format_output(json, &value, || {
                format!("job {job}: result {}, {}", value["result"], value["detail"])
            }));
        }
    }
}

async fn set_data_centre_out(
    client: &Client,
    json: bool,
    data_centre: &str,
    out: bool,
) -> Result<String> {
    let data_centre = DataCentre::try_from(data_centre).map_err(usage_error)?;
    let request = Request::new(Method::GET, "/v1/documents");
    let response = client.send_to_any(&request).await?.error_for_status()?;
    let documents: Vec<StoredDocument> = parse_json(&response.body)?;
    let mut changed = Vec::new();
    for document in documents {
        let Some(text) = drain::edit_data_centres_out(&document.text, &data_centre, out)? else {
            continue;
        };
        let revision = send_document(client, &document.service, document.revision, &text).await?;
        changed.push(json!({"service": document.service, "revision": revision}));
    }
    let count = changed.len();
    let value = json!({"data_centre": data_centre, "out": out, "changed": changed});
    Ok(format_output(json, &value, || {
        let state = if out { "out" } else { "in" };
        format!("data centre {data_centre} is {state}; {count} documents were revised")
    }))
}

async fn run_explain(client: &Client, json: bool, job: &JobId) -> Result<String> {
    let request = Request::new(Method::GET, format!("/v1/jobs/{job}/explain"));
    let response = client.send_to_any(&request).await?.error_for_status()?;
    if json {
        return Ok(response.body);
    }
    let decisions: Vec<hemlocksaddle_types::peer::Explanation> = parse_json(&response.body)?;
    let lines = decisions
        .iter()
        .map(|decision| format!("{} {}: {}", decision.at_ms.0, decision.node, decision.text));
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

async fn run_burn(client: &Client, json: bool, html: Option<&Path>) -> Result<String> {
    let mut answered: Vec<(SocketAddr, NodeBurn)> = Vec::new();
    let mut missing = Vec::new();
    for (node, result) in client
        .send_to_all(&Request::new(Method::GET, "/v1/burn"))
        .await
    {
        match result {
            Ok(response) if response.is_success() => {
                answered.push((node, parse_json(&response.body)?))
            }
            Ok(response) => missing.push((node, format!("status {}", response.status))),
            Err(RequestError::NotSent(reason) | RequestError::NoResponse(reason)) => {
                missing.push((node, reason))
            }
        }
    }
    if answered.is_empty() {
        return Err(Error::new(ErrorKind::Unreachable, "no node answered"));
    }
    let report = burn::combine(&answered, missing);
    if let Some(file) = html {
        fs::write(file, page::render(&report))
            .map_err(|error| usage_error(format!("cannot write {}: {error}", file.display())))?;
    }
    let value = serde_json::to_value(&report).map_err(usage_error)?;
    Ok(format_output(json, &value, || burn::render_table(&report)))
}
