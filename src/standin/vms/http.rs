//! The VM list's HTTP interface.

use std::fs;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use salvo::Router;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;

use crate::ids::VmId;
use crate::standin::server;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::server::Started;
use crate::standin::time::pause_ms;
use crate::standin::vms::options::VmsOptions;
use crate::standin::vms::registry::Vms;
use crate::vms::VmEntry;

impl Vms {
    /// Starts with the list of the options' file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or holds no list.
    pub fn from_options(options: &VmsOptions) -> io::Result<Self> {
        let first = match &options.file {
            Some(file) => read_file(file)?,
            None => Vec::new(),
        };
        Ok(Self::new(Duration::from_millis(options.lag_ms), first))
    }

    /// Serves it on a listener, for ever.
    pub fn serve(self, listener: TcpListener) -> impl Future<Output = ()> {
        server::serve(listener, routes(self))
    }
}

fn read_file(file: &Path) -> io::Result<Vec<VmEntry>> {
    let text = fs::read(file)?;
    serde_json::from_slice(&text).map_err(io::Error::other)
}

/// Starts a VM list on the caller's loop.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start_vms(address: SocketAddr, vms: Vms) -> io::Result<Started> {
    server::start(address, routes(vms))
}

fn routes(vms: Vms) -> Router {
    let vms = Arc::new(vms);
    let list = Router::with_path("v1/vms").get(Action::new(&vms, list));
    let entry = Router::with_path("v1/vms/{vm}")
        .put(Action::new(&vms, put))
        .delete(Action::new(&vms, delete));
    let faults = vms.switch.routes("v1/faults");
    Router::new().push(list).push(entry).push(faults)
}

async fn list(vms: Arc<Vms>, _call: Call) -> Result<Reply, Reply> {
    vms.switch.check()?;
    let faults = vms.switch.faults();
    pause_ms(faults.delay_ms).await;
    Ok(Reply::ok(&vms.list()))
}

async fn put(vms: Arc<Vms>, call: Call) -> Result<Reply, Reply> {
    let entry: VmEntry = call.json()?;
    if entry.vm.as_str() != call.param("vm") {
        return Err(Reply::bad_request(&"the path names another VM"));
    }
    vms.put(entry);
    Ok(Reply::ok(&json!({})))
}

async fn delete(vms: Arc<Vms>, call: Call) -> Result<Reply, Reply> {
    let vm: VmId = call
        .param("vm")
        .parse()
        .map_err(|error| Reply::bad_request(&error))?;
    if vms.delete(&vm) {
        return Ok(Reply::ok(&json!({})));
    }
    Err(Reply::error(StatusCode::NOT_FOUND, "no such VM"))
}
