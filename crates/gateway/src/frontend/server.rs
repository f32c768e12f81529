//! HTTP/1.1 server: accepts connections and passes their requests to a handler.

use {
    super::HttpResponse,
    crate::{GatewayError, transport::Stream},
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

const LISTEN_BACKLOG: u32 = 1024;
/// Hyper rejects smaller read buffers.
const MIN_BUFFER_BYTES: usize = 8192;
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Address and limits of an HTTP server.
#[derive(Clone)]
pub struct ServerConfig {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Returns the limits on requests; called for each new connection.
    pub limits: Rc<dyn Fn() -> Limits>,
    /// Maximum number of concurrent connections; more are closed at once.
    pub max_connections: usize,
    /// Holds the time at which the shutdown began, once it has. Connections then close after
    /// the response in progress. If `None`, they stay open until the process ends.
    pub leaving: Option<watch::Receiver<Option<Duration>>>,
}

/// Starts to serve an address in the background, until the process ends.
///
/// # Errors
/// [`GatewayError::Listen`] when the address cannot be listened on.
pub fn serve_http<F, A>(config: ServerConfig, handler: F) -> Result<(), GatewayError>
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let listener = listen(config.address).map_err(|source| GatewayError::Listen {
        address: config.address,
        source,
    })?;
    tokio::task::spawn_local(accept_connections(config, listener, handler));
    Ok(())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept_connections<F, A>(config: ServerConfig, listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error; "accept failed; trying again after a short delay");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open_connections.get() >= config.max_connections {
            log::warn!(event = "connection_refused", open = open_connections.get(); "connection closed: the maximum number of connections is open");
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let guard = ConnectionGuard(open_connections.clone());
        let connection = serve_connection(config.clone(), stream, handler.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(guard);
        });
    }
}

/// Waits until the shutdown begins.
async fn wait_for_shutdown(leaving: &mut Option<watch::Receiver<Option<Duration>>>) {
    match leaving {
        // `changed` does not fail, as the sender lives until the process ends.
        Some(leaving) => drop(leaving.changed().await),
        None => std::future::pending().await,
    }
}

async fn serve_connection<F, A>(mut config: ServerConfig, stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let stream = match Stream::new(stream) {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!(event = "connection_ended", reason:% = error; "server connection closed: socket options could not be set");
            return;
        }
    };
    let unwritten = stream.unwritten();
    let service = service_fn(move |request| {
        let response = handler(request);
        let unwritten = unwritten.clone();
        async move {
            let mut response = response.await;
            response.body_mut().hold_until_written(unwritten);
            Ok::<_, Infallible>(response)
        }
    });
    let is_leaving = config
        .leaving
        .as_ref()
        .is_some_and(|leaving| leaving.borrow().is_some());
    let limits = (config.limits)();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(!is_leaving)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_shutdown(&mut config.leaving), if !is_leaving => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "connection_ended", reason:% = error; "server connection closed with an error");
    }
}
