//! The platform's lagging list of live and leaving VMs: its notations, and reading it whole.
//!
//! Control VMs read the list for the routers, which read it themselves only while no control VM
//! does. What the list means for the servers is for its readers to decide.

mod list;
mod reader;

pub use list::{
    Absence, Directory, ListPage, ListedVm, MalformedList, VmList, VmState, decode_list,
    encode_list,
};
pub use reader::{ReadError, Reader};
