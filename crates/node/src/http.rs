//! An HTTP/1.1 client and server on `smol`, built on `hyper`.

use std::convert;
use std::future;
use std::net;
use std::rc;
use std::time;

use eyre::WrapErr as _;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client;
use hyper::server;
use hyper::service;
use smol::future::FutureExt as _;
use smol_hyper::rt;

/// The largest body that is read.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The largest body of a small request, such as a backend server's report.
///
/// A body of [`MAX_BODY_BYTES`] would take more memory than a small instance has. Reports have some
/// hundred bytes.
pub const MAX_SMALL_BODY_BYTES: usize = 64 << 10;

/// A request to another process.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The method.
    pub method: hyper::Method,
    /// The address of the server.
    pub address: net::SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers besides `host`.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The timeout of the whole call, with connecting.
    pub timeout: time::Duration,
}

impl ClientRequest {
    /// A request without headers or body.
    pub fn new(
        method: hyper::Method,
        address: net::SocketAddr,
        path: impl Into<String>,
        timeout: time::Duration,
    ) -> ClientRequest {
        let (headers, body) = (Vec::new(), Vec::new());
        ClientRequest { method, address, path: path.into(), headers, body, timeout }
    }
}

/// A response from another process.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The `retry-after` header, in seconds.
    pub retry_after_s: Option<u32>,
    /// The body.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// A header as text, without quotes.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The connection failed or the call timed out after the request may have been sent.
    Broken,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::NotConnected => write!(f, "cannot connect"),
            CallError::Broken => write!(f, "no response; the call may have taken effect"),
        }
    }
}

impl std::error::Error for CallError {}

/// Calls another process.
///
/// Dropping the future closes the connection, which cancels the call.
///
/// # Errors
///
/// Distinguishes a request that was never sent from one that may have taken effect.
pub async fn call(request: ClientRequest) -> Result<ClientResponse, CallError> {
    let deadline = time::Instant::now() + request.timeout;
    let connect = async { smol::net::TcpStream::connect(request.address).await.ok() };
    let timeout = async {
        smol::Timer::at(deadline).await;
        None
    };
    let stream = connect.or(timeout).await.ok_or(CallError::NotConnected)?;
    drop(stream.set_nodelay(true));
    let exchange = exchange(stream, request);
    let timeout = async {
        smol::Timer::at(deadline).await;
        Err(CallError::Broken)
    };
    exchange.or(timeout).await
}

async fn exchange(
    stream: smol::net::TcpStream,
    request: ClientRequest,
) -> Result<ClientResponse, CallError> {
    let io = rt::FuturesIo::new(stream);
    let (mut sender, connection) =
        client::conn::http1::handshake(io).await.map_err(|_| CallError::NotConnected)?;
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(hyper::header::HOST, request.address.to_string());
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    let body = http_body_util::Full::new(body::Bytes::from(request.body));
    let request = builder.body(body).map_err(|_| CallError::NotConnected)?;
    let response = async {
        let response = sender.send_request(request).await.map_err(|_| CallError::Broken)?;
        decode_response(response).await
    };
    let drive = async {
        // The request fails as well when the connection does.
        drop(connection.await);
        future::pending::<Result<ClientResponse, CallError>>().await
    };
    response.or(drive).await
}

async fn decode_response(
    response: hyper::Response<body::Incoming>,
) -> Result<ClientResponse, CallError> {
    let (parts, incoming) = response.into_parts();
    let retry_after = header_text(&parts.headers, hyper::header::RETRY_AFTER.as_str());
    let limited = http_body_util::Limited::new(incoming, MAX_BODY_BYTES);
    let body = limited.collect().await.map_err(|_| CallError::Broken)?;
    Ok(ClientResponse {
        status: parts.status.as_u16(),
        retry_after_s: retry_after.and_then(|text| text.parse().ok()),
        headers: parts.headers,
        body: body.to_bytes().to_vec(),
    })
}

fn header_text<'a>(headers: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    Some(headers.get(name)?.to_str().ok()?.trim_matches('"'))
}

/// A request received by a server.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The method.
    pub method: hyper::Method,
    /// The path without the query.
    pub path: String,
    /// The query, possibly empty.
    pub query: String,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl ServerRequest {
    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// A header as text, without quotes.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }
}

/// A response sent by a server.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// The status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl ServerResponse {
    /// A response without headers.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> ServerResponse {
        ServerResponse { status, headers: Vec::new(), body: body.into() }
    }

    /// A response in JSON.
    pub fn json(status: u16, value: &serde_json::Value) -> ServerResponse {
        let headers = vec![("content-type", "application/json".to_owned())];
        ServerResponse { status, headers, body: value.to_string().into_bytes() }
    }

    /// A response in MessagePack.
    pub fn msgpack<T: serde::Serialize>(value: &T) -> ServerResponse {
        match rmp_serde::to_vec(value) {
            Ok(body) => ServerResponse::new(200, body).with("content-type", "application/msgpack"),
            Err(error) => ServerResponse::new(500, error.to_string()),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> ServerResponse {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// Serves requests until the executor is dropped.
///
/// # Errors
///
/// None at present: errors of accepting are logged, and accepting goes on.
pub async fn serve<H, F>(
    listener: smol::net::TcpListener,
    executor: rc::Rc<smol::LocalExecutor<'static>>,
    handler: rc::Rc<H>,
) -> eyre::Result<()>
where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    serve_with_limit(MAX_BODY_BYTES, listener, executor, handler).await
}

/// Serves requests with small bodies; larger ones are refused.
///
/// # Errors
///
/// As for [`serve`].
pub async fn serve_small<H, F>(
    listener: smol::net::TcpListener,
    executor: rc::Rc<smol::LocalExecutor<'static>>,
    handler: rc::Rc<H>,
) -> eyre::Result<()>
where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    serve_with_limit(MAX_SMALL_BODY_BYTES, listener, executor, handler).await
}

async fn serve_with_limit<H, F>(
    max_body_bytes: usize,
    listener: smol::net::TcpListener,
    executor: rc::Rc<smol::LocalExecutor<'static>>,
    handler: rc::Rc<H>,
) -> eyre::Result<()>
where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Usually out of file descriptors, which are released as connections close.
                log::warn!("cannot accept a connection: {error}");
                smol::Timer::after(time::Duration::from_millis(50)).await;
                continue;
            }
        };
        drop(stream.set_nodelay(true));
        let handler = handler.clone();
        executor.spawn(serve_connection(max_body_bytes, stream, handler)).detach();
    }
}

async fn serve_connection<H, F>(
    max_body_bytes: usize,
    stream: smol::net::TcpStream,
    handler: rc::Rc<H>,
) where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let respond = |request: hyper::Request<body::Incoming>| {
        let handler = handler.clone();
        async move {
            let response = match decode_request(request, max_body_bytes).await {
                Ok(request) => handler(request).await,
                Err(error) => ServerResponse::new(400, error.to_string()),
            };
            Ok::<_, convert::Infallible>(encode_response(response))
        }
    };
    let io = rt::FuturesIo::new(stream);
    let serving = server::conn::http1::Builder::new();
    // Errors are those of the client's connection.
    drop(serving.serve_connection(io, service::service_fn(respond)).await);
}

async fn decode_request(
    request: hyper::Request<body::Incoming>,
    max_body_bytes: usize,
) -> eyre::Result<ServerRequest> {
    let (parts, incoming) = request.into_parts();
    let limited = http_body_util::Limited::new(incoming, max_body_bytes);
    let body = limited.collect().await.map_err(|error| eyre::eyre!("{error}"))?;
    Ok(ServerRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: body.to_bytes().to_vec(),
    })
}

fn encode_response(response: ServerResponse) -> hyper::Response<http_body_util::Full<body::Bytes>> {
    let mut builder = hyper::Response::builder().status(response.status);
    for (name, value) in response.headers {
        builder = builder.header(name, value);
    }
    let body = http_body_util::Full::new(body::Bytes::from(response.body));
    builder.body(body).unwrap_or_default()
}

/// Listens on an address; with port 0 the kernel chooses the port.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(address: net::SocketAddr) -> eyre::Result<smol::net::TcpListener> {
    smol::net::TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}
