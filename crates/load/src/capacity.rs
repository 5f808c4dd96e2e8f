//! The capacity experiment: samples at several sizes, a line through them, and the projection to
//! the target size.

mod changer;
mod fit;
mod followers;
mod markdown;
mod plot;
mod projection;
mod sample;
mod sampler;
mod site;

pub use changer::{ChangeFault, Changer};
pub use fit::{FitFault, LineFit, Point, fit};
pub use followers::{Accepted, FollowerSettings, Followers};
pub use markdown::markdown;
pub use plot::{line_file_name, line_svg};
pub use projection::{CapacityReport, LineReport, RoleTotal, Verdict};
pub use sample::{Driver, HeldSize, HeldSizeFault, Measure, Reading, Sample, in_force_readings};
pub use sampler::{
    NoWireBytes, SampleLabel, SamplerFault, SamplerSettings, ServedWireBytes, WireBytes, watch,
};
pub use site::{SiteSize, serve_backends, tables_text, workspaces_text};
