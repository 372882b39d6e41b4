//! Error budget burn report over all nodes.
//!
//! Alerts are multi-window burn-rate alerts. The long window shows that a
//! significant part of the error budget was used, the short one that it is still
//! being used, so that an alert clears soon after its cause. The window pairs and
//! thresholds are the usual ones for an objective over 30 days: 2% of the budget
//! in an hour, 5% in six hours, 10% in three days.

use std::{collections::BTreeMap, net::SocketAddr};

use hemlocksaddle_types::{
    burn::{Counts, NodeBurn, ServiceBurn, WINDOWS_MINUTES},
    clock::WallMs,
    name::ServiceName,
};
use serde::Serialize;

/// Severity of an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Pages the operator on call.
    Page,
    /// Opens a ticket, to be handled on the next working day.
    Ticket,
}

/// Alert condition: the burn rates of both windows exceed the threshold.
#[derive(Clone, Copy, Debug)]
pub struct AlertCondition {
    /// Severity of the alert.
    pub severity: Severity,
    /// Index of the long window in [`WINDOWS_MINUTES`].
    pub long_window: usize,
    /// Index of the short window in [`WINDOWS_MINUTES`].
    pub short_window: usize,
    /// Burn rate that both windows must exceed.
    pub threshold: f64,
}

/// Alert conditions, most severe first.
pub const ALERT_CONDITIONS: [AlertCondition; 3] = [
    AlertCondition {
        severity: Severity::Page,
        long_window: 2,
        short_window: 0,
        threshold: 14.4,
    },
    AlertCondition {
        severity: Severity::Page,
        long_window: 3,
        short_window: 1,
        threshold: 6.0,
    },
    AlertCondition {
        severity: Severity::Ticket,
        long_window: 4,
        short_window: 3,
        threshold: 1.0,
    },
];

/// Requests and burn rate of one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length in minutes.
    pub minutes: u32,
    /// Good requests.
    pub good: u64,
    /// All requests.
    pub total: u64,
    /// Burn rate; at 1, the budget is used up in exactly the objective's window.
    pub rate: f64,
}

/// Error budget burn of one service, over all nodes that answered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Service that the report is about.
    pub service: ServiceName,
    /// Maximum latency of a good request, in milliseconds.
    pub latency_ms: u64,
    /// Required share of good requests, in percent.
    pub success_percent: f64,
    /// Length of the objective's window in hours.
    pub window_hours: u32,
    /// Good requests in the objective's window.
    pub good: u64,
    /// All requests in the objective's window.
    pub total: u64,
    /// Remaining fraction of the error budget: 1 if unused, negative if exceeded.
    pub budget_left: f64,
    /// Burn per window, in the order of [`WINDOWS_MINUTES`].
    pub windows: Vec<WindowBurn>,
    /// Severity of the most severe alert that fires.
    pub alert: Option<Severity>,
}

/// Burn report over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Reports per service, in order of name.
    pub services: Vec<ServiceReport>,
    /// Nodes that answered, with the wall-clock time since which each has counted.
    pub answered: Vec<(SocketAddr, WallMs)>,
    /// Nodes that did not answer, with the reason.
    pub missing: Vec<(SocketAddr, String)>,
}

/// Builds a report from the summed counts of the nodes in `answered`.
#[must_use]
pub fn combine(answered: &[(SocketAddr, NodeBurn)], missing: Vec<(SocketAddr, String)>) -> Report {
    let mut services: BTreeMap<ServiceName, ServiceBurn> = BTreeMap::new();
    for service in answered.iter().flat_map(|(_, burn)| &burn.services) {
        match services.get_mut(&service.service) {
            None => {
                services.insert(service.service.clone(), service.clone());
            }
            Some(sum) => add_counts(sum, service),
        }
    }
    Report {
        services: services.values().map(service_report).collect(),
        answered: answered
            .iter()
            .map(|(node, burn)| (*node, burn.since_ms))
            .collect(),
        missing,
    }
}

fn add_counts(sum: &mut ServiceBurn, other: &ServiceBurn) {
    for (window, counts) in sum.windows.iter_mut().zip(&other.windows) {
        window.add(*counts);
    }
    sum.objective_window.add(other.objective_window);
}

fn service_report(service: &ServiceBurn) -> ServiceReport {
    let objective = service.success_milli_percent;
    let windows: Vec<WindowBurn> = WINDOWS_MINUTES
        .iter()
        .zip(&service.windows)
        .map(|(minutes, counts)| window_burn(*minutes, *counts, objective))
        .collect();
    let firing = ALERT_CONDITIONS.iter().find(|condition| {
        let rate = |index: usize| windows.get(index).map_or(0.0, |window| window.rate);
        rate(condition.long_window) > condition.threshold
            && rate(condition.short_window) > condition.threshold
    });
    let counts = service.objective_window;
    ServiceReport {
        service: service.service.clone(),
        latency_ms: service.latency_ms,
        success_percent: f64::from(objective) / 1_000.0,
        window_hours: service.window_hours,
        good: counts.good,
        total: counts.total,
        budget_left: 1.0 - counts.burn_rate(objective),
        alert: firing.map(|condition| condition.severity),
        windows,
    }
}

fn window_burn(minutes: u32, counts: Counts, objective: u32) -> WindowBurn {
    WindowBurn {
        minutes,
        good: counts.good,
        total: counts.total,
        rate: counts.burn_rate(objective),
    }
}

/// Renders the report as a table for a terminal.
#[must_use]
pub fn render_table(report: &Report) -> String {
    let mut text = format!(
        "{:<20} {:>9} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8}  {}\n",
        "service", "objective", "requests", "budget", "5m", "30m", "1h", "6h", "3d", "alert"
    );
    for service in &report.services {
        let alert = match service.alert {
            Some(Severity::Page) => "page",
            Some(Severity::Ticket) => "ticket",
            None => "-",
        };
        text += &format!(
            "{:<20} {:>8}% {:>9} {:>9.1}%",
            service.service.as_str(),
            service.success_percent,
            service.total,
            service.budget_left * 100.0
        );
        for window in &service.windows {
            text += &format!(" {:>8.2}", window.rate);
        }
        text += &format!("  {alert}\n");
    }
    text += &format!("counted by {} nodes", report.answered.len());
    if let Some(latest) = report.answered.iter().map(|(_, since)| since.0).max() {
        text += &format!(
            ", the youngest since {latest} ms (Unix time); earlier counts of replaced nodes are lost"
        );
    }
    text.push('\n');
    for (node, reason) in &report.missing {
        text += &format!("no counts from {node}: {reason}\n");
    }
    text
}
