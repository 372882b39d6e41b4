//! Check of a configuration record before it is sent.
//!
//! The record is read as a node reads it, without a node. The output lists the findings
//! and, if the record in force is given, what the new one changes. Keys of tenants
//! are not shown.

use std::{fs, path::Path, process::ExitCode};

use hemlocksaddle_platform::formats;
use hemlocksaddle_policy::catalogue_check::{self, Finding};
use hemlocksaddle_types::workflow::Catalogue;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::{
    args::CheckConfiguration,
    error::{Error, ErrorKind, Result},
};

/// Exit status if there are findings.
const FINDINGS: u8 = 1;

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checked {
    /// Output for the operator.
    pub output: String,
    /// Number of findings.
    pub findings: usize,
}

impl Checked {
    /// Exit status of the process.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self.findings {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::from(FINDINGS),
        }
    }
}

/// Checks the configuration in a file, against the one in force if that is given.
///
/// # Errors
///
/// Fails if a file cannot be read or is not a configuration.
pub fn check(arguments: &CheckConfiguration, json: bool) -> Result<Checked> {
    let catalogue = read(&arguments.file)?;
    let in_force = arguments.in_force.as_deref().map(read).transpose()?;
    let findings = catalogue_check::check(&catalogue, in_force.as_ref());
    let changes = in_force.map_or(Vec::new(), |in_force| changes(&in_force, &catalogue));
    let output = if json {
        let rows: Vec<Value> = findings.iter().map(row).collect();
        json!({"version": catalogue.version, "findings": rows, "changes": changes}).to_string()
    } else {
        let findings = findings.iter().map(line);
        let changes = changes.iter().map(|change| format!("change: {change}"));
        let lines: Vec<String> = findings.chain(changes).collect();
        match lines.is_empty() {
            true => format!("version {}: no findings", catalogue.version),
            false => lines.join("\n"),
        }
    };
    Ok(Checked {
        output,
        findings: findings.len(),
    })
}

fn row(finding: &Finding) -> Value {
    json!({"kind": finding.kind.text(), "entry": finding.entry, "reason": finding.reason})
}

fn line(finding: &Finding) -> String {
    let kind = finding.kind.text();
    format!("{kind}: {}: {}", finding.entry, finding.reason)
}

fn read(file: &Path) -> Result<Catalogue> {
    let fail = |cause: &dyn std::fmt::Display| {
        let message = format!("cannot read {}: {cause}", file.display());
        Error::new(ErrorKind::Usage, message)
    };
    let text = fs::read(file).map_err(|cause| fail(&cause))?;
    formats::configuration(&text).map_err(|cause| fail(&cause))
}

/// What a new configuration changes, one entry a line.
fn changes(old: &Catalogue, new: &Catalogue) -> Vec<String> {
    let mut changes = Vec::new();
    compare("queue", &old.queues, &new.queues, &mut changes);
    compare("pool", &old.pools, &new.pools, &mut changes);
    compare("tenant", &old.tenants, &new.tenants, &mut changes);
    if old.max_body_bytes != new.max_body_bytes {
        let (from, to) = (old.max_body_bytes, new.max_body_bytes);
        changes.push(format!("max_body_bytes: {from} to {to}"));
    }
    changes
}

fn compare(kind: &str, old: &[impl Serialize], new: &[impl Serialize], changes: &mut Vec<String>) {
    let (old, new) = (by_name(old), by_name(new));
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(format!("{kind} {name}: removed"));
    }
    for (name, entry) in &new {
        let Some(before) = old.get(name) else {
            changes.push(format!("{kind} {name}: added"));
            continue;
        };
        for (field, value) in entry.as_object().into_iter().flatten() {
            match &before[field] {
                same if same == value => {}
                _ if field == "keys" => changes.push(format!("{kind} {name}: keys changed")),
                other => changes.push(format!("{kind} {name}: {field} {other} to {value}")),
            }
        }
    }
}

fn by_name(entries: &[impl Serialize]) -> Map<String, Value> {
    let values = entries.iter().map(|entry| json!(entry));
    values
        .filter_map(|value| Some((value["name"].as_str()?.to_owned(), value)))
        .collect()
}
