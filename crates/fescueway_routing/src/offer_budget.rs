//! Budget for repeated offers, earned by events and not by time.

/// Budget that gains a fraction of a token with each event and is spent in whole tokens. Over any
/// period, the tokens spent are at most that fraction of the events, plus `max_tokens` and
/// `max_debt`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferBudget {
    /// Available tokens, from `-max_debt` to `max_tokens`.
    tokens: f64,
    /// Maximum number of accumulated tokens.
    max_tokens: f64,
    /// Maximum overdraft, in tokens.
    max_debt: f64,
}

impl OfferBudget {
    /// Creates a full budget.
    pub(crate) fn new(max_tokens: f64) -> Self {
        Self {
            tokens: max_tokens,
            max_tokens,
            max_debt: 0.0,
        }
    }

    /// Allows an overdraft of up to `max_debt` tokens.
    pub(crate) fn with_max_debt(mut self, max_debt: f64) -> Self {
        self.max_debt = max_debt;
        self
    }

    /// Changes the maximum number of accumulated tokens. Tokens above it are discarded.
    pub(crate) fn set_max_tokens(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Adds `share` of a token.
    pub(crate) fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.max_tokens);
    }

    /// Share of `max_tokens` that is used up.
    pub(crate) fn spent_share(&self) -> f64 {
        (1.0 - self.tokens / self.max_tokens).min(1.0)
    }

    /// Available tokens; negative when overdrawn.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether at least one whole token is available.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Whether a token is available within the overdraft.
    pub(crate) fn may_withdraw(&self) -> bool {
        self.tokens + self.max_debt >= 1.0
    }

    /// Takes one token. Call [`Self::may_withdraw`] first.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
