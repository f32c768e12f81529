//! Closed-loop load of several callers.

use {
    actix_rt::task::JoinHandle,
    futures_util::future::join_all,
    stand::caller::{Caller, Record, Request},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Callers that send requests as tasks on the thread that started them.
pub struct LoadGenerator {
    stopped: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<Vec<Record>>>,
}

impl LoadGenerator {
    /// Starts a task for each caller.
    ///
    /// It sends the requests in rotation, with a pause after each. The callers begin with
    /// different requests.
    #[must_use]
    pub fn start(callers: Vec<Caller>, requests: &[Request], pause: Duration) -> Self {
        let stopped = Rc::new(Cell::new(false));
        let spawn_caller = |(first_index, caller)| {
            let (requests, stopped) = (requests.to_vec(), stopped.clone());
            actix_rt::spawn(async move {
                send_requests(caller, &requests, first_index, pause, &stopped).await
            })
        };
        Self {
            callers: callers.into_iter().enumerate().map(spawn_caller).collect(),
            stopped,
        }
    }

    /// Waits for the requests in flight and returns the records of all callers.
    pub async fn stop(self) -> Vec<Record> {
        self.stopped.set(true);
        let records = join_all(self.callers).await;
        records.into_iter().flatten().flatten().collect()
    }
}

async fn send_requests(
    mut caller: Caller,
    requests: &[Request],
    first_index: usize,
    pause: Duration,
    stopped: &Cell<bool>,
) -> Vec<Record> {
    let mut records = Vec::new();
    while !stopped.get() {
        let request = &requests[(first_index + records.len()) % requests.len()];
        records.push(caller.send(request).await);
        actix_rt::time::sleep(pause).await;
    }
    records
}
