//! What became of an offer.

use fescueway_core::{LoadReport, Outcome, Refusal};
use http::Response;

use crate::{body::AnswerBody, peer::PeerError};

/// An answer with what became of its request.
#[derive(Debug)]
pub struct AnswerWithOutcome {
    /// The answer.
    pub response: Response<AnswerBody>,
    /// What became of the request. A request whose key was used before is answered with what
    /// became of the first one.
    pub outcome: Outcome,
}

/// What became of an offer.
#[derive(Debug)]
pub enum OfferAnswer {
    /// The request did not run.
    Refused {
        /// Why.
        refusal: Refusal,
        /// The host's load, when it answered.
        load: Option<LoadReport>,
    },
    /// The backend server answers.
    Answered {
        /// Its answer.
        answer: AnswerWithOutcome,
        /// The host's load.
        load: LoadReport,
    },
    /// The request was handed over and its answer was lost.
    Lost {
        /// The host's load, when it answered.
        load: Option<LoadReport>,
        /// What went wrong on the way to the host, when it did not answer.
        error: Option<PeerError>,
    },
}

impl OfferAnswer {
    /// The request did not run.
    #[must_use]
    pub fn refused(refusal: Refusal, load: Option<LoadReport>) -> Self {
        Self::Refused { refusal, load }
    }
}
