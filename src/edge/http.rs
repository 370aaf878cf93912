//! The HTTP interface: its paths, and what all of a caller's requests have in their heads.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use salvo::Request;
use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::ParseError;
use tokio::net::TcpListener;

use crate::edge::admin;
use crate::edge::call::Calls;
use crate::edge::chat::Chat;
use crate::edge::desk::Desk;
use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::IdempotencyKey;
use crate::ids::RequestId;
use crate::labels::Labels;
use crate::router::Arrival;
use crate::router::Event;
use crate::router::Problem;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Secret;
use crate::router::Work;

const KEY: &str = "idempotency-key";
const ATTEMPT: &str = "jasmineridge-attempt";
const LABELS: &str = "jasmineridge-labels";
const DEADLINE: &str = "jasmineridge-deadline-ms";
const PRIORITY: &str = "jasmineridge-priority";

/// The most labels that a caller may attach: rules look at a handful.
const MAX_LABELS: usize = 16;

/// Serves callers and operators.
pub(crate) async fn serve(listener: TcpListener, desk: Arc<Desk>) {
    let Ok(acceptor) = TcpAcceptor::try_from(listener) else {
        return;
    };
    let limits = &desk.limits;
    let mut server = Server::new(acceptor)
        .disable_fuse()
        .max_connections(limits.connections);
    server
        .http1_mut()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(limits.header_ms.duration())
        .max_buf_size(limits.header_bytes);
    server.serve(routes(&desk)).await;
}

fn routes(desk: &Arc<Desk>) -> Router {
    let chat = Router::with_path("v1/chat/completions").post(Chat(desk.clone()));
    let calls = Router::with_path("v1/services/{name}/{**rest}").goal(Calls(desk.clone()));
    Router::new()
        .push(chat)
        .push(calls)
        .push(admin::routes(desk))
}

/// What the head of a caller's request says to the router.
pub(crate) struct Head {
    pub(crate) bearer: Secret,
    pub(crate) key: IdempotencyKey,
    pub(crate) attempt: Attempt,
    pub(crate) labels: Labels,
    pub(crate) patience: Option<Duration>,
    pub(crate) priority: Option<u8>,
}

impl Head {
    /// Reads it.
    ///
    /// # Errors
    ///
    /// When a header is missing or can't be read.
    pub(crate) fn read(req: &Request) -> Result<Self, Problem> {
        let missing = "the header Idempotency-Key is missing; choose a key for each request";
        let key = header(req, KEY)?.ok_or_else(|| malformed(missing))?;
        let key = key
            .parse()
            .map_err(|error| malformed(&format!("the header Idempotency-Key: {error}")))?;
        let attempt = number(req, ATTEMPT)?.unwrap_or(0);
        let labels = read_labels(header(req, LABELS)?.unwrap_or_default())?;
        let patience = number(req, DEADLINE)?.map(Duration::from_millis);
        let priority = number(req, PRIORITY)?.map(|p| u8::try_from(p).unwrap_or(9).min(9));
        Ok(Self {
            bearer: bearer(req),
            key,
            attempt: Attempt(attempt),
            labels,
            patience,
            priority,
        })
    }

    /// Makes the event of a request with this head.
    pub(crate) fn arrival(self, id: RequestId, work: Work, fingerprint: Fingerprint) -> Event {
        Event::RequestArrived(Box::new(Arrival {
            id,
            bearer: self.bearer,
            key: Some(self.key),
            attempt: self.attempt,
            labels: self.labels,
            work,
            fingerprint,
            timeout: self.patience,
            priority: self.priority,
        }))
    }
}

/// Returns the bearer key, or an empty one, which no account has.
pub(crate) fn bearer(req: &Request) -> Secret {
    let value = header(req, "authorization").ok().flatten();
    let key = value.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or("");
    Secret(key.to_owned())
}

fn header<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(malformed(&format!("the header {name} is not ASCII"))),
    }
}

fn number(req: &Request, name: &str) -> Result<Option<u64>, Problem> {
    let Some(value) = header(req, name)? else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| {
        let detail = format!("the header {name} is {value:?}, expected a whole number");
        malformed(&detail)
    })
}

fn read_labels(text: &str) -> Result<Labels, Problem> {
    let mut labels = Labels::default();
    for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let Some((name, value)) = pair.split_once('=') else {
            return Err(malformed(&format!("the label {pair:?} is not name=value")));
        };
        labels.set(name, value);
    }
    match labels.0.len() > MAX_LABELS {
        true => Err(malformed(&format!("more than {MAX_LABELS} labels"))),
        false => Ok(labels),
    }
}

/// Reads a body, up to a size and within a time.
///
/// A caller that sends a byte a second would else hold its memory for hours.
pub(crate) async fn read_body(req: &mut Request, desk: &Desk) -> Result<Bytes, Problem> {
    let most = desk.limits.body_bytes;
    let limit = desk.limits.body_ms.duration();
    match tokio::time::timeout(limit, req.payload_with_max_size(most)).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => {
            let detail = format!("the body has more than {most} bytes");
            Err(Problem::new(ProblemKind::TooLarge, Ran::Unknown, &detail))
        }
        Ok(Err(error)) => Err(malformed(&format!("the body can't be read: {error}"))),
        Err(_) => Err(malformed("the body did not come in time")),
    }
}

/// Refuses a request that can't be read.
pub(crate) fn malformed(detail: &str) -> Problem {
    Problem::new(ProblemKind::Malformed, Ran::Unknown, detail)
}

/// Says that a request that could not be read was not run, where its caller never tried it before.
pub(crate) fn prove(problem: Problem, req: &Request) -> Problem {
    let keyless = req.headers().get(KEY).is_none();
    let first = matches!(number(req, ATTEMPT), Ok(Some(1)));
    match keyless || first {
        true => Problem {
            ran: Ran::No,
            ..problem
        },
        false => problem,
    }
}
