//! Error budget burn report as a self-contained HTML page.
//!
//! Each service has a panel that shows the remaining error budget as a bar and
//! the burn rate of each window as a bar on a logarithmic scale, with lines at the
//! alert thresholds. SVG and CSS are inline, so that the file can be mailed or
//! archived.

use crate::burn::{Report, ServiceReport, Severity};

const STYLE: &str = "body{font:15px system-ui,sans-serif;margin:2em;color:#222;background:#fff}\
h1{font-size:1.4em}h2{font-size:1.1em;margin-bottom:.2em}\
section{border:1px solid #ccc;border-radius:6px;padding:1em;margin:1em 0;max-width:760px}\
.page{color:#b00020;font-weight:bold}.ticket{color:#9a6700;font-weight:bold}.ok{color:#1a7f37}\
.note{color:#555;font-size:.9em}text{font:12px system-ui,sans-serif;fill:#333}";

/// Width of an image, in SVG user units.
const WIDTH: f64 = 700.0;
/// Width of the label column, in SVG user units.
const LABEL_WIDTH: f64 = 70.0;
/// Width of the value column, in SVG user units.
const VALUE_WIDTH: f64 = 80.0;
/// Height of a bar's row, in SVG user units.
const ROW_HEIGHT: f64 = 24.0;

/// Burn rate at the right end of the scale.
const SCALE_MAX: f64 = 1_000.0;
/// Burn rate at the left end of the scale.
const SCALE_MIN: f64 = 0.01;

/// Renders the report as an HTML page.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>{STYLE}</style></head><body><h1>Service-level burn</h1>"
    );
    html += &format!(
        "<p class=\"note\">Counted by {} nodes as the entry points of callers. Counts of nodes that were replaced are lost.</p>",
        report.answered.len()
    );
    for (node, reason) in &report.missing {
        html += &format!(
            "<p class=\"page\">No counts from {node}: {}</p>",
            escape(reason)
        );
    }
    for service in &report.services {
        html += &panel(service);
    }
    html += "</body></html>\n";
    html
}

fn panel(service: &ServiceReport) -> String {
    let (class, state) = match service.alert {
        Some(Severity::Page) => ("page", "page: the budget is burning fast"),
        Some(Severity::Ticket) => ("ticket", "ticket: the budget will not last"),
        None => ("ok", "no alert"),
    };
    format!(
        "<section><h2>{}</h2><p><span class=\"{class}\">{state}</span></p>\
         <p class=\"note\">Objective: {}% of requests succeed within {} ms, over {} hours. \
         {} of {} requests were good.</p>{}{}</section>",
        escape(service.service.as_str()),
        service.success_percent,
        service.latency_ms,
        service.window_hours,
        service.good,
        service.total,
        budget_bar(service.budget_left),
        rate_bars(service),
    )
}

fn budget_bar(budget_left: f64) -> String {
    let full_width = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
    let width = full_width * budget_left.clamp(0.0, 1.0);
    let color = if budget_left > 0.25 {
        "#1a7f37"
    } else {
        "#b00020"
    };
    format!(
        "<svg width=\"{WIDTH}\" height=\"30\" role=\"img\" aria-label=\"error budget left\">\
         <text x=\"0\" y=\"19\">budget</text>\
         <rect x=\"{LABEL_WIDTH}\" y=\"5\" width=\"{full_width}\" height=\"18\" fill=\"#eee\"/>\
         <rect x=\"{LABEL_WIDTH}\" y=\"5\" width=\"{width:.1}\" height=\"18\" fill=\"{color}\"/>\
         <text x=\"{:.1}\" y=\"19\">{:.1}%</text></svg>",
        LABEL_WIDTH + full_width + 6.0,
        budget_left * 100.0
    )
}

/// Horizontal position of a burn rate on the logarithmic scale, in SVG user units.
fn scale_position(rate: f64) -> f64 {
    let full_width = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
    let fraction =
        (rate.clamp(SCALE_MIN, SCALE_MAX) / SCALE_MIN).log10() / (SCALE_MAX / SCALE_MIN).log10();
    full_width * fraction
}

fn rate_bars(service: &ServiceReport) -> String {
    let rows = service.windows.len() as f64;
    let height = rows * ROW_HEIGHT + 24.0;
    let mut svg = format!(
        "<svg width=\"{WIDTH}\" height=\"{height}\" role=\"img\" aria-label=\"burn rates\">"
    );
    // Thresholds of `burn::ALERT_CONDITIONS`.
    for threshold in [1.0, 6.0, 14.4] {
        let x = LABEL_WIDTH + scale_position(threshold);
        svg += &format!(
            "<line x1=\"{x:.1}\" y1=\"0\" x2=\"{x:.1}\" y2=\"{:.1}\" stroke=\"#999\" stroke-dasharray=\"3 3\"/>\
             <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{threshold}</text>",
            rows * ROW_HEIGHT,
            height - 6.0
        );
    }
    for (row, window) in service.windows.iter().enumerate() {
        let y = row as f64 * ROW_HEIGHT;
        let color = match window.rate {
            rate if rate > 6.0 => "#b00020",
            rate if rate > 1.0 => "#d29922",
            _ => "#1a7f37",
        };
        let width = if window.total == 0 {
            0.0
        } else {
            scale_position(window.rate)
        };
        svg += &format!(
            "<text x=\"0\" y=\"{:.1}\">{}</text>\
             <rect x=\"{LABEL_WIDTH}\" y=\"{:.1}\" width=\"{width:.1}\" height=\"16\" fill=\"{color}\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\">{}</text>",
            y + 16.0,
            format_minutes(window.minutes),
            y + 3.0,
            WIDTH - VALUE_WIDTH + 6.0,
            y + 16.0,
            format_rate(window.rate, window.total),
        );
    }
    svg + "</svg>"
}

fn format_rate(rate: f64, total: u64) -> String {
    if total == 0 {
        return String::from("no requests");
    }
    format!("{rate:.2}")
}

fn format_minutes(minutes: u32) -> String {
    match minutes {
        m if m >= 1_440 => format!("{} d", m / 1_440),
        m if m >= 60 => format!("{} h", m / 60),
        m => format!("{m} min"),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
