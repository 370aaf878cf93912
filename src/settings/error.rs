//! Errors in settings.

use thiserror::Error;

use crate::field::FieldError;

/// The first field that is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings: {0}")]
pub struct SettingsError(pub FieldError);
