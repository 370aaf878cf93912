//! Range checks.

use crate::field::FieldError;
use crate::settings::error::SettingsError;
use crate::settings::millis::Millis;

/// The longest time that may be set: an hour.
pub(crate) const MAX_TIME: Millis = Millis(60 * 60 * 1000);

pub(crate) fn check_count(path: &str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(wrong(path, value.to_string(), format!("{min} to {max}")))
}

pub(crate) fn check_time(path: &str, value: Millis, min: Millis) -> Result<(), SettingsError> {
    check_count(path, value.0, min.0, MAX_TIME.0)
}

pub(crate) fn wrong<F, A>(path: &str, found: F, allowed: A) -> SettingsError
where
    F: Into<String>,
    A: Into<String>,
{
    SettingsError(FieldError::new(path, found, allowed))
}
