//! Endpoints whose events tell which run of which version made them, and that die or pause when they are told to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Result;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::platform::header;
use crate::platform::read_head;
use crate::stream_soak::EVENTS;
use crate::stream_soak::LARGE;

/// The longest pause between two events, in milliseconds.
const MAX_INTERVAL_MS: u64 = 60;
/// How many bytes the events of a large stream are filled up with.
const FILL: usize = 16_384;

/// How an endpoint frames its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length,
    Chunks,
    Connection,
}

/// What an endpoint's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Serves,
    Paused,
    /// It died, and the kernel closes its connections in order.
    Closed,
    /// It died, and its connections are reset.
    Reset,
}

/// What runs have in common with all others of a play.
#[derive(Debug)]
pub(super) struct Runs {
    pub(super) seed: u64,
    pub(super) count: AtomicUsize,
}

/// What an endpoint is.
#[derive(Clone, Debug)]
struct Kind {
    version: String,
    framing: Framing,
    runs: Arc<Runs>,
}

impl Kind {
    /// Returns the events of a run, which tell what made them.
    fn events(&self, head: &str, run: usize) -> Result<Vec<String>> {
        let after = header(head, "last-event-id").map_or(Ok(0), str::parse::<usize>)?;
        let fill = match head.contains(LARGE) {
            true => "-".repeat(FILL),
            false => String::new(),
        };
        let version = &self.version;
        let event = |number| format!("id: {number}\ndata: {version} {run} {after} {fill}\n\n");
        Ok((after + 1..=EVENTS).map(event).collect())
    }

    /// Returns the header that frames an answer, if it needs one.
    fn framing_header(&self, events: &[String]) -> String {
        match self.framing {
            Framing::Length => {
                let length: usize = events.iter().map(String::len).sum();
                format!("content-length: {length}\r\n")
            }
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Connection => String::new(),
        }
    }
}

/// An endpoint.
pub(super) struct Endpoint {
    pub(super) name: String,
    pub(super) service: &'static str,
    pub(super) version: String,
    pub(super) address: SocketAddr,
    /// What accepts connections, until the process dies.
    accepting: Option<JoinHandle<()>>,
    state: watch::Sender<State>,
}

impl Endpoint {
    /// Starts one that frames its answers in a way.
    pub(super) async fn start(
        name: String,
        service: &'static str,
        version: String,
        framing: Framing,
        runs: Arc<Runs>,
    ) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State::Serves);
        let kind = Kind {
            version: version.clone(),
            framing,
            runs,
        };
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, kind.clone(), states.clone()));
            }
        });
        Ok(Self {
            name,
            service,
            version,
            address,
            accepting: Some(accepting),
            state,
        })
    }

    /// Ends the process: its listener is closed first, as the kernel does, and then its connections are.
    pub(super) async fn die(&mut self, state: State) {
        let Some(accepting) = self.accepting.take() else {
            return;
        };
        accepting.abort();
        // It ends as aborted.
        let _ = accepting.await;
        self.state.send_replace(state);
    }

    /// Pauses the process, or has it go on.
    pub(super) fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.accepting.take().inspect(JoinHandle::abort);
    }
}

/// Serves a connection until the process dies.
async fn serve(
    mut stream: TcpStream,
    kind: Kind,
    mut states: watch::Receiver<State>,
) -> Result<()> {
    let death = states.clone();
    let answering = answer_all(&mut stream, &kind, &mut states);
    let state = tokio::select! {
        result = answering => return result,
        state = dead(death) => state,
    };
    if state == State::Reset {
        stream.set_zero_linger()?;
    }
    Ok(())
}

/// Waits until the process dies, and returns how its connections end.
async fn dead(mut states: watch::Receiver<State>) -> State {
    let died = states.wait_for(|state| matches!(state, State::Closed | State::Reset));
    died.await.map_or(State::Reset, |state| *state)
}

async fn answer_all(
    stream: &mut TcpStream,
    kind: &Kind,
    states: &mut watch::Receiver<State>,
) -> Result<()> {
    loop {
        let head = read_head(stream).await?;
        let Some(name) = header(&head, "request-id") else {
            let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(healthy).await?;
            continue;
        };
        let run = kind.runs.count.fetch_add(1, Ordering::Relaxed);
        let events = kind.events(&head, run)?;
        let framing = kind.framing_header(&events);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: text/event-stream\r\n{framing}\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(kind.runs.seed ^ run as u64);
        for event in &events {
            let (first, second) = event.split_at(rng.random_range(1..=event.len()));
            for piece in [first, second] {
                write_piece(stream, kind.framing, piece).await?;
                let interval = rng.random_range(0..MAX_INTERVAL_MS);
                sleep(Duration::from_millis(interval)).await;
                states.wait_for(|state| *state == State::Serves).await?;
            }
        }
        match kind.framing {
            Framing::Length => {}
            Framing::Chunks => stream.write_all(b"0\r\n\r\n").await?,
            Framing::Connection => return Ok(()),
        }
    }
}

async fn write_piece(stream: &mut TcpStream, framing: Framing, piece: &str) -> Result<()> {
    if piece.is_empty() {
        return Ok(());
    }
    let bytes = match framing {
        Framing::Chunks => format!("{:x}\r\n{piece}\r\n", piece.len()),
        Framing::Length | Framing::Connection => piece.to_owned(),
    };
    Ok(stream.write_all(bytes.as_bytes()).await?)
}
