//! Check of a configuration before it is sent.
//!
//! Nodes accept any configuration that they can read. The check finds what they would
//! accept and never use, and what contradicts itself. It applies the same rule for
//! matching a request as the nodes: of the queues of a host, the longest prefix counts,
//! and of equal ones the last.

use std::sync::Arc;

use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Catalogue, Queue, Tenant},
};

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// What is wrong with an entry.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FindingKind {
            $($(#[$doc])* $name,)*
        }

        impl FindingKind {
            /// Returns the name of the kind.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(FindingKind::$name => $text,)* }
            }
        }
    };
}

kinds! {
    /// Nodes keep the configuration in force.
    NotNewer = "not newer",
    /// Two entries of one kind have the same name.
    DuplicateName = "duplicate name",
    /// No request or caller can match the entry.
    NeverMatches = "never matches",
    /// The queue names a pool that the configuration does not describe.
    UnknownPool = "unknown pool",
    /// No queue uses the pool.
    UnusedPool = "unused pool",
    /// A limit contradicts another one or excludes all work.
    Contradiction = "contradiction",
}

/// Problem of one entry of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Kind and name of the entry.
    pub entry: String,
    /// Why it is wrong.
    pub reason: String,
}

/// Findings in the order of the entries.
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, kind: FindingKind, entry: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Finding {
            kind,
            entry: entry.into(),
            reason: reason.into(),
        });
    }

    fn add_duplicates<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a Arc<str>>) {
        let mut known = HashSet::new();
        for name in names {
            if !known.insert(name) {
                let reason = format!("the name is used by an earlier {kind}");
                self.add(FindingKind::DuplicateName, format!("{kind} {name}"), reason);
            }
        }
    }
}

/// Problems of a configuration that is to replace the one in force.
#[must_use]
pub fn check(catalogue: &Catalogue, in_force: Option<&Catalogue>) -> Vec<Finding> {
    let mut findings = Findings(Vec::new());
    let in_force = in_force.filter(|in_force| catalogue.version <= in_force.version);
    if let Some(in_force) = in_force {
        let reason = format!("version {} is in force", in_force.version);
        let entry = format!("version {}", catalogue.version);
        findings.add(FindingKind::NotNewer, entry, reason);
    }
    findings.add_duplicates("queue", catalogue.queues.iter().map(|queue| &queue.name));
    findings.add_duplicates("pool", catalogue.pools.iter().map(|pool| &pool.name));
    findings.add_duplicates(
        "tenant",
        catalogue.tenants.iter().map(|tenant| &tenant.name),
    );
    check_matching(&catalogue.queues, &mut findings);
    for queue in &catalogue.queues {
        check_limits(queue, &mut findings);
        if !catalogue.pools.iter().any(|pool| pool.name == queue.pool) {
            let reason = format!("pool {} is not described", queue.pool);
            findings.add(FindingKind::UnknownPool, name_of(queue), reason);
        }
    }
    for pool in &catalogue.pools {
        if !catalogue.queues.iter().any(|queue| queue.pool == pool.name) {
            let entry = format!("pool {}", pool.name);
            findings.add(FindingKind::UnusedPool, entry, "no queue uses it");
        }
    }
    check_tenants(&catalogue.tenants, &mut findings);
    findings.0
}

fn name_of(queue: &Queue) -> String {
    format!("queue {}", queue.name)
}

fn check_matching(queues: &[Queue], findings: &mut Findings) {
    for (number, queue) in queues.iter().enumerate() {
        let is_same =
            |other: &&Queue| other.host == queue.host && other.path_prefix == queue.path_prefix;
        let reason = if queue.host.is_empty() {
            String::from("its host is empty")
        } else if !queue.path_prefix.starts_with('/') {
            format!("its prefix {:?} does not start with /", queue.path_prefix)
        } else if let Some(other) = queues[number + 1..].iter().find(is_same) {
            format!("queue {} has the same host and prefix", other.name)
        } else {
            continue;
        };
        findings.add(FindingKind::NeverMatches, name_of(queue), reason);
    }
}

fn check_limits(queue: &Queue, findings: &mut Findings) {
    if queue.stretch.is_nan() || queue.stretch < 1.0 {
        let reason = format!(
            "stretch {} is less than the work itself takes",
            queue.stretch
        );
        findings.add(FindingKind::Contradiction, name_of(queue), reason);
    }
    if queue.timeout_ms == Millis(0) {
        let reason = "callers wait for 0 ms";
        findings.add(FindingKind::Contradiction, name_of(queue), reason);
    }
}

fn check_tenants(tenants: &[Tenant], findings: &mut Findings) {
    let mut owners = HashMap::new();
    for tenant in tenants {
        let entry = format!("tenant {}", tenant.name);
        if tenant.keys.is_empty() {
            let reason = "it has no key";
            findings.add(FindingKind::NeverMatches, entry.as_str(), reason);
        }
        if tenant.weight == 0 {
            let reason = "weight 0 gives it no share";
            findings.add(FindingKind::Contradiction, entry.as_str(), reason);
        }
        for key in &tenant.keys {
            if let Some(other) = owners.insert(key.0, &tenant.name) {
                // The key itself must not appear.
                let reason = format!("one of its keys is also a key of tenant {other}");
                findings.add(FindingKind::Contradiction, entry.as_str(), reason);
            }
        }
    }
}
