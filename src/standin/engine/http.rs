//! The engine's HTTP interface.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use salvo::Router;
use tokio::net::TcpListener;

use crate::standin::engine::chat;
use crate::standin::engine::kv;
use crate::standin::engine::load;
use crate::standin::engine::options::EngineOptions;
use crate::standin::engine::orders;
use crate::standin::engine::state::Engine;
use crate::standin::server;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::server::Started;

impl Engine {
    /// Serves it on a listener, for ever.
    pub fn serve(self, listener: TcpListener) -> impl Future<Output = ()> {
        server::serve(listener, routes(self))
    }
}

/// Starts a model engine on the caller's loop.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start_engine(address: SocketAddr, options: EngineOptions) -> io::Result<Started> {
    server::start(address, routes(Engine::new(options)))
}

fn routes(engine: Engine) -> Router {
    let engine = Arc::new(engine);
    Router::new()
        .push(request_routes(&engine))
        .push(cache_routes(&engine))
        .push(order_routes(&engine))
        .push(engine.switch.routes("v1/faults"))
}

fn request_routes(engine: &Arc<Engine>) -> Router {
    let complete = Router::with_path("v1/chat/completions");
    let resume = Router::with_path("v1/requests/{id}/stream");
    let cancel = Router::with_path("v1/requests/{id}/cancel");
    let runs = Router::with_path("v1/runs");
    Router::new()
        .push(complete.post(Action::new(engine, chat::complete)))
        .push(resume.get(Action::new(engine, chat::resume)))
        .push(cancel.post(Action::new(engine, chat::cancel)))
        .push(runs.get(Action::new(engine, show_runs)))
}

fn cache_routes(engine: &Arc<Engine>) -> Router {
    let events = Router::with_path("v1/cache/events");
    let export = Router::with_path("v1/kv/export");
    let import = Router::with_path("v1/kv/import");
    let load = Router::with_path("v1/load");
    Router::new()
        .push(events.get(Action::new(engine, kv::events)))
        .push(export.post(Action::new(engine, kv::export)))
        .push(import.post(Action::new(engine, kv::import)))
        .push(load.get(Action::new(engine, load::report)))
}

fn order_routes(engine: &Arc<Engine>) -> Router {
    Router::with_path("v1/orders")
        .get(Action::new(engine, orders::history))
        .post(Action::new(engine, orders::order))
}

/// Answers with each run, whatever is out of order: it serves those who verify, not callers.
async fn show_runs(engine: Arc<Engine>, _call: Call) -> Result<Reply, Reply> {
    Ok(Reply::ok(&engine.runs.shown()))
}
