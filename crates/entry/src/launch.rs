//! Starts the process: settings, log, listeners, actors, and the stop.

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
    wire::{Member, Status},
};

/// Commits of claims that all VMs together may make in a second.
const CLAIM_COMMITS_PER_S: u32 = 240;
/// Time in which callers still hold a list that names this VM.
const LEAVE_GRACE: Duration = Duration::from_millis(3500);
/// Longest wait for requests in flight at a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Libraries whose notes say nothing about steering.
const QUIET: [&str; 3] = ["actix_server", "actix_http", "awc"];
const MAX_CONNECTIONS: usize = 8192;
const KEEP_ALIVE: Duration = Duration::from_secs(30);
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the process until it is told to stop.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    let settings = match load(args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let result = start_log(args.log).and_then(|()| {
        let system = actix::System::new();
        system.block_on(serve(settings.0, settings.1))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn load(args: &Args) -> eyre::Result<(Vm, Fleet)> {
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

fn start_log(level: LevelFilter) -> eyre::Result<()> {
    let console = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .loggers(QUIET.map(|name| Logger::builder().build(name, LevelFilter::Warn)))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

async fn serve(vm: Vm, fleet: Fleet) -> eyre::Result<()> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("metrics cannot be set up")?;
    let platform = ports::http::build_platform(&vm.platform_url);
    let clock = Clock::system();
    let claims = Batcher::new(platform.table.clone(), commit_interval(&fleet)).start();
    let site = fleet.site_of_zone(&vm.zone);
    let region = site.map(|site| site.region.clone()).unwrap_or_default();
    let view = View::new(me(&vm, &clock), Timeouts::default());
    let state = State::new(fleet, view);
    let node = Arc::new(Node::new(vm, region, clock, claims, state));
    introduce_peers(&node);

    let callers = listen_callers(&node)?;
    let peers = listen_peers(&node)?;
    let operators = listen_operators(&node, metrics)?;
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
    log::info!(event = "started", vm = node.vm.name.as_str(), zone = node.vm.zone.as_str(); "started");

    actix::spawn(reload_on_signal(node.clone()));
    stop_signal().await?;
    drain(&node).await;
    for server in [callers, peers, operators] {
        server.stop(true).await;
    }
    log::info!(event = "stopped", vm = node.vm.name.as_str(); "stopped");
    Ok(())
}

/// Divides the commits between the pools that make claims, so that all owners
/// together stay inside the platform's rate.
fn commit_interval(fleet: &Fleet) -> Duration {
    let claims = |service: &&settings::Service| service.operations.iter().any(|op| !op.idempotent);
    let services = fleet.services.iter().filter(claims).count();
    let pools = u32::try_from(services * fleet.sites.len()).unwrap_or(u32::MAX);
    Duration::from_secs(1) * pools / CLAIM_COMMITS_PER_S
}

fn me(vm: &Vm, clock: &Clock) -> Member {
    Member {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        peer: vm.peer_address.to_string(),
        caller: vm.caller_address.to_string(),
        boot_ms: clock.unix_ms(),
        beat: 0,
        status: Status::Alive,
        control: 0,
    }
}

fn introduce_peers(node: &Node) {
    for peer in node
        .vm
        .seed_peers
        .iter()
        .filter(|peer| peer.name != node.vm.name)
    {
        let listed = VmInfo {
            name: peer.name.clone(),
            zone: String::new(),
            peer: peer.address.to_string(),
            leaving: false,
        };
        peers::add_peer(node, &listed);
    }
}

fn context(node: &Arc<Node>) -> Context {
    Context {
        node: node.clone(),
        clients: Clients::new(),
    }
}

fn listen_callers(node: &Arc<Node>) -> eyre::Result<ServerHandle> {
    let shared = node.clone();
    listen(node.vm.caller_address, "callers", move |config| {
        config.app_data(web::Data::new(context(&shared)));
        caller::configure_routes(config);
    })
}

fn listen_peers(node: &Arc<Node>) -> eyre::Result<ServerHandle> {
    let shared = node.clone();
    listen(node.vm.peer_address, "other VMs", move |config| {
        config.app_data(web::Data::new(context(&shared)));
        peers::configure_routes(config);
    })
}

fn listen_operators(node: &Arc<Node>, metrics: PrometheusHandle) -> eyre::Result<ServerHandle> {
    let shared = node.clone();
    listen(node.vm.operator_address, "operators", move |config| {
        config.app_data(web::Data::new(operator::Shared {
            context: context(&shared),
            platform: ports::http::build_platform(&shared.vm.platform_url),
            metrics: metrics.clone(),
        }));
        operator::routes(config);
    })
}

/// Starts a listener with one thread.
fn listen(
    address: SocketAddr,
    whom: &str,
    routes: impl Fn(&mut web::ServiceConfig) + Send + Clone + 'static,
) -> eyre::Result<ServerHandle> {
    let server = HttpServer::new(move || App::new().configure(routes.clone()))
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .disable_signals()
        .shutdown_timeout(DRAIN_TIMEOUT.as_secs())
        .bind(address)
        .wrap_err_with(|| format!("cannot listen on {address} for {whom}"))?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

/// Reads the fleet settings anew at each SIGHUP; a bad file changes nothing.
async fn reload_on_signal(node: Arc<Node>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        let now = node.now();
        match settings::load_fleet(&node.vm.fleet_path) {
            Ok(fleet) if node.state().reload_fleet(&fleet, now) => {
                log::info!(event = "settings_reloaded"; "fleet settings in force");
            }
            Ok(_) => {
                log::warn!(event = "settings_rejected", reason = "targets differ"; "restart the process for new targets");
            }
            Err(error) => {
                log::warn!(event = "settings_rejected", reason:% = error; "fleet settings kept");
            }
        }
    }
}

async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Leaves the look-up lists, serves callers that still hold an old list, then
/// waits for the requests in flight.
async fn drain(node: &Arc<Node>) {
    log::info!(event = "leaving", vm = node.vm.name.as_str(); "leaving");
    node.state().view.leave();
    peers::broadcast_gossip(node, &Clients::new()).await;
    actix::clock::sleep(LEAVE_GRACE).await;
    node.state().stopping = true;
    let limit = node.now() + DRAIN_TIMEOUT;
    while node.state().in_flight > 0 && node.now() < limit {
        actix::clock::sleep(DRAIN_POLL).await;
    }
}
