//! The VM list, indexed for the lookups that each request and heartbeat makes.
//!
//! Linear searches in a list of three hundred VMs took a fifth of a router's CPU time: each long prompt collected all
//! other routers from the list, and each answer to a caller searched the entry of every router.

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

/// Label that marks the routers in the VM list.
const ROLE_LABEL: &str = "role";

/// Label with the address at which a router listens for other routers.
const PEER_LABEL: &str = "peer";

/// Label with the CPU share of a router's VM, in thousandths of a core.
pub(crate) const CPU_LABEL: &str = "cpu";

/// Label with the bandwidth of its network link, in Mbit/s.
pub(crate) const LINK_LABEL: &str = "link";

/// Label with the address at which a router takes requests that other routers forward.
pub(crate) const FORWARD_LABEL: &str = "forward";

/// Capacity assumed for a VM that reports none.
const DEFAULT_CAPACITY: Capacity = Capacity {
    cpu_millicores: 1,
    link_mbps: 1,
};

/// The VM list and indexes on it, as one router sees them.
#[derive(Debug)]
pub(crate) struct VmIndex {
    me: VmId,
    list: VmList,
    positions: IndexMap<VmId, usize, BuildHasherDefault<FastHasher>>,
    peers: Arc<[Peer]>,
    serving_vms: Arc<[VmId]>,
}

impl VmIndex {
    /// Creates an empty index for the router on this VM.
    pub(crate) fn new(me: VmId) -> Self {
        Self {
            serving_vms: Arc::new([me.clone()]),
            me,
            list: VmList::default(),
            positions: IndexMap::default(),
            peers: Arc::new([]),
        }
    }

    /// Replaces the list unless the new one is older; returns whether it was replaced.
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

    pub(crate) fn list(&self) -> &VmList {
        &self.list
    }

    pub(crate) fn entry(&self, vm: &VmId) -> Option<&VmEntry> {
        self.list.vms.get(*self.positions.get(vm)?)
    }

    /// Returns the capacity of a router's VM according to its labels.
    pub(crate) fn capacity(&self, vm: &VmId) -> Capacity {
        self.entry(vm).map_or(DEFAULT_CAPACITY, capacity)
    }

    /// Returns all routers that are listed as live, including this one once it is listed.
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

    /// Returns the addresses of all other routers.
    pub(crate) fn peers(&self) -> Arc<[Peer]> {
        self.peers.clone()
    }

    /// Returns the address of one other router.
    pub(crate) fn peer(&self, vm: &VmId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.vm == *vm)
    }

    /// Returns the VMs of all other routers that are listed as live, and this router's own.
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
        cpu_millicores: label(CPU_LABEL).unwrap_or(DEFAULT_CAPACITY.cpu_millicores),
        link_mbps: label(LINK_LABEL).unwrap_or(DEFAULT_CAPACITY.link_mbps),
    }
}

fn peer(entry: &VmEntry) -> Option<Peer> {
    Some(Peer {
        vm: entry.vm.clone(),
        address: entry.labels.get(PEER_LABEL)?.to_owned(),
    })
}
