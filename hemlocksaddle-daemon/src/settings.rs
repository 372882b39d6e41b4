//! Settings file of the program.
//!
//! The file is read once at the start. It names everything that a process cannot
//! learn otherwise: its name, data centre and addresses, all nodes, the platform
//! and the shared key. Sections `[limits]` and `[timing]` and each of their keys
//! may be absent. Values that only make sense together (a heartbeat interval
//! below the silence it prevents) are checked together.

use std::{collections::BTreeSet, fs, net::SocketAddr, path::Path};

use hemlocksaddle_adapters::peers::key::PeerKey;
use hemlocksaddle_node::{
    ports::PeerAddress,
    settings::{Limits, Settings, Timing},
};
use hemlocksaddle_types::{
    clock::Millis,
    error::{Error, ErrorKind, Result},
    ini::{RawIni, Section},
    name::{DataCentre, NodeName},
};

/// Longest settings file in bytes.
const MAX_FILE_BYTES: usize = 256 << 10;

/// Most nodes of a deployment. Heartbeats go from all to all.
const MAX_NODES: usize = 64;

/// Addresses of this process and of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listens for callers and operators.
    pub callers: SocketAddr,
    /// Listens for peers.
    pub peers_listen: SocketAddr,
    /// Platform's log.
    pub log: SocketAddr,
    /// Platform's host list.
    pub hosts: SocketAddr,
    /// Gateway to the workers; `None` if each is reached at its own address in the host list.
    pub workers: Option<SocketAddr>,
}

/// Checked settings file.
#[derive(Clone, Debug)]
pub struct File {
    /// Settings of the node.
    pub node: Settings,
    /// Addresses.
    pub addresses: Addresses,
    /// Key that the nodes share.
    pub peer_key: PeerKey,
}

impl File {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<File> {
        let source = path.display();
        let bytes = fs::read(path).map_err(|cause| {
            let message = format!("settings file {source} cannot be read: {cause}");
            Error::new(ErrorKind::Document, message)
        })?;
        let text = String::from_utf8(bytes).map_err(|cause| {
            let message = format!("settings file {source} is not UTF-8 text: {cause}");
            Error::new(ErrorKind::Document, message)
        })?;
        File::parse(&format!("settings file {source}"), &text)
    }

    /// Checks the text of a settings file; `source` names it in errors.
    pub fn parse(source: &str, text: &str) -> Result<File> {
        File::try_from(RawIni::parse(source, text, MAX_FILE_BYTES)?)
    }
}

impl TryFrom<RawIni> for File {
    type Error = Error;

    fn try_from(mut raw: RawIni) -> Result<File> {
        let own = Own::try_from(raw.section("node")?)?;
        let peers = peers(raw.section("peers")?, &own)?;
        let platform = Platform::try_from(raw.section("platform")?)?;
        let limits = limits(raw.optional_section("limits"))?;
        let timing = timing(raw.optional_section("timing"))?;
        let peer_key = secret(raw.section("secret")?)?;
        raw.finish(&["node", "peers", "platform", "limits", "timing", "secret"])?;
        Ok(File {
            node: Settings {
                node: own.node,
                data_centre: own.data_centre,
                peers,
                timing,
                limits,
            },
            addresses: Addresses {
                callers: own.callers,
                peers_listen: own.peers_listen,
                log: platform.log,
                hosts: platform.hosts,
                workers: platform.workers,
            },
            peer_key,
        })
    }
}

/// Checked section `[node]`.
struct Own {
    node: NodeName,
    data_centre: DataCentre,
    callers: SocketAddr,
    peers_listen: SocketAddr,
}

impl TryFrom<Section> for Own {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<Own> {
        let own = Own {
            node: section.name("name")?,
            data_centre: section.name("data_centre")?,
            callers: address(&mut section, "callers")?,
            peers_listen: address(&mut section, "peers_listen")?,
        };
        if own.callers == own.peers_listen {
            let value = own.peers_listen.to_string();
            return Err(section.invalid("peers_listen", &value, "an address other than callers"));
        }
        section.finish(&["name", "data_centre", "callers", "peers_listen"])?;
        Ok(own)
    }
}

const ADDRESS: &str = "IP:PORT, with an IP number and a port from 1 to 65535";

fn address(section: &mut Section, key: &str) -> Result<SocketAddr> {
    let value = section.required(key, ADDRESS)?;
    parse_address(section, key, &value)
}

fn parse_address(section: &Section, key: &str, value: &str) -> Result<SocketAddr> {
    let address = value.parse::<SocketAddr>().ok();
    let address = address.filter(|address| address.port() != 0);
    address.ok_or_else(|| section.invalid(key, value, ADDRESS))
}

/// All nodes, this one included.
fn peers(mut section: Section, own: &Own) -> Result<Vec<PeerAddress>> {
    let listed = section.take_where(|_| true);
    let mut addresses = BTreeSet::new();
    let mut peers = Vec::new();
    for (key, value) in &listed {
        let peer = peer(&section, key, value)?;
        if !addresses.insert(peer.address) {
            return Err(section.invalid(key, value, "each address once"));
        }
        if peer.node == own.node && peer.data_centre != own.data_centre {
            let allowed = format!("data centre {}, as in [node]", own.data_centre);
            return Err(section.invalid(key, value, allowed));
        }
        if peers.len() == MAX_NODES {
            return Err(section.invalid(key, value, format!("at most {MAX_NODES} nodes")));
        }
        peers.push(peer);
    }
    if !peers.iter().any(|peer| peer.node == own.node) {
        section.required(
            own.node.as_str(),
            "DATA_CENTRE IP:PORT of this node, as the other nodes reach it",
        )?;
    }
    Ok(peers)
}

fn peer(section: &Section, key: &str, value: &str) -> Result<PeerAddress> {
    let mut parts = value.split_ascii_whitespace();
    let (Some(data_centre), Some(address), None) = (parts.next(), parts.next(), parts.next())
    else {
        return Err(section.invalid(key, value, "DATA_CENTRE IP:PORT"));
    };
    Ok(PeerAddress {
        node: section.parse_name(key, key)?,
        data_centre: section.parse_name(key, data_centre)?,
        address: parse_address(section, key, address)?,
    })
}

/// Checked section `[platform]`.
struct Platform {
    log: SocketAddr,
    hosts: SocketAddr,
    workers: Option<SocketAddr>,
}

impl TryFrom<Section> for Platform {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<Platform> {
        let workers = section.optional("workers");
        let workers = workers
            .map(|value| parse_address(&section, "workers", &value))
            .transpose()?;
        let platform = Platform {
            log: address(&mut section, "log")?,
            hosts: address(&mut section, "hosts")?,
            workers,
        };
        section.finish(&["log", "hosts", "workers"])?;
        Ok(platform)
    }
}

fn limits(mut section: Section) -> Result<Limits> {
    let default = Limits::default();
    let limits = Limits {
        queues: section.number_or("queues", 1..=1_024, default.queues)?,
        appends_per_second: section.number_or(
            "appends_per_second",
            10..=10_000,
            default.appends_per_second,
        )?,
        body_bytes: section.number_or("body_bytes", 1_024..=(16 << 20), default.body_bytes)?,
        headers: section.number_or("headers", 8..=256, default.headers)?,
        header_bytes: section.number_or(
            "header_bytes",
            1_024..=(256 << 10),
            default.header_bytes,
        )?,
        header_read_ms: span(&mut section, "header_read_ms", default.header_read_ms)?,
        caller_connections: section.number_or(
            "caller_connections",
            1..=65_536,
            default.caller_connections,
        )?,
        waiting_per_slot: section.number_or(
            "waiting_per_slot",
            0..=1_024,
            default.waiting_per_slot,
        )?,
        jobs_per_queue: section.number_or(
            "jobs_per_queue",
            1..=1_000_000,
            default.jobs_per_queue,
        )?,
        retry_percent: section.number_or("retry_percent", 0..=100, default.retry_percent)?,
    };
    section.finish(&[
        "queues",
        "appends_per_second",
        "body_bytes",
        "headers",
        "header_bytes",
        "header_read_ms",
        "caller_connections",
        "waiting_per_slot",
        "jobs_per_queue",
        "retry_percent",
    ])?;
    Ok(limits)
}

/// Longest interval in `[timing]` in milliseconds: ten minutes.
const MAX_SPAN_MS: u64 = 600_000;

/// Longest retention in milliseconds: one year.
const MAX_RETENTION_MS: u64 = 365 * 24 * 3_600_000;

fn span(section: &mut Section, key: &str, default: Millis) -> Result<Millis> {
    let span = section.number_or(key, 10..=MAX_SPAN_MS, default.0)?;
    Ok(Millis(span))
}

fn timing(mut section: Section) -> Result<Timing> {
    let default = Timing::default();
    let mut span = |key, default| span(&mut section, key, default);
    let timing = Timing {
        heartbeat_ms: span("heartbeat_ms", default.heartbeat_ms)?,
        peer_silent_ms: span("peer_silent_ms", default.peer_silent_ms)?,
        owner_silent_ms: span("owner_silent_ms", default.owner_silent_ms)?,
        right_valid_ms: span("right_valid_ms", default.right_valid_ms)?,
        promise_valid_ms: span("promise_valid_ms", default.promise_valid_ms)?,
        promise_every_ms: span("promise_every_ms", default.promise_every_ms)?,
        read_wait_ms: span("read_wait_ms", default.read_wait_ms)?,
        documents_fresh_ms: span("documents_fresh_ms", default.documents_fresh_ms)?,
        hosts_fresh_ms: span("hosts_fresh_ms", default.hosts_fresh_ms)?,
        hosts_every_ms: span("hosts_every_ms", default.hosts_every_ms)?,
        start_by_ms: span("start_by_ms", default.start_by_ms)?,
        lease_ms: span("lease_ms", default.lease_ms)?,
        renew_every_ms: span("renew_every_ms", default.renew_every_ms)?,
        platform_call_ms: span("platform_call_ms", default.platform_call_ms)?,
        retention_ms: Millis(section.number_or(
            "retention_ms",
            60_000..=MAX_RETENTION_MS,
            default.retention_ms.0,
        )?),
    };
    check_together(&section, &timing)?;
    section.finish(&TIMING_KEYS)?;
    Ok(timing)
}

const TIMING_KEYS: [&str; 15] = [
    "heartbeat_ms",
    "peer_silent_ms",
    "owner_silent_ms",
    "right_valid_ms",
    "promise_valid_ms",
    "promise_every_ms",
    "read_wait_ms",
    "documents_fresh_ms",
    "hosts_fresh_ms",
    "hosts_every_ms",
    "start_by_ms",
    "lease_ms",
    "renew_every_ms",
    "platform_call_ms",
    "retention_ms",
];

/// Checks that what is renewed at an interval stays valid for at least two of them.
///
/// With less, a single late message would end a right or a lease.
fn check_together(section: &Section, timing: &Timing) -> Result<()> {
    let pairs = [
        (
            "heartbeat_ms",
            timing.heartbeat_ms,
            "peer_silent_ms",
            timing.peer_silent_ms,
        ),
        (
            "heartbeat_ms",
            timing.heartbeat_ms,
            "owner_silent_ms",
            timing.owner_silent_ms,
        ),
        (
            "promise_every_ms",
            timing.promise_every_ms,
            "promise_valid_ms",
            timing.promise_valid_ms,
        ),
        (
            "read_wait_ms",
            timing.read_wait_ms,
            "right_valid_ms",
            timing.right_valid_ms,
        ),
        (
            "read_wait_ms",
            timing.read_wait_ms,
            "documents_fresh_ms",
            timing.documents_fresh_ms,
        ),
        (
            "hosts_every_ms",
            timing.hosts_every_ms,
            "hosts_fresh_ms",
            timing.hosts_fresh_ms,
        ),
        (
            "renew_every_ms",
            timing.renew_every_ms,
            "lease_ms",
            timing.lease_ms,
        ),
    ];
    for (every_key, every, valid_key, valid) in pairs {
        if every.0 * 2 > valid.0 {
            let allowed = format!("at most half of {valid_key} = {}", valid.0);
            return Err(section.invalid(every_key, &every.0.to_string(), allowed));
        }
    }
    Ok(())
}

fn secret(mut section: Section) -> Result<PeerKey> {
    let value = section.required("peer_key", "a key of 32 to 256 bytes")?;
    let key = PeerKey::try_from(value.as_str())
        .map_err(|cause| section.invalid("peer_key", &value, cause))?;
    section.finish(&["peer_key"])?;
    Ok(key)
}
