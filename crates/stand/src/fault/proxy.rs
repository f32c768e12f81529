//! Forwards TCP connections and injects the fault that their route configures.

use {
    super::route::{FaultConfig, Mode, ProxyRoute},
    actix_web::{App, HttpResponse, HttpServer, web},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a connection rereads its route's fault configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

/// Runs the proxy until the process ends. Each route is a name, the address to listen on
/// and the address of the server; faults are set through HTTP on `control`.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn serve(
    control: SocketAddr,
    routes: Vec<(String, SocketAddr, SocketAddr)>,
) -> io::Result<()> {
    let mut shared = Vec::new();
    for (name, listen, server) in routes {
        let listener = TcpListener::bind(listen).await?;
        let route = Arc::new(ProxyRoute::new(&name, server));
        shared.push(route.clone());
        tokio::spawn(accept_connections(listener, route));
    }
    let shared = web::Data::new(shared);
    HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/routes/{name}", web::post().to(set_fault))
            .route("/bytes", web::get().to(forwarded_bytes))
    })
    .workers(1)
    .bind(control)?
    .run()
    .await
}

/// Listens on an address and forwards its connections along a route in a background task.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn spawn_proxy(listen: SocketAddr, route: Arc<ProxyRoute>) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(accept_connections(listener, route));
    Ok(())
}

async fn set_fault(
    routes: web::Data<Vec<Arc<ProxyRoute>>>,
    name: web::Path<String>,
    config: web::Json<FaultConfig>,
) -> HttpResponse {
    let mut found = false;
    let matches_name =
        |route: &&Arc<ProxyRoute>| name.as_str() == "*" || route.name == name.as_str();
    for route in routes.iter().filter(matches_name) {
        route.set_config(config.0);
        found = true;
    }
    if found {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn forwarded_bytes(routes: web::Data<Vec<Arc<ProxyRoute>>>) -> HttpResponse {
    let total: u64 = routes.iter().map(|route| route.forwarded_bytes()).sum();
    HttpResponse::Ok().json(total)
}

async fn accept_connections(listener: TcpListener, route: Arc<ProxyRoute>) {
    while let Ok((client, _)) = listener.accept().await {
        if route.config().mode == Mode::Cut {
            continue;
        }
        tokio::spawn(proxy_connection(client, route.clone()));
    }
}

async fn proxy_connection(client: TcpStream, route: Arc<ProxyRoute>) {
    let epoch = route.epoch();
    let Ok(server) = TcpStream::connect(route.server).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = copy_chunks(client_read, server_write, &route, Direction::Forward, epoch);
    let back = copy_chunks(server_read, client_write, &route, Direction::Back, epoch);
    tokio::select! {
        () = forward => {}
        () = back => {}
        () = wait_for_cut(&route, epoch) => {}
    }
}

/// Returns when the route is cut after the connection was opened.
async fn wait_for_cut(route: &ProxyRoute, epoch: u64) {
    loop {
        if route.config().mode == Mode::Cut && route.epoch() > epoch {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Copies one direction of a connection, with the route's fault, until it ends.
async fn copy_chunks(
    mut source: OwnedReadHalf,
    mut destination: OwnedWriteHalf,
    route: &ProxyRoute,
    direction: Direction,
    epoch: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut received_bytes = 0_u64;
    loop {
        let Ok(length) = source.read(&mut buffer).await else {
            return;
        };
        if length == 0 {
            // Half-close: keep the connection open, as the server may still send its response.
            let _ = destination.shutdown().await;
            if direction == Direction::Forward {
                std::future::pending::<()>().await;
            }
            return;
        }
        wait_while_blocked(route, direction, epoch).await;
        let config = route.config();
        tokio::time::sleep(Duration::from_millis(config.delay_ms)).await;
        let allowed = allowed_bytes(&config, direction, received_bytes, length);
        if allowed > 0 && destination.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        received_bytes += length as u64;
        route.add_forwarded_bytes(allowed as u64);
        if allowed < length {
            return;
        }
    }
}

/// Waits while the route's fault blocks this direction.
async fn wait_while_blocked(route: &ProxyRoute, direction: Direction, epoch: u64) {
    loop {
        let blocked = match route.config().mode {
            Mode::Freeze => true,
            Mode::FreezeForward => direction == Direction::Forward,
            Mode::FreezeBack => direction == Direction::Back,
            Mode::SilenceOpen => route.epoch() > epoch,
            Mode::Pass | Mode::Cut | Mode::DropResponse | Mode::CutResponse => false,
        };
        if !blocked {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns how many bytes of a chunk to forward. The connection is closed if that is less
/// than `length`. `received_bytes` counts the bytes of the chunks before.
fn allowed_bytes(
    config: &FaultConfig,
    direction: Direction,
    received_bytes: u64,
    length: usize,
) -> usize {
    if direction == Direction::Forward {
        return length;
    }
    match config.mode {
        Mode::DropResponse => 0,
        Mode::CutResponse => {
            let remaining = config.after_bytes.saturating_sub(received_bytes);
            length.min(usize::try_from(remaining).unwrap_or(usize::MAX))
        }
        _ => length,
    }
}
