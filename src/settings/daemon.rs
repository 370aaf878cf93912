//! The daemon's settings.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

use crate::decide::ConsistencyMode;
use crate::field;
use crate::ids::DomainId;
use crate::ids::VmId;
use crate::key_hash::KeyHash;
use crate::settings::base_url::BaseUrl;
use crate::settings::error::SettingsError;
use crate::settings::ledger::LedgerSettings;
use crate::settings::limits::RequestLimits;
use crate::settings::modes::LogLevel;
use crate::settings::range::wrong;

/// The daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM in the VM list.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The address on which it listens for callers and operators.
    #[serde(deserialize_with = "address")]
    pub listen: SocketAddr,
    /// The address at which callers reach it, if it differs from `listen`.
    #[serde(default, deserialize_with = "optional_address")]
    pub advertise: Option<SocketAddr>,
    /// The address on which it listens for other routers.
    #[serde(deserialize_with = "address")]
    pub peer_listen: SocketAddr,
    /// The URL of the log service.
    pub log: BaseUrl,
    /// The URL of the VM list.
    pub vms: BaseUrl,
    /// The address to which metrics are sent. Without it, none are sent.
    #[serde(default, deserialize_with = "optional_address")]
    pub statsd: Option<SocketAddr>,
    /// The lowest severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Whether the deployment prefers consistency or availability.
    #[serde(default)]
    pub lean: ConsistencyMode,
    /// The SHA-256 of the operators' key, in hex. Without it, operators' requests are accepted from this VM only.
    #[serde(default)]
    pub admin_key_sha256: Option<String>,
    /// The limits on what callers may send.
    #[serde(default)]
    pub limits: RequestLimits,
    /// The settings of the ledger.
    #[serde(default)]
    pub ledger: LedgerSettings,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Names the first field that is invalid or unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = r#"{
    ///     "vm": "vm-1", "domain": "kigali-a",
    ///     "listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:8081",
    ///     "log": "http://127.0.0.1:9000", "vms": "http://entry-list:9001"
    /// }"#;
    /// let error = jasmineridge::Settings::parse(text).unwrap_err();
    /// assert_eq!(error.0.path, "vms");
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = field::read_json(text.as_bytes()).map_err(SettingsError)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the hash of the operators' key, if there is one.
    pub fn admin_key(&self) -> Option<KeyHash> {
        self.admin_key_sha256.as_deref().and_then(KeyHash::parse)
    }

    /// Returns the address at which callers reach it.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_addresses()?;
        self.check_key()?;
        self.limits.check()?;
        self.ledger.check()
    }

    /// Rejects unspecified addresses where others have to connect: a caller that is sent `0.0.0.0` would reach itself.
    fn check_addresses(&self) -> Result<(), SettingsError> {
        if self.advertised().ip().is_unspecified() {
            let (path, address) = match self.advertise {
                Some(address) => ("advertise", address),
                None => ("listen", self.listen),
            };
            let allowed =
                "an address that callers can connect to, in `advertise` where `listen` is none";
            return Err(wrong(path, address.to_string(), allowed));
        }
        if self.peer_listen.ip().is_unspecified() {
            let found = self.peer_listen.to_string();
            let allowed = "an address that other routers can connect to";
            return Err(wrong("peer_listen", found, allowed));
        }
        if self.peer_listen.port() != 0 && self.peer_listen == self.listen {
            let found = self.peer_listen.to_string();
            return Err(wrong("peer_listen", found, "another address than `listen`"));
        }
        Ok(())
    }

    fn check_key(&self) -> Result<(), SettingsError> {
        match &self.admin_key_sha256 {
            Some(key) => KeyHash::check("admin_key_sha256", key)
                .map(drop)
                .map_err(SettingsError),
            None => Ok(()),
        }
    }
}

fn parse_address<E>(text: &str) -> Result<SocketAddr, E>
where
    E: Error,
{
    text.parse().map_err(|_| {
        let allowed = "ip:port with an IP number (a host name is not looked up)";
        E::custom(format!("{text:?}, expected {allowed}"))
    })
}

fn address<'de, D>(source: D) -> Result<SocketAddr, D::Error>
where
    D: Deserializer<'de>,
{
    parse_address(&String::deserialize(source)?)
}

fn optional_address<'de, D>(source: D) -> Result<Option<SocketAddr>, D::Error>
where
    D: Deserializer<'de>,
{
    match Option::<String>::deserialize(source)? {
        Some(text) => parse_address(&text).map(Some),
        None => Ok(None),
    }
}
