//! Checkpoints: the whole state in a stream of its own, since the log lets old records go.
//!
//! The same records give the same bytes on every router, so a checkpoint is named by the offset up to which it has
//! folded and by the checksum of its bytes; who wrote which of its parts does not matter.
//!
//! The writer appends all parts, reads them back, puts them together and only then appends
//! [`Record::Checkpoint`](super::Record::Checkpoint) to the ledger. Nothing older may be let go before that record was
//! accepted: a checkpoint that was written but cannot be read, or whose writer died half-way, replaces none.

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
