//! Names and records for the model check, built from numbers.

use crate::ids::Incarnation;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::tokens::Tokens;

/// Returns the incarnation of the router with this index.
pub(super) fn incarnation(router: usize) -> Incarnation {
    Incarnation(router as u64 + 1)
}

/// Returns a batch of one record.
pub(super) fn batch(router: u64, sequence: u64, record: Record) -> Batch {
    Batch {
        router: Incarnation(router),
        sequence: Sequence(sequence),
        records: vec![record],
    }
}

/// Returns a router's opening record.
pub(super) fn open(vm: u64) -> Record {
    Record::Open {
        vm: format!("vm-{vm}").parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        address: String::new(),
    }
}

/// Returns a top-up of a team's budget.
pub(super) fn top_up(number: u64, of: u64, amount: u64) -> Record {
    Record::TopUp {
        id: format!("topup-{number}").parse().expect("a name"),
        team: team(of),
        amount: Tokens(amount),
    }
}

/// Returns the name of a team.
pub(super) fn team(number: u64) -> TeamId {
    format!("team-{number}").parse().expect("a name")
}

/// Returns the key of a caller's request.
pub(super) fn key(number: u64) -> RequestKey {
    RequestKey {
        account: "a".parse().expect("a name"),
        key: format!("key-{number}").parse().expect("a name"),
    }
}
