//! What callers ask: one request after another, by chance from a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::standin::engine::expected_answer;
use crate::standin::load::scenario::AccountLoad;
use crate::standin::load::scenario::PromptShape;
use crate::tokens::Tokens;

/// How many of the last requests may be sent again under the same key.
const RECENT: usize = 16;

/// What one request asks.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Work {
    /// A completion.
    Completion {
        prompt: String,
        stream: bool,
        body: String,
    },
    /// A call of a plain service.
    Call { path: String, repeatable: bool },
}

/// One request to make.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The account, by its place in the scenario.
    pub(crate) account: usize,
    /// Which of the account's programs makes it.
    pub(crate) client: usize,
    /// Its `Idempotency-Key`.
    pub(crate) key: String,
    /// Whether an earlier request had the same key: its caller cannot count the tries of both.
    pub(crate) repeats: bool,
    /// What it asks.
    pub(crate) work: Work,
    /// What a router has to reserve for it.
    pub(crate) reserve: Tokens,
    /// The most tokens of its answer.
    pub(crate) limit: u64,
    /// What decides its caller's pauses.
    pub(crate) seed: u64,
}

impl Job {
    /// Returns the whole answer to a completion.
    pub(crate) fn expected(&self) -> String {
        match &self.work {
            Work::Completion { prompt, .. } => expected_answer(prompt, self.limit),
            Work::Call { .. } => String::new(),
        }
    }
}

/// Makes an account's requests.
pub(crate) struct Maker {
    account: usize,
    load: AccountLoad,
    run: String,
    rng: ChaCha8Rng,
    next: u64,
    recent: Vec<Job>,
}

impl Maker {
    /// Starts from the scenario's seed; `run` tells this run's keys from another's.
    pub(crate) fn new(account: usize, load: &AccountLoad, run: &str, seed: u64) -> Self {
        Self {
            account,
            load: load.clone(),
            run: run.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ (account as u64 + 1)),
            next: 0,
            recent: Vec::new(),
        }
    }

    /// Returns the time to the next arrival, in seconds: arrivals are independent of each other.
    pub(crate) fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / rate
    }

    /// Makes the next request.
    pub(crate) fn job(&mut self) -> Job {
        if !self.recent.is_empty() && self.rng.random::<f64>() < self.load.same_key {
            return self.again();
        }
        self.next += 1;
        let work = self.work();
        let reserve = self.reserve(&work);
        let job = Job {
            account: self.account,
            client: self.rng.random_range(0..self.load.clients.max(1)),
            key: format!("{}-{}-{}", self.run, self.account, self.next),
            repeats: false,
            work,
            reserve,
            limit: self.load.max_tokens.0,
            seed: self.rng.random(),
        };
        if self.recent.len() == RECENT {
            self.recent.remove(0);
        }
        self.recent.push(job.clone());
        job
    }

    /// Makes an earlier request once more.
    fn again(&mut self) -> Job {
        let at = self.rng.random_range(0..self.recent.len());
        Job {
            client: self.rng.random_range(0..self.load.clients.max(1)),
            repeats: true,
            seed: self.rng.random(),
            ..self.recent[at].clone()
        }
    }

    fn work(&mut self) -> Work {
        if let Some(service) = self.load.service.clone()
            && self.rng.random::<f64>() < service.share
        {
            let repeatable = self.rng.random::<f64>() < service.repeatable;
            let path = format!("/v1/services/{}/v1/items/{}", service.name, self.next);
            return Work::Call { path, repeatable };
        }
        let (shared, own) = self.prompt();
        let stream = self.rng.random::<f64>() < self.load.stream;
        let messages = match shared.is_empty() {
            true => json!([{"role": "user", "content": own}]),
            false => json!([
                {"role": "system", "content": shared},
                {"role": "user", "content": own},
            ]),
        };
        let body = json!({
            "model": self.load.model,
            "stream": stream,
            "max_tokens": self.load.max_tokens,
            "messages": messages,
        });
        let prompt = match shared.is_empty() {
            true => own,
            false => format!("{shared}\n{own}"),
        };
        Work::Completion {
            prompt,
            stream,
            body: body.to_string(),
        }
    }

    /// Returns a prompt's shared beginning and its own words.
    fn prompt(&mut self) -> (String, String) {
        let PromptShape {
            words: [least, most],
            shared,
            prefixes,
        } = self.load.prompt;
        let prefix = self.rng.random_range(0..prefixes.max(1));
        let beginning: Vec<_> = (0..shared).map(|at| format!("s{prefix}w{at}")).collect();
        let count = self.rng.random_range(least..=most.max(least)).max(1);
        let own: Vec<_> = (0..count)
            .map(|_| format!("w{:04x}", self.rng.random::<u16>()))
            .collect();
        (beginning.join(" "), own.join(" "))
    }

    /// Returns what a router has to reserve: the prompt's bytes, which its tokens cannot exceed, and the answer's limit.
    fn reserve(&self, work: &Work) -> Tokens {
        match (work, &self.load.service) {
            (Work::Completion { prompt, .. }, _) => {
                Tokens(prompt.len() as u64 + self.load.max_tokens.0)
            }
            (Work::Call { .. }, service) => service
                .as_ref()
                .map_or(Tokens::ZERO, |service| service.price),
        }
    }
}
