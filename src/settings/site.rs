//! The settings of a router whose configuration, endpoints and grants come from one metadata store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::ConsistencyMode;
use crate::field;
use crate::ids::DomainId;
use crate::ids::VmId;
use crate::settings::error::SettingsError;
use crate::settings::millis::Millis;
use crate::settings::modes::LogLevel;
use crate::settings::range::check_time;
use crate::settings::range::wrong;

/// The shortest time that may be set.
const MIN_TIME: Millis = Millis(1);

/// The settings of a router on a platform with a metadata store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// The name of the VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The address on which it listens for callers.
    pub front: SocketAddr,
    /// The address at which it answers whether it is ready.
    pub ready: SocketAddr,
    /// The address at which it tells callers which routers to use.
    pub directory: SocketAddr,
    /// The address on which it listens for other routers.
    pub peer_listen: SocketAddr,
    /// The address on which it takes requests that other routers forward; by default the port after `peer_listen`.
    pub forward_listen: Option<SocketAddr>,
    /// The address at which it serves operators and metrics.
    pub admin: SocketAddr,
    /// The address of the metadata store.
    pub store: SocketAddr,
    /// The CPU share of the VM, in cores.
    #[serde(default = "whole")]
    pub cpu_share: f64,
    /// The bandwidth of the VM's network link, in Mbit/s.
    #[serde(default = "whole")]
    pub link_mbps: f64,
    /// How many descriptors the process may have; by default as many as the system allows.
    pub max_descriptors: Option<usize>,
    /// How much memory the process may use, in megabytes; by default 268.
    pub memory_mb: Option<usize>,
    /// The lowest severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Whether the deployment prefers consistency or availability.
    #[serde(default)]
    pub lean: ConsistencyMode,
    /// How long after the first signal a second one ends the process.
    pub grace_ms: Millis,
    /// How long a caller may use an advised address.
    pub keep_ms: Millis,
    /// How long a change of the configuration may take to be in force.
    pub config_ms: Millis,
    /// The retries that all routers together may send to a pool for each request to it, from 0 to 1.
    pub retry_ratio: f64,
    /// The retries that they may send to a pool in a window in addition.
    pub retry_spare: f64,
    /// The length of the windows in each of which the limit holds.
    pub retry_window_ms: Millis,
    /// How long after their first announcement brittle endpoints may hold fewer requests than before.
    #[serde(default = "brittle_grace")]
    pub brittle_grace_ms: Millis,
}

impl SiteSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Names the first field that is invalid or unknown.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = field::read_json(text.as_bytes()).map_err(SettingsError)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the address on which the router takes requests that other routers forward.
    pub(crate) fn forward_address(&self) -> SocketAddr {
        let mut next = self.peer_listen;
        next.set_port(next.port().wrapping_add(1));
        self.forward_listen.unwrap_or(next)
    }

    fn check(&self) -> Result<(), SettingsError> {
        check_time("grace_ms", self.grace_ms, MIN_TIME)?;
        check_time("keep_ms", self.keep_ms, MIN_TIME)?;
        check_time("config_ms", self.config_ms, MIN_TIME)?;
        check_time("retry_window_ms", self.retry_window_ms, MIN_TIME)?;
        check_part("cpu_share", self.cpu_share, 1e6)?;
        check_part("link_mbps", self.link_mbps, 1e6)?;
        check_part("retry_ratio", self.retry_ratio, 1.0)?;
        check_part("retry_spare", self.retry_spare, 1e6)?;
        let fields = [
            ("front", self.front),
            ("directory", self.directory),
            ("peer_listen", self.peer_listen),
            ("forward_listen", self.forward_address()),
        ];
        for (path, address) in fields {
            if address.ip().is_unspecified() {
                let allowed = "an address that others can connect to";
                return Err(wrong(path, address.to_string(), allowed));
            }
        }
        Ok(())
    }
}

/// Returns the share assumed for a VM whose settings name none: all of these VMs count alike.
fn whole() -> f64 {
    1.0
}

fn brittle_grace() -> Millis {
    Millis(3000)
}

fn check_part(path: &str, value: f64, most: f64) -> Result<(), SettingsError> {
    if (0.0..=most).contains(&value) {
        return Ok(());
    }
    Err(wrong(path, value.to_string(), format!("0 to {most}")))
}
