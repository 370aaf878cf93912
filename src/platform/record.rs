//! The framing of records on the wire.

use thiserror::Error;
use tracing::warn;

/// The size in bytes of the length in front of each record.
const LENGTH: usize = 4;

/// The size in bytes of an offset in the head of a page.
const OFFSET: usize = 8;

/// The bytes end within a record, or are not records.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the records are cut off")]
pub(crate) struct Truncated;

/// A page of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Page {
    /// The offset after the partition's last record, which may be beyond this page.
    pub(crate) end: u64,
    /// The records, starting at the requested offset.
    pub(crate) records: Vec<Vec<u8>>,
}

/// A record with a key. A record without a value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Keyed {
    pub(crate) key: String,
    pub(crate) value: Option<Vec<u8>>,
}

impl Page {
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Truncated> {
        let (end, bytes) = number::<OFFSET>(bytes)?;
        let (_first, mut bytes) = number::<OFFSET>(bytes)?;
        let mut records = Vec::new();
        while !bytes.is_empty() {
            let (length, rest) = number::<LENGTH>(bytes)?;
            let length = usize::try_from(length).map_err(|_| Truncated)?;
            let (record, rest) = rest.split_at_checked(length).ok_or(Truncated)?;
            records.push(record.to_vec());
            bytes = rest;
        }
        Ok(Self { end, records })
    }

    /// Decodes the records, and returns each with its number within the page. One that cannot be decoded is passed over,
    /// since it would stop its topic's readers for as long as the store retains it.
    pub(crate) fn keyed(&self, topic: &str) -> Vec<(u64, Keyed)> {
        let mut records = Vec::new();
        for (number, record) in (0..).zip(&self.records) {
            match Keyed::decode(record) {
                Ok(record) => records.push((number, record)),
                Err(error) => warn!(event = "record-unreadable", topic, %error),
            }
        }
        records
    }
}

impl Keyed {
    pub(crate) fn decode(record: &[u8]) -> Result<Self, Truncated> {
        let (length, rest) = record.split_first().ok_or(Truncated)?;
        let (key, value) = rest
            .split_at_checked(usize::from(*length))
            .ok_or(Truncated)?;
        Ok(Self {
            key: String::from_utf8_lossy(key).into_owned(),
            value: (!value.is_empty()).then(|| value.to_vec()),
        })
    }

    /// Appends the framed record to a body.
    ///
    /// # Panics
    ///
    /// When the key is longer than 255 bytes. The names in keys are checked to be shorter.
    pub(crate) fn encode(&self, body: &mut Vec<u8>) {
        let value = self.value.as_deref().unwrap_or_default();
        let key = u8::try_from(self.key.len()).expect("a key has at most 255 bytes");
        let length = u32::try_from(1 + self.key.len() + value.len()).expect("a record is small");
        body.extend_from_slice(&length.to_be_bytes());
        body.push(key);
        body.extend_from_slice(self.key.as_bytes());
        body.extend_from_slice(value);
    }
}

fn number<const N: usize>(bytes: &[u8]) -> Result<(u64, &[u8]), Truncated> {
    let (number, rest) = bytes.split_first_chunk::<N>().ok_or(Truncated)?;
    let value = number
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte));
    Ok((value, rest))
}
