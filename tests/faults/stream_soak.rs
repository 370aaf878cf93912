//! Streams whose every event is checked, while routers and endpoints die, pause and are replaced in a random order.
//!
//! `STREAM_SOAK_SEEDS` (`1..51` or `7`) tells the seeds of the plays that are run by hand. `STREAM_SOAK_PROGRAM` is the
//! program with which their routers start first, and `STREAM_SOAK_REPLACEMENT` the one with which they start again.

mod caller;
mod endpoint;
mod play;
mod stream;
mod trouble;

use std::env;
use std::ops::Range;
use std::time::Duration;

use anyhow::Result;
use indexmap::IndexMap;
use tokio::sync::Mutex;

use crate::stream_soak::play::Play;
use crate::stream_soak::stream::Stream;
use crate::stream_soak::trouble::Trouble;

/// A service whose streams may not be resumed, and one whose streams may.
const ONCE: &str = "once";
const RESUMABLE: &str = "resumable";
/// A part of the paths of streams with large events.
const LARGE: &str = "large";
/// How many events a stream has.
const EVENTS: usize = 16;
/// How long callers begin streams in a play.
const SHORT: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(6);
/// The seeds that are played by hand unless others are given.
const SEEDS: Range<u64> = 1..51;

const VMS: [usize; 3] = [217, 218, 219];
const MORE_VMS: [usize; 6] = [217, 218, 219, 237, 238, 239];

/// Plays have the same VMs.
static PLAYS: Mutex<()> = Mutex::const_new(());

/// What came of a play's streams.
#[derive(Debug, Default)]
struct Outcome {
    streams: usize,
    complete: usize,
    /// How many streams were taken up, and how many of these were complete in the end.
    taken_up: usize,
    went_on: usize,
    /// How many streams broke the order in each way.
    faults: IndexMap<String, usize>,
}

impl Outcome {
    fn add(&mut self, trouble: Trouble, streams: &[Stream]) {
        for stream in streams {
            self.streams += 1;
            self.complete += usize::from(stream.complete);
            self.taken_up += usize::from(stream.taken_up);
            self.went_on += usize::from(stream.taken_up && stream.complete);
            let is_expected = stream.complete || trouble != Trouble::Nothing;
            if stream.fault.is_some() || !is_expected {
                println!("{}", stream.describe());
            }
            if let Some(fault) = &stream.fault {
                *self.faults.entry(fault.clone()).or_default() += 1;
            }
        }
    }

    /// Returns what is wrong with it.
    fn wrong(&self, trouble: Trouble) -> Option<&'static str> {
        if !self.faults.is_empty() {
            return Some("streams break the order");
        }
        let wrong = match trouble {
            Trouble::Nothing => self.complete < self.streams,
            Trouble::OneRouter | Trouble::JoinBehind => self.went_on * 2 < self.taken_up,
            Trouble::Anything => self.complete == 0,
        };
        wrong.then_some("streams do not go on")
    }
}

/// Runs plays one after the other, and checks them all.
async fn run_plays(plays: &[(u64, Trouble)], vms: &[usize], length: Duration) -> Result<()> {
    let _alone = PLAYS.lock().await;
    let mut wrong = Vec::new();
    for (seed, trouble) in plays {
        let play = Play::start(*seed, *trouble, vms).await?;
        let outcome = play.run(*trouble, length).await?;
        if let Some(what) = outcome.wrong(*trouble) {
            wrong.push(format!("seed {seed}, {trouble:?}: {what}: {outcome:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

/// Returns the plays that are run by hand.
fn plays_by_hand() -> Result<Vec<(u64, Trouble)>> {
    let seeds = match env::var("STREAM_SOAK_SEEDS") {
        Ok(seeds) => match seeds.split_once("..") {
            Some((first, end)) => first.parse()?..end.parse()?,
            None => seeds.parse()?..seeds.parse::<u64>()? + 1,
        },
        Err(_) => SEEDS,
    };
    let plays = seeds.map(|seed| {
        let trouble = match seed % 5 {
            0 => Trouble::Nothing,
            1 => Trouble::OneRouter,
            _ => Trouble::Anything,
        };
        (seed, trouble)
    });
    Ok(plays.collect())
}

/// Guards against events that are missing, come twice or are joined, and against streams that end early, after any fault.
#[tokio::test]
async fn streams_keep_their_order() -> Result<()> {
    let plays = [
        (1, Trouble::Nothing),
        (2, Trouble::OneRouter),
        (3, Trouble::Anything),
        (4, Trouble::JoinBehind),
    ];
    run_plays(&plays, &VMS, SHORT).await
}

/// Guards against events out of order and streams that end early, over many seeds.
#[tokio::test]
#[ignore = "runs for ten minutes"]
async fn streams_keep_their_order_over_many_seeds() -> Result<()> {
    run_plays(&plays_by_hand()?, &VMS, LONG).await
}

/// Guards against events out of order where more routers serve than keep a replica of a stream.
#[tokio::test]
#[ignore = "runs for ten minutes"]
async fn streams_keep_their_order_at_more_routers() -> Result<()> {
    run_plays(&plays_by_hand()?, &MORE_VMS, LONG).await
}

/// Guards against streams of two versions where routers stand still while a version joins, over many seeds.
#[tokio::test]
#[ignore = "runs for ten minutes"]
async fn streams_keep_their_order_while_versions_join_behind_routers() -> Result<()> {
    let plays = plays_by_hand()?.into_iter();
    let plays: Vec<_> = plays.map(|(seed, _)| (seed, Trouble::JoinBehind)).collect();
    run_plays(&plays, &VMS, SHORT).await
}
