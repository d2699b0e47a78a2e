//! A budget that earns a share of a token with each event and spends whole ones.

/// A budget that earns a share of a token with each event and spends whole ones, so that over
/// any stretch the spending is at most that share of the events, plus the reserve.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferBudget {
    /// Tokens in hand, from 0 to `reserve`.
    tokens: f64,
    /// Tokens that can be saved up.
    reserve: f64,
}

impl OfferBudget {
    /// A full budget.
    pub(crate) fn new(reserve: f64) -> Self {
        Self {
            tokens: reserve,
            reserve,
        }
    }

    /// Adds `share` of a token.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.reserve);
    }

    /// Whether a whole token is in hand.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one token. Whether there was one.
    pub(crate) fn spend(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
