//! The address of a service of the platform.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A text that is not a base URL.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "{0:?}, expected http://ip:port with an IP number (a host name is not looked up) and no path"
)]
pub struct BaseUrlError(String);

/// The common start of a service's URLs: `http://ip:port`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BaseUrl(SocketAddr);

impl BaseUrl {
    /// Returns the address to connect to.
    pub fn address(self) -> SocketAddr {
        self.0
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

impl FromStr for BaseUrl {
    type Err = BaseUrlError;

    fn from_str(text: &str) -> Result<Self, BaseUrlError> {
        text.strip_prefix("http://")
            .and_then(|rest| rest.strip_suffix('/').unwrap_or(rest).parse().ok())
            .filter(|address: &SocketAddr| address.port() != 0)
            .map(Self)
            .ok_or_else(|| BaseUrlError(text.to_owned()))
    }
}

impl TryFrom<String> for BaseUrl {
    type Error = BaseUrlError;

    fn try_from(text: String) -> Result<Self, BaseUrlError> {
        text.parse()
    }
}

impl From<BaseUrl> for String {
    fn from(url: BaseUrl) -> Self {
        url.to_string()
    }
}
