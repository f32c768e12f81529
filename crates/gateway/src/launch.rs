//! Starts the process and stops it.

use {
    crate::{
        GatewayError, HeaderNames, HttpResponse, Node, ServerConfig, Settings, Store,
        exchange::Client,
        frontend, metrics,
        peers::{self, Socket},
        serve_http, store,
    },
    hyper::{Request, body::Incoming},
    std::{rc::Rc, time::Duration},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

const SWEEP: Duration = Duration::from_millis(500);
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);
/// Settings may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(1);
const STOP_POLL: Duration = Duration::from_millis(20);
/// Time for which a VM that stops goes on, so that callers find others.
const LEAVE_FOR: Duration = Duration::from_secs(3);
/// The process ends this much before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(200);
/// Part of the descriptors that callers' connections may take.
const CALLER_PART: (usize, usize) = (3, 5);
const INNER_CONNECTIONS: usize = 128;

/// Reads the settings anew; `None` when they have not changed.
pub type ReloadSettings = Rc<dyn Fn() -> Result<Option<Settings>, GatewayError>>;

/// What an adapter puts together.
pub struct Components {
    /// What the VM was told.
    pub settings: Settings,
    /// Header names.
    pub names: HeaderNames,
    /// Calls of the store.
    pub store: Store,
    /// Connections, shared with the store's calls.
    pub client: Rc<Client>,
    /// Reads the settings anew.
    pub reload: ReloadSettings,
}

/// Runs until told to stop. `more` starts what the adapter serves itself.
///
/// # Errors
/// A [`GatewayError`] when an address is taken or a signal cannot be received.
pub async fn run(
    parts: Components,
    more: impl FnOnce(&Rc<Node>) -> Result<(), GatewayError>,
) -> Result<(), GatewayError> {
    // Without a receiver the signal would end the process.
    let hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    let collected = metrics::start()?;
    let node = Node::new(parts.settings, parts.names, parts.store, parts.client);
    let node = Rc::new(node);
    let address = node.settings.peers;
    let socket = Socket::open(address).await;
    let socket = socket.map_err(|source| GatewayError::Listen { address, source })?;
    let socket = Rc::new(socket);
    node.set_socket(socket.clone());
    log::info!(event = "started", vm = node.settings.name.as_str(), zone = node.settings.zone.as_str(), callers:% = node.settings.callers; "started");

    listen(&node, &collected)?;
    more(&node)?;
    tokio::task::spawn_local(peers::receive_datagrams(node.clone(), socket.clone()));
    tokio::task::spawn_local(peers::probe_members(node.clone(), socket));
    tokio::task::spawn_local(store::maintain_registration(node.clone()));
    tokio::task::spawn_local(store::pull_missing_rows(node.clone()));
    tokio::task::spawn_local(store::poll_source(node.clone()));
    for table in node.store.tables.clone() {
        tokio::task::spawn_local(store::watch_table(node.clone(), table));
    }
    tokio::task::spawn_local(reload_loop(node.clone(), parts.reload, hangup));
    tokio::task::spawn_local(sweep(node.clone()));
    tokio::task::spawn_local(expire(node.clone()));

    stop_signal().await?;
    leave(&node).await;
    log::info!(event = "stopped", vm = node.settings.name.as_str(), in_flight = node.in_flight.get(); "stopped");
    Ok(())
}

fn listen(
    node: &Rc<Node>,
    collected: &metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), GatewayError> {
    let callers = node.settings.max_descriptors * CALLER_PART.0 / CALLER_PART.1;
    let shared = node.clone();
    let server = node.server_config(node.settings.callers, callers);
    serve_http(server, move |request| {
        frontend::serve_caller_request(shared.clone(), request)
    })?;
    let shared = node.clone();
    // A VM that has not yet heard of the stop may be about to use a connection.
    let server = ServerConfig {
        leaving: None,
        ..node.server_config(node.settings.peers, callers / 2)
    };
    serve_http(server, move |request| inner(shared.clone(), request))?;
    let shared = node.clone();
    let handle = collected.clone();
    let server = node.server_config(node.settings.metrics, INNER_CONNECTIONS);
    let started = serve_http(server, move |request| {
        std::future::ready(metrics::answer(&shared, &handle, &request))
    });
    if let Err(error) = started {
        log::warn!(event = "metrics_unavailable", reason:% = error; "callers are served without metrics");
    }
    Ok(())
}

/// Answers what other VMs ask for.
async fn inner(node: Rc<Node>, request: Request<Incoming>) -> HttpResponse {
    if frontend::is_relayed(&request) {
        frontend::serve_relayed_request(node, request).await
    } else {
        peers::serve_records(node, request).await
    }
}

impl Node {
    /// How connections at an address are served.
    #[must_use]
    pub fn server_config(
        self: &Rc<Self>,
        address: std::net::SocketAddr,
        connections: usize,
    ) -> ServerConfig {
        let node = self.clone();
        ServerConfig {
            address,
            limits: Rc::new(move || node.route_table().limits().clone()),
            max_connections: connections,
            leaving: Some(self.watch_leaving()),
        }
    }
}

/// Puts changed settings in force, at a signal and without one; bad ones change nothing.
async fn reload_loop(node: Rc<Node>, reload: ReloadSettings, mut hangup: Signal) {
    loop {
        let signalled = tokio::time::timeout(RELOAD_PERIOD, hangup.recv())
            .await
            .is_ok();
        match reload() {
            Ok(Some(settings)) => {
                log::info!(event = "settings_reloaded", signalled = signalled; "bounds of the settings in force");
                node.set_bounds(settings.bounds);
            }
            Ok(None) if signalled => {
                log::info!(event = "settings_unchanged", signalled = signalled; "settings have not changed");
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(event = "settings_rejected", signalled = signalled, reason:% = error; "settings kept");
            }
        }
    }
}

/// Puts lapses into effect when their time has come.
async fn expire(node: Rc<Node>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let expired = node.catalog.borrow_mut().expire_deletions(node.now());
        for id in expired {
            log::info!(event = "target_gone", target = id.as_str(), reason = "lapsed"; "target did not come back");
        }
    }
}

/// Lets go of what is no longer used.
async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        node.client.close_unusable();
        node.limit_idle_connections();
    }
}

async fn stop_signal() -> Result<(), GatewayError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(GatewayError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Tells the others, then waits for the requests in flight as long as the grace lasts.
async fn leave(node: &Rc<Node>) {
    node.leave();
    peers::broadcast_ping(node);
    tokio::task::spawn_local(store::unregister_vm(node.clone()));
    log::info!(event = "leaving", vm = node.settings.name.as_str(), in_flight = node.in_flight.get(); "leaving");
    let since = node.now();
    let end = since + node.bounds().grace.saturating_sub(GRACE_MARGIN);
    loop {
        tokio::time::sleep(STOP_POLL).await;
        let now = node.now();
        let idle = node.in_flight.get() == 0 && now.saturating_sub(since) >= LEAVE_FOR;
        if idle || now >= end {
            return;
        }
    }
}
