//! Startup and shutdown of the process: settings, logging, listeners and actors.

use {
    crate::{
        Args, caller,
        claims::Batcher,
        node::{Node, State},
        operator, peers,
        run::Context,
        upstream::Clients,
        watch::Poller,
    },
    actix::Actor,
    actix_web::{App, HttpServer, dev::ServerHandle, web},
    eyre::{WrapErr, eyre},
    log::LevelFilter,
    log4rs::{
        Config,
        append::console::ConsoleAppender,
        config::{Appender, Logger, Root},
        encode::json::JsonEncoder,
    },
    member::{Timeouts, View},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    ports::{Clock, VmInfo},
    settings::{Fleet, Vm},
    std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
    wire::{Member, Revision, Status},
};

/// Maximum claim commits per second of the whole fleet, within the platform's commit rate.
const MAX_CLAIM_COMMITS_PER_S: u32 = 240;
/// Time for which this VM serves new requests after it began to leave. Callers may cache a
/// lookup response that lists it for 3 s.
const LEAVE_GRACE: Duration = Duration::from_millis(3500);
/// Longest wait for requests in flight at shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Libraries whose messages below the level of a warning are not logged, since they do not
/// concern steering.
const LIBRARY_LOGGERS: [&str; 3] = ["actix_server", "actix_http", "awc"];
const MAX_CONNECTIONS: usize = 8192;
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the process until it receives SIGTERM or SIGINT.
///
/// Returns exit status 2 if the settings cannot be loaded and 1 after any other error.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    let settings = match load_settings(args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let result = init_logging(args.log).and_then(|()| {
        let system = actix::System::new();
        system.block_on(run_node(settings.0, settings.1))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Loads the settings of this VM and of the fleet, and checks that the VM's availability
/// zone is part of the fleet.
fn load_settings(args: &Args) -> eyre::Result<(Vm, Fleet)> {
    let vm = settings::load_vm(&args.settings)?;
    let fleet = settings::load_fleet(&vm.fleet_path)?;
    if fleet.site_of_zone(&vm.zone).is_none() {
        let file = args.settings.display();
        return Err(eyre!(
            "{file}: zone: availability zone {:?} does not exist",
            vm.zone
        ));
    }
    Ok((vm, fleet))
}

/// Logs to standard output, one JSON object per line.
fn init_logging(level: LevelFilter) -> eyre::Result<()> {
    let console = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .loggers(LIBRARY_LOGGERS.map(|name| Logger::builder().build(name, LevelFilter::Warn)))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Starts the listeners and actors, runs until a stop signal, then drains and shuts down.
async fn run_node(vm: Vm, fleet: Fleet) -> eyre::Result<()> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("cannot install the metrics recorder")?;
    let platform = ports::http::build_platform(&vm.platform_url);
    let clock = Clock::system();
    let claims = Batcher::new(platform.table.clone(), commit_interval(&fleet)).start();
    let site = fleet.site_of_zone(&vm.zone);
    let region = site.map(|site| site.region.clone()).unwrap_or_default();
    let view = View::new(build_local_member(&vm, &clock), Timeouts::default());
    let state = State::new(fleet, view);
    let node = Arc::new(Node::new(vm, region, clock, claims, state));
    add_seed_peers(&node);

    let callers = start_caller_listener(&node)?;
    let peers = start_peer_listener(&node)?;
    let operators = start_operator_listener(&node, metrics)?;
    peers::Prober {
        node: node.clone(),
        clients: Clients::new(),
    }
    .start();
    Poller {
        node: node.clone(),
        platform,
    }
    .start();
    log::info!(event = "started", vm = node.vm.name.as_str(), zone = node.vm.zone.as_str(); "serving callers, other VMs and operators");

    actix::spawn(reload_on_signal(node.clone()));
    wait_for_stop_signal().await?;
    drain(&node).await;
    for server in [callers, peers, operators] {
        server.stop(true).await;
    }
    log::info!(event = "stopped", vm = node.vm.name.as_str(); "all listeners stopped");
    Ok(())
}

/// Returns the interval between claim commits of one pool. The fleet's limit is divided
/// evenly among the pools with non-idempotent operations, so that all pool owners together
/// stay within it.
fn commit_interval(fleet: &Fleet) -> Duration {
    let has_claims =
        |service: &&settings::Service| service.operations.iter().any(|op| !op.idempotent);
    let services = fleet.services.iter().filter(has_claims).count();
    let pools = u32::try_from(services * fleet.sites.len()).unwrap_or(u32::MAX);
    Duration::from_secs(1) * pools / MAX_CLAIM_COMMITS_PER_S
}

/// Returns the membership record of this VM. The boot time is its incarnation: after a
/// restart the record replaces that of the previous process.
fn build_local_member(vm: &Vm, clock: &Clock) -> Member {
    Member {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        peer: vm.peer_address.to_string(),
        caller: vm.caller_address.to_string(),
        boot_ms: clock.unix_time_ms(),
        beat: 0,
        status: Status::Alive,
        control: Revision::default(),
    }
}

fn add_seed_peers(node: &Node) {
    for peer in node
        .vm
        .seed_peers
        .iter()
        .filter(|peer| peer.name != node.vm.name)
    {
        let vm = VmInfo {
            name: peer.name.clone(),
            zone: String::new(),
            peer: peer.address.to_string(),
            leaving: false,
        };
        peers::add_peer(node, &vm);
    }
}

fn build_context(node: &Arc<Node>) -> Context {
    Context {
        node: node.clone(),
        clients: Clients::new(),
    }
}

fn start_caller_listener(node: &Arc<Node>) -> eyre::Result<ServerHandle> {
    let node_for_workers = node.clone();
    start_listener(node.vm.caller_address, "callers", move |config| {
        config.app_data(web::Data::new(build_context(&node_for_workers)));
        caller::configure_routes(config);
    })
}

fn start_peer_listener(node: &Arc<Node>) -> eyre::Result<ServerHandle> {
    let node_for_workers = node.clone();
    start_listener(node.vm.peer_address, "other VMs", move |config| {
        config.app_data(web::Data::new(build_context(&node_for_workers)));
        peers::configure_routes(config);
    })
}

fn start_operator_listener(
    node: &Arc<Node>,
    metrics: PrometheusHandle,
) -> eyre::Result<ServerHandle> {
    let node_for_workers = node.clone();
    start_listener(node.vm.operator_address, "operators", move |config| {
        config.app_data(web::Data::new(operator::AppData {
            context: build_context(&node_for_workers),
            platform: ports::http::build_platform(&node_for_workers.vm.platform_url),
            metrics: metrics.clone(),
        }));
        operator::configure_routes(config);
    })
}

/// Starts an HTTP server with one worker thread. `clients` names its clients in errors.
fn start_listener(
    address: SocketAddr,
    clients: &str,
    configure_routes: impl Fn(&mut web::ServiceConfig) + Send + Clone + 'static,
) -> eyre::Result<ServerHandle> {
    let server = HttpServer::new(move || App::new().configure(configure_routes.clone()))
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .disable_signals()
        .shutdown_timeout(DRAIN_TIMEOUT.as_secs())
        .bind(address)
        .wrap_err_with(|| format!("cannot listen on {address} for {clients}"))?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

/// Reloads the fleet settings at each SIGHUP. Invalid settings, and settings with other
/// targets, are rejected; those in force stay.
async fn reload_on_signal(node: Arc<Node>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        let now = node.now();
        match settings::load_fleet(&node.vm.fleet_path) {
            Ok(fleet) if node.state().reload_fleet(&fleet, now) => {
                log::info!(event = "settings_reloaded"; "new fleet settings in force");
            }
            Ok(_) => {
                log::warn!(event = "settings_rejected", reason = "targets differ"; "fleet settings kept; restart the process to change targets");
            }
            Err(error) => {
                log::warn!(event = "settings_rejected", reason:% = error; "cannot load the fleet settings; keeping those in force");
            }
        }
    }
}

async fn wait_for_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Removes this VM from lookup responses, serves callers that still hold an old response,
/// then refuses new requests from callers and waits for those in flight.
async fn drain(node: &Arc<Node>) {
    log::info!(event = "leaving", vm = node.vm.name.as_str(); "shutting down; leaving the lookup responses");
    node.state().view.leave();
    peers::broadcast_gossip(node, &Clients::new()).await;
    actix::clock::sleep(LEAVE_GRACE).await;
    node.state().stopping = true;
    let deadline = node.now() + DRAIN_TIMEOUT;
    while node.state().in_flight > 0 && node.now() < deadline {
        actix::clock::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
