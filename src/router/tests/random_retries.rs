//! Random fleets whose endpoints turn requests away, break off, fall silent or are paused, while routers restart or know
//! an old VM list, and requests stop or move between pools. The retries of each pool are counted as an observer sees them.

use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::router::tests::fleet::APPS;
use crate::router::tests::fleet::Fleet;
use crate::router::tests::fleet::app;
use crate::router::tests::fleet::endpoint;

const ENDPOINTS: usize = 12;
/// How many spans of a second each fleet is run for.
const SPANS: u64 = 30;
/// Endpoints are paused for fewer spans than this.
const LONGEST_PAUSE: u64 = 9;

struct Play {
    fleet: Fleet,
    rng: ChaCha8Rng,
    /// Requests a second.
    rate: f64,
    /// For how many more spans some endpoints are paused.
    paused: u64,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = [1, 2, 7, 13, 40][rng.random_range(0..5)];
        Self {
            fleet: Fleet::start(routers, ENDPOINTS),
            rng,
            rate: 300.0,
            paused: 0,
        }
    }

    /// Changes something at random, runs for a second, and checks what must hold.
    fn step(&mut self) {
        match self.rng.random_range(0..10) {
            0..=1 => self.change_refusing(),
            2 => self.change_failing(),
            3 => self.change_routes(),
            4 => self.rate = [0.0, 20.0, 100.0, 400.0][self.rng.random_range(0..4)],
            5 => self.restart_some(),
            6 => self.fleet.change_list(&mut self.rng),
            7..=8 if self.paused == 0 => self.pause_some(),
            _ => {}
        }
        self.paused = self.paused.saturating_sub(1);
        if self.paused == 0 {
            self.fleet.paused.clear();
        }
        self.fleet.run(1.0, self.rate);
        assert_eq!(self.fleet.excess_retries(), None);
    }

    /// Has endpoints of a pool, of both or of none turn requests away.
    fn change_refusing(&mut self) {
        let engines = (0..ENDPOINTS).map(endpoint);
        let apps = (0..APPS).map(app);
        self.fleet.refusing = match self.rng.random_range(0..4) {
            0 => IndexSet::new(),
            1 => engines.collect(),
            2 => apps.collect(),
            _ => engines.chain(apps).collect(),
        };
    }

    /// Has some endpoints never answer, and others break off their answers.
    fn change_failing(&mut self) {
        let silent = [0, 1, 4][self.rng.random_range(0..3)];
        let breaking = [0, 2, 6][self.rng.random_range(0..3)];
        self.fleet.silent = (0..silent).map(endpoint).collect();
        self.fleet.breaking = (silent..silent + breaking).map(endpoint).collect();
    }

    /// Pauses some endpoints for seconds.
    fn pause_some(&mut self) {
        let count = [1, 4, ENDPOINTS][self.rng.random_range(0..3)];
        self.fleet.paused = (0..count).map(endpoint).collect();
        self.paused = self.rng.random_range(2..LONGEST_PAUSE);
    }

    /// Moves requests between the pools.
    fn change_routes(&mut self) {
        let routes = [
            vec!["again"],
            vec!["app"],
            vec!["split"],
            vec!["again", "app", "stream", "again"],
            vec!["stream"],
        ];
        self.fleet.routes = routes[self.rng.random_range(0..routes.len())].clone();
    }

    fn restart_some(&mut self) {
        let share = [0.1, 0.5, 1.0][self.rng.random_range(0..3)];
        for site in 0..self.fleet.sites.len() {
            if self.rng.random_bool(share) {
                self.fleet.restart(site);
            }
        }
    }
}

fn play(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        println!("seed={seed}");
        let mut play = Play::new(seed);
        for _ in 0..SPANS {
            play.step();
        }
    }
}

/// Guards against retries beyond a pool's limit that come about only when several things happen at once.
#[test]
fn retries_keep_to_the_limit_in_random_fleets() {
    play(0..12);
}

/// The same with more seeds, to be run by hand.
#[test]
#[ignore = "takes minutes"]
fn retries_keep_to_the_limit_in_many_random_fleets() {
    play(100..400);
}
