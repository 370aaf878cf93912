//! Default settings, as the command line has them.

use clap::Args;
use clap::Command;

/// Returns the settings that an empty command line gives, so that a default stands in one place only.
///
/// # Panics
///
/// When an option is required: each of a stand-in's has a default.
pub(crate) fn defaults<A>() -> A
where
    A: Args,
{
    let command = A::augment_args(Command::new("defaults").no_binary_name(true));
    let matches = command.get_matches_from(std::iter::empty::<&str>());
    A::from_arg_matches(&matches).expect("each option has a default")
}
