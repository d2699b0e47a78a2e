//! A budget that earns a share of a token with each event and spends whole ones.

/// A budget that earns a share of a token with each event and spends whole ones, so that over
/// any stretch the spending is at most that share of the events, plus reserve and debt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferBudget {
    /// Tokens in hand, from `-debt` to `reserve`.
    tokens: f64,
    /// Tokens that can be saved up.
    reserve: f64,
    /// Tokens that can be owed.
    debt: f64,
}

impl OfferBudget {
    /// A full budget.
    pub(crate) fn new(reserve: f64) -> Self {
        Self {
            tokens: reserve,
            reserve,
            debt: 0.0,
        }
    }

    /// Lets it owe up to `debt` tokens.
    pub(crate) fn with_debt(mut self, debt: f64) -> Self {
        self.debt = debt;
        self
    }

    /// Changes how many tokens can be saved up. What is in hand beyond that is lost.
    pub(crate) fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.tokens = self.tokens.min(reserve);
    }

    /// Adds `share` of a token.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.reserve);
    }

    /// Share of the reserve that is spent.
    pub(crate) fn spent_share(&self) -> f64 {
        (1.0 - self.tokens / self.reserve).min(1.0)
    }

    /// Tokens in hand; below zero when some are owed.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether a whole token is in hand.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one token, in hand or owed. Whether it could.
    pub(crate) fn spend(&mut self) -> bool {
        let may_spend = self.tokens + self.debt >= 1.0;
        if may_spend {
            self.tokens -= 1.0;
        }
        may_spend
    }
}
