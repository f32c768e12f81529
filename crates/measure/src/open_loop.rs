//! Open-loop load generator: each request is sent when it is due, without waiting for earlier
//! ones.

use {
    crate::{Measurement, baseline::Baseline},
    actix_rt::task::JoinHandle,
    rand::{Rng, SeedableRng, rngs::StdRng},
    stand::caller::{Caller, Request, Status},
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The system that receives the load.
#[derive(Clone)]
pub enum SystemUnderTest {
    /// Cicadalift, through callers that send to the VMs of its lookup responses.
    Cicadalift(Rc<RefCell<Vec<Caller>>>),
    /// Baseline load balancers.
    Baseline(Rc<Baseline>),
}

/// A load with exponentially distributed intervals between requests.
pub struct OpenLoop {
    /// Mean rate in requests per second.
    pub requests_per_s: f64,
    /// Time at the start whose requests are not recorded.
    pub warm_up_time: Duration,
    /// Time after the warm-up whose requests are recorded.
    pub measured_time: Duration,
    /// Seed of the intervals.
    pub seed: u64,
}

impl OpenLoop {
    /// Sends copies of a request, waits until all have ended and returns the measurement.
    ///
    /// Times are measured from when a request is due, so that delays of the generator count.
    /// `goodput` and `beyond_slots` are left at 0.
    pub async fn run(&self, system: &SystemUnderTest, request: &Request) -> Measurement {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut sends: Vec<JoinHandle<(Duration, Status, Duration)>> = Vec::new();
        while due < self.warm_up_time + self.measured_time {
            let interval = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.requests_per_s;
            due += Duration::from_secs_f64(interval);
            let delay = due.saturating_sub(start.elapsed());
            if delay > Duration::ZERO {
                actix_rt::time::sleep(delay).await;
            }
            let (system, request, index) = (system.clone(), request.clone(), sends.len());
            sends.push(actix_rt::spawn(async move {
                let intended_start = start + due;
                let status = send_request(&system, &request, index, intended_start).await;
                (due, status, intended_start.elapsed())
            }));
        }
        let mut measurement = Measurement::new();
        for send in sends {
            if let Ok((due, status, took)) = send.await
                && due >= self.warm_up_time
            {
                measurement.record(status, took);
            }
        }
        measurement
    }
}

async fn send_request(
    system: &SystemUnderTest,
    request: &Request,
    index: usize,
    intended_start: Instant,
) -> Status {
    match system {
        SystemUnderTest::Baseline(baseline) => {
            let path = format!("{}?token=x", request.path);
            baseline.send(&path, intended_start + request.timeout).await
        }
        SystemUnderTest::Cicadalift(callers) => {
            let caller = {
                let callers = callers.borrow_mut();
                let count = callers.len();
                callers[index % count].clone()
            };
            send_from_caller(caller, callers, request, index).await
        }
    }
}

/// Sends a request from a caller and puts the caller, with its new state, back.
///
/// If a VM does not respond, the caller spends one more of its sends.
async fn send_from_caller(
    mut caller: Caller,
    callers: &RefCell<Vec<Caller>>,
    request: &Request,
    index: usize,
) -> Status {
    let status = caller.send(request).await.status;
    let mut callers = callers.borrow_mut();
    let count = callers.len();
    callers[index % count] = caller;
    status
}
