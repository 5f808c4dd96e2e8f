//! The platform's lagging list of live and leaving VMs, as its notations give it.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use http::Uri;
use serde::{Deserialize, Serialize};

/// One backend server on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ListedVm {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain; empty if it is not told.
    #[serde(default)]
    pub failure_domain: String,
    /// The pool that it serves.
    pub pool: String,
    /// A number that rises with each start.
    #[serde(default)]
    pub incarnation: u64,
    /// The name under which it answers; empty if it is known by its address alone.
    #[serde(default)]
    pub label: String,
    /// How many requests it runs at once; zero if it is not told.
    #[serde(default)]
    pub slots: u32,
    /// Whether it is to get new work.
    pub state: VmState,
}

/// What the platform says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// One page of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// The entries that can be read.
    pub vms: Vec<ListedVm>,
    /// How many entries cannot.
    pub malformed_entries: usize,
    /// What the next page is asked for by; nothing on the last one.
    pub next: Option<String>,
}

/// A body that is no page of the list.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the list cannot be read: {reason}")]
pub struct MalformedList {
    /// What was found.
    pub reason: String,
}

/// What is known about servers that are missing from the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// Nothing: the list lags and may come out of order.
    Inconclusive,
    /// They have left.
    Removed,
}

/// A notation of the list.
pub trait Directory {
    /// What a page is asked for by; the first one without a token.
    fn page_uri(&self, token: Option<&str>) -> Uri;

    /// Reads a page.
    ///
    /// # Errors
    /// When nothing of it can be read.
    fn read_page(&self, body: &[u8]) -> Result<ListPage, MalformedList>;

    /// What it means that a server is missing from a whole list.
    fn absence(&self) -> Absence;
}

/// The list as the product's own stand-ins write it.
#[derive(Debug, Clone, Copy, Default)]
pub struct VmList;

impl Directory for VmList {
    fn page_uri(&self, _token: Option<&str>) -> Uri {
        Uri::from_static("/vms")
    }

    fn read_page(&self, body: &[u8]) -> Result<ListPage, MalformedList> {
        let vms = serde_json::from_slice(body)
            .map_err(|error| MalformedList { reason: error.to_string() })?;
        Ok(ListPage { vms, ..ListPage::default() })
    }

    fn absence(&self) -> Absence {
        Absence::Inconclusive
    }
}

/// Writes a list for the other processes of the system.
#[must_use]
pub fn encode_list(vms: &[ListedVm]) -> Vec<u8> {
    postcard::to_stdvec(vms).expect("addresses, names and numbers in memory can be written")
}

/// Reads a list of another process of the system.
///
/// # Errors
/// When the bytes are no list of this version.
pub fn decode_list(bytes: &[u8]) -> Result<Vec<ListedVm>, MalformedList> {
    postcard::from_bytes(bytes).map_err(|error| MalformedList { reason: error.to_string() })
}
