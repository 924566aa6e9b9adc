//! Token budget that limits hedges and retries to a share of ordinary requests.

/// Tokens earned by ordinary requests and spent by hedges or retries.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    cap: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a budget of `share` hedges or retries per ordinary request that saves up at
    /// most `cap` tokens. It starts full.
    pub fn new(share: f64, cap: f64) -> Budget {
        Budget { share, cap, tokens: cap }
    }

    /// Records an ordinary request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }

    /// Spends one token; returns whether one was available.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
