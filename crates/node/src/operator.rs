//! Interface for operators over JSON-RPC, on a separate address.

use std::{net::SocketAddr, sync::Arc};

use jsonrpsee::{
    RpcModule,
    server::{ServerBuilder, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use tokio_util::sync::CancellationToken;
use wire::operator;

use crate::node::Node;

/// Largest body of a request, in bytes.
const MAX_REQUEST_BYTES: u32 = 16 << 10;
/// Largest number of open connections.
const MAX_CONNECTIONS: u32 = 32;

/// Failure to start the interface.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("operators' address: {0}")]
    Bind(#[from] std::io::Error),
    /// A method could not be registered.
    #[error("operators' methods: {0}")]
    Method(#[from] jsonrpsee::core::RegisterMethodError),
}

/// State of the RPC methods.
#[derive(Debug)]
struct Service {
    node: Arc<Node>,
    stop: CancellationToken,
}

/// Serves operators at `address`. The RPC method `stop` cancels the token `stop`.
pub async fn serve(
    node: Arc<Node>,
    address: SocketAddr,
    stop: CancellationToken,
) -> Result<ServerHandle, Error> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = ServerBuilder::with_config(config).build(address).await?;
    let mut module = RpcModule::new(Service { node, stop });
    module.register_method(operator::STATUS_METHOD, |_, service, _| {
        serde_json::to_value(service.node.status()).map_err(|e| internal_error(&e))
    })?;
    module.register_method(operator::STOP_METHOD, |_, service, _| service.stop.cancel())?;
    Ok(server.start(module))
}

fn internal_error(error: &serde_json::Error) -> ErrorObjectOwned {
    let code = jsonrpsee::types::error::INTERNAL_ERROR_CODE;
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}
