//! How much demand owners of a budget see behind borrowers' questions.

use jasmineridge::BorrowerDemand;
use jasmineridge::Incarnation;
use jasmineridge::Tokens;
use rand::RngExt;

use crate::rng;

/// Guards against a believed demand that grows with each question that is asked again, of the same owner or of the next one.
#[test]
fn repeated_requests_add_no_demand() {
    let mut owners = [(); 3].map(|()| BorrowerDemand::default());
    let mut rng = rng();
    let mut seen = [0; 3];
    let mut requested = 0;
    for _ in 0..200 {
        requested += 1000;
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..owners.len());
            let new = owners[at].record(Incarnation(1), Tokens(requested), Tokens(1000));
            seen[at] += new.0;
        }
    }
    for seen in seen {
        assert!(seen <= requested, "{seen} of {requested}");
        assert!(seen * 10 > requested * 9, "{seen} of {requested}");
    }
}

/// Guards against owners that pass on what others asked them for, and see it come back as demand.
#[test]
fn forwarded_requests_add_no_demand() {
    let mut owners = [(); 3].map(|()| BorrowerDemand::default());
    let mut seen = 0;
    for round in 0..300_usize {
        // Its own callers asked for nothing more, whatever it asks for.
        let borrower = Incarnation(round as u64 % 3);
        let amount = Tokens(1000 << (round / 20));
        seen += owners[(round + 1) % 3]
            .record(borrower, Tokens(500), amount)
            .0;
    }
    assert!(seen <= 3 * 500, "{seen}");
}

/// Guards against demand that is counted anew where questions overtake each other.
#[test]
fn an_overtaken_request_adds_no_demand() {
    let mut owner = BorrowerDemand::default();
    let requested = [100, 300, 200, 300].map(|requested| {
        let new = owner.record(Incarnation(1), Tokens(requested), Tokens(100));
        new.0
    });
    assert_eq!(requested, [100, 200, 0, 0]);
}

/// Guards against an owner that has just started and takes all that was ever asked for as asked for now.
#[test]
fn requests_before_the_start_add_no_demand() {
    let mut owner = BorrowerDemand::default();
    let first = owner.record(Incarnation(1), Tokens(5_000_000), Tokens(800));
    assert_eq!(first, Tokens(800));
}
