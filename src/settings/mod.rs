//! The daemon's settings: one JSON file, which is checked before anything starts.

mod base_url;
mod daemon;
mod error;
mod ledger;
mod limits;
mod millis;
mod modes;
mod range;
mod site;
#[cfg(test)]
mod tests;

pub use base_url::BaseUrl;
pub use base_url::BaseUrlError;
pub use daemon::Settings;
pub use error::SettingsError;
pub use ledger::LedgerSettings;
pub use limits::RequestLimits;
pub use millis::Millis;
pub use modes::EndMarker;
pub use modes::LogLevel;
pub use site::SiteSettings;
