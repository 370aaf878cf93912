use crate::ids::AccountId;
use crate::ids::Fingerprint;

/// Guards against two requests that are taken for one because their parts meet at another place.
#[test]
fn parts_are_told_apart() {
    let whole = Fingerprint::of(&[b"GET", b"/a/b", b""]);
    assert_eq!(whole, Fingerprint::of(&[b"GET", b"/a/b", b""]));
    for other in [
        [&b"GET"[..], b"/a/", b"b"],
        [b"GE", b"T/a/b", b""],
        [b"", b"GET", b"/a/b"],
    ] {
        assert_ne!(whole, Fingerprint::of(&other));
    }
}

/// Guards against one account's requests being refused because of another's.
#[test]
fn accounts_are_told_apart() {
    let [one, other]: [AccountId; 2] = ["loans", "loan"].map(|name| name.parse().expect("a name"));
    let request = Fingerprint::of(&[b"POST", b"/a", b"body"]);
    assert_ne!(request.of_account(&one), request.of_account(&other));
    assert_eq!(request.of_account(&one), request.of_account(&one));
}
