//! Starts the node's servers and background tasks, and shuts them down on a signal.

use {
    crate::{
        GatewayError, HeaderNames, HttpResponse, Node, ServerConfig, Settings, Store, frontend,
        http_client::Client,
        metrics,
        node::{check_reachability, maintain_quotas, report_traffic},
        peers::{self, Socket},
        serve_http, store,
    },
    hyper::{Request, body::Incoming},
    std::{rc::Rc, time::Duration},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Interval at which unusable idle connections are closed.
const CONNECTION_CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which delayed deletions of targets and changes of evacuations are applied.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the settings are checked for changes without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A VM keeps serving for at least this long during a shutdown, so that callers switch to others.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(3);
/// Fraction of the file descriptors that connections of callers may take.
const CALLER_DESCRIPTOR_SHARE: (usize, usize) = (3, 5);
const MAX_METRICS_CONNECTIONS: usize = 128;

/// Reads the settings again. Returns `None` if they have not changed, and fails if they cannot be
/// read or are invalid.
pub type ReloadSettings = Rc<dyn Fn() -> Result<Option<Settings>, GatewayError>>;

/// What the adapter supplies to run a node.
pub struct Components {
    /// Settings of the VM.
    pub settings: Settings,
    /// Names of the headers that callers and targets use.
    pub header_names: HeaderNames,
    /// Operations of the platform's store.
    pub store: Store,
    /// HTTP client, shared with the store operations.
    pub client: Rc<Client>,
    /// Reads the settings again.
    pub reload_settings: ReloadSettings,
}

/// Runs the node until `SIGTERM` or `SIGINT`, then shuts it down gracefully.
///
/// `start_adapter` starts the servers of the adapter once the node's own ones are running.
///
/// # Errors
/// A [`GatewayError`] when metrics cannot be set up, an address cannot be listened on, a signal
/// cannot be received, or `start_adapter` fails.
pub async fn run(
    components: Components,
    start_adapter: impl FnOnce(&Rc<Node>) -> Result<(), GatewayError>,
) -> Result<(), GatewayError> {
    // Registered first, as SIGHUP ends a process that has no handler for it.
    let hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    let metrics_handle = metrics::install_recorder()?;
    let node = Node::new(
        components.settings,
        components.header_names,
        components.store,
        components.client,
    );
    let node = Rc::new(node);
    let address = node.settings.peers;
    let socket = Socket::open(address).await;
    let socket = socket.map_err(|source| GatewayError::Listen { address, source })?;
    let socket = Rc::new(socket);
    node.set_socket(socket.clone());
    log::info!(event = "started", vm = node.settings.name.as_str(), zone = node.settings.zone.as_str(), callers:% = node.settings.callers, first_start = node.settings.is_first_start; "node started; opening its servers");

    start_servers(&node, &metrics_handle)?;
    start_adapter(&node)?;
    tokio::task::spawn_local(peers::receive_datagrams(node.clone(), socket.clone()));
    tokio::task::spawn_local(peers::probe_members(node.clone(), socket));
    tokio::task::spawn_local(peers::sync_members(node.clone()));
    tokio::task::spawn_local(peers::learn_links(node.clone()));
    tokio::task::spawn_local(store::maintain_registration(node.clone()));
    tokio::task::spawn_local(store::pull_missing_rows(node.clone()));
    for table in node.store.tables.clone() {
        tokio::task::spawn_local(store::poll_source(node.clone(), table.clone()));
        tokio::task::spawn_local(store::watch_table(node.clone(), table));
    }
    tokio::task::spawn_local(apply_changed_settings(
        node.clone(),
        components.reload_settings,
        hangup,
    ));
    tokio::task::spawn_local(clean_up_connections(node.clone()));
    tokio::task::spawn_local(check_reachability(node.clone()));
    tokio::task::spawn_local(maintain_quotas(node.clone()));
    tokio::task::spawn_local(apply_delayed_changes(node.clone()));
    tokio::task::spawn_local(report_traffic(node.clone()));

    wait_for_stop_signal().await?;
    shut_down(&node).await;
    log::info!(event = "stopped", vm = node.settings.name.as_str(), in_flight = node.in_flight.get(); "node stopped");
    Ok(())
}

/// Starts the servers for callers, for other VMs and for metrics.
fn start_servers(
    node: &Rc<Node>,
    metrics_handle: &metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), GatewayError> {
    let max_callers =
        node.settings.max_descriptors * CALLER_DESCRIPTOR_SHARE.0 / CALLER_DESCRIPTOR_SHARE.1;
    let shared = node.clone();
    let server = node.server_config(node.settings.callers, max_callers);
    serve_http(server, move |request| {
        frontend::serve_caller_request(shared.clone(), request)
    })?;
    let shared = node.clone();
    // Connections of other VMs stay open during a shutdown, since a VM that has not been
    // notified of it may still send a request.
    let server = ServerConfig {
        leaving: None,
        ..node.server_config(node.settings.peers, max_callers / 2)
    };
    serve_http(server, move |request| {
        serve_peer_request(shared.clone(), request)
    })?;
    let shared = node.clone();
    let handle = metrics_handle.clone();
    let server = node.server_config(node.settings.metrics, MAX_METRICS_CONNECTIONS);
    let result = serve_http(server, move |request| {
        std::future::ready(metrics::respond(&shared, &handle, &request))
    });
    if let Err(error) = result {
        log::warn!(event = "metrics_unavailable", reason:% = error; "metrics server failed to start; callers are served without metrics");
    }
    Ok(())
}

/// Serves a relayed request, or returns the membership records, link rates or rows that another VM
/// lacks.
async fn serve_peer_request(node: Rc<Node>, request: Request<Incoming>) -> HttpResponse {
    if frontend::is_relayed(&request) {
        frontend::serve_relayed_request(node, request).await
    } else if peers::is_sync_request(&request) {
        peers::serve_members(&node, &request)
    } else if peers::is_links_request(&request) {
        peers::serve_links(&node, &request)
    } else {
        peers::serve_records(node, request).await
    }
}

impl Node {
    /// Returns the configuration of a server whose limits follow the routes in force and whose
    /// connections close during a shutdown.
    #[must_use]
    pub fn server_config(
        self: &Rc<Self>,
        address: std::net::SocketAddr,
        max_connections: usize,
    ) -> ServerConfig {
        let node = self.clone();
        ServerConfig {
            address,
            limits: Rc::new(move || node.route_table().limits().clone()),
            max_connections,
            leaving: Some(self.watch_leaving()),
        }
    }
}

/// Applies changed settings on `SIGHUP` and at an interval. Invalid settings change nothing.
async fn apply_changed_settings(
    node: Rc<Node>,
    reload_settings: ReloadSettings,
    mut hangup: Signal,
) {
    loop {
        let is_signalled = tokio::time::timeout(RELOAD_INTERVAL, hangup.recv())
            .await
            .is_ok();
        match reload_settings() {
            Ok(Some(settings)) => {
                log::info!(event = "settings_reloaded", signalled = is_signalled; "settings reloaded; their bounds are in force");
                node.set_bounds(settings.bounds);
            }
            Ok(None) if is_signalled => {
                log::info!(event = "settings_unchanged", signalled = is_signalled; "settings reloaded on a signal without any change");
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(event = "settings_rejected", signalled = is_signalled, reason:% = error; "settings could not be reloaded; the previous ones stay in force");
            }
        }
    }
}

/// Applies the delayed deletions of targets and changes of evacuations when they are due.
async fn apply_delayed_changes(node: Rc<Node>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        node.report_omitted_target_lines();
        let settled = node.catalog.borrow_mut().settle_evacuations(node.now());
        for (zone, active) in settled {
            log::info!(event = "evacuation", zone = zone.as_str(), active = active, reason = "lapsed"; "evacuation of the zone started or ended: the store lost its newer state, which was not written again in time");
        }
        let expired = node.catalog.borrow_mut().expire_deletions(node.now());
        for id in expired {
            log::info!(event = "target_gone", target = id.as_str(), reason = "lapsed"; "target removed: its row was not renewed in time after an outage of the store");
        }
    }
}

/// Closes unusable idle connections and adjusts the number of those kept per address.
async fn clean_up_connections(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CONNECTION_CLEANUP_INTERVAL).await;
        node.client.close_unusable();
        node.limit_idle_connections();
    }
}

/// Waits for `SIGTERM` or `SIGINT`.
async fn wait_for_stop_signal() -> Result<(), GatewayError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(GatewayError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Announces the shutdown to the other VMs and the store, then waits for the requests in
/// flight, at most for the grace period.
async fn shut_down(node: &Rc<Node>) {
    node.leave();
    peers::hand_over_customers(node);
    peers::broadcast_ping(node);
    tokio::task::spawn_local(store::unregister_vm(node.clone()));
    log::info!(event = "leaving", vm = node.settings.name.as_str(), in_flight = node.in_flight.get(); "shutdown started: waiting for requests in flight");
    let started_at = node.now();
    loop {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        let now = node.now();
        let is_drained =
            node.in_flight.get() == 0 && now.saturating_sub(started_at) >= MIN_SHUTDOWN_TIME;
        if is_drained || node.ends_at().is_none_or(|ends_at| now >= ends_at) {
            return;
        }
    }
}
