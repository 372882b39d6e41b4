//! Retry budget: limits the requests that are sent more than once.
//!
//! Each first send deposits a fraction of a token, and each extra send (retry or
//! hedge) withdraws a whole one. Retries and hedges share the budget, so an outage
//! of executors increases the load by at most that fraction. A bounded reserve
//! allows a service with few requests to retry at all.

/// Capacity of the bucket, in hundredths of a token: 10 extra sends.
const MAX_CENTI_TOKENS: u32 = 1_000;

/// Token bucket that is filled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    centi_tokens: u32,
}

impl Budget {
    /// Creates a full budget that permits extra sends for a given percentage of requests.
    #[must_use]
    pub fn new(percent: u32) -> Budget {
        Budget {
            percent: percent.min(100),
            centi_tokens: if percent == 0 { 0 } else { MAX_CENTI_TOKENS },
        }
    }

    /// Records a first send.
    pub fn deposit(&mut self) {
        self.centi_tokens = (self.centi_tokens + self.percent).min(MAX_CENTI_TOKENS);
    }

    /// Withdraws one extra send; `false` if the budget is exhausted.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let granted = self.centi_tokens >= 100;
        if granted {
            self.centi_tokens -= 100;
        }
        granted
    }

    /// Withdraws a hedge; half of the reserve is kept for retries.
    #[must_use]
    pub fn withdraw_hedge(&mut self) -> bool {
        self.centi_tokens > MAX_CENTI_TOKENS / 2 && self.withdraw()
    }
}
