//! What a fleet counted at its endpoints.

use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::PoolId;
use crate::ids::VmId;
use crate::router::tests::fleet::Fleet;
use crate::router::tests::fleet::WINDOW;
use crate::router::tests::fleet::allowed;
use crate::router::tests::retry_count::RetryCount;
use crate::router::tests::site::RETRY_RATIO;
use crate::router::tests::site::RETRY_SPARE;
use crate::router::tests::site::RETRY_WINDOW;

impl Fleet {
    /// Returns the most that any pool got in a window beyond what it is allowed, if it is more.
    pub(crate) fn excess_retries(&self) -> Option<(PoolId, usize, f64)> {
        let excess = |count: &RetryCount| count.excess(RETRY_RATIO, RETRY_SPARE, RETRY_WINDOW);
        let mut counts = self.retry_counts.iter();
        counts.find_map(|(pool, count)| excess(count).map(|(got, of)| (pool.clone(), got, of)))
    }

    /// Returns the endpoints that got more than they announced, and how much.
    pub(crate) fn overrun(&self) -> Vec<(VmId, f64, usize)> {
        let counts = self.limits.iter().map(|(vm, rate)| {
            let most = self.most_informed(vm);
            (vm.clone(), *rate, most)
        });
        counts
            .filter(|(_, rate, most)| *most > allowed(*rate))
            .collect()
    }

    /// Returns the most requests that an endpoint has rejected in any second since a time.
    pub(crate) fn most_rejections(&self, since: Duration) -> usize {
        let second = Duration::from_secs(1);
        let counts = self.rejections.iter().map(|(vm, from)| {
            let same = self.rejections.iter().filter(|(of, _)| of == vm);
            let within = same.filter(|(_, at)| *at >= *from && *at < *from + second);
            within.filter(|(_, at)| *at >= since).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns how many requests lie in the sockets of a paused endpoint.
    pub(crate) fn unread_at(&self, vm: &VmId) -> usize {
        let unread = self.unread.iter();
        unread.filter(|unread| unread.run.endpoint == *vm).count()
    }

    /// Returns the most requests that an endpoint got in any window from routers that knew its limit.
    pub(crate) fn most_informed(&self, vm: &VmId) -> usize {
        let times = self.informed.get(vm).map_or(&[][..], Vec::as_slice);
        let counts = times.iter().enumerate().map(|(first, (_, from))| {
            let rest = times[first..].iter();
            rest.take_while(|(_, at)| *at < *from + WINDOW).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns how many requests an endpoint got since a time.
    pub(crate) fn received_since(&self, vm: &VmId, since: Duration) -> usize {
        let times = self.received.get(vm).map_or(&[][..], Vec::as_slice);
        times.iter().filter(|at| **at >= since).count()
    }

    /// Forgets what was counted of an endpoint, whose limit changes.
    pub(crate) fn change_limit(&mut self, vm: &VmId, rate: Option<f64>) {
        self.told.retain(|(_, of), _| of != vm);
        self.informed.swap_remove(vm);
        match rate {
            Some(rate) => drop(self.limits.insert(vm.clone(), rate)),
            None => drop(self.limits.swap_remove(vm)),
        }
    }

    pub(crate) fn limited(&self) -> IndexSet<VmId> {
        self.limits.keys().cloned().collect()
    }
}
