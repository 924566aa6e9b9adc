//! Client of the callers' interface: asks for addresses, keeps them while valid, sends requests.
//!
//! It must not know how nodes work. It never sends a request a second time by itself: whether
//! that is wanted is for the caller to decide.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, time::Instant};
use wire::{
    answer,
    caller::{self, Addresses},
};

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing of the request was sent.
    #[error("{0}: not reached")]
    NotSent(SocketAddr),
    /// The connection was lost after something may have been sent.
    #[error("{0}: connection lost")]
    ConnectionLost(SocketAddr),
    /// The node did not understand the request; it has not run.
    #[error("{status}: {text}")]
    Rejected {
        /// HTTP status.
        status: StatusCode,
        /// The node's explanation.
        text: String,
    },
    /// No address is known.
    #[error("no node told its addresses")]
    NoAddress,
}

type Connection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Kept {
    answer: Addresses,
    until: Instant,
}

/// A client with connections that it keeps.
#[derive(Debug)]
pub struct Client {
    name: String,
    seeds: Vec<SocketAddr>,
    kept: Mutex<Option<Kept>>,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// A client that presents itself as `name` and asks `seeds` for addresses.
    pub fn new(name: &str, seeds: Vec<SocketAddr>) -> Client {
        Client { name: name.to_owned(), seeds, kept: Mutex::default(), idle: Mutex::default() }
    }

    /// Addresses to use; asks for them if none are kept or their validity is over.
    pub async fn addresses(&self) -> Result<Addresses, Error> {
        let valid = |k: &&Kept| k.until > Instant::now();
        if let Some(kept) = self.kept.lock().as_ref().filter(valid) {
            return Ok(kept.answer.clone());
        }
        let known: Vec<SocketAddr> = {
            let kept = self.kept.lock();
            kept.iter().flat_map(|k| &k.answer.addresses).map(|a| a.address).collect()
        };
        let path = format!("{}?caller={}", caller::ADDRESSES_PATH, self.name);
        let headers = HeaderMap::new();
        for node in known.iter().chain(&self.seeds) {
            let asked = self.call(*node, "GET", &path, Vec::new(), &headers);
            let Ok((StatusCode::OK, body)) = asked.await else { continue };
            let Ok(answer) = caller::parse::<Addresses>(&body) else { continue };
            if answer.addresses.is_empty() {
                continue;
            }
            let until = Instant::now() + Duration::from_millis(answer.validity_ms);
            *self.kept.lock() = Some(Kept { answer: answer.clone(), until });
            return Ok(answer);
        }
        Err(Error::NoAddress)
    }

    /// Forgets the kept addresses.
    pub fn clear_addresses(&self) {
        *self.kept.lock() = None;
    }

    /// Sends a search to `node`, with `headers` such as a trace context.
    pub async fn search(
        &self,
        node: SocketAddr,
        search: &caller::Search,
        headers: &HeaderMap,
    ) -> Result<answer::Search, Error> {
        self.post(node, caller::SEARCH_PATH, search, headers).await
    }

    /// Sends a non-idempotent request to `node`.
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
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Error::ConnectionLost(node))?
            .to_bytes();
        if connection.ready().await.is_ok() {
            let mut idle = self.idle.lock();
            let kept = idle.entry(node).or_default();
            kept.retain(|c| !c.is_closed());
            kept.push(connection);
        }
        Ok((status, body))
    }

    async fn connection(&self, node: SocketAddr) -> Result<Connection, Error> {
        while let Some(mut connection) = self.pop(node) {
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

    fn pop(&self, node: SocketAddr) -> Option<Connection> {
        self.idle.lock().get_mut(&node)?.pop()
    }
}
