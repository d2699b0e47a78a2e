//! Tokens that an entry holds for requests that have not arrived yet.

use std::{collections::VecDeque, time::Duration};

use fescueway_core::MonoTime;

/// Time after the question was sent at which its tokens expire. Tokens of a window of 5 s were granted
/// within 5.5 s, and so are a tenth more at most than the rate allows.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Tokens that an entry holds for requests that have not arrived yet.
#[derive(Clone, Debug, Default)]
pub struct PrefetchedTokens {
    /// Tokens with the time at which they expire, the earliest first.
    lots: VecDeque<(MonoTime, u16)>,
}

impl PrefetchedTokens {
    /// Adds tokens of a question that was sent at `sent_at`.
    pub fn add(&mut self, sent_at: MonoTime, count: u16) {
        if count > 0 {
            self.lots.push_back((sent_at + TOKEN_LIFETIME, count));
        }
    }

    /// Removes the expired tokens and returns their number.
    pub fn remove_expired(&mut self, now: MonoTime) -> u16 {
        let mut expired = 0_u16;
        self.lots.retain(|(expiry, count)| {
            let is_valid = now < *expiry;
            if !is_valid {
                expired = expired.saturating_add(*count);
            }
            is_valid
        });
        if self.lots.is_empty() {
            self.lots.shrink_to_fit();
        }
        expired
    }

    /// Takes a token. Expired ones must have been removed.
    pub fn try_take(&mut self) -> bool {
        let Some((_, count)) = self.lots.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.lots.pop_front();
        }
        true
    }

    /// Number of tokens.
    #[must_use]
    pub fn count(&self) -> u16 {
        let counts = self.lots.iter().map(|(_, count)| *count);
        counts.fold(0, u16::saturating_add)
    }
}
