//! The fault-injecting proxy.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use hyper::Method;
use jasmineridge::Proxy;
use jasmineridge::listen;
use jasmineridge::start_proxy;
use jasmineridge::start_service;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::any_port;
use crate::client::Client;

/// How long a test looks on while nothing may happen.
const STILL: Duration = Duration::from_millis(200);

/// A plain service, and the way to it through a proxy.
struct Linked {
    direct: Client,
    linked: Client,
    control: Client,
}

impl Linked {
    fn start() -> Result<Self> {
        let service = start_service(any_port())?;
        let proxy = Proxy::new();
        let address = proxy.link_default(any_port(), service.address)?;
        let control = start_proxy(any_port(), proxy)?;
        Ok(Self {
            direct: Client::new(service.address),
            linked: Client::new(address),
            control: Client::new(control.address),
        })
    }

    async fn set(&self, faults: Value) -> Result<()> {
        let answer = self.control.post("/v1/faults", &faults).await?;
        assert_eq!(answer.status, 200, "{answer:?}");
        Ok(())
    }

    /// Returns how many calls took effect.
    async fn recorded(&self) -> Result<usize> {
        let calls = self.direct.get("/_calls").await?.json;
        Ok(calls.as_array().expect("calls").len())
    }
}

#[tokio::test]
async fn a_link_carries_calls_and_may_be_slow() -> Result<()> {
    let link = Linked::start()?;
    assert_eq!(link.linked.get("/v1/x").await?.status, 200);
    link.set(json!({"delay_ms": 100})).await?;
    let began = Instant::now();
    assert_eq!(link.linked.get("/v1/x").await?.status, 200);
    assert!(began.elapsed() >= Duration::from_millis(200));
    Ok(())
}

/// A link is cut under a live call and stays cut for a while. The call fails at once, new ones fail at once too, and
/// when the link is mended calls go through again.
#[tokio::test]
async fn a_cut_resets_live_and_new_connections() -> Result<()> {
    let link = Linked::start()?;
    link.direct.post("/_faults", &json!({"hang": true})).await?;
    let live = link.linked.get("/v1/x");
    let cut = async {
        sleep(STILL).await;
        link.set(json!({"cut": true})).await
    };
    let (live, cut) = tokio::join!(live, cut);
    cut?;
    assert!(live.is_err());
    assert!(link.linked.get("/v1/x").await.is_err());
    link.direct.post("/_faults", &json!({})).await?;
    link.set(json!({})).await?;
    assert_eq!(link.linked.get("/v1/x").await?.status, 200);
    Ok(())
}

/// Requests to the server are held back by the network. The caller sees neither answer nor error, and the request
/// arrives and is run when the network is mended.
#[tokio::test]
async fn what_is_held_back_on_its_way_arrives_late() -> Result<()> {
    for faults in [json!({"drop_to": true}), json!({"half_open": true})] {
        let link = Linked::start()?;
        link.set(faults).await?;
        let mut call = pin!(link.linked.open(Method::POST, "/v1/x", &[], b"late"));
        assert!(timeout(STILL, &mut call).await.is_err());
        assert_eq!(link.recorded().await?, 0);
        link.set(json!({})).await?;
        assert_eq!(call.await?.status(), 201);
        assert_eq!(link.recorded().await?, 1);
    }
    Ok(())
}

/// Guards against a link that delivers what its sender can't send again, because it reset the connection meanwhile.
#[tokio::test]
async fn what_is_held_back_is_lost_if_its_sender_resets() -> Result<()> {
    for (reset, recorded) in [(false, 1), (true, 0)] {
        let link = Linked::start()?;
        link.set(json!({"drop_to": true})).await?;
        let mut conn = TcpStream::connect(link.linked.address).await?;
        conn.write_all(b"POST /v1/x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
            .await?;
        sleep(STILL).await;
        let kept = match reset {
            true => {
                conn.set_zero_linger()?;
                drop(conn);
                None
            }
            false => Some(conn),
        };
        sleep(STILL).await;
        link.set(json!({})).await?;
        sleep(STILL).await;
        assert_eq!(link.recorded().await?, recorded, "{reset}");
        drop(kept);
    }
    Ok(())
}

/// Answers are held back by the network. A call takes effect, and its caller never hears of it.
#[tokio::test]
async fn an_answer_that_is_held_back_leaves_its_effect() -> Result<()> {
    let link = Linked::start()?;
    link.set(json!({"drop_from": true})).await?;
    let call = link.linked.open(Method::POST, "/v1/x", &[], b"");
    assert!(timeout(STILL, call).await.is_err());
    assert_eq!(link.recorded().await?, 1);
    Ok(())
}

/// Starts a server that sends back what it gets.
async fn start_echo() -> Result<SocketAddr> {
    let listener = listen(any_port())?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = conn.split();
                copy(&mut from, &mut to).await
            });
        }
    });
    Ok(address)
}

/// A connection breaks in the middle of an answer: the reader has exactly the bytes before the break, and then an error
/// instead of an end.
#[tokio::test]
async fn a_connection_is_reset_after_some_bytes() -> Result<()> {
    let echo = start_echo().await?;
    let proxy = Proxy::new();
    let address = proxy.link_default(any_port(), echo)?;
    let control = Client::new(start_proxy(any_port(), proxy)?.address);
    let faults = json!({"reset_after_bytes": 1500});
    control.post("/v1/faults", &faults).await?;
    let mut conn = TcpStream::connect(address).await?;
    conn.write_all(&[7; 1499]).await?;
    let mut buffer = [0; 1499];
    conn.read_exact(&mut buffer).await?;
    conn.write_all(&[7; 10]).await?;
    // Either the reset comes before the last byte is sent back, or after it; none beyond it comes.
    let mut rest = Vec::new();
    let end = timeout(Duration::from_secs(20), conn.read_to_end(&mut rest)).await?;
    assert!(end.is_err());
    assert!(rest.len() <= 1);
    Ok(())
}

#[tokio::test]
async fn a_connection_ends_in_order_through_a_link() -> Result<()> {
    let echo = start_echo().await?;
    let proxy = Proxy::new();
    let address = proxy.link_default(any_port(), echo)?;
    let mut conn = TcpStream::connect(address).await?;
    let sent = vec![3; 3 << 20];
    let (mut from, mut to) = conn.split();
    let mut back = Vec::new();
    let write = async {
        to.write_all(&sent).await?;
        to.shutdown().await
    };
    let (written, read) = tokio::join!(write, from.read_to_end(&mut back));
    written?;
    read?;
    assert!(back == sent);
    Ok(())
}

#[tokio::test]
async fn one_process_has_many_links() -> Result<()> {
    let service = start_service(any_port())?.address;
    let control = Client::new(start_proxy(any_port(), Proxy::new())?.address);
    let mut links = Vec::new();
    for name in ["a", "b"] {
        let link = json!({"name": name, "listen": "127.0.0.1:0", "to": service});
        let answer = control.post("/v1/links", &link).await?;
        let address = answer.json["address"].as_str().expect("an address");
        links.push(Client::new(address.parse()?));
        assert_eq!(control.post("/v1/links", &link).await?.status, 409);
    }
    control
        .post("/v1/links/a/faults", &json!({"cut": true}))
        .await?;
    assert!(links[0].get("/v1/x").await.is_err());
    assert_eq!(links[1].get("/v1/x").await?.status, 200);
    let shown = control.get("/v1/links").await?.json;
    assert_eq!(shown[0]["faults"]["cut"], true);
    assert_eq!(control.get("/v1/links/b/faults").await?.json["cut"], false);
    control.send(Method::DELETE, "/v1/links/b", b"").await?;
    assert!(links[1].get("/v1/x").await.is_err());
    assert_eq!(control.get("/v1/links/b/faults").await?.status, 404);
    assert_eq!(control.post("/v1/faults", &json!({})).await?.status, 404);
    Ok(())
}

/// A caller sends a request into a network that holds it back, and gives up. The bytes are on their way all the same:
/// the server gets them, and the end after them, when the network is mended.
#[tokio::test]
async fn what_a_caller_sent_before_it_left_still_arrives() -> Result<()> {
    let listener = listen(any_port())?;
    let proxy = Proxy::new();
    let address = proxy.link_default(any_port(), listener.local_addr()?)?;
    let control = Client::new(start_proxy(any_port(), proxy)?.address);
    control
        .post("/v1/faults", &json!({"half_open": true}))
        .await?;
    let mut caller = TcpStream::connect(address).await?;
    caller.write_all(b"late").await?;
    drop(caller);
    assert!(timeout(STILL, listener.accept()).await.is_err());
    control.post("/v1/faults", &json!({})).await?;
    let (mut conn, _) = listener.accept().await?;
    let mut got = Vec::new();
    timeout(Duration::from_secs(20), conn.read_to_end(&mut got)).await??;
    assert_eq!(got, b"late");
    Ok(())
}
