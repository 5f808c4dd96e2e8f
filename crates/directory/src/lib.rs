//! The platform's eventually consistent list of live and leaving VMs: its formats, and a client
//! that reads all of its pages.
//!
//! Control VMs read the list on behalf of the routers. Routers read it themselves only while no
//! control VM provides it. The users of this crate decide what the list means for the servers.

mod entries;
mod list;
mod own_reads;
mod reader;

pub use entries::{ParsedList, parse_array, parse_field};
pub use list::{
    Absence, Directory, ListPage, ListedVm, MalformedList, VmList, VmState, decode_list,
    encode_list,
};
pub use own_reads::{LIST_AGE_MAX, OwnRead, OwnReads};
pub use reader::{OnRefusal, ReadError, Reader};
