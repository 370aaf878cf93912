//! Routers of a platform with a metadata store, and requests that crash each endpoint that begins to run them.

use std::time::Duration;

use anyhow::Result;
use anyhow::ensure;

use crate::crash_site::Play;
use crate::crash_site::SERVICE;
use crate::crash_site::Sent;
use crate::crash_site::Site;

/// Returns a play of one request that is sent again and again under other names.
fn play(vm: usize, routers: usize, endpoints: usize, harmful_ms: u64) -> Play {
    Play {
        vm,
        routers,
        endpoints,
        sound_interval: Duration::from_millis(12),
        harmful_interval: Duration::from_millis(harmful_ms),
        kind: "idempotent",
        sound: |number| Sent {
            path: format!("{SERVICE}/{number}"),
            headers: String::new(),
        },
        harmful: |_| Sent {
            path: format!("{SERVICE}/poison"),
            headers: String::new(),
        },
        crashes: |head| head.contains("/poison "),
        max_crashes: 3,
    }
}

/// Guards against a request that takes down endpoint after endpoint at a router that is alone.
#[tokio::test]
async fn one_router_refuses_a_request_that_crashes_endpoints() -> Result<()> {
    Site::start(play(200, 1, 3, 130)).await?.check().await
}

/// Guards against a request that takes down endpoint after endpoint by coming to another router each time.
#[tokio::test]
async fn all_routers_refuse_a_request_that_crashes_endpoints() -> Result<()> {
    Site::start(play(202, 3, 3, 130)).await?.check().await?;
    Site::start(play(206, 7, 12, 400)).await?.check().await
}

/// Guards against a router that starts later and is not told which requests crash endpoints.
#[tokio::test]
async fn a_router_that_starts_later_refuses_a_request_that_crashed_endpoints() -> Result<()> {
    let site = Site::start(play(214, 3, 3, 130)).await?;
    site.check().await?;
    let more = site.try_new_router(12).await?;
    println!("measure=crashes-later more={more}");
    ensure!(more == 0, "the new router ran {more} of 12");
    Ok(())
}
