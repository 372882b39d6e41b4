//! Commands.

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
    client::{Call, CallFailure, Client},
    drain,
    error::{Error, ErrorKind, Result},
    page,
};

/// Longest wait of one long poll in milliseconds.
const POLL_MS: u64 = 25_000;

/// Document as a node returns it.
#[derive(Clone, Debug, Deserialize)]
pub struct StoredDocument {
    /// Service.
    pub service: ServiceName,
    /// Revision in force.
    pub revision: u64,
    /// Text of that revision.
    pub text: String,
}

/// Runs a command and returns what to print.
pub async fn run(args: Args) -> Result<String> {
    let json = args.json;
    if let Command::Check(check) = &args.command {
        let document = read_document(&check.file)?;
        return Ok(print(
            json,
            &json!({"service": document.service, "valid": true}),
            || format!("document of service {} is valid", document.service),
        ));
    }
    let client = Client::new(args.node)?;
    match args.command {
        Command::Check(_) => unreachable!("handled above"),
        Command::Publish(publish) => run_publish(&client, json, &publish).await,
        Command::Documents(documents) => {
            let path = match documents.service {
                Some(service) => format!("/v1/documents/{}", parse_service(&service)?),
                None => String::from("/v1/documents"),
            };
            Ok(client
                .any(&Call::new(Method::GET, path))
                .await?
                .or_failed()?
                .body)
        }
        Command::Status(_) => status(&client, json).await,
        Command::Submit(submit) => run_submit(&client, json, submit).await,
        Command::Watch(watch) => run_watch(&client, json, &parse_job(&watch.job)?).await,
        Command::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", parse_job(&cancel.job)?);
            Ok(client
                .any(&Call::new(Method::DELETE, path))
                .await?
                .or_failed()?
                .body)
        }
        Command::Drain(drain) => set_out(&client, json, &drain.data_centre, true).await,
        Command::Undrain(undrain) => set_out(&client, json, &undrain.data_centre, false).await,
        Command::Explain(explain) => run_explain(&client, json, &parse_job(&explain.job)?).await,
        Command::Burn(burn) => run_burn(&client, json, burn.html.as_deref()).await,
    }
}

fn print(json: bool, value: &Value, text: impl FnOnce() -> String) -> String {
    if json { value.to_string() } else { text() }
}

fn usage(error: impl ToString) -> Error {
    Error::new(ErrorKind::Usage, error.to_string())
}

fn parse_service(text: &str) -> Result<ServiceName> {
    ServiceName::try_from(text).map_err(usage)
}

fn parse_job(text: &str) -> Result<JobId> {
    text.parse().map_err(usage)
}

fn read_document(file: &Path) -> Result<Document> {
    let text = fs::read_to_string(file)
        .map_err(|error| usage(format!("cannot read {}: {error}", file.display())))?;
    Document::try_from(Arc::<str>::from(text))
        .map_err(|error| usage(format!("{}: {error}", file.display())))
}

async fn run_publish(client: &Client, json: bool, publish: &Publish) -> Result<String> {
    let document = read_document(&publish.file)?;
    let revision =
        send_document(client, &document.service, publish.expected, &document.text).await?;
    let value = json!({"service": document.service, "revision": revision});
    Ok(print(json, &value, || {
        format!("service {} is at revision {revision}", document.service)
    }))
}

/// Publishes a text and returns its revision.
async fn send_document(
    client: &Client,
    service: &ServiceName,
    expected: u64,
    text: &str,
) -> Result<u64> {
    let path = format!("/v1/documents/{service}?expected_revision={expected}");
    let answer = client
        .any(&Call::new(Method::PUT, path).body(text))
        .await?
        .or_failed()?;
    let value: Value = parse_json(&answer.body)?;
    value["revision"].as_u64().ok_or_else(|| {
        Error::new(
            ErrorKind::Failed,
            format!("answer without a revision: {}", answer.body),
        )
    })
}

fn parse_json<T: DeserializeOwned>(body: &str) -> Result<T> {
    serde_json::from_str(body)
        .map_err(|error| Error::new(ErrorKind::Failed, format!("answer cannot be read: {error}")))
}

async fn status(client: &Client, json: bool) -> Result<String> {
    let answers = client.all(&Call::new(Method::GET, "/v1/status")).await;
    let mut nodes = Vec::new();
    let mut lines = Vec::new();
    if answers.iter().all(|(_, answer)| answer.is_err()) {
        return Err(Error::new(ErrorKind::Unreachable, "no node answered"));
    }
    for (node, answer) in answers {
        let value = match answer {
            Ok(answer) => parse_json(&answer.body)?,
            Err(CallFailure::NotSent(why) | CallFailure::NoAnswer(why)) => json!({"error": why}),
        };
        lines.push(format!("{node}: {}", status_line(&value)));
        nodes.push(json!({"address": node, "status": value}));
    }
    Ok(print(json, &Value::from(nodes), || lines.join("\n")))
}

/// State of a node in one line; `--json` prints all of it.
#[must_use]
pub fn status_line(status: &Value) -> String {
    if let Some(error) = status["error"].as_str() {
        return format!("no answer: {error}");
    }
    let text = |value: &Value| value.as_str().unwrap_or("unknown").to_string();
    let count = |list: &Value, counts: fn(&Value) -> bool| {
        let list = list.as_array().map_or(&[][..], Vec::as_slice);
        (
            list.iter().filter(|entry| counts(entry)).count(),
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
    let (acting, units) = count(&status["units"], |unit| unit["has_right"] == true);
    let (ready, peers) = count(&status["peers"], |peer| peer["ready"] == true);
    let documents = status["documents"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let revisions = documents
        .iter()
        .map(|document| format!("{}@{}", text(&document[0]), document[1]));
    format!(
        "{} in {} is {state}; log {log}; may act on {acting} of its {units} units; \
         {ready} of {peers} peers ready; documents {}",
        text(&status["node"]),
        text(&status["data_centre"]),
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
    let mut call = Call::new(Method::POST, format!("/v1/services/{service}/jobs"))
        .header("content-type", "application/json")
        .header("urgency", submit.urgency)
        .header("idempotent", submit.idempotent.to_string())
        .body(body.to_string());
    if let Some(key) = submit.key {
        call = call.header("idempotency-key", key);
    }
    let answer = client.any(&call).await?.or_failed()?;
    let location = answer.location.unwrap_or_default();
    let job = location.rsplit('/').next().unwrap_or_default().to_string();
    Ok(print(json, &json!({"job": job}), || job.clone()))
}

async fn run_watch(client: &Client, json: bool, job: &JobId) -> Result<String> {
    let call = Call::new(Method::GET, format!("/v1/jobs/{job}?wait_ms={POLL_MS}"));
    loop {
        let answer = client.any(&call).await?.or_failed()?;
        let value: Value = parse_json(&answer.body)?;
        if !value["result"].is_null() {
            return Ok(print(json, &value, || {
                format!("job {job}: result {}, {}", value["result"], value["detail"])
            }));
        }
    }
}

async fn set_out(client: &Client, json: bool, data_centre: &str, out: bool) -> Result<String> {
    let data_centre = DataCentre::try_from(data_centre).map_err(usage)?;
    let call = Call::new(Method::GET, "/v1/documents");
    let answer = client.any(&call).await?.or_failed()?;
    let documents: Vec<StoredDocument> = parse_json(&answer.body)?;
    let mut changed = Vec::new();
    for document in documents {
        let Some(text) = drain::edit(&document.text, &data_centre, out)? else {
            continue;
        };
        let revision = send_document(client, &document.service, document.revision, &text).await?;
        changed.push(json!({"service": document.service, "revision": revision}));
    }
    let count = changed.len();
    let value = json!({"data_centre": data_centre, "out": out, "changed": changed});
    Ok(print(json, &value, || {
        let state = if out { "out" } else { "in" };
        format!("data centre {data_centre} is {state}; {count} documents were revised")
    }))
}

async fn run_explain(client: &Client, json: bool, job: &JobId) -> Result<String> {
    let call = Call::new(Method::GET, format!("/v1/jobs/{job}/explain"));
    let answer = client.any(&call).await?.or_failed()?;
    if json {
        return Ok(answer.body);
    }
    let decisions: Vec<hemlocksaddle_types::peer::Explanation> = parse_json(&answer.body)?;
    let lines = decisions
        .iter()
        .map(|decision| format!("{} {}: {}", decision.at_ms.0, decision.node, decision.text));
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

async fn run_burn(client: &Client, json: bool, html: Option<&Path>) -> Result<String> {
    let mut answered: Vec<(SocketAddr, NodeBurn)> = Vec::new();
    let mut missing = Vec::new();
    for (node, answer) in client.all(&Call::new(Method::GET, "/v1/burn")).await {
        match answer {
            Ok(answer) if answer.is_success() => answered.push((node, parse_json(&answer.body)?)),
            Ok(answer) => missing.push((node, format!("status {}", answer.status))),
            Err(CallFailure::NotSent(why) | CallFailure::NoAnswer(why)) => {
                missing.push((node, why))
            }
        }
    }
    if answered.is_empty() {
        return Err(Error::new(ErrorKind::Unreachable, "no node answered"));
    }
    let report = burn::combine(&answered, missing);
    if let Some(file) = html {
        fs::write(file, page::render(&report))
            .map_err(|error| usage(format!("cannot write {}: {error}", file.display())))?;
    }
    let value = serde_json::to_value(&report).map_err(usage)?;
    Ok(print(json, &value, || burn::table(&report)))
}
