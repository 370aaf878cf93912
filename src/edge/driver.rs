//! The loop: one thread takes the events in turn, and the core's effects become tasks.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tracing::info;
use tracing::warn;

use crate::clock::Clock;
use crate::decide::RoundId;
use crate::edge::IdleClock;
use crate::edge::checkpoint;
use crate::edge::clock::SystemClock;
use crate::edge::clock::boot_clock;
use crate::edge::desk::Command;
use crate::edge::desk::Desk;
use crate::edge::engine;
use crate::edge::fetch;
use crate::edge::http;
use crate::edge::log::CONFIG;
use crate::edge::log::LEDGER;
use crate::edge::log::Log;
use crate::edge::metrics::Metrics;
use crate::edge::peers;
use crate::edge::peers::Caller;
use crate::edge::probe::Prober;
use crate::edge::relay::Connections;
use crate::edge::tell::Teller;
use crate::edge::vms;
use crate::escrow::Proposal;
use crate::ids::Offset;
use crate::listen::listen;
use crate::moment::BootClock;
use crate::router::Accounting;
use crate::router::AppendTiming;
use crate::router::Core;
use crate::router::Effect;
use crate::router::Event;
use crate::router::StreamLogCall;
use crate::router::Tuning;
use crate::settings::Settings;

/// How often the core is told that time has passed. Deadlines and heartbeats are seconds; 20 ms is soon enough for
/// them, and costs a router that idles a thousandth of a core.
const TICK: Duration = Duration::from_millis(20);

/// A gap between two turns of the loop that tells that the process was stopped, not just busy.
const PAUSE: Duration = Duration::from_millis(1500);

/// How the loop came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// All requests were over and all that was held was given back.
    Drained,
    /// Requests in progress were cut off, by a second signal or the drain limit.
    Cut,
}

/// Runs a router until it is told to stop.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn serve(settings: Settings) -> io::Result<Stopped> {
    let callers = bind(settings.listen)?;
    let routers = bind(settings.peer_listen)?;
    let mut settings = settings;
    // A port of 0 is the system's choice; callers must be told the one that it chose.
    settings.listen = callers.local_addr()?;
    settings.peer_listen = routers.local_addr()?;
    info!(
        event = "listening", vm = %settings.vm, callers = %settings.listen, routers = %settings.peer_listen,
    );
    let (sender, events) = mpsc::unbounded_channel();
    let mut seeds = rand::rng();
    let origin = format!("{}-{:08x}", settings.vm, seeds.next_u32());
    let key = settings.admin_key();
    let metrics = Metrics::new(settings.statsd)?;
    let limits = settings.limits.clone();
    let desk = Arc::new(Desk::new(limits, key, origin, metrics, sender));
    tokio::spawn(desk.clone().send_metrics());
    tokio::spawn(http::serve(callers, desk.clone()));
    tokio::spawn(peers::serve(routers, desk.clone()));
    tokio::spawn(vms::follow(settings.vms, desk.clone()));
    let log = Log {
        url: settings.log,
        desk: desk.clone(),
    };
    follow_log(&log);
    let clock = SystemClock;
    let boot = boot_clock(&clock, settings.peer_listen);
    let core = Core::new(clock.now(), tuning(&settings, boot), seeds.next_u64());
    let driver = Driver {
        clock,
        core,
        storage: Storage::Ledger {
            log,
            append: settings.ledger.append_ms.duration(),
        },
        peers: Caller::new(desk.clone()),
        prober: Prober::new(desk.clone()),
        teller: None,
        desk,
        idle: None,
        connections: None,
    };
    driver.run(events).await
}

/// Binds an address; an error names it.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address).map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

fn tuning(settings: &Settings, clock: BootClock) -> Tuning {
    let ledger = &settings.ledger;
    Tuning {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.advertised().to_string(),
        lean: settings.lean,
        pace: AppendTiming {
            interval: ledger.commit_ms.duration(),
            timeout: ledger.append_ms.duration(),
        },
        outage_after: ledger.outage_ms.duration(),
        end_marker: ledger.end_marker,
        heartbeat_interval: ledger.heartbeat_ms.duration(),
        silence_timeout: ledger.silence_ms.duration(),
        default_timeout: settings.limits.deadline_ms.duration(),
        queue_limit: settings.limits.queue,
        queue_timeout: settings.limits.queue_ms.duration(),
        address_ttl: settings.limits.address_ms.duration(),
        partition_timeout: ledger.parted_ms.duration(),
        drain_timeout: settings.limits.drain_ms.duration(),
        log_retention: ledger.retention_ms.duration(),
        accounting: Accounting::Ledger,
        clock,
    }
}

/// Follows both streams, and tells the core when it knows all that was there at the start.
fn follow_log(log: &Log) {
    let (ledger_ready, ledger) = oneshot::channel();
    let (config_ready, config) = oneshot::channel();
    tokio::spawn(
        log.clone()
            .follow(LEDGER, Event::LedgerEntries, ledger_ready),
    );
    tokio::spawn(
        log.clone()
            .follow(CONFIG, Event::ConfigEntries, config_ready),
    );
    let desk = log.desk.clone();
    tokio::spawn(async move {
        let _ = ledger.await;
        let _ = config.await;
        desk.tell(Event::CaughtUp);
    });
}

/// Where what must last is kept.
pub(crate) enum Storage {
    /// In the ledger's log.
    Ledger {
        /// The log.
        log: Log,
        /// How long an append may take.
        append: Duration,
    },
    /// In a log that keeps the newest grant of each router.
    Grants(Box<dyn GrantLog>),
}

/// A log that keeps grants.
pub(crate) trait GrantLog: Send {
    /// Begins to append grants on a condition; what comes of it is told as an event.
    fn propose(&self, proposal: Proposal);

    /// Begins to read grants from an offset on, or the newest of each key.
    fn read(&self, from: Option<Offset>);

    /// Begins a call to the log of streams and versions; what comes of it is told as an event.
    fn call_streams(&self, call: StreamLogCall);

    /// Begins to read all that the log has of lists and configurations; what comes of it is told as an event.
    fn refresh_lists(&self, round: RoundId);

    /// Takes note that a planned stop began.
    fn leave(&self);
}

pub(crate) struct Driver {
    pub(crate) clock: SystemClock,
    pub(crate) core: Core,
    pub(crate) storage: Storage,
    pub(crate) peers: Caller,
    pub(crate) prober: Prober,
    /// Tells other routers of long prompts, where that is of use.
    pub(crate) teller: Option<Teller>,
    pub(crate) desk: Arc<Desk>,
    /// Where it is known, since when requests may have been waiting in the sockets.
    pub(crate) idle: Option<Arc<IdleClock>>,
    /// The connections of callers, where they are closed before the router ends.
    pub(crate) connections: Option<Arc<Connections>>,
}

impl Driver {
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
    ) -> io::Result<Stopped> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let mut told = false;
        let mut last = self.clock.now();
        loop {
            let event = tokio::select! {
                Some(event) = events.recv() => event,
                () = until(self.next_turn(last)) => Event::Tick,
                () = stop(&mut term, &mut int) => {
                    if told {
                        self.core.log_unfinished();
                        warn!(event = "stopped", cut = true);
                        return Ok(Stopped::Cut);
                    }
                    told = true;
                    self.leave();
                    Event::Drain
                }
            };
            let now = self.clock.now();
            let mut effects = self.note_pause(now, last);
            self.check_idle(now);
            self.count_connections();
            let ticked = matches!(event, Event::Tick);
            effects.extend(self.core.handle(now, event));
            if now >= last + TICK {
                last = now;
                // A second tick in one turn would come before the first one's effects, its exit among them.
                if !ticked {
                    effects.extend(self.core.handle(now, Event::Tick));
                }
            }
            self.show_ledger();
            for effect in effects {
                if let Effect::Exit { cut } = effect {
                    info!(event = "stopped", cut);
                    return Ok(if cut { Stopped::Cut } else { Stopped::Drained });
                }
                self.carry_out(effect);
            }
        }
    }

    /// Tells the core how many connections of callers there are.
    fn count_connections(&mut self) {
        if let Some(connections) = &self.connections {
            self.core.record_connections(connections.unfinished());
        }
    }

    fn leave(&self) {
        self.desk.leave();
        if let Storage::Grants(log) = &self.storage {
            log.leave();
        }
    }

    /// Returns when the core must be called though nothing happens.
    fn next_turn(&self, last: Instant) -> Instant {
        let tick = last + TICK;
        self.core.next_wake().map_or(tick, |wake| wake.min(tick))
    }

    /// Tells the core of a pause of the whole process.
    ///
    /// What lay in the sockets meanwhile may be requests whose callers gave up, asked elsewhere and were told that they
    /// were not run.
    fn note_pause(&mut self, now: Instant, last: Instant) -> Vec<Effect> {
        if now < last + PAUSE {
            return Vec::new();
        }
        self.desk.metrics.paused();
        warn!(event = "paused", for_ms = (now - last).as_millis());
        self.core.handle(now, Event::Paused)
    }

    /// Tells the core since when requests may have been waiting, and of a suspension of the VM.
    fn check_idle(&mut self, now: Instant) {
        let Some(idle) = &self.idle else {
            return;
        };
        if let Some(time) = idle.suspension() {
            warn!(event = "suspended", for_ms = time.as_millis());
            self.core.skip_retry_windows(time);
        }
        if let Some(idle_at) = now.checked_sub(idle.longest_wait()) {
            self.core.record_idle(idle_at);
        }
    }

    fn show_ledger(&self) {
        self.desk.set_ledger_next(self.core.ledger_next());
        for sender in self.desk.take_snapshots() {
            let _ = sender.send(self.core.encode_ledger());
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Refuse(id, problem) => self.desk.command(id, Command::Refuse(problem)),
            Effect::Replay(id, replay) => self.desk.command(id, Command::Replay(replay)),
            Effect::Run(id, run) => self.desk.command(id, Command::Run(run)),
            Effect::Forward(id, forwarding) => self.desk.command(id, Command::Forward(forwarding)),
            Effect::CheckConnection(vm, address) => {
                tokio::spawn(self.prober.clone().connect(vm, address));
            }
            Effect::ExamineEndpoint { vm, address, asked } => {
                tokio::spawn(self.prober.clone().examine(vm, address, asked));
            }
            Effect::CountRetry { pool, sent } => self.desk.metrics.retry(&pool, sent),
            Effect::FinishAnswer(id) => self.desk.command(id, Command::Release),
            Effect::Abandon(id) => self.desk.command(id, Command::Leave),
            Effect::Abort(id, problem) => self.desk.command(id, Command::Cut(problem)),
            Effect::SendHeartbeat(beat, peers) => {
                self.desk.set_beat(self.clock.now(), beat.clone());
                for peer in peers {
                    tokio::spawn(self.peers.clone().beat(beat.clone(), peer));
                }
            }
            Effect::KeepBatches(batches, peers) => {
                for peer in peers {
                    tokio::spawn(self.peers.clone().keep(batches.clone(), peer));
                }
            }
            Effect::SendConfig(snapshot, peer) => {
                tokio::spawn(self.peers.clone().relay(snapshot, peer));
            }
            Effect::OfferTable(table) => self.desk.set_table(table),
            Effect::FetchTable(peer) => {
                tokio::spawn(self.peers.clone().table(peer));
            }
            Effect::SendPromptNotice(reading, peers) => {
                if let Some(teller) = self.teller.as_ref().filter(|_| !self.peers.is_late()) {
                    teller.tell(&reading, &peers);
                }
            }
            Effect::TransferBudget(gift, peer) => {
                tokio::spawn(self.peers.clone().give(gift, peer));
            }
            Effect::RequestLoan(ask, peer) => {
                tokio::spawn(self.peers.clone().borrow(ask, peer));
            }
            Effect::KeepStreams(rows, peer) => {
                tokio::spawn(self.peers.clone().keep_streams(rows, peer));
            }
            Effect::LocateStream(id, key, peer) => {
                tokio::spawn(self.peers.clone().locate_stream(id, key, peer));
            }
            Effect::AskVersions(round, peer) => {
                tokio::spawn(self.peers.clone().versions(round, peer));
            }
            Effect::SendSlots(messages, peer) => {
                tokio::spawn(self.peers.clone().tell_slots(messages, peer));
            }
            Effect::SendOrder(order) => {
                tokio::spawn(engine::order(self.desk.clone(), order));
            }
            Effect::Probe(vm, address) => {
                tokio::spawn(self.prober.clone().probe(vm, address));
            }
            Effect::Answer(id, status, body) => self.desk.answer(id, status, body),
            Effect::Exit { .. } => {}
            Effect::CloseConnections => {
                let connections = self.connections.iter();
                connections.for_each(|connections| connections.close());
            }
            effect => self.store(effect),
        }
    }

    /// Carries out what concerns what must last.
    fn store(&self, effect: Effect) {
        match &self.storage {
            Storage::Ledger { log, append } => self.store_in_ledger(effect, log, *append),
            Storage::Grants(log) => match effect {
                Effect::ProposeGrants(proposal) => log.propose(proposal),
                Effect::ReadGrants(from) => log.read(from),
                Effect::CallStreamLog(call) => log.call_streams(call),
                Effect::RefreshLists(round) => log.refresh_lists(round),
                effect => warn!(event = "no-ledger", ?effect),
            },
        }
    }

    fn store_in_ledger(&self, effect: Effect, log: &Log, limit: Duration) {
        let log = log.clone();
        match effect {
            Effect::Append {
                router,
                sequence,
                bytes,
            } => {
                tokio::spawn(log.append(router, sequence, bytes, limit));
            }
            Effect::AppendKept(bytes) => {
                tokio::spawn(async move { log.append_raw(bytes, limit).await });
            }
            Effect::Fetch(peers) => {
                tokio::spawn(fetch::fetch(log, self.peers.clone(), peers));
            }
            Effect::AppendConfig(bytes) => {
                tokio::spawn(async move { log.append_to(CONFIG, bytes, limit).await });
            }
            Effect::Checkpoint(as_of, parts) => {
                tokio::spawn(checkpoint::write(log, as_of, parts));
            }
            effect => warn!(event = "no-grants", ?effect),
        }
    }
}

async fn until(when: Instant) {
    tokio::time::sleep_until(when.into()).await;
}

async fn stop(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        Some(()) = term.recv() => {}
        Some(()) = int.recv() => {}
        else => pending().await,
    }
}
