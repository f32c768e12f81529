//! Retry budget: limits retries to a share of the first attempts, so that retries cannot
//! multiply the load.

/// Retries earned by each first attempt.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries that can be saved up for a burst of failures.
const MAX_TOKENS: f64 = 100.0;
/// Retries available before the first attempt.
const INITIAL_TOKENS: f64 = 10.0;

/// Token bucket that first attempts fill and retries drain; one token allows one retry.
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
    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes a token for one retry. Returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the tokens that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
