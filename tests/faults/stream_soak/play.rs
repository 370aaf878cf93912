//! A play: routers, endpoints and callers, and what happens to them step by step.

use std::env;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use anyhow::Result;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::platform::LIMIT;
use crate::platform::ROUTER;
use crate::platform::Router;
use crate::platform::put_config;
use crate::platform::put_endpoint_version;
use crate::platform::route;
use crate::store::Store;
use crate::stream_soak::ONCE;
use crate::stream_soak::Outcome;
use crate::stream_soak::RESUMABLE;
use crate::stream_soak::caller::Caller;
use crate::stream_soak::endpoint::Endpoint;
use crate::stream_soak::endpoint::Framing;
use crate::stream_soak::endpoint::Runs;
use crate::stream_soak::endpoint::State;
use crate::stream_soak::trouble::Step;
use crate::stream_soak::trouble::Trouble;
use crate::wait_for;

/// How many endpoints run each version.
pub(super) const ENDPOINTS: usize = 3;
const CALLERS: usize = 40;
/// The time after a fault until the next one, in milliseconds.
const CALM_MS: Range<u64> = 0..1000;
/// How long a play waits for what is due.
const TICK: Duration = Duration::from_millis(20);
/// How far apart the attempts are to start a router whose process before has not ended, in milliseconds.
const RESTART_MS: Range<u64> = 200..400;
/// How long an endpoint pauses, and until when the entry of one that died is gone and another one is there.
const PAUSE_MS: Range<u64> = 500..3000;
const REPLACE_MS: Range<u64> = 0..1500;

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

/// A router, or the VM of one.
pub(super) struct Vm {
    number: usize,
    router: Option<Router>,
    leaving: bool,
}

/// One play.
pub(super) struct Play {
    seed: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) vms: Vec<Vm>,
    store: Store,
    at: SocketAddr,
    pub(super) endpoints: Vec<Endpoint>,
    /// Those that are listed no more, and may still serve.
    unlisted: Vec<Endpoint>,
    runs: Arc<Runs>,
    pub(super) due: Vec<(Instant, Step)>,
    /// How many versions and endpoints there were.
    pub(super) versions: usize,
    names: usize,
    /// The program with which routers start.
    program: PathBuf,
}

/// Returns the program of routers that a variable names, or this build's.
fn program(variable: &str) -> PathBuf {
    PathBuf::from(env::var_os(variable).unwrap_or_else(|| ROUTER.into()))
}

impl Play {
    /// Starts routers on VMs, and endpoints of as many versions as there are at first.
    pub(super) async fn start(seed: u64, trouble: Trouble, vms: &[usize]) -> Result<Self> {
        let (store, at) = Store::start().await?;
        let mut resumable = route(RESUMABLE, "streaming");
        resumable["resumable"] = json!(true);
        put_config(&store, &[resumable, route(ONCE, "streaming")]);
        let runs = Runs {
            seed,
            count: AtomicUsize::new(0),
        };
        let vms = vms.iter().map(|number| Vm {
            number: *number,
            router: None,
            leaving: false,
        });
        let mut play = Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            vms: vms.collect(),
            store,
            at,
            endpoints: Vec::new(),
            unlisted: Vec::new(),
            runs: Arc::new(runs),
            due: Vec::new(),
            versions: trouble.versions(),
            names: 0,
            program: program("STREAM_SOAK_PROGRAM"),
        };
        for version in 1..=play.versions {
            play.add_version(&format!("v{version}")).await?;
        }
        for vm in 0..play.vms.len() {
            play.start_router(vm)?;
        }
        play.program = program("STREAM_SOAK_REPLACEMENT");
        let routers = play.vms.len();
        wait_for("all routers are listed", LIMIT, async || {
            Ok(play.store.count("keyed.routers") == routers)
        })
        .await?;
        for router in play.vms.iter().filter_map(|vm| vm.router.as_ref()) {
            router.wait_serving(RESUMABLE).await?;
            router.wait_serving(ONCE).await?;
        }
        Ok(play)
    }

    fn start_router(&mut self, vm: usize) -> Result<()> {
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 100.0, "retry_window_ms": 2000});
        let vm = &mut self.vms[vm];
        let router = Router::start_program(&self.program, vm.number, self.at, &settings)?;
        vm.router = Some(router);
        vm.leaving = false;
        Ok(())
    }

    async fn add_version(&mut self, version: &str) -> Result<()> {
        for service in [RESUMABLE, ONCE] {
            for _ in 0..ENDPOINTS {
                self.add_endpoint(service, version).await?;
            }
        }
        Ok(())
    }

    async fn add_endpoint(&mut self, service: &'static str, version: &str) -> Result<()> {
        self.names += 1;
        let name = format!("{service}-{version}-{}", self.names);
        let framing = FRAMINGS[self.names % FRAMINGS.len()];
        let runs = self.runs.clone();
        let endpoint = Endpoint::start(name, service, version.to_owned(), framing, runs).await?;
        put_endpoint_version(
            &self.store,
            &endpoint.name,
            service,
            endpoint.address,
            version,
        );
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Does what is due.
    async fn act(&mut self) -> Result<()> {
        let now = Instant::now();
        let due = self.due.extract_if(.., |(at, _)| *at <= now);
        for (_, step) in due.collect::<Vec<_>>() {
            self.take(step).await?;
        }
        Ok(())
    }

    async fn take(&mut self, step: Step) -> Result<()> {
        println!("seed {}: {step:?}", self.seed);
        match step {
            Step::Kill(vm) => self.vms[vm].router = None,
            Step::Freeze(vm) => self.signal(vm, "STOP")?,
            Step::Continue(vm) => self.signal(vm, "CONT")?,
            Step::Terminate(vm) => {
                self.signal(vm, "TERM")?;
                self.vms[vm].leaving = true;
            }
            Step::Start(vm) => self.restart(vm)?,
            Step::Endpoint(state) => self.disturb_endpoint(state).await,
            Step::Resume(name) => {
                let paused = self.endpoints.iter().find(|e| e.name == name);
                paused.inspect(|endpoint| endpoint.set(State::Serves));
            }
            Step::Remove(name) => {
                self.store.remove("keyed.servers", &name);
                let removed = self.endpoints.extract_if(.., |e| e.name == name);
                self.unlisted.extend(removed);
            }
            Step::Add { service, version } => self.add_endpoint(service, &version).await?,
        }
        Ok(())
    }

    fn signal(&self, vm: usize, name: &str) -> Result<()> {
        match &self.vms[vm].router {
            Some(router) => router.process.signal(name),
            None => Ok(()),
        }
    }

    /// Starts a router again once its process is gone.
    fn restart(&mut self, vm: usize) -> Result<()> {
        let state = &mut self.vms[vm];
        let runs = match &mut state.router {
            Some(router) => router.process.ended()?.is_none(),
            None => false,
        };
        if !runs {
            return self.start_router(vm);
        }
        if state.leaving {
            self.plan(RESTART_MS, Step::Start(vm));
        }
        Ok(())
    }

    /// Has an endpoint die, and another one of its version come for it, or has it pause.
    async fn disturb_endpoint(&mut self, state: State) {
        if self.endpoints.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[chosen];
        let (name, service) = (endpoint.name.clone(), endpoint.service);
        let version = endpoint.version.clone();
        if state == State::Paused {
            endpoint.set(state);
            return self.plan(PAUSE_MS, Step::Resume(name));
        }
        endpoint.die(state).await;
        self.plan(REPLACE_MS, Step::Remove(name));
        self.plan(REPLACE_MS, Step::Add { service, version });
    }

    /// Has callers ask for streams while things happen, and returns what came of the streams.
    pub(super) async fn run(mut self, trouble: Trouble, length: Duration) -> Result<Outcome> {
        let end = Instant::now() + length;
        let routers = self.vms.iter().filter_map(|vm| vm.router.as_ref());
        let fronts: Vec<_> = routers.map(|router| router.front).collect();
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let seed = self.seed * 1000 + number as u64;
            let caller = Caller {
                name: format!("{trouble:?}-{seed}"),
                fronts: fronts.clone(),
                rng: ChaCha8Rng::seed_from_u64(seed),
                kept: IndexMap::new(),
                end,
            };
            callers.spawn(caller.run());
        }
        let mut next = self.within(CALM_MS);
        let mut outcome = Outcome::default();
        let mut disturbed = trouble == Trouble::Nothing;
        while !callers.is_empty() {
            if let Ok(Some(streams)) = timeout(TICK, callers.join_next()).await {
                outcome.add(trouble, &streams??);
            }
            if !disturbed && next <= Instant::now() && next < end {
                match trouble {
                    Trouble::Nothing | Trouble::OneRouter => self.disturb_router(),
                    Trouble::JoinBehind => self.join_behind(),
                    Trouble::Anything => self.disturb(),
                }
                disturbed = trouble != Trouble::Anything;
                next = self.within(CALM_MS);
            }
            self.act().await?;
        }
        println!("seed {}, {trouble:?}: {outcome:?}", self.seed);
        Ok(outcome)
    }
}
