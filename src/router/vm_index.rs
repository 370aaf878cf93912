//! The VM list, laid out for what is looked up in it at each request and heartbeat.
//!
//! Walked from its beginning at each look-up, a list of three hundred VMs took a fifth of a router's processor: for each long
//! prompt all other routers were gathered from it, and for each answer to a caller every router's entry was searched.

use std::hash::BuildHasherDefault;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::decide::Candidate;
use crate::decide::Capacity;
use crate::decide::FastHasher;
use crate::ids::VmId;
use crate::router::effect::Peer;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

/// The label that tells routers in the VM list.
const ROLE_LABEL: &str = "role";

/// The label that tells where a router listens for routers.
const PEER_LABEL: &str = "peer";

/// The label that tells how much processor a router's VM has, in thousandths of a core.
pub(crate) const CPU_LABEL: &str = "cpu";

/// The label that tells how fast its link is, in Mbit/s.
pub(crate) const LINK_LABEL: &str = "link";

/// What a VM that does not tell its size is thought to have.
const DEFAULT_CAPACITY: Capacity = Capacity { cpu: 1, link: 1 };

/// The VM list as one router sees it.
#[derive(Debug)]
pub(crate) struct VmIndex {
    me: VmId,
    list: VmList,
    positions: IndexMap<VmId, usize, BuildHasherDefault<FastHasher>>,
    peers: Arc<[Peer]>,
    serving_vms: Arc<[VmId]>,
}

impl VmIndex {
    /// Makes an empty one, for the router on this VM.
    pub(crate) fn new(me: VmId) -> Self {
        Self {
            serving_vms: Arc::new([me.clone()]),
            me,
            list: VmList::default(),
            positions: IndexMap::default(),
            peers: Arc::new([]),
        }
    }

    /// Takes a list over, unless it is older than the one known; returns whether it was taken.
    pub(crate) fn update(&mut self, list: VmList) -> bool {
        if list.as_of < self.list.as_of {
            return false;
        }
        let entries = list.vms.iter().enumerate();
        self.positions = entries
            .map(|(position, entry)| (entry.vm.clone(), position))
            .collect();
        let others = || {
            let routers = list.vms.iter().filter(|entry| is_router(entry));
            routers.filter(|entry| entry.vm != self.me)
        };
        self.peers = others().filter_map(peer).collect();
        let live = others().filter(|entry| entry.state == VmState::Live);
        let live = live.map(|entry| entry.vm.clone());
        self.serving_vms = live.chain([self.me.clone()]).collect();
        self.list = list;
        true
    }

    /// Returns the list.
    pub(crate) fn list(&self) -> &VmList {
        &self.list
    }

    /// Returns a VM's entry.
    pub(crate) fn entry(&self, vm: &VmId) -> Option<&VmEntry> {
        self.list.vms.get(*self.positions.get(vm)?)
    }

    /// Returns what a router's VM can carry, as it says.
    pub(crate) fn capacity(&self, vm: &VmId) -> Capacity {
        self.entry(vm).map_or(DEFAULT_CAPACITY, capacity)
    }

    /// Returns all routers that are listed as live, this one among them once it is.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let live = |entry: &&VmEntry| is_router(entry) && entry.state == VmState::Live;
        let live = self.list.vms.iter().filter(live);
        let candidates = live.map(|entry| Candidate {
            vm: entry.vm.clone(),
            domain: entry.domain.clone(),
            capacity: capacity(entry),
        });
        candidates.collect()
    }

    /// Returns how to reach all other routers.
    pub(crate) fn peers(&self) -> Arc<[Peer]> {
        self.peers.clone()
    }

    /// Returns how to reach one of them.
    pub(crate) fn peer(&self, vm: &VmId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.vm == *vm)
    }

    /// Returns the VMs of all other routers that are listed as live, and this one's.
    pub(crate) fn serving_vms(&self) -> Arc<[VmId]> {
        self.serving_vms.clone()
    }
}

fn is_router(entry: &VmEntry) -> bool {
    entry.labels.get(ROLE_LABEL) == Some("router")
}

fn capacity(entry: &VmEntry) -> Capacity {
    let label = |name| entry.labels.get(name)?.parse().ok();
    Capacity {
        cpu: label(CPU_LABEL).unwrap_or(DEFAULT_CAPACITY.cpu),
        link: label(LINK_LABEL).unwrap_or(DEFAULT_CAPACITY.link),
    }
}

fn peer(entry: &VmEntry) -> Option<Peer> {
    Some(Peer {
        vm: entry.vm.clone(),
        address: entry.labels.get(PEER_LABEL)?.to_owned(),
    })
}
