//! The arguments of the command line.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

use crate::config::Kind;
use crate::config::KindError;
use crate::ids::DocName;
use crate::ids::IdempotencyKey;
use crate::ids::ModelId;
use crate::ids::NameError;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::settings::BaseUrl;
use crate::tokens::Tokens;

/// The environment variable that replaces `--router`.
pub(crate) const ROUTER: &str = "JASMINERIDGE_ROUTER";

/// The environment variable that replaces `--log`.
pub(crate) const LOG: &str = "JASMINERIDGE_LOG";

/// The environment variable with the operators' key. There is no option for it, because command lines are visible in the
/// process list.
pub(crate) const ADMIN_KEY: &str = "JASMINERIDGE_ADMIN_KEY";

/// The environment variable with a client account's key.
pub(crate) const ACCOUNT_KEY: &str = "JASMINERIDGE_KEY";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; nothing was changed
  2  the command line cannot be read
  3  conflict: another change came first
  4  refused
  5  outcome unknown: it may have taken effect

Environment:
  JASMINERIDGE_ROUTER     in place of --router
  JASMINERIDGE_LOG        in place of --log
  JASMINERIDGE_ADMIN_KEY  the operators' key
  JASMINERIDGE_KEY        the client account's key, for `ask`";

/// Operates a fleet of routers for prepaid token budgets.
#[derive(Debug, Parser)]
#[command(name = "jasmineridge", version, after_help = EXIT_CODES)]
pub(crate) struct Cli {
    #[command(flatten)]
    pub(crate) places: Places,
    /// Prints JSON, for programs.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Whom to talk to.
#[derive(Clone, Debug, Args)]
pub(crate) struct Places {
    /// A router, http://ip:port; any will do.
    #[arg(long, global = true, value_name = "URL")]
    pub(crate) router: Option<BaseUrl>,
    /// The log service, http://ip:port.
    #[arg(long, global = true, value_name = "URL")]
    pub(crate) log: Option<BaseUrl>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks a file of settings or of changes to the configuration.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Shows and changes the configuration.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Shows budgets and adds to them.
    Team {
        #[command(subcommand)]
        command: TeamCommand,
    },
    /// Shows the state of the router's process.
    Status {
        /// Prints tables, for people.
        #[arg(long, conflicts_with = "json")]
        table: bool,
    },
    /// Asks which router a caller should use.
    Address,
    /// Stops the router in order: it takes no new requests and finishes those in progress.
    Drain,
    /// Sends a completion and prints the answer as it comes.
    Ask(AskArgs),
    /// Verifies the ledger.
    Ledger {
        #[command(subcommand)]
        command: LedgerCommand,
    },
    /// Prints a shell's completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Shows the documents in force.
    Get(GetArgs),
    /// Publishes changes; all of them come into force, or none.
    Put(PutArgs),
    /// Shows what changes would change.
    Diff {
        /// The file of changes.
        file: PathBuf,
    },
}

#[derive(Debug, Args)]
pub(crate) struct GetArgs {
    /// Shows these alone, such as `team/lending` or `rule`.
    pub(crate) only: Vec<DocPattern>,
    /// Prints a file of changes, to edit and publish.
    #[arg(long)]
    pub(crate) changes: bool,
}

#[derive(Debug, Args)]
pub(crate) struct PutArgs {
    /// The file of changes.
    pub(crate) file: PathBuf,
    /// Bases the changes on the versions in force, in place of those that the file names.
    #[arg(long)]
    pub(crate) force_base: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum TeamCommand {
    /// Adds to a team's budget, once per name.
    TopUp {
        /// Whose budget.
        team: TeamId,
        /// How many tokens.
        amount: Tokens,
        /// The top-up's name, such as the number of the payment; the same one again adds nothing.
        #[arg(long)]
        id: TopUpId,
    },
    /// Shows budgets.
    Show {
        /// Shows this team alone.
        team: Option<TeamId>,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum LedgerCommand {
    /// Folds the ledger from the log, and compares what was billed with what was prepaid and used.
    Verify {
        /// Engines to ask what they generated, http://ip:port each.
        #[arg(long, value_delimiter = ',', value_name = "URL,..")]
        engines: Vec<BaseUrl>,
    },
}

#[derive(Debug, Args)]
pub(crate) struct AskArgs {
    /// The question.
    pub(crate) prompt: String,
    /// The model.
    #[arg(long)]
    pub(crate) model: ModelId,
    /// The most tokens that the answer may have.
    #[arg(long)]
    pub(crate) max_tokens: Option<Tokens>,
    /// The request's key; the same one again asks the same once more. A random one, where none is given.
    #[arg(long)]
    pub(crate) id: Option<IdempotencyKey>,
    /// A label of the request; may be given more than once.
    #[arg(long, value_name = "NAME=VALUE")]
    pub(crate) label: Vec<LabelArg>,
    /// How often to try.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
    pub(crate) attempts: u64,
    /// How long to wait for each part of the answer, in milliseconds.
    #[arg(long, default_value_t = 60_000, value_parser = clap::value_parser!(u64).range(1..))]
    pub(crate) timeout_ms: u64,
    /// Asks this router itself, in place of the one that it advises.
    #[arg(long)]
    pub(crate) direct: bool,
}

/// Matches documents: all of a kind, or one.
#[derive(Clone, Debug)]
pub(crate) struct DocPattern {
    pub(crate) kind: Kind,
    pub(crate) name: Option<DocName>,
}

impl FromStr for DocPattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, name) = match text.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (text, None),
        };
        let name = name.map(str::parse).transpose();
        Ok(Self {
            kind: kind.parse().map_err(|e: KindError| e.to_string())?,
            name: name.map_err(|e: NameError| e.to_string())?,
        })
    }
}

/// A label and its value.
#[derive(Clone, Debug)]
pub(crate) struct LabelArg {
    pub(crate) name: String,
    pub(crate) value: String,
}

impl FromStr for LabelArg {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.split_once('=') {
            Some((name, value)) if !name.is_empty() && !text.contains(',') => Ok(Self {
                name: name.to_owned(),
                value: value.to_owned(),
            }),
            _ => Err("a label is NAME=VALUE without commas".to_owned()),
        }
    }
}

impl fmt::Display for LabelArg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.name, self.value)
    }
}

impl Places {
    /// Returns the router's URL.
    ///
    /// # Errors
    ///
    /// When no URL is given, or the one in the environment is invalid.
    pub(crate) fn router(&self) -> anyhow::Result<BaseUrl> {
        place(self.router, "--router", ROUTER)
    }

    /// Returns the log service's URL.
    ///
    /// # Errors
    ///
    /// When no URL is given, or the one in the environment is invalid.
    pub(crate) fn log(&self) -> anyhow::Result<BaseUrl> {
        place(self.log, "--log", LOG)
    }
}

fn place(given: Option<BaseUrl>, option: &str, variable: &str) -> anyhow::Result<BaseUrl> {
    if let Some(url) = given {
        return Ok(url);
    }
    let text = std::env::var(variable)
        .map_err(|_| anyhow::anyhow!("name it with {option} http://ip:port or {variable}"))?;
    text.parse().map_err(|e| anyhow::anyhow!("{variable}: {e}"))
}
