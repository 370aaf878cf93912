//! Records.

use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::RecordError;
use crate::ids::Incarnation;
use crate::tokens::Tokens;

#[test]
fn a_key_and_a_value_come_back() {
    let key = GrantKey {
        vm: "vm-1".parse().expect("a name"),
        router: Incarnation(u64::MAX),
        team: "loans".parse().expect("a name"),
    };
    assert_eq!(key.to_string().parse(), Ok(key));
    let row = GrantRow {
        granted: Tokens(7),
        spent: Tokens(5),
    };
    assert_eq!(GrantRow::decode(&row.encode()), Ok(row));
}

/// A record of something else lies in the topic. It is told apart, and stops nobody.
#[test]
fn what_is_no_grant_is_told() {
    for text in ["", "vm-1", "vm-1\tx\tloans", "vm-1\t1\t", "a\t1\tb\tc"] {
        assert_eq!(
            text.parse::<GrantKey>(),
            Err(RecordError::Key(text.to_owned()))
        );
    }
    assert!(matches!(GrantRow::decode(&[]), Err(RecordError::Value(_))));
}
