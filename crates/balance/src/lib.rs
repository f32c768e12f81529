//! Decides which target runs a request, when to refuse it and when to retry it.
//!
//! The VMs share their targets but do not coordinate each decision. Nothing here does I/O or
//! reads a clock: every `now` is an argument, the time since the start of the process. See
//! `docs/PLATFORM.md`, section "Decisions".

mod activation;
mod balancer;
mod body_time;
mod candidates;
mod fair_shares;
mod feedback;
pub mod hedge;
mod kept_connections;
mod link_rates;
mod loading;
mod preselection;
mod priority_reserve;
mod reachability;
mod recent_objects;
mod region_plans;
mod remote_share;
mod rendezvous;
mod request;
mod response_times;
mod retry_budget;
mod running_times;
pub mod second_home;
mod selection;
mod senders;
pub mod shedding;
pub mod shutdown;
pub mod slow_reader;
mod slow_start;
mod target_stats;
pub mod updates;
mod wait_queues;

pub use activation::{Activation, Mode};
pub use balancer::Balancer;
pub use body_time::body_time;
pub use fair_shares::FairShares;
pub use feedback::{Change, Feedback, Field, Gossip, RateLimit, Slowdown, Source, Statements};
pub use kept_connections::{Kept, KeptConnections};
pub use link_rates::select_wide;
pub use loading::{LoadTimes, Loading};
pub use preselection::{PRESELECTION_SIZES, Preselection, Side, preselect_targets};
pub use priority_reserve::PriorityReserve;
pub use reachability::Reachability;
pub use recent_objects::RecentObjects;
pub use region_plans::RegionPlans;
pub use remote_share::{RemoteShare, TargetCounts};
pub use rendezvous::rendezvous_weight;
pub use request::{Decision, Dispatch, EligibleTarget, PendingRequest};
pub use response_times::ResponseTimes;
pub use retry_budget::{RetryBudget, RetryRule};
pub use running_times::{Affinity, RunningTimes};
pub use selection::{Candidate, Locality, Selection, SelectionPolicy, Timing, select_candidate};
pub use senders::select_senders;
pub use slow_start::{SlowStart, WarmupSenders, select_warmup_senders};
pub use target_stats::{LoadReport, TargetStats};
pub use wait_queues::{QueueKey, WaitQueues};
