//! Callers that ask on and on while faults come and go.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::caller::Try;
use crate::cluster::Cluster;

/// How long a caller goes on with one request.
const PATIENCE: Duration = Duration::from_secs(12);

/// Callers at work.
pub(crate) struct Load {
    over: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<Vec<Try>>>,
}

impl Load {
    /// Starts callers of a team; each begins at another router and goes on to the next where one fails it.
    pub(crate) fn start(cluster: &Cluster, team: &'static str, count: usize, seed: u64) -> Self {
        let over = Rc::new(Cell::new(false));
        let routers: Vec<SocketAddr> = cluster.routers.iter().map(|r| r.node.address).collect();
        let callers = (0..count).map(|number| {
            let mut routers = routers.clone();
            let mut rng = ChaCha8Rng::seed_from_u64(seed * 1000 + number as u64);
            let journal = cluster.journal.clone();
            let over = over.clone();
            tokio::task::spawn_local(async move {
                let mut last = Vec::new();
                let len = routers.len();
                routers.rotate_left(number % len);
                while !over.get() {
                    let key = format!("{team}-{seed}-{number}-{}", last.len());
                    let ask = match rng.random_bool(0.25) {
                        true => Ask::call(team, &key),
                        false => Ask::chat(team, &key, rng.random_range(5..60)),
                    };
                    last.push(journal.deliver(&routers, &ask, 1, PATIENCE).await);
                    sleep(Duration::from_millis(rng.random_range(10..100))).await;
                }
                last
            })
        });
        let callers = callers.collect();
        Self { over, callers }
    }

    /// Lets the callers end what they began, and returns the last try of each of their requests.
    pub(crate) async fn end(self) -> Result<Vec<Try>> {
        self.over.set(true);
        let mut last = Vec::new();
        for caller in self.callers {
            last.extend(caller.await?);
        }
        let whole = last.iter().filter(|t| t.whole).count();
        println!("requests={} delivered={whole}", last.len());
        Ok(last)
    }
}
