//! One request's life at its caller: where it goes, when it is sent again, and when its caller gives up.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::http_client::HttpClient;
use crate::standin::load::ask::Ask;
use crate::standin::load::book::Book;
use crate::standin::load::job::Job;
use crate::standin::load::outcome::End;
use crate::standin::load::outcome::Outcome;
use crate::standin::load::outcome::Refusal;
use crate::standin::load::outcome::Reply;
use crate::standin::load::scenario::AccountLoad;

/// The longest rest before a request is sent again that no router said a time for.
const REST: Duration = Duration::from_millis(200);

/// Refusals that no later try will change.
const FINAL: [&str; 9] = [
    "malformed",
    "too-large",
    "unauthorized",
    "no-route",
    "other-request",
    "quarantined",
    "outcome-unknown",
    "finished",
    "deadline",
];

/// Makes requests of one account.
pub(crate) struct Caller {
    pub(crate) http: HttpClient,
    pub(crate) load: Arc<AccountLoad>,
    pub(crate) books: Vec<Arc<Mutex<Book>>>,
    /// When the load began.
    pub(crate) origin: Instant,
}

/// What a caller does next.
enum Next {
    End(End),
    Again(Duration),
}

/// A request's tries so far.
struct Tries {
    begun: Instant,
    sent: u64,
    refusals: Vec<Refusal>,
    wrong: bool,
    /// Where a refusal sent the caller.
    instead: Option<String>,
    rng: ChaCha8Rng,
}

impl Caller {
    /// Makes one request, as often as it takes.
    pub(crate) async fn call(&self, job: Job) -> Outcome {
        let mut tries = Tries {
            begun: Instant::now(),
            sent: 0,
            refusals: Vec::new(),
            wrong: false,
            instead: None,
            rng: ChaCha8Rng::seed_from_u64(job.seed),
        };
        let mut ask = Ask {
            http: &self.http,
            load: &self.load,
            job: &job,
            patience: Duration::ZERO,
            first: None,
            gaps: Vec::new(),
        };
        let end = loop {
            let left = self.left(&tries);
            if left.is_zero() {
                break End::Unknown;
            }
            ask.patience = left;
            match self.attempt(&mut ask, &mut tries, job.client).await {
                Next::End(end) => break end,
                Next::Again(rest) => sleep(rest.min(self.left(&tries))).await,
            }
        };
        let (first, gaps) = (ask.first, ask.gaps);
        Outcome {
            end,
            attempts: tries.sent,
            refusals: tries.refusals,
            wrong: tries.wrong,
            first: first.map(|at| at.saturating_duration_since(tries.begun)),
            gaps,
            ended: self.origin.elapsed(),
            job,
        }
    }

    fn left(&self, tries: &Tries) -> Duration {
        let patience = self.load.patience_ms.duration();
        patience.saturating_sub(tries.begun.elapsed())
    }

    async fn attempt(&self, ask: &mut Ask<'_>, tries: &mut Tries, client: usize) -> Next {
        let book = &self.books[client];
        let address = match tries.instead.take() {
            Some(address) => address,
            None => match book.lock().await.address(&self.http).await {
                Some(address) => address,
                None => return Next::Again(REST),
            },
        };
        match ask.send(&address, tries.sent + 1).await {
            Reply::Unsent => {
                book.lock().await.failed(&address);
                Next::Again(tries.rest())
            }
            Reply::Whole(whole) => {
                tries.sent += 1;
                Next::End(End::Whole(whole))
            }
            Reply::Broken { wrong } => {
                tries.sent += 1;
                tries.wrong |= wrong;
                book.lock().await.failed(&address);
                match tries.sent >= self.load.tries {
                    true => Next::End(End::Unknown),
                    false => Next::Again(tries.rest()),
                }
            }
            Reply::Refused(refusal) => {
                tries.sent += 1;
                self.refused(tries, refusal)
            }
        }
    }

    /// Follows a refusal: its caller comes back when it was told to, if it still waits then.
    fn refused(&self, tries: &mut Tries, refusal: Refusal) -> Next {
        tries.refusals.push(refusal.clone());
        let rest = refusal.retry.unwrap_or_else(|| tries.rest());
        let last = FINAL.contains(&refusal.kind.as_str()) || tries.sent >= self.load.tries;
        if last || rest >= self.left(tries) {
            return Next::End(End::Refused(refusal));
        }
        tries.instead = refusal.instead;
        Next::Again(rest)
    }
}

impl Tries {
    fn rest(&mut self) -> Duration {
        REST.mul_f64(self.rng.random())
    }
}
