//! Checkpoints: snapshots of the whole state in a stream of their own, since the log truncates old records.
//!
//! The same records give the same bytes on every router. A checkpoint is therefore identified by the offset up to which
//! it includes records and by the checksum of its bytes, no matter which router wrote which of its parts.
//!
//! The writer appends all parts, reads them back, assembles them and only then appends
//! [`Record::Checkpoint`](super::Record::Checkpoint) to the ledger. Nothing older may be truncated before that record
//! is accepted: a checkpoint that cannot be read, or whose writer died half-way, replaces no earlier one.

mod assembler;
mod part;
mod schedule;

pub use assembler::Assembler;
pub use assembler::Restored;
pub use part::MAX_PART_BYTES;
pub use part::MAX_PARTS;
pub use part::Part;
pub use part::decode_part;
pub use part::encode_part;
pub use part::split;
pub use schedule::Schedule;
