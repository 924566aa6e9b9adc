//! Operators' interface over JSON-RPC, on an address of its own.

use std::{net::SocketAddr, sync::Arc};

use jsonrpsee::{
    RpcModule,
    server::{ServerBuilder, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use tokio_util::sync::CancellationToken;
use wire::operator;

use crate::node::Node;

const REQUEST_LIMIT: u32 = 16 << 10;
const CONNECTIONS: u32 = 32;

/// The interface could not be served.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("operators' address: {0}")]
    Bind(#[from] std::io::Error),
    /// A method could not be registered.
    #[error("operators' methods: {0}")]
    Method(#[from] jsonrpsee::core::RegisterMethodError),
}

/// What the methods work on.
#[derive(Debug)]
struct Service {
    node: Arc<Node>,
    stop: CancellationToken,
}

/// Serves operators at `address`; the method `stop` cancels the token `stop`.
pub async fn serve(
    node: Arc<Node>,
    address: SocketAddr,
    stop: CancellationToken,
) -> Result<ServerHandle, Error> {
    let config = ServerConfig::builder()
        .max_request_body_size(REQUEST_LIMIT)
        .max_connections(CONNECTIONS)
        .build();
    let server = ServerBuilder::with_config(config).build(address).await?;
    let mut module = RpcModule::new(Service { node, stop });
    module.register_method(operator::STATUS_METHOD, |_, service, _| {
        serde_json::to_value(service.node.status()).map_err(|e| internal(&e))
    })?;
    module.register_method(operator::STOP_METHOD, |_, service, _| service.stop.cancel())?;
    Ok(server.start(module))
}

fn internal(error: &serde_json::Error) -> ErrorObjectOwned {
    let code = jsonrpsee::types::error::INTERNAL_ERROR_CODE;
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}
