//! Random fleets whose endpoints announce limits, rests and that they leave, and are paused, while routers restart,
//! heartbeats are lost and routers know different VM lists.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::router::tests::fleet::Fleet;
use crate::router::tests::fleet::endpoint;

const ENDPOINTS: usize = 6;
/// Endpoints are paused for fewer spans than this.
const LONGEST_PAUSE: u64 = 9;
/// How many spans of a second each fleet is run for.
const SPANS: u64 = 25;

struct Play {
    fleet: Fleet,
    rng: ChaCha8Rng,
    /// For how many more spans some endpoints are paused.
    paused: u64,
    /// Endpoints that leave, and when the last router has to know.
    leavers: Vec<(usize, Duration)>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = [1, 2, 6, 7, 13, 40][rng.random_range(0..6)];
        let mut fleet = Fleet::start(routers, ENDPOINTS);
        fleet.loss = [0.0, 0.0, 0.1, 0.5][rng.random_range(0..4)];
        Self {
            fleet,
            rng,
            paused: 0,
            leavers: Vec::new(),
        }
    }

    /// Changes something at random, runs for a second, and checks what must hold.
    fn step(&mut self) {
        let n = self.rng.random_range(0..ENDPOINTS);
        let vm = endpoint(n);
        match self.rng.random_range(0..12) {
            10..=11 if self.paused == 0 => self.pause_some(),
            0..=2 => {
                let rate = [0.0, 0.3, 1.1, 3.1, 8.0][self.rng.random_range(0..5)];
                self.fleet.change_limit(&vm, Some(rate));
            }
            3 => self.fleet.change_limit(&vm, None),
            4..=5 => {
                let rest = Duration::from_millis(self.rng.random_range(200..4000));
                self.fleet.rests.insert(vm, rest);
            }
            6 => drop(self.fleet.rests.swap_remove(&vm)),
            7 if self.leavers.len() < 2 => {
                self.fleet.leaving.insert(vm);
                self.leavers.push((n, self.fleet.elapsed));
            }
            8 => {
                let site = self.rng.random_range(0..self.fleet.sites.len());
                self.fleet.restart(site);
            }
            _ => self.fleet.change_list(&mut self.rng),
        }
        self.paused = self.paused.saturating_sub(1);
        if self.paused == 0 {
            self.fleet.paused.clear();
        }
        let rate = self.rng.random_range(5.0..120.0);
        self.fleet.run(1.0, rate);
        assert_eq!(self.fleet.overrun(), Vec::new());
        assert_eq!(self.fleet.disturbed, 0);
        assert_eq!(self.fleet.after_leaving, 0);
    }

    /// Pauses some endpoints for seconds.
    fn pause_some(&mut self) {
        let count = [1, 3, ENDPOINTS][self.rng.random_range(0..3)];
        self.fleet.paused = (0..count).map(endpoint).collect();
        self.paused = self.rng.random_range(2..LONGEST_PAUSE);
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

/// Guards against limits, rests and leaving endpoints that are overrun only when several things happen at once.
#[test]
fn announcements_hold_in_random_fleets() {
    play(0..12);
}

/// The same with more seeds, to be run by hand.
#[test]
#[ignore = "takes minutes"]
fn announcements_hold_in_many_random_fleets() {
    play(100..400);
}
