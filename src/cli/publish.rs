//! The command `config put`: publishes changes.

#![expect(
    clippy::disallowed_methods,
    reason = "an edge: it waits between two tries"
)]

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::cli::args::Places;
use crate::cli::args::PutArgs;
use crate::cli::configuration::LIMIT;
use crate::cli::configuration::STREAM;
use crate::cli::configuration::Stream;
use crate::cli::failure::Failure;
use crate::cli::file;
use crate::cli::output::Output;
use crate::config::ChangeSet;
use crate::config::Config;
use crate::config::Document;
use crate::config::Rejected;
use crate::ids::Version;
use crate::log_client::AppendError;

/// How long one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(1);

/// How many reads look for a record whose append was not answered. A slow service may append it late, but an operator does
/// not wait longer.
const MAX_READS: usize = 10;

/// The result of publishing changes.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
enum Published {
    Accepted { version: Version, changes: usize },
}

impl fmt::Display for Published {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Accepted { version, changes } = self;
        write!(
            f,
            "accepted: {changes} changes in force as version {version}"
        )
    }
}

pub(crate) async fn put(places: &Places, args: &PutArgs, output: Output) -> Result<(), Failure> {
    let mut put = file::read_put(&args.file)?;
    let mut stream = Stream::open(places).await?;
    if args.force_base {
        for change in &mut put.changes {
            change.base = stream.config.version_of(change.kind, &change.name);
        }
    }
    leave_out_unchanged(&mut put, &stream.config);
    if put.changes.is_empty() {
        let version = stream.config.version();
        let changes = 0;
        return Ok(output.show(&Published::Accepted { version, changes })?);
    }
    put.id = format!("{:016x}", rand::random::<u64>());
    let bytes = Bytes::from(put.to_bytes());
    try_out(&stream, &bytes)?;
    let unsure = match stream.log().append(STREAM, bytes, LIMIT).await {
        Ok(_) => None,
        Err(AppendError::Not(why)) => return Err(anyhow::anyhow!("not published: {why}").into()),
        Err(AppendError::Unknown(why)) => Some(why),
    };
    let version = find(&mut stream, &put.id, unsure).await?;
    let changes = put.changes.len();
    Ok(output.show(&Published::Accepted { version, changes })?)
}

/// Removes the documents that are in force unchanged. Published again, they would get a new version, and a concurrent
/// change by another operator would be rejected as a conflict without reason.
fn leave_out_unchanged(put: &mut ChangeSet, config: &Config) {
    put.changes.retain(|change| {
        let current = config.document(change.kind, &change.name);
        let same = |d: &Document| d.version == change.base && change.body.as_ref() == Some(&d.body);
        !current.is_some_and(same)
    });
}

/// Applies the record to a copy, so that a record that is certain to be rejected is not published. The order in the log
/// decides in the end.
fn try_out(stream: &Stream, bytes: &[u8]) -> Result<(), Failure> {
    let mut copy = stream.config.clone();
    let next = copy.next_offset();
    copy.apply(next, bytes).map_err(rejected)
}

/// Reads until the record is folded, and returns the resulting version.
///
/// The answer to an append may be lost although the record was appended. The record is therefore searched by its id;
/// otherwise a failure would be reported for a change that is in force.
async fn find(stream: &mut Stream, id: &str, unsure: Option<String>) -> Result<Version, Failure> {
    let mut problem = unsure.unwrap_or_else(|| "the record has not come back yet".to_owned());
    for _ in 0..MAX_READS {
        let folded = match stream.step(READ_WAIT).await {
            Ok(folded) => folded,
            Err(e) => {
                problem = e.to_string();
                tokio::time::sleep(READ_WAIT).await;
                continue;
            }
        };
        let mine = |bytes: &[u8]| ChangeSet::parse(bytes).is_ok_and(|put| put.id == id);
        if let Some((record, outcome)) = folded.into_iter().find(|(r, _)| mine(&r.data)) {
            outcome.map_err(rejected)?;
            return Ok(Version(record.offset.0 + 1));
        }
    }
    Err(Failure::Unknown(format!(
        "{problem}. The same command again is safe: where this one took effect, it is told of a conflict"
    )))
}

/// Returns the failure of a command whose record was rejected.
pub(crate) fn rejected(why: Rejected) -> Failure {
    match why {
        Rejected::Conflict { .. } => Failure::Conflict(format!("conflict: {why}")),
        Rejected::Invalid(_) | Rejected::Unreadable(_) => Failure::Refused(why.to_string()),
        Rejected::Gap { .. } => Failure::Failed(why.into()),
    }
}
