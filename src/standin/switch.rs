//! Faults that are switched on and off while a stand-in runs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use salvo::Router;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::standin::chance::Chance;
use crate::standin::outage::Outage;
use crate::standin::server::Action;
use crate::standin::server::Call;
use crate::standin::server::Reply;

/// A set of faults, as it is spelled over HTTP.
pub(crate) trait FaultSet:
    Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Returns the outage among them.
    fn outage(&self) -> Outage;

    /// Returns the seed from which chance starts afresh, if they name one.
    fn seed(&self) -> Option<u64>;
}

/// The faults in force, and the chance that some of them go by.
#[derive(Debug)]
pub(crate) struct Switch<F> {
    faults: watch::Sender<F>,
    chance: Mutex<Chance>,
}

impl<F> Switch<F>
where
    F: FaultSet,
{
    /// Starts without faults.
    pub(crate) fn new() -> Self {
        Self {
            faults: watch::Sender::new(F::default()),
            chance: Mutex::new(Chance::new(0)),
        }
    }

    /// Returns the faults in force.
    pub(crate) fn faults(&self) -> F {
        self.faults.borrow().clone()
    }

    /// Returns a view of the faults that can be waited on.
    pub(crate) fn watch(&self) -> watch::Receiver<F> {
        self.faults.subscribe()
    }

    /// Puts a set in force in place of the one before.
    pub(crate) fn set(&self, faults: F) {
        if let Some(seed) = faults.seed() {
            *self.chance.lock().unwrap_or_else(PoisonError::into_inner) = Chance::new(seed);
        }
        self.faults.send_replace(faults);
    }

    /// Returns true with a probability.
    pub(crate) fn strikes(&self, probability: f64) -> bool {
        let mut chance = self.chance.lock().unwrap_or_else(PoisonError::into_inner);
        chance.strikes(probability)
    }

    /// Ends a call early where the stand-in is out of order.
    pub(crate) fn check(&self) -> Result<(), Reply> {
        match self.faults.borrow().outage().reply() {
            Some(reply) => Err(reply),
            None => Ok(()),
        }
    }

    /// Returns the routes that show and set the faults.
    pub(crate) fn routes(self: &Arc<Self>, path: &str) -> Router {
        Router::with_path(path)
            .get(Action::new(self, show))
            .post(Action::new(self, change))
    }
}

async fn show<F>(switch: Arc<Switch<F>>, _call: Call) -> Result<Reply, Reply>
where
    F: FaultSet,
{
    Ok(Reply::ok(&switch.faults()))
}

async fn change<F>(switch: Arc<Switch<F>>, call: Call) -> Result<Reply, Reply>
where
    F: FaultSet,
{
    switch.set(call.json()?);
    show(switch, call).await
}
