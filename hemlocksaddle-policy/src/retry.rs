//! Budget for requests that are sent a second time.
//!
//! Every first send adds a share of a token, every second send takes a whole one.
//! Retries and hedges share the budget, so that an outage of executors adds at
//! most that share to the load. A bounded reserve lets a service with few
//! requests retry at all.

/// Tokens that the budget holds at most, in hundredths: 10 second sends.
const MAX_CENTI_TOKENS: u32 = 1_000;

/// Token bucket filled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    centi_tokens: u32,
}

impl Budget {
    /// Full budget that grants a share of the requests, in percent.
    #[must_use]
    pub fn new(percent: u32) -> Budget {
        Budget {
            percent: percent.min(100),
            centi_tokens: if percent == 0 { 0 } else { MAX_CENTI_TOKENS },
        }
    }

    /// Counts a first send.
    pub fn deposit(&mut self) {
        self.centi_tokens = (self.centi_tokens + self.percent).min(MAX_CENTI_TOKENS);
    }

    /// Takes a second send from the budget; `false` if it is exhausted.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let granted = self.centi_tokens >= 100;
        if granted {
            self.centi_tokens -= 100;
        }
        granted
    }

    /// Takes a hedge from the budget; half of the reserve is left to retries.
    #[must_use]
    pub fn withdraw_hedge(&mut self) -> bool {
        self.centi_tokens > MAX_CENTI_TOKENS / 2 && self.withdraw()
    }
}
