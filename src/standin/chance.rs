//! Seeded chance, so that a run with faults can be had again.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Decides by chance; the same seed and questions give the same answers.
#[derive(Debug)]
pub(crate) struct Chance {
    rng: ChaCha8Rng,
}

impl Chance {
    /// Starts from a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns true with a probability, of which anything outside 0 to 1 counts as the nearer end.
    pub(crate) fn strikes(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }
}
