//! Operators' requests to a router, and planned stops.

use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tracing::info;
use tracing::warn;

use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::event::AdminRequest;
use crate::router::event::ReplyId;
use crate::tokens::Tokens;

/// Version of the state dump that `status` returns.
const DUMP_VERSION: u32 = 1;

impl Core {
    /// Handles an operator's request.
    pub(crate) fn handle_admin(&mut self, now: Instant, id: ReplyId, request: AdminRequest) {
        match request {
            AdminRequest::Address => self.answer_address(now, id),
            AdminRequest::Status => self.answer(id, 200, self.status(now)),
            AdminRequest::Teams => self.answer(id, 200, self.teams()),
            AdminRequest::Config => {
                let body = serde_json::to_value(self.config.snapshot());
                self.answer(id, 200, body.unwrap_or(Value::Null));
            }
            AdminRequest::TopUp {
                id: name,
                team,
                amount,
            } => self.top_up(id, name, team, amount),
            AdminRequest::Directory(domain) => {
                let addresses = self.directory(now, &domain);
                self.answer(id, 200, json!({"addresses": addresses}));
            }
            AdminRequest::Drain => {
                self.begin_drain(now);
                self.answer(id, 202, json!({"draining": true}));
            }
        }
    }

    fn answer(&mut self, id: ReplyId, status: u16, body: Value) {
        self.effects.push(Effect::Answer(id, status, body));
    }

    fn answer_address(&mut self, now: Instant, id: ReplyId) {
        match self.advice(now) {
            Some(advice) => {
                let keep = advice.ttl.min(self.tuning.address_ttl);
                let keep = u64::try_from(keep.as_millis()).unwrap_or(u64::MAX);
                let body = json!({
                    "address": advice.address,
                    "alternates": advice.alternates,
                    "keep_ms": keep,
                    "attempts": "count your tries of one request from 1 in the header Jasmineridge-Attempt",
                });
                self.answer(id, 200, body);
            }
            None => self.answer(id, 503, json!({"detail": "no router takes requests"})),
        }
    }

    fn top_up(&mut self, id: ReplyId, name: TopUpId, team: TeamId, amount: Tokens) {
        if !self.is_serving() {
            self.answer(id, 503, json!({"detail": "this router does not serve"}));
            return;
        }
        if self.config.team(&team).is_none() {
            let body = json!({"detail": format!("the configuration has no team {team}")});
            self.answer(id, 404, body);
            return;
        }
        let record = Record::TopUp {
            id: name,
            team,
            amount,
        };
        self.appender
            .push(record.clone(), Ticket::TopUp(id, record));
    }

    pub(crate) fn answer_top_up(&mut self, id: ReplyId, verdict: &Verdict) {
        let applied = *verdict == Verdict::Accepted;
        self.answer(id, 200, json!({"applied": applied}));
    }

    fn teams(&self) -> Value {
        let teams: Vec<_> = self
            .ledger
            .teams()
            .map(|(team, state)| {
                json!({
                    "team": team,
                    "prepaid": state.prepaid,
                    "spent": state.spent,
                    "lost": state.lost,
                    "held": state.held(),
                    "undrawn": state.undrawn(),
                })
            })
            .collect();
        json!({"teams": teams})
    }

    fn status(&self, now: Instant) -> Value {
        let quarantined = self.crash_history.quarantined(now);
        let quarantined: Vec<_> = quarantined.map(|suspect| suspect.to_string()).collect();
        let crashes = json!({
            "unexplained": self.crash_history.unexplained(),
            "quarantined": quarantined,
        });
        let routers: Vec<_> = self
            .ledger
            .routers()
            .filter(|(_, state)| !state.closed)
            .map(|(id, state)| json!({"vm": state.vm, "incarnation": id, "address": state.address}))
            .collect();
        let pools: Vec<_> = self
            .pools
            .iter()
            .map(|(name, pool)| {
                let endpoints: Vec<_> = pool
                    .addresses
                    .iter()
                    .map(|(vm, address)| {
                        json!({
                            "vm": vm,
                            "address": address,
                            "load": pool.picker.chooser.load(now, vm),
                            "health": format!("{:?}", pool.picker.health.health(now, vm)).to_lowercase(),
                            "limit": self.announcements.limit(vm),
                            "unread": self.announcements.unread(vm),
                            "tolerance": self.announcements.tolerance(vm),
                            "room": self.slots.room(vm),
                            "leaving": self.announcements.is_leaving(vm),
                            "rest_ms": self.announcements.rest_left(now, vm).as_millis(),
                        })
                    })
                    .collect();
                json!({
                    "pool": name,
                    "waiting": pool.queue.len(),
                    "cut_ms": pool.reachability.cut_for(now).map(|time| time.as_millis() as u64),
                    "answer_ms": pool.reachability.answer_age(now).map(|age| age.as_millis() as u64),
                    "retries": self.retry_budgets.get(name).map(|budget| budget.clone().usage(now)),
                    "endpoints": endpoints,
                })
            })
            .collect();
        let holdings: Vec<_> = self
            .ledger
            .teams()
            .map(|(team, _)| {
                let holding = self.ledger.holding(self.me, team);
                json!({"team": team, "free": holding.free, "claimed": holding.claimed})
            })
            .collect();
        json!({
            "version": DUMP_VERSION,
            "process": "jasmineridged",
            "vm": self.tuning.vm,
            "domain": self.tuning.domain,
            "address": self.tuning.address,
            "incarnation": self.me,
            "phase": format!("{:?}", self.phase),
            "log_outage": self.in_outage(now),
            "unread": self.unread.len(),
            "ledger": {
                "next": self.ledger.next(),
                "waiting_records": self.appender.waiting(),
                "kept_for_peers": self.members.kept_count(),
            },
            "config": {
                "version": self.config.version(),
                "rejected": self.config.rejected(),
                "skipped": self.config.skipped(),
            },
            "requests": self.requests.len(),
            "routers": routers,
            "pools": pools,
            "holdings": holdings,
            "crashes": crashes,
            "grants": self.grant_budgets.dump(now),
            "table_version": self.route_table.as_ref().map(|table| table.version),
            "teams": self.teams()["teams"],
        })
    }

    /// Begins a planned stop: new requests are refused, and those in progress go on.
    pub(crate) fn begin_drain(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Draining { .. }) {
            return;
        }
        info!(event = "draining", requests = self.requests.len());
        self.phase = Phase::Draining {
            since: now,
            closing: false,
        };
        self.grant_budgets.wind_down();
        self.update_retry_limits(now);
        let peers = self.members.vm_index.peers().to_vec();
        self.effects
            .push(Effect::SendHeartbeat(self.heartbeat(now), peers));
    }

    /// Logs the requests and records that an early end cuts off.
    pub(crate) fn log_unfinished(&self) {
        for (id, request) in &self.requests {
            warn!(event = "drain-cut", request = %id, key = %request.key);
        }
        let unfolded = self.appender.waiting();
        if unfolded > 0 {
            warn!(event = "drain-unfolded", records = unfolded);
        }
    }

    /// Ends a planned stop once the last request is over, and returns all holdings.
    pub(crate) fn finish_drain(&mut self, now: Instant) {
        let Phase::Draining { since, closing } = self.phase else {
            return;
        };
        let late = now >= since + self.tuning.drain_timeout;
        if late {
            self.log_unfinished();
            self.effects.push(Effect::Exit { cut: true });
        }
        if self.requests.is_empty() && !closing {
            self.phase = Phase::Draining {
                since,
                closing: true,
            };
            let record = Record::Close { router: self.me };
            self.appender.push(record, Ticket::CloseSelf);
        }
    }
}
