//! Orders to load models or to change role, and the fencing numbers that they carry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::ids::ModelId;
use crate::standin::engine::options::EngineOptions;
use crate::standin::engine::state::Engine;
use crate::standin::engine::state::lock;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::time::wall_ms;

/// The condition that an order wants; what it leaves out stays as it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Want {
    /// The models to have loaded, and no others.
    #[serde(default)]
    pub(crate) models: Option<Vec<ModelId>>,
    /// The role to be in.
    #[serde(default)]
    pub(crate) role: Option<String>,
}

/// An order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Order {
    /// The fencing number.
    pub(crate) fence: u64,
    /// The wanted condition.
    pub(crate) want: Want,
}

/// An order that was obeyed.
#[derive(Clone, Debug, Serialize)]
struct Applied {
    at: u64,
    #[serde(flatten)]
    order: Order,
}

/// What orders made of the engine.
#[derive(Debug)]
pub(crate) struct Orders {
    load_time: Duration,
    ignore_fence: bool,
    highest: u64,
    models: IndexMap<ModelId, Instant>,
    role: String,
    history: Vec<Applied>,
}

impl Orders {
    /// Starts with the first models loaded.
    pub(crate) fn new(now: Instant, options: &EngineOptions) -> Self {
        let models = options.models.iter().cloned();
        Self {
            load_time: Duration::from_millis(options.load_model_ms),
            ignore_fence: options.ignore_fence,
            highest: 0,
            models: models.map(|model| (model, now)).collect(),
            role: options.role.clone(),
            history: Vec::new(),
        }
    }

    /// Returns whether a model is loaded.
    pub(crate) fn serves(&self, now: Instant, model: &ModelId) -> bool {
        self.models.get(model).is_some_and(|ready| *ready <= now)
    }

    /// Returns the models that are loaded.
    pub(crate) fn loaded(&self, now: Instant) -> Vec<ModelId> {
        let models = self.models.keys();
        models
            .filter(|model| self.serves(now, model))
            .cloned()
            .collect()
    }

    /// Obeys an order and returns true, or returns false where its fencing number is old.
    fn apply(&mut self, now: Instant, order: Order) -> bool {
        if order.fence < self.highest && !self.ignore_fence {
            return false;
        }
        self.highest = self.highest.max(order.fence);
        if let Some(models) = &order.want.models {
            self.load(now, models);
        }
        if let Some(role) = &order.want.role {
            self.role.clone_from(role);
        }
        let at = wall_ms();
        self.history.push(Applied { at, order });
        true
    }

    fn load(&mut self, now: Instant, wanted: &[ModelId]) {
        let ready = now + self.load_time;
        let before = std::mem::take(&mut self.models);
        for model in wanted {
            let at = before.get(model).copied().unwrap_or(ready);
            self.models.insert(model.clone(), at);
        }
    }
}

/// Obeys an order, or answers 409 where its fencing number is old.
pub(crate) async fn order(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let order: Order = call.json()?;
    let now = Instant::now();
    let mut orders = lock(&engine.orders);
    let obeyed = orders.apply(now, order);
    let status = if obeyed {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    let shown = json!({
        "highest": orders.highest,
        "loaded": orders.loaded(now),
        "models": orders.models.keys().collect::<Vec<_>>(),
        "role": orders.role,
    });
    Ok(Reply::json(status, &shown))
}

/// Answers with the orders that were obeyed.
pub(crate) async fn history(engine: Arc<Engine>, _call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    Ok(Reply::ok(&lock(&engine.orders).history))
}
