//! The plain service's HTTP interface.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use salvo::Router;
use salvo::http::Method;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::standin::server;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::server::Started;
use crate::standin::service::calls::Recorded;
use crate::standin::service::calls::Service;
use crate::standin::time::pause_ms;
use crate::standin::time::wall_ms;

impl Service {
    /// Serves it on a listener, for ever.
    pub fn serve(self, listener: TcpListener) -> impl Future<Output = ()> {
        server::serve(listener, routes(self))
    }
}

/// Starts a plain service on the caller's loop.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start_service(address: SocketAddr) -> io::Result<Started> {
    server::start(address, routes(Service::new()))
}

fn routes(service: Service) -> Router {
    let service = Arc::new(service);
    let calls = Router::with_path("_calls").get(Action::new(&service, calls));
    let faults = service.switch.routes("_faults");
    let any = Router::with_path("v1/{**rest}").goal(Action::new(&service, take));
    Router::new().push(calls).push(faults).push(any)
}

async fn take(service: Arc<Service>, call: Call) -> Result<Reply, Reply> {
    service.switch.check()?;
    let faults = service.switch.faults();
    pause_ms(faults.delay_ms).await;
    if service.switch.strikes(faults.error_rate) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(Reply::error(status, "refused without effect"));
    }
    let lost = service.switch.strikes(faults.lose_answer);
    let number = service.record(recorded(&call));
    if lost {
        return Ok(Reply::Cut);
    }
    let status = match call.method {
        Method::POST => StatusCode::CREATED,
        _ => StatusCode::OK,
    };
    Ok(Reply::json(status, &json!({"recorded": number})))
}

fn recorded(call: &Call) -> Recorded {
    Recorded {
        id: call.header("x-request-id"),
        key: call.header("idempotency-key"),
        method: call.method.to_string(),
        path: call.path.clone(),
        body_hash: format!("{:016x}", xxh3_64(&call.body)),
        at: wall_ms(),
    }
}

async fn calls(service: Arc<Service>, _call: Call) -> Result<Reply, Reply> {
    Ok(Reply::ok(&service.calls()))
}
