//! An open loop: requests are sent when they are due, whatever became of earlier ones.

use {
    crate::{Cell, baseline::Baseline},
    actix_rt::task::JoinHandle,
    rand::{Rng, SeedableRng, rngs::StdRng},
    stand::caller::{Caller, Request, Status},
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// What is measured.
#[derive(Clone)]
pub enum Target {
    /// The system, asked by callers that follow its look-ups.
    System(Rc<RefCell<Vec<Caller>>>),
    /// Balancers without limits.
    Baseline(Rc<Baseline>),
}

/// A load at a rate.
pub struct Open {
    /// Requests a second.
    pub rate: f64,
    /// Time at the start that is not counted.
    pub warm_up: Duration,
    /// Time that is counted.
    pub counted: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Open {
    /// Sends with exponential pauses and waits for every end.
    pub async fn run(&self, target: &Target, plan: &Request) -> Cell {
        let mut random = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut sends: Vec<JoinHandle<(Duration, Status, Duration)>> = Vec::new();
        while due < self.warm_up + self.counted {
            let pause = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / self.rate;
            due += Duration::from_secs_f64(pause);
            let early = due.saturating_sub(start.elapsed());
            if early > Duration::ZERO {
                actix_rt::time::sleep(early).await;
            }
            let (target, plan, index) = (target.clone(), plan.clone(), sends.len());
            sends.push(actix_rt::spawn(async move {
                let intended = start + due;
                let told = send(&target, &plan, index, intended).await;
                (due, told, intended.elapsed())
            }));
        }
        let mut cell = Cell::new();
        for send in sends {
            if let Ok((due, told, took)) = send.await
                && due >= self.warm_up
            {
                cell.note(told, took);
            }
        }
        cell
    }
}

async fn send(target: &Target, plan: &Request, index: usize, intended: Instant) -> Status {
    match target {
        Target::Baseline(baseline) => {
            let path = format!("{}?token=x", plan.path);
            baseline.send(&path, intended + plan.timeout).await
        }
        Target::System(callers) => {
            let caller = {
                let callers = callers.borrow_mut();
                let count = callers.len();
                callers[index % count].clone()
            };
            send_once(caller, callers, plan, index).await
        }
    }
}

/// One send through the look-up; a VM that gives no answer costs one more send.
async fn send_once(
    mut caller: Caller,
    callers: &RefCell<Vec<Caller>>,
    plan: &Request,
    index: usize,
) -> Status {
    let told = caller.send(plan).await.status;
    let mut callers = callers.borrow_mut();
    let count = callers.len();
    callers[index % count] = caller;
    told
}
