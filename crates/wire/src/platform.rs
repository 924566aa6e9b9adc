//! Interface of the platform's service: a configuration that can be read and watched, and a list
//! of VMs.

use std::net::SocketAddr;

use base::unit::Generation;
use serde::{Deserialize, Serialize};

/// Path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// Entry of the VM list: the peer address of a node or the address of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Socket address.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: State,
}

/// Returns the path that reads the configuration at once or, with `wait_ms` above 0, waits up to
/// that many milliseconds for a generation above `after`. The service answers 204 if there is
/// none.
pub fn config_path(after: Generation, wait_ms: u64) -> String {
    format!("/v1/config?after={after}&wait_ms={wait_ms}")
}

/// Decodes a VM list.
pub fn parse_vms(bytes: &[u8]) -> Result<Vec<Vm>, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// Encodes a VM list.
pub fn encode_vms(vms: &[Vm]) -> Vec<u8> {
    serde_json::to_vec(vms).unwrap_or_default()
}
