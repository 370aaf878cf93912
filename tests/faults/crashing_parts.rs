//! Routers of a platform with a metadata store, and requests with a part of their prompts that crashes each endpoint that
//! begins to answer them.

use std::time::Duration;

use anyhow::Result;
use anyhow::ensure;

use crate::crash_site::Play;
use crate::crash_site::SERVICE;
use crate::crash_site::Sent;
use crate::crash_site::Site;

/// Returns a request that shares its first part with all others, and its second one with some.
fn request(number: usize, second: &str) -> Sent {
    Sent {
        path: format!("{SERVICE}/{number}"),
        headers: format!(
            "model: m\r\ntoken-counts: 1300,80\r\nprompt-prefix: a1:800,{second}:400,{number:x}f:100\r\n"
        ),
    }
}

/// Returns a play of requests no two of which are alike.
fn play(vm: usize, routers: usize, endpoints: usize) -> Play {
    Play {
        vm,
        routers,
        endpoints,
        sound_interval: Duration::from_millis(25),
        harmful_interval: Duration::from_millis(210),
        kind: "streaming",
        sound: |number| request(number, ["b1", "b2", "b3"][number % 3]),
        harmful: |number| request(number, "bad"),
        crashes: |head| head.contains(",bad:"),
        max_crashes: 5,
    }
}

/// Guards against a part that takes down endpoint after endpoint at a router that is alone.
#[tokio::test]
async fn one_router_refuses_a_part_that_crashes_endpoints() -> Result<()> {
    Site::start(play(220, 1, 6)).await?.check().await
}

/// Guards against a part that takes down endpoint after endpoint because no router sees enough crashes.
#[tokio::test]
async fn all_routers_refuse_a_part_that_crashes_endpoints() -> Result<()> {
    Site::start(play(222, 3, 6)).await?.check().await?;
    Site::start(play(226, 7, 12)).await?.check().await
}

/// Guards against a router that starts later and is not told which parts crash endpoints.
#[tokio::test]
async fn a_router_that_starts_later_refuses_a_part_that_crashed_endpoints() -> Result<()> {
    let site = Site::start(play(234, 3, 6)).await?;
    site.check().await?;
    let more = site.try_new_router(12).await?;
    println!("measure=crashes-later more={more}");
    ensure!(more == 0, "the new router ran {more} of 12");
    Ok(())
}
