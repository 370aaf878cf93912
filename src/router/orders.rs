//! Orders to endpoints, by one leader a pool.
//!
//! An order states the condition that is wanted, not a step towards it, and carries the offset of its sender's leading
//! record as a fencing number. An endpoint that checks refuses the order of a leader that was replaced while it was
//! paused. One that does not check may follow such an order, and its next load report shows that; the leader in office
//! then orders again, so that it ends in the wanted condition all the same.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::PoolKind;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ledger::Record;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::effect::Order;

/// How often the orders are looked over: an endpoint's report comes once a second.
const EVERY: Duration = Duration::from_secs(1);

/// How long an endpoint may take to follow an order before it is given again: loading a model takes tens of seconds, and
/// the weight store is rate-limited.
const FOLLOW: Duration = Duration::from_secs(30);

/// What a router has ordered.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    looked: Option<Instant>,
    given: IndexMap<VmId, (Instant, Vec<ModelId>)>,
    /// Since when this router has been asking to lead a pool.
    asked: IndexMap<PoolId, Instant>,
}

impl Core {
    /// Leads pools whose turn is this router's, and orders what their endpoints lack.
    pub(crate) fn give_orders(&mut self, now: Instant) {
        let due = self.orders.looked.is_none_or(|at| now >= at + EVERY);
        if !due || !self.is_serving() || self.in_outage(now) {
            return;
        }
        self.orders.looked = Some(now);
        let wanted: Vec<_> = self
            .config
            .pools()
            .filter_map(|(id, spec)| match &spec.kind {
                PoolKind::Engine { models, .. } => Some((id, models.clone())),
                PoolKind::Service { .. } => None,
            })
            .collect();
        for (pool, models) in wanted {
            match self.ledger.leader(&pool) {
                Some((leader, fence)) if leader == self.me => {
                    self.order(now, &pool, &models, fence.0);
                }
                Some((leader, _)) if self.ledger.is_open(leader) => {}
                _ => self.ask_to_lead(now, pool),
            }
        }
    }

    fn order(&mut self, now: Instant, name: &PoolId, models: &[ModelId], fence: u64) {
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        for (vm, address) in &pool.addresses {
            let Some(loaded) = pool.loaded.get(vm) else {
                continue;
            };
            let lacks = models.iter().any(|model| !loaded.contains(model));
            let recent = self
                .orders
                .given
                .get(vm)
                .is_some_and(|(at, given)| now < *at + FOLLOW && given == models);
            if lacks && !recent {
                info!(event = "order", pool = %name, endpoint = %vm, fence);
                let given = (now, models.to_vec());
                self.orders.given.insert(vm.clone(), given);
                let order = Order {
                    address: address.to_string(),
                    fence,
                    models: models.to_vec(),
                };
                self.effects.push(Effect::SendOrder(order));
            }
        }
    }

    /// Asks to lead a pool, if this router is the first in that pool's order.
    fn ask_to_lead(&mut self, now: Instant, pool: PoolId) {
        let score = |router: Incarnation| {
            let name = format!("{pool}/{router}");
            xxh3_64(name.as_bytes())
        };
        let first = self
            .ledger
            .routers()
            .filter(|(_, state)| !state.closed)
            .min_by_key(|(id, _)| score(*id));
        let asked = self.orders.asked.get(&pool);
        let recent = asked.is_some_and(|at| now < *at + FOLLOW);
        if first.is_some_and(|(id, _)| id == self.me) && !recent {
            self.orders.asked.insert(pool.clone(), now);
            self.appender.push(Record::Lead { pool }, Ticket::Other);
        }
    }
}
