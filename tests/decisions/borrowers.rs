//! How much demand owners of a budget see behind borrowers' questions.

use jasmineridge::BorrowerDemand;
use jasmineridge::Incarnation;
use jasmineridge::Tokens;
use rand::RngExt;

use crate::rng;

/// Guards against a believed demand that grows with each question that is asked again, of the same owner or of the next one.
#[test]
fn repeated_questions_are_no_demand() {
    let mut owners = [(); 3].map(|()| BorrowerDemand::default());
    let mut rng = rng();
    let mut seen = [0; 3];
    let mut asked = 0;
    for _ in 0..200 {
        asked += 1000;
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..owners.len());
            let new = owners[at].record(Incarnation(1), Tokens(asked), Tokens(1000));
            seen[at] += new.0;
        }
    }
    for seen in seen {
        assert!(seen <= asked, "{seen} of {asked}");
        assert!(seen * 10 > asked * 9, "{seen} of {asked}");
    }
}

/// Guards against owners that pass on what others asked them for, and see it come back as demand.
#[test]
fn questions_in_a_circle_are_no_demand() {
    let mut owners = [(); 3].map(|()| BorrowerDemand::default());
    let mut seen = 0;
    for turn in 0..300_usize {
        // Its own callers asked for nothing more, whatever it asks for.
        let asker = Incarnation(turn as u64 % 3);
        let amount = Tokens(1000 << (turn / 20));
        seen += owners[(turn + 1) % 3].record(asker, Tokens(500), amount).0;
    }
    assert!(seen <= 3 * 500, "{seen}");
}

/// Guards against demand that is counted anew where questions overtake each other.
#[test]
fn a_late_question_is_no_demand() {
    let mut owner = BorrowerDemand::default();
    let asked = [100, 300, 200, 300].map(|asked| {
        let new = owner.record(Incarnation(1), Tokens(asked), Tokens(100));
        new.0
    });
    assert_eq!(asked, [100, 200, 0, 0]);
}

/// Guards against an owner that has just started and takes all that was ever asked for as asked for now.
#[test]
fn what_was_asked_before_is_no_demand() {
    let mut owner = BorrowerDemand::default();
    let first = owner.record(Incarnation(1), Tokens(5_000_000), Tokens(800));
    assert_eq!(first, Tokens(800));
}
