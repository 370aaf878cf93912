//! The log's HTTP interface.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use salvo::Router;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::standin::log::faults::Faults;
use crate::standin::log::options::LogOptions;
use crate::standin::log::service::Log;
use crate::standin::log::service::Page;
use crate::standin::log::stream::Kept;
use crate::standin::server;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::server::Started;
use crate::standin::switch::FaultSet;
use crate::standin::time::pause_ms;

/// How many records a read returns where it does not say.
const READ_MAX: u64 = 1000;

/// The longest that a read waits, in milliseconds.
const MAX_WAIT: u64 = 60_000;

impl Log {
    /// Serves it on a listener, for ever.
    pub fn serve(self, listener: TcpListener) -> impl Future<Output = ()> {
        server::serve(listener, routes(self))
    }
}

/// Starts a log service on the caller's loop.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start_log(address: SocketAddr, options: LogOptions) -> io::Result<Started> {
    server::start(address, routes(Log::new(options)))
}

fn routes(log: Log) -> Router {
    let log = Arc::new(log);
    let records = Router::with_path("v1/streams/{stream}/records")
        .get(Action::new(&log, read))
        .post(Action::new(&log, append));
    let faults = Router::with_path("v1/faults")
        .get(Action::new(&log, show_faults))
        .post(Action::new(&log, set_faults));
    let stats = Router::with_path("v1/stats").get(Action::new(&log, stats));
    Router::new().push(records).push(faults).push(stats)
}

async fn append(log: Arc<Log>, call: Call) -> Result<Reply, Reply> {
    log.switch.check()?;
    let faults = log.switch.faults();
    let Some(wait) = log.queue() else {
        return Ok(Reply::unavailable("too many appends wait", 1));
    };
    if !wait.is_zero() {
        tokio::time::sleep(wait).await;
    }
    pause_ms(faults.append_delay_ms).await;
    if log.switch.strikes(faults.fail_before) {
        return Ok(Reply::unavailable("refused without effect", 1));
    }
    let lost = log.switch.strikes(faults.lose_answer);
    let offset = log.append(call.param("stream"), call.body.clone());
    if lost {
        return Ok(Reply::Cut);
    }
    Ok(Reply::ok(&json!({"offset": offset})))
}

async fn read(log: Arc<Log>, call: Call) -> Result<Reply, Reply> {
    log.switch.check()?;
    let faults = log.switch.faults();
    pause_ms(faults.read_delay_ms).await;
    let stream = call.param("stream");
    let from = call.number("from", 0);
    let wait = Duration::from_millis(call.number("wait_ms", 0).min(MAX_WAIT));
    let mut next = log.watch(stream);
    // Whether the wait ended by an append or by its time makes no difference to what is read then.
    let _ = timeout(wait, next.wait_for(|next| *next > from)).await;
    log.switch.check()?;
    let max = usize::try_from(call.number("max", READ_MAX)).unwrap_or(usize::MAX);
    Ok(page(log.read(stream, from, max)))
}

fn page(page: Page) -> Reply {
    let Page {
        first,
        next,
        records,
    } = page;
    match records {
        Some(records) => {
            let records: Vec<Value> = records.into_iter().map(record).collect();
            Reply::ok(&json!({"first": first, "next": next, "records": records}))
        }
        None => Reply::json(StatusCode::GONE, &json!({"first": first, "next": next})),
    }
}

fn record((offset, kept): (u64, Kept)) -> Value {
    json!({"offset": offset, "at": kept.at, "data": STANDARD.encode(&kept.data)})
}

async fn show_faults(log: Arc<Log>, call: Call) -> Result<Reply, Reply> {
    log.switch.clone().show(call).await
}

async fn set_faults(log: Arc<Log>, call: Call) -> Result<Reply, Reply> {
    let mut set = FaultSet::<Faults>::read(&call)?;
    if let Some(gone) = set.own.let_go_before.take() {
        log.let_go(&gone);
    }
    log.switch.set(set);
    show_faults(log, call).await
}

async fn stats(log: Arc<Log>, _call: Call) -> Result<Reply, Reply> {
    Ok(Reply::ok(&json!({
        "refused": log.refused(),
        "streams": log.stats(),
    })))
}
