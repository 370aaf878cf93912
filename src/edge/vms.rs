//! The VM list.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::edge::desk::Desk;
use crate::router::Event;
use crate::settings::BaseUrl;
use crate::vms::VmList;

/// How often the list is read: a leaving endpoint gets no new work after a few seconds, and the list itself lags.
const EVERY: Duration = Duration::from_millis(1000);

/// How long a read may take.
const READ: Duration = Duration::from_millis(2000);

/// Reads the VM list for ever.
pub(crate) async fn follow(url: BaseUrl, desk: Arc<Desk>) {
    let url = format!("{url}/v1/vms");
    loop {
        if let Some(list) = read(&desk, &url).await {
            desk.tell(Event::VmList(list));
        }
        sleep(EVERY).await;
    }
}

async fn read(desk: &Desk, url: &str) -> Option<VmList> {
    let answer = desk.http.get(url, READ).await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}
