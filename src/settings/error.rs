//! What is wrong with settings.

use thiserror::Error;

use crate::field::FieldError;

/// Tells the first field that is wrong.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings: {0}")]
pub struct SettingsError(pub FieldError);
