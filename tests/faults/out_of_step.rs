//! Streams that are taken up at a router that is out of step, while endpoints of another version join.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::platform::LIMIT;
use crate::versions::BREAK;
use crate::versions::EVENTS;
use crate::versions::ROUTERS;
use crate::versions::SERVICE;
use crate::versions::Site;
use crate::versions::Stream;

const STREAMS: usize = 24;
/// From the fault to the second version, and from there to the first stream.
const DELAY: Duration = Duration::from_millis(50);
/// Long enough that the calls that the store holds time out in the shortest pause played by default.
const SETTLE_MS: u64 = 1300;
/// When streams are broken off at the earliest.
const BROKEN_OFF_MS: u64 = 150;
/// How long a stream that can go on may wait for the first bytes of its answer.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Longer than any play.
const DARK: Duration = Duration::from_secs(3600);

/// What takes routers out of step.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Their processes stand still.
    Stopped,
    /// The store's answers to them are held back for so long.
    Lag(Duration),
}

/// When the second version joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Join {
    Never,
    Before,
    /// Just after the fault began.
    Behind,
}

/// Streams that begin at routers that are in step, and are taken up at those that are not.
#[derive(Clone, Copy, Debug)]
struct Play {
    /// When the fault begins, from when all routers serve.
    settle_ms: u64,
    /// How many routers are out of step, the first ones. Of none or all, streams begin and are taken up at any.
    behind: usize,
    fault: Fault,
    length_ms: u64,
    /// When streams are taken up, from when the fault began.
    take_up_ms: u64,
    join: Join,
    /// Whether the last router takes the streams up once more.
    twice: bool,
}

impl Play {
    /// Returns the play of a version that joins while the first router is out of step.
    fn join_behind(fault: Fault, length_ms: u64, take_up_ms: u64) -> Self {
        Self {
            settle_ms: SETTLE_MS,
            behind: 1,
            fault,
            length_ms,
            take_up_ms,
            join: Join::Behind,
            twice: false,
        }
    }

    /// Returns the play of routers that are in step.
    fn in_step(join: Join) -> Self {
        Self {
            behind: 0,
            join,
            ..Self::join_behind(Fault::Stopped, BROKEN_OFF_MS, BROKEN_OFF_MS)
        }
    }

    async fn run(self, first_vm: usize) -> Result<Vec<Stream>> {
        let site = Site::start(first_vm).await?;
        if self.join == Join::Before {
            site.start_second_version().await?;
        }
        sleep(Duration::from_millis(self.settle_ms)).await;
        let start = Instant::now();
        self.set_fault(&site, true)?;
        sleep(DELAY).await;
        if self.join == Join::Behind {
            site.start_version("v2").await?;
        }
        sleep(DELAY).await;
        let after = |ms| sleep_until(start + Duration::from_millis(ms));
        let heal = async {
            after(self.length_ms).await;
            self.set_fault(&site, false)
        };
        let streams = async {
            let begun = (0..STREAMS).map(|n| begin(n, self.fronts(&site, n)));
            let begun = join_all(begun).await?;
            after(self.take_up_ms).await;
            let taken_up = begun.into_iter().map(|stream| {
                let fronts = self.fronts(&site, stream.number);
                take_up(stream, fronts, self.twice)
            });
            join_all(taken_up).await
        };
        let (healed, streams) = tokio::join!(heal, streams);
        healed?;
        let streams = streams?;
        self.print(&streams);
        Ok(streams)
    }

    fn set_fault(&self, site: &Site, begins: bool) -> Result<()> {
        for n in 0..self.behind {
            match self.fault {
                Fault::Stopped if begins => site.routers[n].process.signal("STOP")?,
                Fault::Stopped => site.routers[n].process.signal("CONT")?,
                Fault::Lag(lag) => {
                    let lag = if begins { lag } else { Duration::ZERO };
                    site.entrances[n].0.set_lag(lag);
                }
            }
        }
        Ok(())
    }

    /// Returns where a stream begins, is taken up, and is taken up again.
    fn fronts(&self, site: &Site, n: usize) -> [SocketAddr; ROUTERS] {
        let (first, second) = match self.behind % ROUTERS {
            0 => (n % ROUTERS, (n + 1) % ROUTERS),
            behind => (behind + n % (ROUTERS - behind), n % behind),
        };
        // The numbers of all three add up to three.
        [first, second, 3 - first - second].map(|router| site.routers[router].front)
    }

    fn print(&self, streams: &[Stream]) {
        let later = streams.iter().filter(|s| s.versions[0] == "v2").count();
        let whole = streams.iter().filter(|s| s.is_whole()).count();
        let mixed = streams.iter().filter(|s| s.versions.len() > 1).count();
        let refused = streams.iter().filter(|s| s.statuses[1] == "503").count();
        let waited = streams.iter().map(|s| s.waited).max().unwrap_or_default();
        println!(
            "{self:?}: of {STREAMS} v2 began {later}, {whole} went on, {mixed} of two versions, {refused} refused, waited at most {waited:?}"
        );
    }
}

/// Has a stream begin, and its caller leave.
async fn begin(number: usize, fronts: [SocketAddr; ROUTERS]) -> Result<Stream> {
    let mut stream = Stream {
        number,
        ..Stream::default()
    };
    let (path, name) = (format!("{SERVICE}/{number}"), format!("first-{number}"));
    stream.read(fronts[0], &path, &name, None, BREAK).await?;
    Ok(stream)
}

async fn take_up(mut stream: Stream, fronts: [SocketAddr; ROUTERS], twice: bool) -> Result<Stream> {
    let n = stream.number;
    let (path, first) = (format!("{SERVICE}/{n}"), format!("first-{n}"));
    let attempts = match twice {
        true => &[(1, 2 * BREAK), (2, EVENTS)][..],
        false => &[(1, EVENTS)],
    };
    for (router, most) in attempts {
        let next = format!("next-{router}-{n}");
        let origin = Some(first.as_str());
        let front = fronts[*router];
        stream.read(front, &path, &next, origin, *most).await?;
    }
    Ok(stream)
}

async fn join_all<F>(futures: impl Iterator<Item = F>) -> Result<Vec<Stream>>
where
    F: Future<Output = Result<Stream>> + Send + 'static,
{
    let running: JoinSet<_> = futures.collect();
    let Ok(streams) = timeout(LIMIT, running.join_all()).await else {
        bail!("streams do not end");
    };
    streams.into_iter().collect()
}

/// Runs plays, and checks them afterwards.
async fn check(first_vm: usize, plays: &[Play]) -> Result<()> {
    let mut outcomes = Vec::new();
    for play in plays {
        outcomes.push((play, play.run(first_vm).await?));
    }
    for (play, streams) in outcomes {
        check_versions(play, &streams);
    }
    Ok(())
}

/// Checks that each stream has the text of one version.
fn check_versions(play: &Play, streams: &[Stream]) {
    let later = streams.iter().filter(|s| s.versions[0] == "v2").count();
    let mixed = streams.iter().filter(|s| s.versions.len() > 1).count();
    assert!(later > 0, "{play:?}: the second version serves");
    assert_eq!(mixed, 0, "{play:?}: streams of two versions");
}

/// Checks that all streams of the only version went on, at once.
fn check_all_went_on(streams: &[Stream]) {
    let versions = streams.iter().flat_map(|s| &s.versions);
    assert!(versions.into_iter().all(|version| version == "v1"));
    let whole = streams.iter().filter(|s| s.is_whole()).count();
    assert_eq!(whole, STREAMS, "streams that went on");
    let late = streams.iter().filter(|s| s.waited > AT_ONCE).count();
    assert_eq!(late, 0, "streams that waited for longer than {AT_ONCE:?}");
}

/// Guards against a router that stood still while a version joined, and takes the one that it knew for the only one.
#[tokio::test]
async fn streams_taken_up_while_a_router_stands_still_keep_their_version() -> Result<()> {
    let play = Play::join_behind(Fault::Stopped, 1700, BROKEN_OFF_MS);
    let longer = Play {
        length_ms: 2500,
        ..play
    };
    check(81, &[play, longer]).await
}

/// Guards against the same just after the router wakes.
#[tokio::test]
async fn streams_taken_up_just_after_a_router_stood_still_keep_their_version() -> Result<()> {
    let lengths = [1700, 2500];
    check(
        84,
        &lengths.map(|ms| Play::join_behind(Fault::Stopped, ms, ms + 1)),
    )
    .await
}

/// Guards against the same at a router that hears nothing from the store.
#[tokio::test]
async fn streams_taken_up_at_a_router_cut_off_from_the_store_keep_their_version() -> Result<()> {
    let times = [BROKEN_OFF_MS, 1000, 1700, 4000];
    check(
        87,
        &times.map(|ms| Play::join_behind(Fault::Lag(DARK), ms + 500, ms)),
    )
    .await
}

/// Guards against the same at a router that hears from the store late.
#[tokio::test]
async fn streams_taken_up_at_a_router_that_hears_late_keep_their_version() -> Result<()> {
    let late = Fault::Lag(Duration::from_secs(1));
    let times = [BROKEN_OFF_MS, 600, 1200];
    check(90, &times.map(|ms| Play::join_behind(late, ms + 500, ms))).await
}

/// Guards against two routers out of step that confirm one another.
#[tokio::test]
async fn streams_taken_up_at_two_routers_out_of_step_keep_their_version() -> Result<()> {
    let plays = [Fault::Stopped, Fault::Lag(DARK)].map(|fault| Play {
        behind: 2,
        ..Play::join_behind(fault, 1700, BROKEN_OFF_MS)
    });
    check(93, &plays).await
}

/// Guards against streams that are taken up twice, first at a router that is out of step.
#[tokio::test]
async fn streams_taken_up_twice_keep_their_version() -> Result<()> {
    let plays = [Fault::Stopped, Fault::Lag(DARK)].map(|fault| Play {
        twice: true,
        ..Play::join_behind(fault, 1700, BROKEN_OFF_MS)
    });
    check(150, &plays).await
}

/// Guards against streams refused, or kept waiting, where no other version can have begun them.
#[tokio::test]
async fn streams_of_the_only_version_go_on_at_once() -> Result<()> {
    check_all_went_on(&Play::in_step(Join::Never).run(153).await?);
    Ok(())
}

/// Guards against the same while the store answers no router.
#[tokio::test]
async fn streams_of_the_only_version_go_on_at_once_without_the_store() -> Result<()> {
    for take_up_ms in [BROKEN_OFF_MS, 2000, 4900] {
        let play = Play {
            behind: ROUTERS,
            fault: Fault::Lag(DARK),
            length_ms: 5000,
            take_up_ms,
            ..Play::in_step(Join::Never)
        };
        check_all_went_on(&play.run(156).await?);
    }
    Ok(())
}

/// Guards against streams that are refused at routers in step, while both versions serve.
#[tokio::test]
async fn streams_go_on_at_routers_in_step_while_both_versions_serve() -> Result<()> {
    let play = Play::in_step(Join::Before);
    let streams = play.run(159).await?;
    check_versions(&play, &streams);
    let whole = streams.iter().filter(|s| s.is_whole()).count();
    assert!(whole * 2 >= STREAMS, "{whole} went on");
    Ok(())
}

/// Guards against a router that stood still at any other phase of its calls to the store, for any time.
#[tokio::test]
#[ignore = "runs for three minutes"]
async fn streams_taken_up_at_any_phase_keep_their_version() -> Result<()> {
    let settles = (0..2000).step_by(250);
    let plays = settles.flat_map(|settle_ms| {
        [500, 1000, 1700, 2500, 4000].map(|length_ms| Play {
            settle_ms,
            ..Play::join_behind(Fault::Stopped, length_ms, BROKEN_OFF_MS)
        })
    });
    check(162, &plays.collect::<Vec<_>>()).await
}
