//! The platform's interface: a configuration value that can be read and watched, a list of VMs.

use std::net::SocketAddr;

use base::unit::Generation;
use serde::{Deserialize, Serialize};

/// Path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is to be used.
    Live,
    /// It will go.
    Leaving,
}

/// One entry of the list: a node's peer address or an upstream's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address.
    pub address: SocketAddr,
    /// State.
    pub state: State,
}

/// Path that reads the configuration at once, or, with `wait_ms` above 0, watches for a
/// generation above `after`. The service answers 204 if nothing newer came.
pub fn config_path(after: Generation, wait_ms: u64) -> String {
    format!("/v1/config?after={after}&wait_ms={wait_ms}")
}

/// Reads the VM list.
pub fn parse_vms(bytes: &[u8]) -> Result<Vec<Vm>, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// Writes the VM list.
pub fn encode_vms(vms: &[Vm]) -> Vec<u8> {
    serde_json::to_vec(vms).unwrap_or_default()
}
