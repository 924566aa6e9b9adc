//! Client for the platform's service over HTTP/1.1, with a new connection for each call.

use std::{net::SocketAddr, time::Duration};

use base::unit::Generation;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use wire::platform;

use crate::{
    external::{self, BoxFuture, PlatformError},
    http_body,
};

/// Timeout for a call, in addition to the duration of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest body of a configuration, in bytes. One more than a valid one has, so that the parser
/// sees that it is too large.
const MAX_CONFIG_BODY_BYTES: usize = config::deployment::MAX_VALUE_BYTES + 1;
/// Largest body of the list of VMs, in bytes.
const MAX_VM_LIST_BYTES: usize = 8 << 20;

/// Client for the platform's service.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr) -> Client {
        Client { address }
    }
}

impl external::Platform for Client {
    fn config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Vec<u8>>, PlatformError>> {
        let path = platform::config_path(after, wait.as_millis() as u64);
        let call = call(self.address, path, MAX_CONFIG_BODY_BYTES);
        Box::pin(async move { with_timeout(wait + CALL_TIMEOUT, call).await })
    }

    fn vms(&self) -> BoxFuture<'static, Result<Vec<platform::Vm>, PlatformError>> {
        let call = call(self.address, platform::VMS_PATH.to_owned(), MAX_VM_LIST_BYTES);
        Box::pin(async move {
            let body = with_timeout(CALL_TIMEOUT, call).await?.unwrap_or_default();
            platform::parse_vms(&body).map_err(|e| PlatformError(e.to_string()))
        })
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let result = tokio::time::timeout(timeout, call).await;
    result.map_err(|_| PlatformError("call timed out".to_owned()))?
}

/// Sends a GET request, and returns the body if there is one.
async fn call(
    address: SocketAddr,
    path: String,
    limit: usize,
) -> Result<Option<Vec<u8>>, PlatformError> {
    let failed = |e: &dyn std::fmt::Display| PlatformError(e.to_string());
    let stream = TcpStream::connect(address).await.map_err(|e| failed(&e))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| failed(&e))?;
    let driver = tokio::spawn(connection);
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| failed(&e))?;
    let response = sender.send_request(request).await.map_err(|e| failed(&e))?;
    let status = response.status();
    let body = http_body::read(response.into_body(), limit).await;
    driver.abort();
    let body =
        body.map_err(|_| PlatformError("response body truncated or too large".to_owned()))?;
    match status {
        StatusCode::OK => Ok(Some(body.to_vec())),
        StatusCode::NO_CONTENT => Ok(None),
        other => Err(PlatformError(other.to_string())),
    }
}
