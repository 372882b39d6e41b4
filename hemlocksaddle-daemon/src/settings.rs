//! Settings file of a node.
//!
//! The file is read once, at startup. It holds what a process cannot discover by
//! itself: its name, data centre and addresses, all nodes, the platform and the
//! shared key. Sections `[limits]` and `[timing]` and each of their keys are
//! optional. Keys that depend on each other, such as the heartbeat interval and
//! the timeout after which a peer counts as silent, are validated together.

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

/// Maximum size of a settings file in bytes.
const MAX_FILE_BYTES: usize = 256 << 10;

/// Maximum number of nodes of a deployment; every node sends heartbeats to every other.
const MAX_NODES: usize = 64;

/// Listen addresses of this process and addresses of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listen address for callers and operators.
    pub callers: SocketAddr,
    /// Listen address for peers.
    pub peers_listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's host list.
    pub hosts: SocketAddr,
    /// Gateway to the workers; `None` if each worker is called at its address in the host list.
    pub workers: Option<SocketAddr>,
}

/// Validated contents of a settings file.
#[derive(Clone, Debug)]
pub struct File {
    /// Settings of the node.
    pub node: Settings,
    /// Listen addresses and addresses of the platform.
    pub addresses: Addresses,
    /// Key shared by all nodes.
    pub peer_key: PeerKey,
}

impl File {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not UTF-8 or holds an invalid setting.
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

    /// Validates the text of a settings file; `source` names the file in errors.
    ///
    /// # Errors
    ///
    /// Fails if a section or key is missing, unknown or invalid.
    pub fn parse(source: &str, text: &str) -> Result<File> {
        File::try_from(RawIni::parse(source, text, MAX_FILE_BYTES)?)
    }
}

impl TryFrom<RawIni> for File {
    type Error = Error;

    fn try_from(mut raw: RawIni) -> Result<File> {
        let own_node = NodeSection::try_from(raw.section("node")?)?;
        let peers = peers(raw.section("peers")?, &own_node)?;
        let platform = PlatformSection::try_from(raw.section("platform")?)?;
        let limits = limits(raw.optional_section("limits"))?;
        let timing = timing(raw.optional_section("timing"))?;
        let peer_key = secret(raw.section("secret")?)?;
        raw.finish(&["node", "peers", "platform", "limits", "timing", "secret"])?;
        Ok(File {
            node: Settings {
                node: own_node.node,
                data_centre: own_node.data_centre,
                peers,
                timing,
                limits,
            },
            addresses: Addresses {
                callers: own_node.callers,
                peers_listen: own_node.peers_listen,
                log: platform.log,
                hosts: platform.hosts,
                workers: platform.workers,
            },
            peer_key,
        })
    }
}

/// Validated section `[node]`.
struct NodeSection {
    node: NodeName,
    data_centre: DataCentre,
    callers: SocketAddr,
    peers_listen: SocketAddr,
}

impl TryFrom<Section> for NodeSection {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<NodeSection> {
        let own_node = NodeSection {
            node: section.name("name")?,
            data_centre: section.name("data_centre")?,
            callers: address(&mut section, "callers")?,
            peers_listen: address(&mut section, "peers_listen")?,
        };
        if own_node.callers == own_node.peers_listen {
            let value = own_node.peers_listen.to_string();
            return Err(section.invalid("peers_listen", &value, "an address other than callers"));
        }
        section.finish(&["name", "data_centre", "callers", "peers_listen"])?;
        Ok(own_node)
    }
}

const ALLOWED_ADDRESS: &str = "IP:PORT, with an IP address and a port from 1 to 65535";

fn address(section: &mut Section, key: &str) -> Result<SocketAddr> {
    let value = section.required(key, ALLOWED_ADDRESS)?;
    parse_address(section, key, &value)
}

fn parse_address(section: &Section, key: &str, value: &str) -> Result<SocketAddr> {
    let address = value.parse::<SocketAddr>().ok();
    let address = address.filter(|address| address.port() != 0);
    address.ok_or_else(|| section.invalid(key, value, ALLOWED_ADDRESS))
}

/// Parses section `[peers]`, which lists all nodes, this one included.
fn peers(mut section: Section, own_node: &NodeSection) -> Result<Vec<PeerAddress>> {
    let listed = section.take_where(|_| true);
    let mut addresses = BTreeSet::new();
    let mut peers = Vec::new();
    for (key, value) in &listed {
        let peer = peer(&section, key, value)?;
        if !addresses.insert(peer.address) {
            return Err(section.invalid(key, value, "each address once"));
        }
        if peer.node == own_node.node && peer.data_centre != own_node.data_centre {
            let allowed = format!("data centre {}, as in [node]", own_node.data_centre);
            return Err(section.invalid(key, value, allowed));
        }
        if peers.len() == MAX_NODES {
            return Err(section.invalid(key, value, format!("at most {MAX_NODES} nodes")));
        }
        peers.push(peer);
    }
    if !peers.iter().any(|peer| peer.node == own_node.node) {
        section.required(
            own_node.node.as_str(),
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

/// Validated section `[platform]`.
struct PlatformSection {
    log: SocketAddr,
    hosts: SocketAddr,
    workers: Option<SocketAddr>,
}

impl TryFrom<Section> for PlatformSection {
    type Error = Error;

    fn try_from(mut section: Section) -> Result<PlatformSection> {
        let workers = section.optional("workers");
        let workers = workers
            .map(|value| parse_address(&section, "workers", &value))
            .transpose()?;
        let platform = PlatformSection {
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
        header_read_ms: duration(&mut section, "header_read_ms", default.header_read_ms)?,
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

/// Maximum of durations in `[timing]` and of `header_read_ms` in milliseconds: ten minutes.
const MAX_DURATION_MS: u64 = 600_000;

/// Maximum retention in milliseconds: one year.
const MAX_RETENTION_MS: u64 = 365 * 24 * 3_600_000;

fn duration(section: &mut Section, key: &str, default: Millis) -> Result<Millis> {
    let duration = section.number_or(key, 10..=MAX_DURATION_MS, default.0)?;
    Ok(Millis(duration))
}

fn timing(mut section: Section) -> Result<Timing> {
    let default = Timing::default();
    let mut duration = |key, default| duration(&mut section, key, default);
    let timing = Timing {
        heartbeat_ms: duration("heartbeat_ms", default.heartbeat_ms)?,
        peer_silent_ms: duration("peer_silent_ms", default.peer_silent_ms)?,
        owner_silent_ms: duration("owner_silent_ms", default.owner_silent_ms)?,
        right_valid_ms: duration("right_valid_ms", default.right_valid_ms)?,
        promise_valid_ms: duration("promise_valid_ms", default.promise_valid_ms)?,
        promise_every_ms: duration("promise_every_ms", default.promise_every_ms)?,
        read_wait_ms: duration("read_wait_ms", default.read_wait_ms)?,
        documents_fresh_ms: duration("documents_fresh_ms", default.documents_fresh_ms)?,
        hosts_fresh_ms: duration("hosts_fresh_ms", default.hosts_fresh_ms)?,
        hosts_every_ms: duration("hosts_every_ms", default.hosts_every_ms)?,
        start_by_ms: duration("start_by_ms", default.start_by_ms)?,
        lease_ms: duration("lease_ms", default.lease_ms)?,
        renew_every_ms: duration("renew_every_ms", default.renew_every_ms)?,
        platform_call_ms: duration("platform_call_ms", default.platform_call_ms)?,
        retention_ms: Millis(section.number_or(
            "retention_ms",
            60_000..=MAX_RETENTION_MS,
            default.retention_ms.0,
        )?),
    };
    check_intervals(&section, &timing)?;
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

/// Checks that each validity period covers at least two renewal intervals.
///
/// With less, a single late message would let an ownership lease or a worker lease expire.
fn check_intervals(section: &Section, timing: &Timing) -> Result<()> {
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
    for (interval_key, interval, validity_key, validity) in pairs {
        if interval.0 * 2 > validity.0 {
            let allowed = format!("at most half of {validity_key} = {}", validity.0);
            return Err(section.invalid(interval_key, &interval.0.to_string(), allowed));
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
