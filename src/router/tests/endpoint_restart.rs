//! Endpoints that restart under the same name.

use crate::router::BORN_LABEL;
use crate::router::Event;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::vms::VmList;

fn list_with_engine(site: &Site, born: &str) -> Event {
    let list = site.core.members.vm_index.list().clone();
    let mut vms = list.vms;
    let engine = entry("engine-0", 9100, &[("pool", "pool"), (BORN_LABEL, born)]);
    vms[0] = engine;
    Event::VmList(VmList {
        as_of: list.as_of + 1,
        vms,
    })
}

fn load(site: &Site) -> Option<u32> {
    let pool = site.core.pools.values().next().expect("a pool");
    let vm = "engine-0".parse().expect("a name");
    pool.picker.chooser.load(site.now, &vm)
}

/// An endpoint crashes with requests on it and is back under its name before their connections are known to be dead. If
/// they counted against the new process, it would get too little work, and the router would assume that it has cached
/// prompts that it never read.
#[test]
fn a_restarted_endpoint_starts_with_no_load() {
    let mut site = Site::start(1_000_000);
    let first = list_with_engine(&site, "1000");
    site.handle(first);
    for _ in 0..8 {
        site.send("stream", 100, 50);
    }
    assert!(load(&site).is_some_and(|load| load > 0));
    let same = list_with_engine(&site, "1000");
    site.handle(same);
    assert!(
        load(&site).is_some_and(|load| load > 0),
        "the same process is still running"
    );
    let again = list_with_engine(&site, "9000");
    site.handle(again);
    assert_eq!(load(&site), Some(0));
}
