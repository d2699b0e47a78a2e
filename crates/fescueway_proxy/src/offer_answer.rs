//! The host's answer to an offer.

use fescueway_core::{LoadReport, Outcome, Refusal};
use http::Response;

use crate::{body::AnswerBody, peer::PeerError};

/// An answer with the outcome of its request.
#[derive(Debug)]
pub struct AnswerWithOutcome {
    /// The answer.
    pub response: Response<AnswerBody>,
    /// The outcome of the request. For a request whose idempotency key was used before, it is the
    /// outcome of the first one.
    pub outcome: Outcome,
}

/// The host's answer to an offer.
#[derive(Debug)]
pub enum OfferAnswer {
    /// The request did not run.
    Refused {
        /// Why the host or the entry refused it.
        refusal: Refusal,
        /// The host's load, when it answered.
        load: Option<LoadReport>,
    },
    /// The backend server answered, or the host for a duplicate request.
    Answered {
        /// The answer.
        answer: AnswerWithOutcome,
        /// The host's load.
        load: LoadReport,
    },
    /// The request was handed over and its answer was lost.
    Lost {
        /// The host's load, when it answered.
        load: Option<LoadReport>,
        /// The connection's error, when the host did not answer.
        error: Option<PeerError>,
    },
}

impl OfferAnswer {
    /// An answer that the request was refused and did not run.
    #[must_use]
    pub fn refused(refusal: Refusal, load: Option<LoadReport>) -> Self {
        Self::Refused { refusal, load }
    }
}
