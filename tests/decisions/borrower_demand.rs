//! Demand that the owners of a budget derive from the requests of borrowers.

use jasmineridge::BorrowerDemand;
use jasmineridge::Incarnation;
use jasmineridge::Tokens;
use rand::RngExt;

use crate::rng;

/// Guards against counting a request for a loan as new demand when it is repeated, to the same owner or to another.
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

/// Guards against counting demand in a loop: owners that borrow on behalf of their borrowers would see the requests
/// come back as new demand.
#[test]
fn forwarded_requests_add_no_demand() {
    let mut owners = [(); 3].map(|()| BorrowerDemand::default());
    let mut seen = 0;
    for round in 0..300_usize {
        // Each owner requests growing amounts, though the total demand of its own callers stays the same.
        let borrower = Incarnation(round as u64 % 3);
        let amount = Tokens(1000 << (round / 20));
        seen += owners[(round + 1) % 3]
            .record(borrower, Tokens(500), amount)
            .0;
    }
    assert!(seen <= 3 * 500, "{seen}");
}

/// Guards against counting demand again when requests arrive out of order.
#[test]
fn an_overtaken_request_adds_no_demand() {
    let mut owner = BorrowerDemand::default();
    let requested = [100, 300, 200, 300].map(|requested| {
        let new = owner.record(Incarnation(1), Tokens(requested), Tokens(100));
        new.0
    });
    assert_eq!(requested, [100, 200, 0, 0]);
}

/// Guards against an owner that, just after its start, takes a borrower's total demand since its start as new demand.
#[test]
fn requests_before_the_start_add_no_demand() {
    let mut owner = BorrowerDemand::default();
    let first = owner.record(Incarnation(1), Tokens(5_000_000), Tokens(800));
    assert_eq!(first, Tokens(800));
}
