//! Starts a router on the platform: its sockets, and the tasks around its core.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;

use crate::clock::Clock;
use crate::decide::RetryLimit;
use crate::edge::IdleClock;
use crate::edge::Stopped;
use crate::edge::clock::SystemClock;
use crate::edge::clock::boot_clock;
use crate::edge::desk::Desk;
use crate::edge::driver::Driver;
use crate::edge::driver::Storage;
use crate::edge::driver::bind;
use crate::edge::http;
use crate::edge::metrics::Metrics;
use crate::edge::peers;
use crate::edge::peers::Caller;
use crate::edge::probe::Prober;
use crate::edge::relay;
use crate::edge::relay::AnswerRoom;
use crate::edge::relay::Connections;
use crate::edge::relay::Relays;
use crate::edge::relay::Upstream;
use crate::edge::tell::Teller;
use crate::labels::Labels;
use crate::logs::dropped_lines;
use crate::moment::BootClock;
use crate::platform::entry;
use crate::platform::follow::ReadMode;
use crate::platform::follow::Topic;
use crate::platform::follow::follow;
use crate::platform::grants::Grants;
use crate::platform::heads::Heads;
use crate::platform::lists::Cursor;
use crate::platform::lists::Lists;
use crate::platform::operator::Operator;
use crate::platform::record::Keyed;
use crate::platform::registry::Registry;
use crate::platform::store::Append;
use crate::platform::store::Store;
use crate::router::Accounting;
use crate::router::AppendTiming;
use crate::router::CPU_LABEL;
use crate::router::Core;
use crate::router::Event;
use crate::router::FORWARD_LABEL;
use crate::router::GrantTuning;
use crate::router::LINK_LABEL;
use crate::router::Tuning;
use crate::settings::EndMarker;
use crate::settings::RequestLimits;
use crate::settings::SiteSettings;
use crate::vms::VmEntry;
use crate::vms::VmState;

/// The topics of the operator, of the servers and of the routers.
pub(super) const OPERATOR: &str = "keyed.op";
pub(super) const SERVERS: &str = "keyed.servers";
const ROUTERS: &str = "keyed.routers";

/// The pause between two reads of the configuration, which has to be in force within a second or two.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);

/// How long the store may hold a read open. A lost answer is noticed after this and the time limit of a call, so this
/// bounds the age that the router's knowledge may reach unnoticed.
const MAX_HOLD: Duration = Duration::from_millis(2000);

/// How many reads of an unchanged configuration are answered within the time that a change may take, so that one answer
/// may be late.
const CONFIG_READS: u32 = 2;

/// The pause between two reads of the lists. Each server writes once a second, and changes may be noticed a quarter of a
/// second late.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// The pause before an entry that the store did not accept is written again.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest time between two writes of an entry that the store accepted.
const LISTING_INTERVAL: Duration = Duration::from_millis(1000);

/// The interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1000);

/// Callers may keep an address for this many times `keep_ms`.
const KEEP_FACTOR: f64 = 3.0;

/// How long before the end of the grace period a planned stop ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// The interval of the heartbeats between routers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a router on the platform until it is stopped.
///
/// The settings were read from `path`, and are read there again at SIGHUP. `idle` has to be told whenever the process
/// has nothing to do.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn serve_site(
    settings: SiteSettings,
    path: PathBuf,
    idle: Arc<IdleClock>,
) -> io::Result<Stopped> {
    let clock = SystemClock;
    let boot = boot_clock(&clock, settings.front);
    let front = bind(settings.front)?;
    let ready = bind(settings.ready)?;
    let directory = bind(settings.directory)?;
    let routers = bind(settings.peer_listen)?;
    let forwarded = bind(settings.forward_address())?;
    let admin = bind(settings.admin)?;
    let teller = Teller::bind(settings.peer_listen).await?;
    log_start(&settings);
    let (sender, events) = mpsc::unbounded_channel();
    let mut seeds = rand::rng();
    let origin = format!("{}-{:08x}", settings.vm, seeds.next_u32());
    let limits = RequestLimits {
        body_bytes: 16 << 20,
        ..RequestLimits::default()
    };
    let desk = Arc::new(Desk::new(limits, None, origin, Metrics::exposed()?, sender));
    let store = Store::new(settings.store);
    let (listed, read) = watch::channel(None);
    let listing = Listing::begin(&settings, store.clone(), read);
    // Without a handler, the signal would terminate the process and cut off its requests.
    let changes = signal(SignalKind::hangup())?;
    tokio::spawn(reload_settings(changes, path, desk.clone(), boot));
    let lists = follow_store(&store, &desk, &settings, listed);
    tokio::spawn(http::serve(admin, desk.clone()));
    tokio::spawn(desk.clone().send_metrics());
    tokio::spawn(peers::serve(routers, desk.clone()));
    tokio::spawn(teller.clone().listen(desk.clone()));
    let asked = desk.clone();
    let connections = Arc::new(Connections::new(settings.max_descriptors));
    let counted = connections.clone();
    tokio::spawn(relay::accept(ready, counted, move |request| {
        entry::ready(asked.clone(), request)
    }));
    let asked = desk.clone();
    let keep = settings.keep_ms.duration();
    let counted = connections.clone();
    tokio::spawn(relay::accept(directory, counted, move |request| {
        entry::resolve(asked.clone(), keep, request)
    }));
    serve_callers(front, forwarded, &desk, &connections, settings.memory_mb);
    let core = Core::new(clock.now(), tuning(&settings, boot), seeds.next_u64());
    let driver = Driver {
        clock,
        core,
        storage: Storage::Grants(Box::new(Grants {
            store,
            desk: desk.clone(),
            listing,
            lists,
        })),
        peers: Caller::new(desk.clone()),
        prober: Prober::new(desk.clone()),
        teller: Some(teller),
        desk,
        idle: Some(idle),
        connections: Some(connections),
    };
    driver.run(events).await
}

/// Logs what runs: the program's commit and the settings in force.
fn log_start(settings: &SiteSettings) {
    let commit = env!("JASMINERIDGE_COMMIT");
    let in_force = serde_json::to_string(settings).unwrap_or_default();
    info!(event = "started", commit, settings = in_force);
    info!(event = "listening", vm = %settings.vm, front = %settings.front);
}

/// Serves callers, and what other routers forward of theirs.
fn serve_callers(
    front: TcpListener,
    forwarded: TcpListener,
    desk: &Arc<Desk>,
    connections: &Arc<Connections>,
    memory_mb: Option<usize>,
) {
    let relays = Arc::new(Relays {
        desk: desk.clone(),
        upstream: Upstream::default(),
        room: AnswerRoom::new(memory_mb),
        dialect: Box::new(Heads),
    });
    let sweeping = relays.clone();
    tokio::spawn(async move {
        let mut dropped = 0;
        loop {
            sleep(SWEEP_INTERVAL).await;
            sweeping.upstream.sweep();
            dropped = report_dropped(&sweeping.desk, dropped);
        }
    });
    let hop = relays.clone();
    let counted = connections.clone();
    tokio::spawn(relay::accept(forwarded, counted, move |request| {
        relay::serve_forwarded(hop.clone(), request)
    }));
    tokio::spawn(relay::accept(front, connections.clone(), move |request| {
        relay::serve(relays.clone(), request)
    }));
}

/// Reads the settings again at each signal, and passes those that may change at run time to the core. If they can't be
/// read, the last ones stay in force.
async fn reload_settings(mut changes: Signal, path: PathBuf, desk: Arc<Desk>, boot: BootClock) {
    while changes.recv().await.is_some() {
        let read = std::fs::read_to_string(&path).map_err(|error| error.to_string());
        let read =
            read.and_then(|text| SiteSettings::parse(&text).map_err(|error| error.to_string()));
        match read {
            Ok(settings) => {
                info!(event = "reload", path = %path.display());
                desk.tell(Event::SettingsChanged(Box::new(tuning(&settings, boot))));
            }
            Err(error) => warn!(event = "settings-unreadable", path = %path.display(), %error),
        }
    }
}

/// Reports the log lines that were dropped since the last call, and returns the total.
fn report_dropped(desk: &Desk, before: usize) -> usize {
    let now = dropped_lines();
    if now > before {
        desk.metrics.dropped(now - before);
        warn!(event = "log-dropped", lines = now - before);
    }
    now
}

/// This router's entry as it was last read: `None` before the first read, and no entry where there is none.
type FoundEntry = Option<Option<Vec<u8>>>;

/// Follows the topics of the store, and tells `listed` of this router's entry in the list of routers.
fn follow_store(
    store: &Store,
    desk: &Arc<Desk>,
    settings: &SiteSettings,
    listed: watch::Sender<FoundEntry>,
) -> Lists {
    let registry = Arc::new(Registry::new(desk.clone()));
    let lists = Lists {
        desk: desk.clone(),
        registry: registry.clone(),
        servers: Cursor::default(),
        operator: Cursor::default(),
    };
    let config = settings.config_ms.duration();
    let mut operator = Operator::new(desk.clone());
    let topic = Topic {
        name: OPERATOR,
        interval: CONFIG_INTERVAL,
        hold: (config / CONFIG_READS).min(MAX_HOLD),
        mode: ReadMode::Newest,
    };
    let cursor = lists.operator.clone();
    tokio::spawn(follow(store.clone(), topic, move |batch| {
        let next = batch.next;
        if operator.apply(batch) {
            cursor.advance(next);
        }
    }));
    let (servers, cursor) = (registry.clone(), lists.servers.clone());
    let list = |name| Topic {
        name,
        interval: LIST_INTERVAL,
        hold: MAX_HOLD,
        mode: ReadMode::All,
    };
    tokio::spawn(follow(store.clone(), list(SERVERS), move |batch| {
        servers.servers(SystemClock.now(), batch.update);
        cursor.advance(batch.next);
    }));
    let (desk, own) = (desk.clone(), settings.vm.to_string());
    tokio::spawn(follow(store.clone(), list(ROUTERS), move |batch| {
        if let Some(found) = batch.update.newest(&own) {
            let found = found.map(<[u8]>::to_vec);
            let exists = found.is_some();
            // This router is listed only after the first read, so that an entry of its name is of a former life.
            if listed.send_replace(Some(found)).is_none() && exists {
                desk.tell(Event::FormerLife);
            }
        }
        registry.routers(batch.update);
    }));
    lists
}

fn tuning(settings: &SiteSettings, clock: BootClock) -> Tuning {
    let limits = RequestLimits::default();
    Tuning {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.front.to_string(),
        lean: settings.lean,
        pace: AppendTiming {
            interval: Duration::from_millis(25),
            timeout: Duration::from_secs(1),
        },
        outage_after: Duration::from_secs(1),
        end_marker: EndMarker::default(),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        silence_timeout: Duration::from_secs(4),
        default_timeout: limits.deadline_ms.duration(),
        queue_limit: limits.queue,
        log_retention: Duration::from_secs(3600),
        queue_timeout: limits.queue_ms.duration(),
        address_ttl: settings.keep_ms.duration(),
        partition_timeout: Duration::from_secs(3600),
        drain_timeout: settings.grace_ms.duration().saturating_sub(GRACE_MARGIN),
        accounting: Accounting::Grants(GrantTuning {
            config_max_age: settings.config_ms.duration(),
            min_drain: settings.keep_ms.duration().mul_f64(KEEP_FACTOR),
            retries: RetryLimit::between_callers_and_endpoints(
                settings.retry_ratio,
                settings.retry_spare,
                settings.retry_window_ms.duration(),
            ),
            brittle_grace: settings.brittle_grace_ms.duration(),
        }),
        clock,
    }
}

/// This router's entry in the store.
pub(crate) struct Listing {
    leaving: watch::Sender<bool>,
}

impl Listing {
    /// Lists the router once the list has been read, and again whenever its entry is overwritten or deleted.
    fn begin(settings: &SiteSettings, store: Store, read: watch::Receiver<FoundEntry>) -> Self {
        let (leaving, left) = watch::channel(false);
        let mut labels = Labels::default();
        labels.set("role", "router");
        labels.set("peer", &settings.peer_listen.to_string());
        labels.set(FORWARD_LABEL, &settings.forward_address().to_string());
        labels.set(
            CPU_LABEL,
            &(settings.cpu_share * 1000.0).round().to_string(),
        );
        labels.set(LINK_LABEL, &settings.link_mbps.ceil().to_string());
        let entry = VmEntry {
            vm: settings.vm.clone(),
            address: settings.front,
            domain: settings.domain.clone(),
            labels,
            state: VmState::Live,
        };
        tokio::spawn(keep_listed(entry, store, read, left));
        Self { leaving }
    }

    /// Removes the entry.
    pub(crate) fn leave(&self) {
        self.leaving.send_replace(true);
    }
}

/// Keeps the router listed until it leaves, and then removes its entry.
///
/// Nobody else writes the entry again: if another writer overwrote it, or a former life deleted it late, the other routers
/// would never find this one.
async fn keep_listed(
    entry: VmEntry,
    store: Store,
    mut read: watch::Receiver<FoundEntry>,
    mut left: watch::Receiver<bool>,
) {
    let value = serde_json::to_vec(&entry).expect("an entry can be written");
    while !*left.borrow() {
        let found = read.borrow_and_update().clone();
        if let Some(found) = found.filter(|found| found.as_ref() != Some(&value)) {
            info!(event = "listing", vm = %entry.vm, overwritten = found.is_some());
            write(&store, &entry, Some(value.clone()), &mut left).await;
            let _ = timeout(LISTING_INTERVAL, left.wait_for(|left| *left)).await;
        }
        let goes_on = tokio::select! {
            left = left.wait_for(|left| *left) => left.is_ok(),
            changed = read.changed() => changed.is_ok(),
        };
        if !goes_on {
            return;
        }
    }
    write(&store, &entry, None, &mut left).await;
}

/// Writes or deletes an entry, and retries until the store confirms it.
async fn write(
    store: &Store,
    entry: &VmEntry,
    value: Option<Vec<u8>>,
    left: &mut watch::Receiver<bool>,
) {
    let record = Keyed {
        key: entry.vm.to_string(),
        value,
    };
    let listing = record.value.is_some();
    while !(listing && *left.borrow()) {
        match store
            .append(ROUTERS, std::slice::from_ref(&record), None)
            .await
        {
            Append::Landed => return,
            append => warn!(event = "unlisted", vm = %entry.vm, ?append),
        }
        sleep(WRITE_INTERVAL).await;
    }
}
