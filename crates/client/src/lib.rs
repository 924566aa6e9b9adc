//! HTTP client for the callers' interface of a node: caches address answers while they are valid,
//! pools connections and sends requests.
//!
//! It depends on the wire types only, not on how nodes work. It never retries a request: whether
//! a retry is safe is for the caller to decide.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, time::Instant};
use wire::{
    answer,
    caller::{self, Addresses},
};

/// Maximum size of a response: the largest reply of an upstream that a node accepts.
pub const MAX_RESPONSE_BYTES: usize = wire::upstream::MAX_REPLY_BYTES;

/// Error of a call to a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No part of the request was sent.
    #[error("{0}: request not sent")]
    NotSent(SocketAddr),
    /// The connection was lost after part of the request may have been sent, or closed because the
    /// response exceeds [`MAX_RESPONSE_BYTES`].
    #[error("{0}: connection lost before the response was complete")]
    ConnectionLost(SocketAddr),
    /// The response is not an answer, such as when the node rejects an invalid request without
    /// running it.
    #[error("{status}: {text}")]
    Rejected {
        /// HTTP status.
        status: StatusCode,
        /// The node's explanation.
        text: String,
    },
    /// No node returned an address.
    #[error("no node returned addresses")]
    NoAddress,
}

type Connection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct CachedAddresses {
    answer: Addresses,
    expires_at: Instant,
}

/// Client with a connection pool and an address cache.
#[derive(Debug)]
pub struct Client {
    name: String,
    seeds: Vec<SocketAddr>,
    cache: Mutex<Option<CachedAddresses>>,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// Creates a client that identifies itself as `name` and asks the nodes at `seeds` for
    /// addresses.
    pub fn new(name: &str, seeds: Vec<SocketAddr>) -> Client {
        Client { name: name.to_owned(), seeds, cache: Mutex::default(), idle: Mutex::default() }
    }

    /// Returns the addresses to use, from the cache while they are valid. Otherwise asks the nodes
    /// of the last answer, then the seeds, until one returns at least one address.
    pub async fn addresses(&self) -> Result<Addresses, Error> {
        let valid = |c: &&CachedAddresses| c.expires_at > Instant::now();
        if let Some(cached) = self.cache.lock().as_ref().filter(valid) {
            return Ok(cached.answer.clone());
        }
        let previous: Vec<SocketAddr> = {
            let cache = self.cache.lock();
            cache.iter().flat_map(|c| &c.answer.addresses).map(|a| a.address).collect()
        };
        let path = format!("{}?caller={}", caller::ADDRESSES_PATH, self.name);
        let headers = HeaderMap::new();
        for node in previous.iter().chain(&self.seeds) {
            let response = self.call(*node, "GET", &path, Vec::new(), &headers);
            let Ok((StatusCode::OK, body)) = response.await else { continue };
            let Ok(answer) = caller::parse::<Addresses>(&body) else { continue };
            if answer.addresses.is_empty() {
                continue;
            }
            let expires_at = Instant::now() + Duration::from_millis(answer.validity_ms);
            *self.cache.lock() = Some(CachedAddresses { answer: answer.clone(), expires_at });
            return Ok(answer);
        }
        Err(Error::NoAddress)
    }

    /// Clears the address cache.
    pub fn clear_addresses(&self) {
        *self.cache.lock() = None;
    }

    /// Sends a search to `node`. `headers` are added to the request, such as a trace context.
    pub async fn search(
        &self,
        node: SocketAddr,
        search: &caller::Search,
        headers: &HeaderMap,
    ) -> Result<answer::Search, Error> {
        self.post(node, caller::SEARCH_PATH, search, headers).await
    }

    /// Sends a non-idempotent request to `node`. `headers` are added to the request.
    pub async fn run(
        &self,
        node: SocketAddr,
        run: &caller::Run,
        headers: &HeaderMap,
    ) -> Result<answer::Run, Error> {
        self.post(node, caller::RUN_PATH, run, headers).await
    }

    async fn post<T, A>(
        &self,
        node: SocketAddr,
        path: &str,
        call: &T,
        headers: &HeaderMap,
    ) -> Result<A, Error>
    where
        T: Serialize,
        A: for<'a> Deserialize<'a>,
    {
        let body = caller::encode(call);
        let (status, body) = self.call(node, "POST", path, body, headers).await?;
        serde_json::from_slice(&body).map_err(|_| Error::Rejected {
            status,
            text: String::from_utf8_lossy(&body).trim().to_owned(),
        })
    }

    async fn call(
        &self,
        node: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
        headers: &HeaderMap,
    ) -> Result<(StatusCode, Bytes), Error> {
        let mut connection = self.connection(node).await?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, node.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Error::NotSent(node))?;
        request.headers_mut().extend(headers.clone());
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                return Err(if unsent {
                    Error::NotSent(node)
                } else {
                    Error::ConnectionLost(node)
                });
            }
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| Error::ConnectionLost(node))?.to_bytes();
        if connection.ready().await.is_ok() {
            let mut idle = self.idle.lock();
            let pool = idle.entry(node).or_default();
            pool.retain(|c| !c.is_closed());
            pool.push(connection);
        }
        Ok((status, body))
    }

    /// Returns a pooled connection to `node`, or opens one if none is ready.
    async fn connection(&self, node: SocketAddr) -> Result<Connection, Error> {
        while let Some(mut connection) = self.pop_idle(node) {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let stream = TcpStream::connect(node).await.map_err(|_| Error::NotSent(node))?;
        stream.set_nodelay(true).map_err(|_| Error::NotSent(node))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Error::NotSent(node))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn pop_idle(&self, node: SocketAddr) -> Option<Connection> {
        self.idle.lock().get_mut(&node)?.pop()
    }
}
