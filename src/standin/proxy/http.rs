//! The proxy's control interface.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use salvo::Router;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::standin::proxy::links::Proxy;
use crate::standin::server;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::server::Started;

/// The link whose faults `/v1/faults` sets.
const DEFAULT_LINK: &str = "default";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NewLink {
    name: String,
    listen: SocketAddr,
    to: SocketAddr,
}

impl Proxy {
    /// Serves its control interface on a listener, for ever.
    pub fn serve(self, listener: TcpListener) -> impl Future<Output = ()> {
        server::serve(listener, routes(self))
    }

    /// Adds the link whose faults `/v1/faults` sets, and returns where it listens.
    ///
    /// # Errors
    ///
    /// When there is one already, or the address cannot be bound.
    pub fn link_default(&self, listen: SocketAddr, to: SocketAddr) -> io::Result<SocketAddr> {
        self.link(DEFAULT_LINK, listen, to)
    }
}

/// Starts a proxy's control interface on the caller's loop.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start_proxy(control: SocketAddr, proxy: Proxy) -> io::Result<Started> {
    server::start(control, routes(proxy))
}

fn routes(proxy: Proxy) -> Router {
    let proxy = Arc::new(proxy);
    let links = Router::with_path("v1/links")
        .get(Action::new(&proxy, list))
        .post(Action::new(&proxy, add));
    let link = Router::with_path("v1/links/{name}").delete(Action::new(&proxy, remove));
    Router::new()
        .push(links)
        .push(link)
        .push(fault_routes(&proxy, "v1/links/{name}/faults"))
        .push(fault_routes(&proxy, "v1/faults"))
}

fn fault_routes(proxy: &Arc<Proxy>, path: &str) -> Router {
    Router::with_path(path)
        .get(Action::new(proxy, show_faults))
        .post(Action::new(proxy, set_faults))
}

async fn list(proxy: Arc<Proxy>, _call: Call) -> Result<Reply, Reply> {
    Ok(Reply::ok(&proxy.shown()))
}

async fn add(proxy: Arc<Proxy>, call: Call) -> Result<Reply, Reply> {
    let NewLink { name, listen, to } = call.json()?;
    match proxy.link(&name, listen, to) {
        Ok(address) => Ok(Reply::ok(&json!({"address": address}))),
        Err(error) => Err(Reply::error(StatusCode::CONFLICT, &error.to_string())),
    }
}

async fn remove(proxy: Arc<Proxy>, call: Call) -> Result<Reply, Reply> {
    if proxy.unlink(call.param("name")) {
        return Ok(Reply::ok(&json!({})));
    }
    Err(unknown())
}

async fn show_faults(proxy: Arc<Proxy>, call: Call) -> Result<Reply, Reply> {
    let faults = proxy.faults(name(&call)).ok_or_else(unknown)?;
    Ok(Reply::ok(&faults))
}

async fn set_faults(proxy: Arc<Proxy>, call: Call) -> Result<Reply, Reply> {
    if proxy.set_faults(name(&call), call.json()?) {
        return show_faults(proxy, call).await;
    }
    Err(unknown())
}

fn name(call: &Call) -> &str {
    match call.param("name") {
        "" => DEFAULT_LINK,
        name => name,
    }
}

fn unknown() -> Reply {
    Reply::error(StatusCode::NOT_FOUND, "no such link")
}
