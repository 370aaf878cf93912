//! Scenarios: who calls, how often and for what.

use serde::Deserialize;
use serde_json::Value;

use crate::field;
use crate::field::FieldError;
use crate::ids::AccountId;
use crate::ids::ModelId;
use crate::ids::TeamId;
use crate::labels::Labels;
use crate::settings::Millis;
use crate::tokens::Tokens;

/// A load to put on a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The load pattern, for people.
    #[serde(default)]
    pub about: String,
    /// Where chance starts.
    pub seed: u64,
    /// Who calls.
    pub accounts: Vec<AccountLoad>,
    /// The most requests in progress; what would go beyond is not sent, and counted.
    #[serde(default = "Scenario::open")]
    pub max_open: usize,
    /// How long the ledger may take to come to rest once the callers are done.
    #[serde(default = "Scenario::settle")]
    pub settle_ms: Millis,
    /// The fleet that a harness starts for it; whoever drives a running fleet passes it over.
    #[serde(default)]
    pub fleet: Value,
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// With the first field that is wrong or unknown.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        field::read_json(text.as_bytes())
    }

    fn open() -> usize {
        4096
    }

    fn settle() -> Millis {
        Millis(5_000)
    }
}

/// What one client account does.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Its name, as the configuration spells it.
    pub name: AccountId,
    /// Its bearer key.
    pub key: String,
    /// The team that pays for it, by the fleet's rules.
    pub team: TeamId,
    /// The model that it asks.
    #[serde(default = "AccountLoad::model")]
    pub model: ModelId,
    /// How many programs call for it, each with its own advised address.
    #[serde(default = "AccountLoad::clients")]
    pub clients: usize,
    /// What it does, one phase after another.
    pub phases: Vec<Phase>,
    /// What it asks.
    #[serde(default)]
    pub prompt: PromptShape,
    /// The most tokens of an answer.
    #[serde(default = "AccountLoad::max_tokens")]
    pub max_tokens: Tokens,
    /// The share of completions that are streamed.
    #[serde(default = "AccountLoad::stream")]
    pub stream: f64,
    /// The priority that its requests ask for.
    #[serde(default)]
    pub priority: Option<u8>,
    /// The labels that its requests carry.
    #[serde(default)]
    pub labels: Labels,
    /// How long a caller waits in all before it gives up.
    #[serde(default = "AccountLoad::patience")]
    pub patience_ms: Millis,
    /// How long a caller waits for a sign of life before it tries elsewhere.
    #[serde(default = "AccountLoad::silence")]
    pub silence_ms: Millis,
    /// How often a request is sent at the most.
    #[serde(default = "AccountLoad::tries")]
    pub tries: u64,
    /// The share of requests that are sent again under the key of an earlier one, as by an impatient program.
    #[serde(default)]
    pub same_key: f64,
    /// Its calls of a plain service.
    #[serde(default)]
    pub service: Option<ServiceShare>,
}

impl AccountLoad {
    fn model() -> ModelId {
        "demo".parse().expect("it is a name")
    }

    fn clients() -> usize {
        8
    }

    fn max_tokens() -> Tokens {
        Tokens(32)
    }

    fn stream() -> f64 {
        1.0
    }

    fn patience() -> Millis {
        Millis(30_000)
    }

    fn silence() -> Millis {
        Millis(10_000)
    }

    fn tries() -> u64 {
        4
    }
}

/// A time with one kind of load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// How long.
    pub for_ms: Millis,
    /// Requests a second that arrive by chance, however slow the answers are.
    #[serde(default)]
    pub rate: f64,
    /// Callers that each send the next request once they have the answer to the last.
    #[serde(default)]
    pub callers: usize,
    /// How long such a caller rests in between.
    #[serde(default = "Phase::think")]
    pub think_ms: Millis,
}

impl Phase {
    fn think() -> Millis {
        Millis(0)
    }
}

/// What prompts look like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PromptShape {
    /// The fewest and the most words of its own.
    pub words: [usize; 2],
    /// How many words it shares with others before its own.
    pub shared: usize,
    /// How many such shared beginnings there are.
    pub prefixes: u64,
}

impl Default for PromptShape {
    fn default() -> Self {
        Self {
            words: [8, 32],
            shared: 0,
            prefixes: 1,
        }
    }
}

/// Calls of a plain service among an account's requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// The service.
    pub name: String,
    /// The share of the account's requests that go to it.
    pub share: f64,
    /// The share of those that may be repeated.
    #[serde(default)]
    pub repeatable: f64,
    /// What a call costs, by the configuration.
    pub price: Tokens,
}
