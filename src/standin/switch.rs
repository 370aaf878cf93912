//! Faults that are switched on and off while a stand-in runs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use salvo::Router;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use tokio::sync::watch;

use crate::standin::chance::Chance;
use crate::standin::outage::Outage;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;

/// The faults of one stand-in: those that every one has, and its own.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct FaultSet<F> {
    /// Those that every stand-in has.
    #[serde(flatten)]
    pub(crate) outage: Outage,
    /// Those of this kind of stand-in.
    #[serde(flatten)]
    pub(crate) own: F,
}

impl<F> FaultSet<F>
where
    F: DeserializeOwned,
{
    /// Reads a set from a call's body; a name that neither part knows is an error.
    ///
    /// `serde(flatten)` alone would take a misspelt fault for one that is not switched on.
    pub(crate) fn read(call: &Call) -> Result<Self, Reply> {
        let mut own: Map<String, Value> = call.json()?;
        let outage = Outage::FIELDS.iter();
        let outage: Map<_, _> = outage.filter_map(|name| own.remove_entry(*name)).collect();
        Ok(Self {
            outage: part(outage)?,
            own: part(own)?,
        })
    }
}

fn part<T>(fields: Map<String, Value>) -> Result<T, Reply>
where
    T: DeserializeOwned,
{
    serde_json::from_value(fields.into()).map_err(|error| Reply::bad_request(&error))
}

/// The faults in force, and the chance that some of them go by.
#[derive(Debug)]
pub(crate) struct Switch<F> {
    set: watch::Sender<FaultSet<F>>,
    chance: Mutex<Chance>,
}

impl<F> Switch<F>
where
    F: Clone + Default,
{
    /// Starts without faults.
    pub(crate) fn new() -> Self {
        Self {
            set: watch::Sender::new(FaultSet::default()),
            chance: Mutex::new(Chance::new(0)),
        }
    }

    /// Returns the stand-in's own faults.
    pub(crate) fn faults(&self) -> F {
        self.set.borrow().own.clone()
    }

    /// Returns a view of the faults that can be waited on.
    pub(crate) fn watch(&self) -> watch::Receiver<FaultSet<F>> {
        self.set.subscribe()
    }

    /// Puts a set in force in place of the one before.
    pub(crate) fn set(&self, set: FaultSet<F>) {
        if let Some(seed) = set.outage.seed {
            *self.chance.lock().unwrap_or_else(PoisonError::into_inner) = Chance::new(seed);
        }
        self.set.send_replace(set);
    }

    /// Returns true with a probability.
    pub(crate) fn strikes(&self, probability: f64) -> bool {
        let mut chance = self.chance.lock().unwrap_or_else(PoisonError::into_inner);
        chance.strikes(probability)
    }

    /// Ends a call early where the stand-in is out of order.
    pub(crate) fn check(&self) -> Result<(), Reply> {
        match self.set.borrow().outage.reply() {
            Some(reply) => Err(reply),
            None => Ok(()),
        }
    }
}

impl<F> Switch<F>
where
    F: Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static,
{
    /// Returns the routes that show and set the faults.
    pub(crate) fn routes(self: &Arc<Self>, path: &str) -> Router {
        Router::with_path(path)
            .get(Action::new(self, Self::show))
            .post(Action::new(self, Self::change))
    }

    /// Answers with the faults in force.
    pub(crate) async fn show(self: Arc<Self>, _call: Call) -> Result<Reply, Reply> {
        Ok(Reply::ok(&*self.set.borrow()))
    }

    async fn change(self: Arc<Self>, call: Call) -> Result<Reply, Reply> {
        self.set(FaultSet::read(&call)?);
        self.show(call).await
    }
}
