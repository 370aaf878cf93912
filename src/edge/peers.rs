//! What routers say to each other, by tarpc.

use std::future::Future;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;

use crate::clock::Clock;
use crate::config::RouteTable;
use crate::config::Snapshot;
use crate::decide::RoundId;
use crate::decide::RoundTrips;
use crate::decide::SlotMessage;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::edge::clock::SystemClock;
use crate::edge::codec::Postcard;
use crate::edge::desk::Desk;
use crate::edge::desk::lock;
use crate::ids::RequestId;
use crate::router::BudgetTransfer;
use crate::router::Event;
use crate::router::Heartbeat;
use crate::router::KeptBatches;
use crate::router::KnownVersions;
use crate::router::LoanRequest;
use crate::router::Peer;
use crate::router::PeerFailure;
use crate::router::StreamRow;
use crate::tokens::Tokens;

/// The version of these messages, told in each call. Another one is refused, not guessed at.
const VERSION: u32 = 11;

/// How long a peer may take to answer a heartbeat.
const CALL: Duration = Duration::from_millis(1000);

/// How long a peer may take to answer a question for a loan: longer than an owner of a budget lets one wait for the log, and no
/// longer than callers can wait for the next owner.
const LOAN: Duration = Duration::from_millis(200);

/// How often a gift is offered.
const GIFT_TRIES: u32 = 2;

/// How long it may take to give its ledger's state, 40 MB at the size designed for.
const SNAPSHOT: Duration = Duration::from_secs(10);

/// The largest message: a ledger's state.
const MAX_FRAME: usize = 256 << 20;

/// Why a peer did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refused {
    /// It speaks another version.
    Version(u32),
    /// It has nothing to give yet.
    NotReady,
    /// It knows of no such router, or that its incarnation is over.
    Closed,
}

/// What a router does for its peers.
#[tarpc::service]
pub(crate) trait Peering {
    /// Takes a router's word and returns its own.
    async fn beat(version: u32, beat: Heartbeat) -> Result<Heartbeat, Refused>;

    /// Keeps what a router cannot append.
    async fn keep(version: u32, batches: KeptBatches) -> Result<(), Refused>;

    /// Takes a configuration, as JSON.
    async fn relay(version: u32, config: String) -> Result<(), Refused>;

    /// Returns the configuration that a platform handed over whole.
    async fn table(version: u32) -> Result<RouteTable, Refused>;

    /// Lends what is idle of a budget.
    async fn lend(version: u32, ask: LoanRequest) -> Result<Tokens, Refused>;

    /// Takes what a router that stops hands over.
    async fn give(version: u32, gift: BudgetTransfer) -> Result<(), Refused>;

    /// Takes demands for slots of brittle endpoints, and grants.
    async fn slots(version: u32, messages: Vec<SlotMessage>) -> Result<(), Refused>;

    /// Remembers which versions of their software began streams.
    async fn keep_streams(version: u32, rows: Vec<StreamRow>) -> Result<(), Refused>;

    /// Returns what began a stream, if it is known.
    async fn locate_stream(version: u32, key: StreamKey) -> Result<Option<StreamOrigin>, Refused>;

    /// Returns the ledger's state.
    async fn ledger(version: u32) -> Result<Vec<u8>, Refused>;

    /// Returns the versions of all pools that are known. Calls are numbered in their order here, so that new ones come last.
    async fn versions(version: u32) -> Result<KnownVersions, Refused>;
}

/// Serves one peer's calls.
#[derive(Clone)]
struct Server(Arc<Desk>);

fn check(version: u32) -> Result<(), Refused> {
    match version == VERSION {
        true => Ok(()),
        false => Err(Refused::Version(VERSION)),
    }
}

impl Peering for Server {
    async fn beat(self, _: Context, version: u32, beat: Heartbeat) -> Result<Heartbeat, Refused> {
        check(version)?;
        self.0.tell(Event::HeartbeatReceived(beat));
        self.0.beat(SystemClock.now()).ok_or(Refused::NotReady)
    }

    async fn keep(self, _: Context, version: u32, batches: KeptBatches) -> Result<(), Refused> {
        check(version)?;
        match self.0.keep(batches).await {
            true => Ok(()),
            false => Err(Refused::Closed),
        }
    }

    async fn relay(self, _: Context, version: u32, config: String) -> Result<(), Refused> {
        check(version)?;
        let snapshot = serde_json::from_str(&config).map_err(|_| Refused::NotReady)?;
        self.0.tell(Event::ConfigSnapshot(Box::new(snapshot)));
        Ok(())
    }

    async fn table(self, _: Context, version: u32) -> Result<RouteTable, Refused> {
        check(version)?;
        let table = self.0.table().ok_or(Refused::NotReady)?;
        Ok(RouteTable::clone(&table))
    }

    async fn lend(self, _: Context, version: u32, ask: LoanRequest) -> Result<Tokens, Refused> {
        check(version)?;
        self.0.lend(ask).await.ok_or(Refused::NotReady)
    }

    async fn give(self, _: Context, version: u32, gift: BudgetTransfer) -> Result<(), Refused> {
        check(version)?;
        match self.0.given(gift).await {
            true => Ok(()),
            false => Err(Refused::NotReady),
        }
    }

    async fn slots(
        self,
        _: Context,
        version: u32,
        messages: Vec<SlotMessage>,
    ) -> Result<(), Refused> {
        check(version)?;
        self.0.tell(Event::Slots(messages));
        Ok(())
    }

    async fn keep_streams(
        self,
        _: Context,
        version: u32,
        rows: Vec<StreamRow>,
    ) -> Result<(), Refused> {
        check(version)?;
        self.0.tell(Event::StreamsBegun(rows));
        Ok(())
    }

    async fn locate_stream(
        self,
        _: Context,
        version: u32,
        key: StreamKey,
    ) -> Result<Option<StreamOrigin>, Refused> {
        check(version)?;
        Ok(self.0.locate_stream(key).await)
    }

    async fn ledger(self, _: Context, version: u32) -> Result<Vec<u8>, Refused> {
        check(version)?;
        self.0.snapshot().await.ok_or(Refused::NotReady)
    }

    async fn versions(self, _: Context, version: u32) -> Result<KnownVersions, Refused> {
        check(version)?;
        self.0.known_versions().await.ok_or(Refused::NotReady)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Serves peers for ever.
pub(crate) async fn serve(listener: TcpListener, desk: Arc<Desk>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept-failed", %error);
                tokio::time::sleep(CALL).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let framed = codec_framed(stream);
        let transport = serde_transport::new(framed, Postcard::default());
        let calls = BaseChannel::with_defaults(transport).execute(Server(desk.clone()).serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

fn codec_framed(
    stream: TcpStream,
) -> tarpc::tokio_util::codec::Framed<TcpStream, LengthDelimitedCodec> {
    tarpc::tokio_util::codec::Framed::new(stream, codec())
}

/// Calls peers, over one connection each.
#[derive(Clone)]
pub(crate) struct Caller {
    desk: Arc<Desk>,
    clients: Arc<Mutex<IndexMap<String, PeeringClient>>>,
    trips: Arc<std::sync::Mutex<RoundTrips>>,
}

impl Caller {
    pub(crate) fn new(desk: Arc<Desk>) -> Self {
        Self {
            desk,
            clients: Arc::default(),
            trips: Arc::default(),
        }
    }

    /// Tells a peer that this router lives, and the core what the peer says.
    pub(crate) async fn beat(self, beat: Heartbeat, peer: Peer) {
        let call =
            |client: PeeringClient| async move { client.beat(deadline(CALL), VERSION, beat).await };
        let asked = SystemClock.now();
        let answer = self.call(&peer.address, CALL, call).await;
        // No answer at all tells of a cut rather than of a VM that is late.
        if answer.is_ok() {
            self.note_round_trip(asked);
        }
        match answer {
            Ok(Ok(word)) => self.desk.tell(Event::HeartbeatReceived(word)),
            Ok(Err(_)) => self
                .desk
                .tell(Event::HeartbeatFailed(peer.vm, PeerFailure::Mute)),
            Err(silence) => self.desk.tell(Event::HeartbeatFailed(peer.vm, silence)),
        }
    }

    /// Takes note of how long a peer took that was asked at a time.
    fn note_round_trip(&self, asked: Instant) {
        let now = SystemClock.now();
        let mut trips = lock(&self.trips);
        let before = trips.is_late();
        trips.sample(now, now.saturating_duration_since(asked));
        let late = trips.is_late();
        if late != before {
            info!(
                event = "vm-late",
                late,
                round_trip_ms = trips.shortest().as_millis()
            );
        }
    }

    /// Leaves batches with a peer, and tells the core once the peer has them.
    pub(crate) async fn keep(self, batches: KeptBatches, peer: Peer) {
        let (router, last, records) = (batches.router, batches.last, batches.records);
        let call = |client: PeeringClient| async move {
            client.keep(deadline(CALL), VERSION, batches).await
        };
        match self.call(&peer.address, CALL, call).await {
            Ok(Ok(())) => self.desk.tell(Event::BatchesKept {
                peer: peer.vm,
                router,
                last,
                records,
            }),
            Ok(Err(_)) => self.desk.tell(Event::BatchesRejected(peer.vm)),
            Err(silence) => info!(event = "not-kept", vm = %peer.vm, ?silence),
        }
    }

    /// Hands budget over to a peer, a few times where no answer comes, and tells the core.
    pub(crate) async fn give(self, gift: BudgetTransfer, peer: Peer) {
        let mut taken = false;
        for _ in 0..GIFT_TRIES {
            let given = gift.clone();
            let call = |client: PeeringClient| async move {
                client.give(deadline(LOAN), VERSION, given).await
            };
            taken = matches!(self.call(&peer.address, LOAN, call).await, Ok(Ok(())));
            if taken {
                break;
            }
        }
        self.desk.tell(Event::TransferAnswered(gift, taken));
    }

    /// Asks a peer for a loan, and tells the core. The core asks again where no answer came.
    pub(crate) async fn borrow(self, ask: LoanRequest, peer: Peer) {
        // On a VM that is late, a question given up too early would be asked again over a new connection.
        let limit = lock(&self.trips).timeout(LOAN);
        let asked = ask.clone();
        let call = |client: PeeringClient| async move {
            client.lend(deadline(limit), VERSION, asked).await
        };
        let amount = match self.call(&peer.address, limit, call).await {
            Ok(answer) => answer.ok(),
            Err(silence) => {
                info!(event = "no-loan", vm = %peer.vm, ?silence);
                None
            }
        };
        self.desk.tell(Event::LoanAnswered(ask, amount));
    }

    /// Tells a peer of slots. What is lost is told again with the next demand.
    pub(crate) async fn tell_slots(self, messages: Vec<SlotMessage>, peer: Peer) {
        let limit = lock(&self.trips).timeout(LOAN);
        let call = |client: PeeringClient| async move {
            client.slots(deadline(limit), VERSION, messages).await
        };
        match self.call(&peer.address, limit, call).await {
            Ok(Ok(())) => {}
            Ok(Err(refused)) => info!(event = "slots-refused", vm = %peer.vm, ?refused),
            Err(silence) => info!(event = "slots-unheard", vm = %peer.vm, ?silence),
        }
    }

    /// Has a peer remember which versions began streams.
    pub(crate) async fn keep_streams(self, rows: Vec<StreamRow>, peer: Peer) {
        let call = |client: PeeringClient| async move {
            client.keep_streams(deadline(CALL), VERSION, rows).await
        };
        match self.call(&peer.address, CALL, call).await {
            Ok(Ok(())) => {}
            Ok(Err(refused)) => info!(event = "streams-refused", vm = %peer.vm, ?refused),
            Err(silence) => info!(event = "streams-unheard", vm = %peer.vm, ?silence),
        }
    }

    /// Asks a peer what began a stream, and tells the core.
    pub(crate) async fn locate_stream(self, id: RequestId, key: StreamKey, peer: Peer) {
        let limit = lock(&self.trips).timeout(LOAN);
        let call = |client: PeeringClient| async move {
            client.locate_stream(deadline(limit), VERSION, key).await
        };
        let origin = match self.call(&peer.address, limit, call).await {
            Ok(answer) => answer.ok().flatten(),
            Err(silence) => {
                info!(event = "stream-unlocated", request = %id, vm = %peer.vm, ?silence);
                None
            }
        };
        self.desk.tell(Event::StreamLocated(id, origin));
    }

    /// Asks a peer which versions it knows, and tells the core.
    pub(crate) async fn versions(self, round: RoundId, peer: Peer) {
        let limit = lock(&self.trips).timeout(LOAN);
        let call =
            |client: PeeringClient| async move { client.versions(deadline(limit), VERSION).await };
        let known = match self.call(&peer.address, limit, call).await {
            Ok(Ok(known)) => Ok(known),
            Ok(Err(refused)) => {
                info!(event = "versions-refused", vm = %peer.vm, ?refused);
                Err(PeerFailure::Mute)
            }
            Err(silence) => {
                info!(event = "versions-unheard", vm = %peer.vm, ?silence);
                Err(silence)
            }
        };
        self.desk.tell(Event::VersionsKnown(round, peer.vm, known));
    }

    /// Returns whether all that this router does is late, so that it had better do without what is not needed.
    pub(crate) fn is_late(&self) -> bool {
        lock(&self.trips).is_late()
    }

    /// Sends a peer the configuration.
    pub(crate) async fn relay(self, snapshot: Box<Snapshot>, peer: Peer) {
        let config = serde_json::to_string(&snapshot).expect("a configuration can be written");
        let call = |client: PeeringClient| async move {
            client.relay(deadline(CALL), VERSION, config).await
        };
        if let Err(silence) = self.call(&peer.address, CALL, call).await {
            info!(event = "not-relayed", vm = %peer.vm, ?silence);
        }
    }

    /// Asks a peer for its configuration, and tells the core.
    pub(crate) async fn table(self, peer: Peer) {
        let call =
            |client: PeeringClient| async move { client.table(deadline(CALL), VERSION).await };
        match self.call(&peer.address, CALL, call).await {
            Ok(Ok(table)) => self.desk.tell(Event::Table(Arc::new(table))),
            Ok(Err(refused)) => {
                info!(event = "no-config", vm = %peer.vm, ?refused);
                self.desk.tell(Event::TableFetchFailed(peer.vm));
            }
            Err(silence) => {
                info!(event = "no-config", vm = %peer.vm, ?silence);
                self.desk.tell(Event::TableFetchFailed(peer.vm));
            }
        }
    }

    /// Asks a peer for its ledger's state.
    pub(crate) async fn ledger(&self, peer: &Peer) -> Option<Vec<u8>> {
        let call =
            |client: PeeringClient| async move { client.ledger(deadline(SNAPSHOT), VERSION).await };
        self.call(&peer.address, SNAPSHOT, call).await.ok()?.ok()
    }

    /// Makes one call.
    async fn call<F, A, T>(&self, address: &str, limit: Duration, call: F) -> Result<T, PeerFailure>
    where
        F: FnOnce(PeeringClient) -> A,
        A: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let client = self.client(address, limit).await?;
        match timeout(limit, call(client)).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => {
                // A connection over which nothing comes is half open, or worse: the next call makes a new one.
                self.clients.lock().await.swap_remove(address);
                Err(PeerFailure::Mute)
            }
        }
    }

    async fn client(&self, address: &str, limit: Duration) -> Result<PeeringClient, PeerFailure> {
        if let Some(client) = self.clients.lock().await.get(address) {
            return Ok(client.clone());
        }
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(PeerFailure::Refused);
            }
            _ => return Err(PeerFailure::Unreachable),
        };
        let _ = stream.set_nodelay(true);
        let transport = serde_transport::new(codec_framed(stream), Postcard::default());
        let client = PeeringClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients
            .lock()
            .await
            .insert(address.to_owned(), client.clone());
        Ok(client)
    }
}

fn deadline(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
