//! What the log, the engines and the services say happened, whatever callers and routers say.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::http_client::HttpClient;
use crate::ids::Offset;
use crate::ids::RequestKey;
use crate::ids::TeamId;
use crate::ledger::Ledger;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::decode;
use crate::settings::BaseUrl;
use crate::standin::load::options::LoadOptions;
use crate::standin::load::outcome::End;
use crate::standin::load::outcome::Outcome;
use crate::standin::load::scenario::Scenario;
use crate::standin::load::timeline::Timeline;
use crate::tokens::Tokens;

/// How long one read may take.
const READ: Duration = Duration::from_secs(10);

/// How long to wait before looking again whether all has come to rest.
const REST: Duration = Duration::from_millis(200);

/// An engine's run.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Ran {
    /// The request, `account/key`.
    pub(crate) key: Option<String>,
    /// The team that it ran for.
    pub(crate) team: Option<String>,
    pub(crate) prompt_tokens: u64,
    pub(crate) generated: u64,
    pub(crate) state: String,
}

/// A call that took effect at a plain service.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Called {
    /// The request, `account/key`.
    pub(crate) key: Option<String>,
    pub(crate) method: String,
}

#[derive(Deserialize)]
struct Page {
    records: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    offset: Offset,
    at: u64,
    data: String,
}

/// All that was found.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    /// The ledger's state; without a log there is none.
    pub(crate) ledger: Option<Ledger>,
    /// Each team's budget over time.
    pub(crate) timelines: IndexMap<TeamId, Timeline>,
    /// The bills of each request that the fold took, in order.
    pub(crate) bills: IndexMap<RequestKey, Vec<Tokens>>,
    /// What engines ran.
    pub(crate) runs: Vec<Ran>,
    /// What took effect at each service, in order.
    pub(crate) calls: Vec<Vec<Called>>,
    /// What could not be read, in words.
    pub(crate) unread: Vec<String>,
}

impl Audit {
    /// Reads the log, the engines and the services, once they have come to rest or the time for that is over.
    pub(crate) async fn take(
        options: &LoadOptions,
        scenario: &Scenario,
        outcomes: &[Outcome],
    ) -> Self {
        let http = HttpClient::new(None);
        let until = Instant::now() + scenario.settle_ms.duration();
        loop {
            let audit = Self::read(&http, options).await;
            if audit.rests(scenario, outcomes) || Instant::now() >= until {
                return audit;
            }
            sleep(REST).await;
        }
    }

    async fn read(http: &HttpClient, options: &LoadOptions) -> Self {
        let mut audit = Self::default();
        for engine in &options.engines {
            match get::<Vec<Ran>>(http, &format!("{engine}/v1/runs")).await {
                Ok(runs) => audit.runs.extend(runs),
                Err(error) => audit.unread.push(error),
            }
        }
        for service in &options.services {
            match get::<Vec<Called>>(http, &format!("{service}/_calls")).await {
                Ok(calls) => audit.calls.push(calls),
                Err(error) => audit.unread.push(error),
            }
        }
        // The log is read last: whatever ran before this read had its claim in the log before that.
        if let Some(log) = options.log
            && let Err(error) = audit.fold(http, log).await
        {
            audit.unread.push(error);
        }
        audit
    }

    async fn fold(&mut self, http: &HttpClient, log: BaseUrl) -> Result<(), String> {
        let mut ledger = Ledger::default();
        loop {
            let from = ledger.next();
            let url = format!("{log}/v1/streams/ledger-0/records?from={from}&max=1000");
            let page: Page = get(http, &url).await?;
            if page.records.is_empty() {
                break;
            }
            for row in page.records {
                self.take_row(&mut ledger, &row)?;
            }
        }
        self.ledger = Some(ledger);
        Ok(())
    }

    fn take_row(&mut self, ledger: &mut Ledger, row: &Row) -> Result<(), String> {
        let bytes = BASE64_STANDARD
            .decode(&row.data)
            .map_err(|error| format!("the record at {}: {error}", row.offset))?;
        let Ok(batch) = decode(&bytes) else {
            ledger.skip(row.offset);
            return Ok(());
        };
        let verdicts = ledger.apply(row.offset, row.at, &batch);
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            if let (Record::Bill { key, amount, .. }, Verdict::Accepted) = (record, verdict) {
                self.bills.entry(key.clone()).or_default().push(*amount);
            }
        }
        for (team, state) in ledger.teams() {
            let holdings = ledger.routers().map(|(id, _)| ledger.holding(id, team));
            let claimed = holdings.map(|holding| holding.claimed).sum();
            let timeline = self.timelines.entry(team.clone()).or_default();
            timeline.note(row.at, state, claimed);
        }
        Ok(())
    }

    /// Returns whether nothing runs any more, no claim of this run's requests is open and each whole answer is billed.
    fn rests(&self, scenario: &Scenario, outcomes: &[Outcome]) -> bool {
        if self.runs.iter().any(|run| run.state == "running") {
            return false;
        }
        let Some(ledger) = &self.ledger else {
            return self.unread.is_empty();
        };
        outcomes.iter().all(|outcome| {
            let Some(state) = ledger.key(&request_key(scenario, outcome)) else {
                return !matches!(outcome.end, End::Whole(_));
            };
            state.claim.is_none() && (state.bill.is_some() || !matches!(outcome.end, End::Whole(_)))
        })
    }
}

/// Returns a request's key, as the ledger has it.
///
/// # Panics
///
/// Never: the tool's own keys are printable and short.
pub(crate) fn request_key(scenario: &Scenario, outcome: &Outcome) -> RequestKey {
    RequestKey {
        account: scenario.accounts[outcome.job.account].name.clone(),
        key: outcome.job.key.parse().expect("it is a good key"),
    }
}

async fn get<T>(http: &HttpClient, url: &str) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let answer = http.get(url, READ).await;
    let answer = answer.map_err(|error| format!("{url}: {error}"))?;
    if !answer.status.is_success() {
        return Err(format!("{url}: {}", answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| format!("{url}: {error}"))
}
