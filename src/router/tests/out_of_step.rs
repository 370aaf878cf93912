//! Streams that are taken up at a router that has not heard of a version yet.

use crate::router::tests::site::Log;
use crate::router::tests::versions::endpoints;
use crate::router::tests::versions::resume;
use crate::router::tests::versions::start;

/// Guards against a stream of a version that joined after a router was cut off from all, while what it heard before still
/// counts as fresh.
#[test]
fn a_router_that_was_just_cut_off_does_not_take_its_version_for_the_only_one() {
    let mut site = start(&["v1"]);
    site.log = Log::Down;
    let id = resume(&mut site, "key", Some("begun-elsewhere"));
    site.advance(500);
    assert!(
        endpoints(&site, id).is_empty(),
        "another version may have begun it"
    );
}
