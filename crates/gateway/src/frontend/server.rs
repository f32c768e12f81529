//! Accepts connections and serves HTTP on them.

use {
    super::HttpResponse,
    crate::{GatewayError, exchange::tune},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    route::Limits,
    std::{
        cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
    },
};

const BACKLOG: u32 = 1024;
/// The HTTP library takes no smaller buffer.
const MIN_BUFFER: usize = 8192;
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How connections are served.
#[derive(Clone)]
pub struct ServerConfig {
    /// Where to listen.
    pub address: SocketAddr,
    /// Bounds on what is sent, asked for at each connection.
    pub limits: Rc<dyn Fn() -> Limits>,
    /// Most connections at a time.
    pub connections: usize,
    /// Holds the time of the stop once there is one; answers then close their connection.
    /// Without it, connections stay open to the end.
    pub leaving: Option<watch::Receiver<Option<Duration>>>,
}

/// Serves connections until the process ends.
///
/// # Errors
/// [`GatewayError::Listen`] when the address is taken.
pub fn serve_http<F, A>(server: ServerConfig, handler: F) -> Result<(), GatewayError>
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let listener = listen(server.address).map_err(|source| GatewayError::Listen {
        address: server.address,
        source,
    })?;
    tokio::task::spawn_local(accept(server, listener, handler));
    Ok(())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept<F, A>(server: ServerConfig, listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let open = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= server.connections {
            log::warn!(event = "connection_refused", open = open.get(); "too many connections");
            continue;
        }
        open.set(open.get() + 1);
        let counted = Open(open.clone());
        let exchange = connection(server.clone(), stream, handler.clone());
        tokio::task::spawn_local(async move {
            exchange.await;
            drop(counted);
        });
    }
}

/// Waits for the beginning of the stop.
async fn stopped(leaving: &mut Option<watch::Receiver<Option<Duration>>>) {
    match leaving {
        // The sender lives as long as the process.
        Some(leaving) => drop(leaving.changed().await),
        None => std::future::pending().await,
    }
}

async fn connection<F, A>(mut server: ServerConfig, stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    if let Err(error) = tune(&stream) {
        log::debug!(event = "connection_ended", reason:% = error; "connection ended");
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let leaving = server
        .leaving
        .as_ref()
        .is_some_and(|leaving| leaving.borrow().is_some());
    let limits = (server.limits)();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
        .keep_alive(!leaving)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped(&mut server.leaving), if !leaving => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "connection_ended", reason:% = error; "connection ended");
    }
}
