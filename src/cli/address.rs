//! The commands `address` and `drain`.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::output::Output;
use crate::cli::router::Router;

/// The path of address advice.
pub(crate) const ADDRESS: &str = "/v1/address";

/// The routers that a caller should use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Advice {
    /// The address to use first, `ip:port`.
    pub(crate) address: String,
    /// Further addresses.
    #[serde(default)]
    pub(crate) alternates: Vec<String>,
    /// How long the advice is valid, in milliseconds.
    #[serde(default)]
    pub(crate) keep_ms: u64,
}

impl fmt::Display for Advice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (good for {} ms)", self.address, self.keep_ms)?;
        self.alternates
            .iter()
            .try_for_each(|other| writeln!(f, "else {other}"))
    }
}

#[derive(Debug, Serialize)]
struct Draining {
    draining: bool,
}

impl fmt::Display for Draining {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it drains; `status` shows what is still in progress")
    }
}

pub(crate) async fn address(places: &Places, output: Output) -> Result<(), Failure> {
    let advice: Advice = Router::new(places)?.get(ADDRESS).await?;
    Ok(output.show(&advice)?)
}

pub(crate) async fn drain(places: &Places, output: Output) -> Result<(), Failure> {
    let router = Router::new(places)?;
    router.post("/v1/admin/drain", &json!({})).await?;
    Ok(output.show(&Draining { draining: true })?)
}
