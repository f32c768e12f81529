//! A budget for retries, so that retries cannot multiply load.

const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// What a quiet spell may save up, for a burst of failures.
const MAX_TOKENS: f64 = 100.0;
const INITIAL_TOKENS: f64 = 10.0;

/// Each first try pays a tenth of a retry in; each retry takes one out.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one retry out, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
