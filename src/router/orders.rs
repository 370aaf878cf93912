//! Orders to endpoints, issued by one leader per pool.
//!
//! An order states the wanted condition, not a step towards it, and carries the offset of its sender's leader record as
//! a fencing number. An endpoint that checks this number refuses orders of a leader that was replaced while it was
//! paused. One that does not check may follow such an order; its next load report then shows that, and the current
//! leader issues its order again, so that the endpoint still ends up in the wanted condition.

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

/// How often endpoints are checked against the orders: their load reports come once a second.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long an endpoint may take to carry out an order before it is issued again: loading a model takes tens of
/// seconds, and the weight store is rate-limited. A request to lead a pool is repeated after the same time.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// The orders that this router has issued.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    checked_at: Option<Instant>,
    issued: IndexMap<VmId, (Instant, Vec<ModelId>)>,
    /// When this router last asked to lead a pool.
    lead_asked: IndexMap<PoolId, Instant>,
}

impl Core {
    /// Asks to lead pools that have no leader, and issues orders for the pools that this router leads.
    pub(crate) fn issue_orders(&mut self, now: Instant) {
        let due = self
            .orders
            .checked_at
            .is_none_or(|at| now >= at + CHECK_INTERVAL);
        if !due || !self.is_serving() || self.in_outage(now) {
            return;
        }
        self.orders.checked_at = Some(now);
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
                    self.order_models(now, &pool, &models, fence.0);
                }
                Some((leader, _)) if self.ledger.is_open(leader) => {}
                _ => self.request_lead(now, pool),
            }
        }
    }

    fn order_models(&mut self, now: Instant, name: &PoolId, models: &[ModelId], fence: u64) {
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        for (vm, address) in &pool.addresses {
            let Some(loaded) = pool.loaded_models.get(vm) else {
                continue;
            };
            let incomplete = models.iter().any(|model| !loaded.contains(model));
            let recent = self
                .orders
                .issued
                .get(vm)
                .is_some_and(|(at, issued)| now < *at + ORDER_TIMEOUT && issued == models);
            if incomplete && !recent {
                info!(event = "order", pool = %name, endpoint = %vm, fence);
                let issued = (now, models.to_vec());
                self.orders.issued.insert(vm.clone(), issued);
                let order = Order {
                    address: address.to_string(),
                    fence,
                    models: models.to_vec(),
                };
                self.effects.push(Effect::SendOrder(order));
            }
        }
    }

    /// Asks to lead a pool if this router ranks first for it.
    fn request_lead(&mut self, now: Instant, pool: PoolId) {
        let score = |router: Incarnation| {
            let name = format!("{pool}/{router}");
            xxh3_64(name.as_bytes())
        };
        let first = self
            .ledger
            .routers()
            .filter(|(_, state)| !state.closed)
            .min_by_key(|(id, _)| score(*id));
        let asked = self.orders.lead_asked.get(&pool);
        let recent = asked.is_some_and(|at| now < *at + ORDER_TIMEOUT);
        if first.is_some_and(|(id, _)| id == self.me) && !recent {
            self.orders.lead_asked.insert(pool.clone(), now);
            self.appender.push(Record::Lead { pool }, Ticket::Other);
        }
    }
}
