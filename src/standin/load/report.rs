//! The report of a run.

use indexmap::IndexMap;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::TeamId;
use crate::standin::load::quantiles::Quantiles;
use crate::tokens::Tokens;

/// Refusals by kind, and by what they say of the request.
pub(crate) type Refusals = IndexMap<String, IndexMap<String, u64>>;

/// What came of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// What the run's keys begin with.
    pub run: String,
    /// Where chance started.
    pub seed: u64,
    /// How long the callers took, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests that would have gone beyond the scenario's `max_open`, and were not sent.
    pub not_offered: usize,
    /// Tries, of all requests together.
    pub attempts: u64,
    /// Requests whose callers have the whole answer.
    pub whole: u64,
    /// Requests whose callers gave up without knowing.
    pub unknown: u64,
    /// Requests that ended refused, by kind and then by what the refusal says of the request.
    pub refused: Refusals,
    /// All refusals, those included after which the request was sent again.
    pub refusals: Refusals,
    /// Answers that belong to another request, or to none.
    pub wrong_answers: u64,
    /// What the log, the engines and the services show.
    pub found: Found,
    /// From a request's first try to its first token, or to its answer where that is not streamed.
    pub first_token_ms: Quantiles,
    /// Between the tokens of a stream.
    pub between_tokens_ms: Quantiles,
    /// Jain's index over the accounts' shares of whole answers: 1 where each has the same share of what it sent.
    pub jain_accounts: f64,
    /// The same over teams.
    pub jain_teams: f64,
    /// Each account's part.
    pub accounts: Vec<AccountReport>,
    /// Each second's part.
    pub goodput: Vec<Second>,
}

/// What the log, the engines and the services show. What was not named to the tool, or could not be read, stands in
/// `unread`, and the figures that need it are nought.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Found {
    /// What could not be read.
    pub unread: Vec<String>,
    /// Tokens that teams were charged beyond what they prepaid.
    pub overspend_billed: Tokens,
    /// Tokens that engines and services used for teams beyond what they prepaid.
    pub overspend_used: Tokens,
    /// Refusals for a spent budget that the team's unspent budget would have covered, from the attempt's sending to its
    /// refusal, by the log service's time of each record.
    pub false_refusals: u64,
    /// Those of them that it would have covered besides all that open claims reserved: the ones that a router could have
    /// helped.
    pub false_refusals_free: u64,
    /// Tokens charged to a team beyond the first bill of each request.
    pub billed_twice: Tokens,
    /// Whole answers without a bill.
    pub billed_never: u64,
    /// Whole answers whose bill is not what the endpoint said they used.
    pub billed_other: u64,
    /// Requests with more than one bill: runs again after a bill, which are charged as lost or to nobody.
    pub billed_reruns: u64,
    /// Non-idempotent requests that took effect more than once.
    pub ran_twice: u64,
    /// Requests refused as not run that ran all the same.
    pub ran_refused: u64,
    /// Each team's budget.
    pub teams: Vec<TeamReport>,
}

impl Found {
    /// Returns whether what must never happen did not.
    pub fn holds(&self) -> bool {
        let tokens = self.overspend_billed == Tokens::ZERO
            && self.overspend_used == Tokens::ZERO
            && self.billed_twice == Tokens::ZERO;
        tokens && self.billed_never == 0 && self.ran_twice == 0 && self.ran_refused == 0
    }
}

/// One team's budget.
#[derive(Clone, Debug, Serialize)]
pub struct TeamReport {
    /// The team.
    pub team: TeamId,
    /// What it prepaid.
    pub prepaid: Tokens,
    /// What was billed to it.
    pub spent: Tokens,
    /// What it was charged without a bill.
    pub lost: Tokens,
    /// What engines and services used for it.
    pub used: Tokens,
}

/// One account's part.
#[derive(Clone, Debug, Serialize)]
pub struct AccountReport {
    /// The account.
    pub account: AccountId,
    /// Its team.
    pub team: TeamId,
    /// Requests that it sent.
    pub sent: u64,
    /// Requests whose whole answers it has.
    pub whole: u64,
    /// Requests that ended refused.
    pub refused: u64,
    /// Requests that it gave up without knowing.
    pub unknown: u64,
    /// From a request's first try to its first token, or to its answer where that is not streamed.
    pub wait_ms: Quantiles,
}

/// What ended within one second of the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Which one, from 0.
    pub second: u64,
    /// Whole answers.
    pub whole: u64,
    /// Their tokens, prompts included.
    pub tokens: u64,
    /// Requests that ended refused.
    pub refused: u64,
    /// Requests given up.
    pub unknown: u64,
}
