//! Token budget that holds extra load to a share of ordinary load.

/// Tokens earned by ordinary requests and spent by extra ones.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    cap: f64,
    tokens: f64,
}

impl Budget {
    /// Budget of `share` extra requests per ordinary one, saving at most `cap` of them.
    pub fn new(share: f64, cap: f64) -> Budget {
        Budget { share, cap, tokens: cap }
    }

    /// Records an ordinary request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }

    /// Spends one token, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
