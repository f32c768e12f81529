//! Callers that send requests until they are told to stop.

use {
    actix_rt::task::JoinHandle,
    futures_util::future::join_all,
    stand::caller::{Caller, Record, Request},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// A load of requests on the thread that started it.
pub struct Load {
    ended: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<Vec<Record>>>,
}

impl Load {
    /// Starts callers that go through the plans in turn, with a pause between requests.
    #[must_use]
    pub fn start(callers: Vec<Caller>, plans: &[Request], pause: Duration) -> Self {
        let ended = Rc::new(Cell::new(false));
        let one = |(first, caller)| {
            let (plans, ended) = (plans.to_vec(), ended.clone());
            actix_rt::spawn(async move { requests(caller, &plans, first, pause, &ended).await })
        };
        Self {
            callers: callers.into_iter().enumerate().map(one).collect(),
            ended,
        }
    }

    /// Lets the callers finish what they have begun, and returns all records.
    pub async fn stop(self) -> Vec<Record> {
        self.ended.set(true);
        let records = join_all(self.callers).await;
        records.into_iter().flatten().flatten().collect()
    }
}

async fn requests(
    mut caller: Caller,
    plans: &[Request],
    first: usize,
    pause: Duration,
    ended: &Cell<bool>,
) -> Vec<Record> {
    let mut records = Vec::new();
    while !ended.get() {
        let plan = &plans[(first + records.len()) % plans.len()];
        records.push(caller.send(plan).await);
        actix_rt::time::sleep(pause).await;
    }
    records
}
