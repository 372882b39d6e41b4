//! Service documents: the configuration that operators publish per service.
//!
//! A document is parsed in two steps: INI text to raw sections and keys, then
//! `TryFrom` to the validated type. Validation depends on the text alone, so all
//! nodes accept or reject the same revisions.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    error::{Error, Result},
    ini::{RawIni, Section},
    name::{DataCentre, ExecutorName, ServiceName, TeamName},
    resources::Resources,
};

/// Maximum size of a document's text in bytes.
pub const MAX_TEXT_BYTES: usize = 256 << 10;

/// Maximum number of executors in a document.
pub const MAX_EXECUTORS: usize = 1_024;

/// Maximum number of data centres in `data_centres_out`.
const MAX_DATA_CENTRES_OUT: usize = 64;

/// Maximum value of `slots`.
const MAX_SLOTS: u64 = 1_024;

/// Maximum value of `connections`.
const MAX_CONNECTIONS: u64 = 4_096;

/// Maximum latency objective and deadline in milliseconds: ten minutes.
const MAX_DURATION_MS: u64 = 600_000;

/// Maximum window of an objective in hours: the 30 days for which nodes keep request counts.
const MAX_WINDOW_HOURS: u64 = 720;

/// Maximum quota in one dimension; sums over all teams stay far below the `u64` limit.
const MAX_QUOTA: u64 = 1_000_000_000_000;

/// Prefix of the keys in `[targets]` that define executors.
const EXECUTOR_PREFIX: &str = "executor.";

/// Revision of a service's document, counted from 1; 0 means that no document exists.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Executor: an instance of a service that handles its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executor {
    /// Name, unique within the service.
    pub name: ExecutorName,
    /// Data centre of the executor's host.
    pub data_centre: DataCentre,
    /// IP address and port that requests are sent to.
    pub address: SocketAddr,
}

/// Service level objective (SLO) against which error budget burn is reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Maximum latency of a good request.
    pub latency_ms: Millis,
    /// Required share of good requests, in thousandths of a percent.
    pub success_milli_percent: u32,
    /// Length of the objective's rolling window in hours.
    pub window_hours: u32,
}

/// Validated document of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Service that the document configures.
    pub service: ServiceName,
    /// Team whose quota is charged.
    pub team: TeamName,
    /// Data centres in which no new work may start.
    pub data_centres_out: BTreeSet<DataCentre>,
    /// Service level objective.
    pub objective: Objective,
    /// Maximum number of concurrent requests per executor.
    pub slots: u32,
    /// Maximum number of open connections per executor.
    pub connections: u32,
    /// Maximum deadline of a synchronous request.
    pub max_deadline_ms: Millis,
    /// Executors of the service, in order of their keys.
    pub executors: Vec<Executor>,
    /// Team's quota for resources on workers.
    pub quota: Resources,
    /// INI text as published.
    pub text: Arc<str>,
}

impl TryFrom<Arc<str>> for Document {
    type Error = Error;

    fn try_from(text: Arc<str>) -> Result<Document> {
        let mut raw = RawIni::parse("document", &text, MAX_TEXT_BYTES)?;
        let service = Service::try_from(raw.section("service")?)?;
        let objective = Objective::try_from(raw.section("objective")?)?;
        let targets = Targets::try_from(raw.section("targets")?)?;
        let quota = quota(raw.section("quota")?)?;
        raw.finish(&["service", "objective", "targets", "quota"])?;
        Ok(Document {
            service: service.name,
            team: service.team,
            data_centres_out: service.data_centres_out,
            objective,
            slots: targets.slots,
            connections: targets.connections,
            max_deadline_ms: targets.max_deadline_ms,
            executors: targets.executors,
            quota,
            text,
        })
    }
}

/// Validated section `[service]`.
struct Service {
    name: ServiceName,
    team: TeamName,
    data_centres_out: BTreeSet<DataCentre>,
}

impl TryFrom<Section> for Service {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<Service> {
        let name = section.name("name")?;
        let team = section.name("team")?;
        let out = section.optional("data_centres_out").unwrap_or_default();
        let data_centres_out = data_centres(&section, "data_centres_out", &out)?;
        section.finish(&["name", "team", "data_centres_out"])?;
        Ok(Service {
            name,
            team,
            data_centres_out,
        })
    }
}

fn data_centres(section: &Section, key: &str, value: &str) -> Result<BTreeSet<DataCentre>> {
    let mut found = BTreeSet::new();
    let names = value
        .split([',', ' ', '\t'])
        .filter(|name| !name.is_empty());
    for name in names {
        if !found.insert(section.parse_name(key, name)?) {
            return Err(section.invalid(key, name, "each data centre once"));
        }
        if found.len() > MAX_DATA_CENTRES_OUT {
            let allowed = format!("at most {MAX_DATA_CENTRES_OUT} data centres");
            return Err(section.invalid(key, value, allowed));
        }
    }
    Ok(found)
}

impl TryFrom<Section> for Objective {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<Objective> {
        let latency_ms = Millis(section.number("latency_ms", 1..=MAX_DURATION_MS)?);
        let allowed = "a percentage from 0.001 to 100 with at most three decimals";
        let success = section.required("success_percent", allowed)?;
        let success_milli_percent = milli_percent(&success)
            .ok_or_else(|| section.invalid("success_percent", &success, allowed))?;
        let window_hours = section.number("window_hours", 1..=MAX_WINDOW_HOURS)?;
        section.finish(&["latency_ms", "success_percent", "window_hours"])?;
        Ok(Objective {
            latency_ms,
            success_milli_percent,
            window_hours,
        })
    }
}

/// Parses a percentage into thousandths of a percent, in integers so that all nodes get the same value.
fn milli_percent(text: &str) -> Option<u32> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let all_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if !all_digits(whole) || !all_digits(decimals) || whole.len() > 3 || decimals.len() > 3 {
        return None;
    }
    let thousandths: u32 = format!("{decimals:0<3}").parse().ok()?;
    let milli_percent = whole.parse::<u32>().ok()? * 1_000 + thousandths;
    (1..=100_000)
        .contains(&milli_percent)
        .then_some(milli_percent)
}

/// Validated section `[targets]`.
struct Targets {
    slots: u32,
    connections: u32,
    max_deadline_ms: Millis,
    executors: Vec<Executor>,
}

impl TryFrom<Section> for Targets {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<Targets> {
        let slots: u32 = section.number("slots", 1..=MAX_SLOTS)?;
        // HTTP/1.1 carries one request at a time per connection: with fewer connections than slots,
        // some slots could never be used.
        let connections = section.number("connections", u64::from(slots)..=MAX_CONNECTIONS)?;
        let max_deadline_ms = Millis(section.number("max_deadline_ms", 1..=MAX_DURATION_MS)?);
        let executors = executors(&mut section)?;
        section.finish(&["slots", "connections", "max_deadline_ms", "executor.NAME"])?;
        Ok(Targets {
            slots,
            connections,
            max_deadline_ms,
            executors,
        })
    }
}

/// Parses the executors in order of their keys; an executor's name is its key without the prefix.
fn executors(section: &mut Section) -> Result<Vec<Executor>> {
    let listed = section.take_where(|key| key.starts_with(EXECUTOR_PREFIX));
    let mut addresses = BTreeSet::new();
    let mut found = Vec::with_capacity(listed.len().min(MAX_EXECUTORS));
    for (key, value) in &listed {
        if found.len() == MAX_EXECUTORS {
            let allowed = format!("at most {MAX_EXECUTORS} executors");
            return Err(section.invalid(key, value, allowed));
        }
        let executor = executor(section, key, value)?;
        if !addresses.insert(executor.address) {
            return Err(section.invalid(key, value, "each address once"));
        }
        found.push(executor);
    }
    Ok(found)
}

fn executor(section: &Section, key: &str, value: &str) -> Result<Executor> {
    let allowed = "DATA_CENTRE IP:PORT, with a unicast IP number and a port from 1 to 65535";
    let name = section.parse_name(key, &key[EXECUTOR_PREFIX.len()..])?;
    let mut parts = value.split_ascii_whitespace();
    let (Some(data_centre), Some(address), None) = (parts.next(), parts.next(), parts.next())
    else {
        return Err(section.invalid(key, value, allowed));
    };
    let address = address.parse::<SocketAddr>().ok().filter(is_unicast);
    Ok(Executor {
        name,
        data_centre: section.parse_name(key, data_centre)?,
        address: address.ok_or_else(|| section.invalid(key, value, allowed))?,
    })
}

/// Whether the address is one that a connection can be opened to.
fn is_unicast(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}

fn quota(mut section: Section) -> Result<Resources> {
    let quota = Resources {
        cpu_milli: section.number("cpu_milli", 0..=MAX_QUOTA)?,
        memory_mb: section.number("memory_mb", 0..=MAX_QUOTA)?,
        accelerators: section.number("accelerators", 0..=MAX_QUOTA)?,
    };
    section.finish(&["cpu_milli", "memory_mb", "accelerators"])?;
    Ok(quota)
}
