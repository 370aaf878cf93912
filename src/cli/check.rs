//! The command `check`: validates a file.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::cli::failure::Failure;
use crate::cli::file;
use crate::cli::output::Output;
use crate::config::ChangeSet;
use crate::settings::Settings;

/// The content of a file.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Held {
    Settings,
    Changes,
}

#[derive(Debug, Serialize)]
struct Sound {
    sound: bool,
    holds: Held,
}

impl fmt::Display for Sound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.holds {
            Held::Settings => "sound settings",
            Held::Changes => {
                "sound changes; `config diff` compares them with the configuration in force"
            }
        })
    }
}

pub(crate) fn check(path: &Path, output: Output) -> Result<(), Failure> {
    let text = file::read(path)?;
    let refused = |e: String| Failure::Refused(format!("{}: {e}", path.display()));
    let holds = if holds_changes(&text) {
        let put = ChangeSet::parse(text.as_bytes()).map_err(|e| refused(e.to_string()))?;
        put.check().map_err(|e| refused(e.to_string()))?;
        Held::Changes
    } else {
        Settings::parse(&text).map_err(|e| refused(e.to_string()))?;
        Held::Settings
    };
    Ok(output.show(&Sound { sound: true, holds })?)
}

fn holds_changes(text: &str) -> bool {
    let value: Option<Value> = serde_json::from_str(text).ok();
    value.is_some_and(|value| value.get("changes").is_some())
}
