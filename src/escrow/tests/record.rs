//! Encoding and decoding of grant records.

use std::time::Duration;

use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::RecordError;
use crate::escrow::SpendPace;
use crate::ids::Incarnation;
use crate::moment::BootId;
use crate::moment::HostId;
use crate::moment::Moment;
use crate::moment::Span;
use crate::tokens::TokenRate;
use crate::tokens::Tokens;

#[test]
fn keys_and_values_round_trip() {
    let key = GrantKey {
        vm: "vm-1".parse().expect("a name"),
        router: Incarnation(u64::MAX),
        team: "loans".parse().expect("a name"),
    };
    assert_eq!(key.to_string().parse(), Ok(key));
    let made = Moment {
        host: HostId(1),
        boot: BootId(u64::MAX),
        uptime: Duration::from_millis(1234),
        wall: Duration::from_secs(1_800_000_000),
    };
    let pace = SpendPace {
        made,
        used: Tokens(6),
        room: Tokens(1),
        rate: TokenRate(2),
        fleet: None,
    };
    let span = Span {
        earliest: Duration::from_secs(1_800_000_000),
        latest: Duration::from_secs(1_800_000_001),
    };
    let with_fleet = SpendPace {
        fleet: Some(span),
        ..pace
    };
    for pace in [None, Some(pace), Some(with_fleet)] {
        let row = GrantRow {
            granted: Tokens(7),
            spent: Tokens(5),
            pace,
        };
        assert_eq!(GrantRow::decode(&row.encode()), Ok(row));
    }
}

/// The log holds grants from a version without spend paces. They stay valid, but nothing of them can be returned for a
/// dead incarnation.
#[test]
fn a_grant_without_a_pace_is_decoded() {
    let old = postcard::to_stdvec(&(700u64, 5u64)).expect("numbers can be encoded");
    let row = GrantRow {
        granted: Tokens(700),
        spent: Tokens(5),
        pace: None,
    };
    assert_eq!(GrantRow::decode(&old), Ok(row));
}

/// The topic holds a record of another kind. It is recognised as such and gives an error, not a panic.
#[test]
fn malformed_records_are_rejected() {
    for text in ["", "vm-1", "vm-1\tx\tloans", "vm-1\t1\t", "a\t1\tb\tc"] {
        assert_eq!(
            text.parse::<GrantKey>(),
            Err(RecordError::Key(text.to_owned()))
        );
    }
    assert!(matches!(GrantRow::decode(&[]), Err(RecordError::Value(_))));
}
