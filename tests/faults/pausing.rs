//! A site of several routers, whose endpoints can be paused: they accept connections but read nothing until they go on.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use jasmineridge::HttpClient;
use jasmineridge::Proxy;
use jasmineridge::start_proxy;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

pub(crate) const SERVICE: &str = "records";

/// Holds back what is sent to endpoints.
pub(crate) const STALL: &str = r#"{"drop_to": true}"#;

/// How long a router that was killed is down.
pub(crate) const DOWN: Duration = Duration::from_millis(300);

/// What a site consists of.
pub(crate) struct Plan {
    /// The number of the first router's VM, which no other test uses, nor those that follow.
    pub(crate) first_vm: usize,
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    /// The interval of the requests.
    pub(crate) interval: Duration,
    /// The routers' settings beside the usual ones.
    pub(crate) settings: Value,
}

/// The routers, their links to the endpoints, and what pauses the endpoints.
pub(crate) struct Site {
    pub(crate) routers: Vec<Router>,
    plan: Plan,
    /// Where each router reaches the store.
    stores: Vec<SocketAddr>,
    http: HttpClient,
    /// How many endpoints are paused.
    paused: watch::Sender<usize>,
    /// The control address of the proxy that has all links to endpoints.
    links: SocketAddr,
}

/// Answers the requests on a connection, none of which has a body. Nothing is read while the endpoint is paused.
async fn serve<A>(
    mut stream: TcpStream,
    number: usize,
    mut paused: watch::Receiver<usize>,
    answer: Arc<A>,
) -> Result<()>
where
    A: Fn(usize, &str) -> String,
{
    loop {
        stream.peek(&mut [0]).await?;
        paused.wait_for(|paused| number >= *paused).await?;
        let head = read_head(&mut stream).await?;
        // A check of whether the endpoint is healthy has no name.
        let text = match header(&head, "request-id") {
            None => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Some(id) => {
                let head = answer(number, id);
                format!("HTTP/1.1 {head}\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n")
            }
        };
        stream.write_all(text.as_bytes()).await?;
    }
}

/// Returns the name of a router's link to an endpoint.
fn link_name(router: usize, endpoint: usize) -> String {
    format!("{router}-{endpoint}")
}

impl Site {
    /// Starts a site. `answer` is called with an endpoint's number and a request's name when the endpoint has read the
    /// request, and returns the status line and the headers of the answer.
    pub(crate) async fn start<A>(plan: Plan, answer: A) -> Result<Self>
    where
        A: Fn(usize, &str) -> String + Send + Sync + 'static,
    {
        let answer = Arc::new(answer);
        let (store, _) = Store::start().await?;
        let proxy = Proxy::new();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let paused = watch::Sender::new(0);
        let mut endpoints = Vec::new();
        for number in 0..plan.endpoints {
            let (answer, paused) = (answer.clone(), paused.subscribe());
            let serve = move |stream| serve(stream, number, paused.clone(), answer.clone());
            endpoints.push(start_endpoint(serve).await?);
        }
        put_config(&store, &[route(SERVICE, "idempotent")]);
        let mut stores = Vec::new();
        let mut routers = Vec::new();
        for router in 0..plan.routers {
            let (view, at) = store.start_view(&router.to_string()).await?;
            for (number, endpoint) in endpoints.iter().enumerate() {
                let link = proxy.link(&link_name(router, number), any_port, *endpoint)?;
                put_endpoint(&view, &format!("i-{number}"), SERVICE, link);
            }
            stores.push(at);
            routers.push(Router::start(plan.first_vm + router, at, &plan.settings)?);
        }
        let site = Self {
            routers,
            plan,
            stores,
            http: HttpClient::default(),
            paused,
            links: start_proxy(any_port, proxy)?.address,
        };
        wait_for("all routers are listed", LIMIT, async || {
            Ok(store.count("keyed.routers") == site.plan.routers)
        })
        .await?;
        for router in &site.routers {
            router.wait_serving(SERVICE).await?;
        }
        Ok(site)
    }

    /// Sends requests to the routers in turn, without waiting for answers; `record` is called for each.
    pub(crate) async fn send_requests<R>(&self, length: Duration, mut record: R)
    where
        R: FnMut(),
    {
        let mut ticks = interval(self.plan.interval);
        let begin = Instant::now();
        let mut number = 0;
        while begin.elapsed() < length {
            ticks.tick().await;
            let front = self.routers[number % self.plan.routers].front;
            let name = format!("r{number}");
            record();
            let path = format!("{SERVICE}/{name}");
            tokio::spawn(async move { ask(front, &path, &name).await });
            number += 1;
        }
    }

    pub(crate) async fn pause_routers(&self, length: Duration) -> Result<()> {
        for router in &self.routers {
            router.process.signal("STOP")?;
        }
        sleep(length).await;
        for router in &self.routers {
            router.process.signal("CONT")?;
        }
        Ok(())
    }

    /// Pauses the first endpoints.
    pub(crate) async fn pause_endpoints(&self, count: usize, length: Duration) {
        self.paused.send_replace(count);
        sleep(length).await;
        self.paused.send_replace(0);
    }

    /// Kills a router, and starts it again on the same VM.
    pub(crate) async fn restart(&self, router: usize) -> Result<Router> {
        self.routers[router].process.signal("KILL")?;
        sleep(DOWN).await;
        let vm = self.plan.first_vm + router;
        Router::start(vm, self.stores[router], &self.plan.settings)
    }

    /// Disturbs all links of some routers to endpoints.
    pub(crate) async fn disturb_links(
        &self,
        routers: Range<usize>,
        faults: &'static str,
        length: Duration,
    ) -> Result<()> {
        for (faults, then) in [(faults, length), ("{}", Duration::ZERO)] {
            let links = routers.clone().flat_map(|router| {
                (0..self.plan.endpoints).map(move |endpoint| link_name(router, endpoint))
            });
            for link in links {
                let url = format!("http://{}/v1/links/{link}/faults", self.links);
                self.http
                    .post(&url, Bytes::from_static(faults.as_bytes()), LIMIT)
                    .await?;
            }
            sleep(then).await;
        }
        Ok(())
    }
}
