//! The entries, pages and formats of the platform's list of VMs.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use http::Uri;
use serde::{Deserialize, Serialize};
use wire_form::{ExtensionId, Extensions, FormError};

use crate::parse_array;

/// The extension of an encoded list that marks its spot servers.
const SPOT: ExtensionId = ExtensionId(1);

/// The precision of the remaining times in an encoded list. A finer one would make more lists differ from the one
/// before, and each of these is sent to all routers.
const LEAVES_STEP_MS: u64 = 1_000;

/// One backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ListedVm {
    /// The address on which it listens.
    pub addr: SocketAddr,
    /// Its failure domain; empty if the list does not specify it.
    #[serde(default)]
    pub failure_domain: String,
    /// The pool that it serves.
    pub pool: String,
    /// A number that increases with each start.
    #[serde(default)]
    pub incarnation: u64,
    /// The name by which it identifies itself; empty if it is identified by its address only.
    #[serde(default)]
    pub label: String,
    /// The version of its software; empty if the list does not specify it.
    #[serde(default)]
    pub software_version: String,
    /// How many requests it runs concurrently; zero if the list does not specify it.
    #[serde(default)]
    pub slots: u32,
    /// Whether it may receive new requests.
    pub state: VmState,
    /// Whether the platform may take it back at short notice.
    #[serde(skip)]
    pub is_spot: bool,
    /// The time until it is taken back, in milliseconds from when the list was read; `None` if the list does
    /// not announce it.
    #[serde(skip)]
    pub leaves_in_ms: Option<u64>,
}

/// The fields of a spot server that are not part of the base form of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
struct SpotRow {
    /// The position of its entry in the list.
    position: u32,
    leaves_in_ms: Option<u64>,
}

/// The state of a VM according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// One page of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// The entries that could be parsed.
    pub vms: Vec<ListedVm>,
    /// The number of entries that could not be parsed.
    pub malformed_entries: usize,
    /// The token of the next page, or `None` on the last page.
    pub next: Option<String>,
}

/// The data is not a valid page or encoding of the list.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the list cannot be read: {reason}")]
pub struct MalformedList {
    /// The parse error.
    pub reason: String,
}

/// What can be concluded about servers that are missing from the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// Nothing, because the list may be stale or arrive out of order.
    Inconclusive,
    /// They have been removed.
    Removed,
}

/// A format of the list, with the URIs of its pages.
pub trait Directory {
    /// The URI of a page. The first page has no token.
    fn page_uri(&self, token: Option<&str>) -> Uri;

    /// Parses a page.
    ///
    /// # Errors
    /// When the body as a whole cannot be parsed.
    fn read_page(&self, body: &[u8]) -> Result<ListPage, MalformedList>;

    /// What can be concluded about a server that is missing from a complete list.
    fn absence(&self) -> Absence;
}

/// The format that the stand-in platform of this repository serves: one page, a JSON array of
/// [`ListedVm`].
#[derive(Debug, Clone, Copy, Default)]
pub struct VmList;

impl Directory for VmList {
    fn page_uri(&self, _token: Option<&str>) -> Uri {
        Uri::from_static("/vms")
    }

    fn read_page(&self, body: &[u8]) -> Result<ListPage, MalformedList> {
        let parsed = parse_array(body)?;
        let malformed_entries = parsed.malformed_entries;
        Ok(ListPage { vms: parsed.entries, malformed_entries, next: None })
    }

    fn absence(&self) -> Absence {
        Absence::Inconclusive
    }
}

/// Encodes a list for other processes of the system.
#[must_use]
pub fn encode_list(vms: &[ListedVm]) -> Vec<u8> {
    let positions = vms.iter().zip(0..).filter(|(it, _)| it.is_spot);
    let spot = positions.map(|(it, position)| SpotRow {
        position,
        leaves_in_ms: it.leaves_in_ms.map(|it| it - it % LEAVES_STEP_MS),
    });
    let spot: Vec<_> = spot.collect();
    let mut extensions = Extensions::default();
    let added = if spot.is_empty() { Ok(()) } else { extensions.insert(SPOT, &spot) };
    added
        .and_then(|()| wire_form::encode(&vms, &extensions))
        .expect("addresses, names and numbers in memory can be written")
}

/// Decodes a list received from another process of the system.
///
/// # Errors
/// When the bytes are not a list in the encoding of this version.
pub fn decode_list(bytes: &[u8]) -> Result<Vec<ListedVm>, MalformedList> {
    let malformed = |error: FormError| MalformedList { reason: error.to_string() };
    let (mut vms, extensions): (Vec<ListedVm>, _) = wire_form::decode(bytes).map_err(malformed)?;
    let spot: Option<Vec<SpotRow>> = extensions.get(SPOT).map_err(malformed)?;
    for row in spot.unwrap_or_default() {
        if let Some(vm) = vms.get_mut(row.position as usize) {
            (vm.is_spot, vm.leaves_in_ms) = (true, row.leaves_in_ms);
        }
    }
    Ok(vms)
}
