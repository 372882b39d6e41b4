//! Good and total requests per service, from which error budget burn is computed.
//!
//! Counts are kept in ring buffers with one bucket per minute and one per hour.
//! The minutes cover the longest alert window (three days), the hours the longest
//! supported objective window (30 days). A service takes about 80 KB; the number
//! of services is bounded by the current documents.

use std::{cell::RefCell, collections::BTreeMap};

use hemlocksaddle_types::{
    burn::{Counts, NodeBurn, ServiceBurn, WINDOWS_MINUTES},
    clock::{Millis, WallMs},
    document::Document,
    name::ServiceName,
};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const MINUTES_KEPT: usize = 4_320;
const HOURS_KEPT: usize = 720;

/// Ring buffer of counts, one bucket per period of fixed length.
struct Ring {
    period_ms: u64,
    counts: Vec<Counts>,
    latest: u64,
}

impl Ring {
    fn new(period_ms: u64, len: usize) -> Ring {
        Ring {
            period_ms,
            counts: vec![Counts::default(); len],
            latest: 0,
        }
    }

    /// Clears the buckets of the periods that started since the last call.
    fn advance(&mut self, now_ms: WallMs) {
        let current = now_ms.0 / self.period_ms;
        let len = self.counts.len() as u64;
        if current <= self.latest {
            return;
        }
        let first_new = self.latest.max(current.saturating_sub(len)) + 1;
        for period in first_new..=current {
            self.counts[(period % len) as usize] = Counts::default();
        }
        self.latest = current;
    }

    fn record(&mut self, now_ms: WallMs, good: bool) {
        self.advance(now_ms);
        let len = self.counts.len() as u64;
        let one = Counts {
            good: u64::from(good),
            total: 1,
        };
        self.counts[(self.latest % len) as usize].add(one);
    }

    fn sum(&mut self, now_ms: WallMs, periods: usize) -> Counts {
        self.advance(now_ms);
        let len = self.counts.len() as u64;
        let mut sum = Counts::default();
        for back in 0..(periods as u64).min(len).min(self.latest + 1) {
            sum.add(self.counts[((self.latest - back) % len) as usize]);
        }
        sum
    }
}

struct Rings {
    minutes: Ring,
    hours: Ring,
}

impl Rings {
    fn new() -> Rings {
        Rings {
            minutes: Ring::new(MINUTE_MS, MINUTES_KEPT),
            hours: Ring::new(HOUR_MS, HOURS_KEPT),
        }
    }
}

/// Counters of good and total requests of this node, by service.
pub struct BurnCounters {
    since_ms: WallMs,
    services: RefCell<BTreeMap<ServiceName, Rings>>,
}

impl BurnCounters {
    /// Creates empty counters; `since_ms` is the time from which they count.
    #[must_use]
    pub fn new(since_ms: WallMs) -> BurnCounters {
        BurnCounters {
            since_ms,
            services: RefCell::default(),
        }
    }

    /// Counts a request that was answered to its caller.
    pub fn record(&self, service: &ServiceName, now_ms: WallMs, good: bool) {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.clone(), Rings::new());
        }
        if let Some(rings) = services.get_mut(service) {
            rings.minutes.record(now_ms, good);
            rings.hours.record(now_ms, good);
        }
    }

    /// Whether an answer counts as good under the document's objective.
    #[must_use]
    pub fn is_good(document: &Document, latency: Millis, succeeded: bool) -> bool {
        succeeded && latency <= document.objective.latency_ms
    }

    /// Returns the counts of the services that have a document and drops all others.
    #[must_use]
    pub fn report(&self, now_ms: WallMs, documents: &[&Document]) -> NodeBurn {
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| documents.iter().any(|d| d.service == *service));
        let reports = documents.iter().map(|document| {
            let rings = services
                .entry(document.service.clone())
                .or_insert_with(Rings::new);
            service_report(rings, now_ms, document)
        });
        NodeBurn {
            since_ms: self.since_ms,
            services: reports.collect(),
        }
    }
}

fn service_report(rings: &mut Rings, now_ms: WallMs, document: &Document) -> ServiceBurn {
    let objective = document.objective;
    let windows = WINDOWS_MINUTES.map(|minutes| rings.minutes.sum(now_ms, minutes as usize));
    ServiceBurn {
        service: document.service.clone(),
        latency_ms: objective.latency_ms.0,
        success_milli_percent: objective.success_milli_percent,
        window_hours: objective.window_hours,
        windows: windows.to_vec(),
        objective_window: rings.hours.sum(now_ms, objective.window_hours as usize),
    }
}
