//! `config put`: publishing changes.

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

/// How long one look for the record may wait for new ones.
const LOOK: Duration = Duration::from_secs(1);

/// How often to look for a record whose append was answered by nothing. A slow service may take it late; an operator
/// does not wait longer.
const LOOKS: usize = 10;

/// What became of the changes.
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

/// Leaves out what is in force as it is. Published again, it would get a new version, and another operator who changes
/// it at the same time would be told of a conflict over nothing.
fn leave_out_unchanged(put: &mut ChangeSet, config: &Config) {
    put.changes.retain(|change| {
        let current = config.document(change.kind, &change.name);
        let same = |d: &Document| d.version == change.base && change.body.as_ref() == Some(&d.body);
        !current.is_some_and(same)
    });
}

/// Applies the record to a copy, so that what is sure to be refused is not published. Only the log's order decides.
fn try_out(stream: &Stream, bytes: &[u8]) -> Result<(), Failure> {
    let mut copy = stream.config.clone();
    let next = copy.next_offset();
    copy.apply(next, bytes).map_err(rejected)
}

/// Reads on until the record is folded, and returns the version that it made.
///
/// The answer to an append may be lost after the record was taken. Without looking for it, the operator would be told
/// of a failure while the change is in force; so the record is found by its mark.
async fn find(stream: &mut Stream, id: &str, unsure: Option<String>) -> Result<Version, Failure> {
    let mut problem = unsure.unwrap_or_else(|| "the record has not come back yet".to_owned());
    for _ in 0..LOOKS {
        let folded = match stream.step(LOOK).await {
            Ok(folded) => folded,
            Err(e) => {
                problem = e.to_string();
                tokio::time::sleep(LOOK).await;
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

/// Returns how a command ends whose record is not accepted.
pub(crate) fn rejected(why: Rejected) -> Failure {
    match why {
        Rejected::Conflict { .. } => Failure::Conflict(format!("conflict: {why}")),
        Rejected::Invalid(_) | Rejected::Unreadable(_) => Failure::Refused(why.to_string()),
        Rejected::Gap { .. } => Failure::Failed(why.into()),
    }
}
