//! Carries bytes both ways, and fails them as the route says.

use {
    super::route::{FaultConfig, Mode, Route},
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
/// Pause between two looks at a route's setting.
const POLL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

/// Serves all routes, each a name, a listener and a server, and the interface
/// that sets how they fail.
///
/// # Errors
/// When an address cannot be bound.
pub async fn serve(
    control: SocketAddr,
    routes: Vec<(String, SocketAddr, SocketAddr)>,
) -> io::Result<()> {
    let mut shared = Vec::new();
    for (name, listen, to) in routes {
        let listener = TcpListener::bind(listen).await?;
        let route = Arc::new(Route::new(&name, to));
        shared.push(route.clone());
        tokio::spawn(accept(listener, route));
    }
    let shared = web::Data::new(shared);
    HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/routes/{name}", web::post().to(set))
            .route("/bytes", web::get().to(bytes))
    })
    .workers(1)
    .bind(control)?
    .run()
    .await
}

/// Carries the connections to an address along a route, in the background.
///
/// # Errors
/// When the address cannot be bound.
pub async fn spawn_proxy(listen: SocketAddr, route: Arc<Route>) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(accept(listener, route));
    Ok(())
}

async fn set(
    routes: web::Data<Vec<Arc<Route>>>,
    name: web::Path<String>,
    setting: web::Json<FaultConfig>,
) -> HttpResponse {
    let mut found = false;
    let named = |route: &&Arc<Route>| name.as_str() == "*" || route.name == name.as_str();
    for route in routes.iter().filter(named) {
        route.set_config(setting.0);
        found = true;
    }
    if found {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn bytes(routes: web::Data<Vec<Arc<Route>>>) -> HttpResponse {
    let carried: u64 = routes.iter().map(|route| route.carried()).sum();
    HttpResponse::Ok().json(carried)
}

async fn accept(listener: TcpListener, route: Arc<Route>) {
    while let Ok((client, _)) = listener.accept().await {
        if route.setting().mode == Mode::Cut {
            continue;
        }
        tokio::spawn(connect(client, route.clone()));
    }
}

async fn connect(client: TcpStream, route: Arc<Route>) {
    let epoch = route.epoch();
    let Ok(server) = TcpStream::connect(route.to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = carry(client_read, server_write, &route, Direction::Forward, epoch);
    let back = carry(server_read, client_write, &route, Direction::Back, epoch);
    tokio::select! {
        () = forward => {}
        () = back => {}
        () = cut(&route, epoch) => {}
    }
}

/// Ends when the route is cut.
async fn cut(route: &Route, epoch: u64) {
    loop {
        if route.setting().mode == Mode::Cut && route.epoch() > epoch {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    route: &Route,
    direction: Direction,
    epoch: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut passed = 0_u64;
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if length == 0 {
            // The other direction may still carry an answer.
            let _ = to.shutdown().await;
            if direction == Direction::Forward {
                std::future::pending::<()>().await;
            }
            return;
        }
        hold(route, direction, epoch).await;
        let setting = route.setting();
        tokio::time::sleep(Duration::from_millis(setting.delay_ms)).await;
        let most = allowed(&setting, direction, passed, length);
        if most > 0 && to.write_all(&buffer[..most]).await.is_err() {
            return;
        }
        passed += length as u64;
        route.count(most as u64);
        if most < length {
            return;
        }
    }
}

/// Waits while the route holds this direction back.
async fn hold(route: &Route, direction: Direction, epoch: u64) {
    loop {
        let held = match route.setting().mode {
            Mode::Freeze => true,
            Mode::FreezeForward => direction == Direction::Forward,
            Mode::FreezeBack => direction == Direction::Back,
            Mode::SilenceOpen => route.epoch() > epoch,
            Mode::Pass | Mode::Cut | Mode::DropAnswer | Mode::CutAnswer => false,
        };
        if !held {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Bytes of a piece that may pass; fewer than all closes the connection.
fn allowed(setting: &FaultConfig, direction: Direction, passed: u64, length: usize) -> usize {
    if direction == Direction::Forward {
        return length;
    }
    match setting.mode {
        Mode::DropAnswer => 0,
        Mode::CutAnswer => {
            let left = setting.after_bytes.saturating_sub(passed);
            length.min(usize::try_from(left).unwrap_or(usize::MAX))
        }
        _ => length,
    }
}
