//! What the log alone says of a request.

use anyhow::Context;
use anyhow::Result;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use jasmineridge::KeyState;
use jasmineridge::Ledger;
use jasmineridge::Offset;
use jasmineridge::decode;

use crate::PATIENCE;
use crate::site::Site;
use crate::wait_for;

/// The ledger, folded from its first record.
#[derive(Default)]
pub(crate) struct Reading {
    pub(crate) ledger: Ledger,
}

impl Reading {
    /// Folds all that the log holds.
    pub(crate) async fn new(site: &Site) -> Result<Self> {
        let mut reading = Self::default();
        loop {
            let from = reading.ledger.next();
            let path = format!("/v1/streams/ledger-0/records?from={from}&max=1000");
            let page = site.log.http.get(&path).await?.json;
            let rows = page["records"].as_array().context("records")?.clone();
            if rows.is_empty() {
                return Ok(reading);
            }
            for row in rows {
                let data = row["data"].as_str().context("data")?;
                let batch = decode(&BASE64_STANDARD.decode(data)?)?;
                let offset = Offset(row["offset"].as_u64().context("an offset")?);
                let at = row["at"].as_u64().context("a time")?;
                reading.ledger.apply(offset, at, &batch);
            }
        }
    }

    fn key(&self, key: &str) -> Option<&KeyState> {
        let mut keys = self.ledger.keys();
        let found = keys.find(|(k, _)| k.account.as_str() == "yard" && k.key.as_str() == key);
        found.map(|(_, state)| state)
    }

    /// Returns what a request of the account `yard` was billed.
    pub(crate) fn bill(&self, key: &str) -> Option<u64> {
        let bill = self.key(key)?.bill.as_ref()?;
        Some(bill.amount.0)
    }

    /// Returns whether a request of the account `yard` is known at all.
    pub(crate) fn knows(&self, key: &str) -> bool {
        self.key(key).is_some()
    }

    /// Returns what a team spent.
    pub(crate) fn spent(&self, team: &str) -> u64 {
        let state = team.parse().ok().and_then(|team| self.ledger.team(&team));
        state.map_or(0, |state| state.spent.0)
    }

    /// Checks that the team `loans` paid these requests and nothing else, each once.
    pub(crate) fn assert_billed(&self, keys: &[&str]) {
        let bills: Vec<_> = keys.iter().map(|key| self.bill(key)).collect();
        assert!(bills.iter().all(Option::is_some), "{keys:?}: {bills:?}");
        let sum: u64 = bills.iter().flatten().sum();
        assert_eq!(self.spent("loans"), sum, "{keys:?}: {bills:?}");
    }
}

/// Waits until no claim stands, and returns the ledger.
pub(crate) async fn at_rest(site: &Site) -> Result<Reading> {
    wait_for("no claim stands", PATIENCE, async || {
        let reading = Reading::new(site).await?;
        Ok(reading.ledger.keys().all(|(_, key)| key.claim.is_none()))
    })
    .await?;
    Reading::new(site).await
}
