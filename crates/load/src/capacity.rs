//! The capacity experiment: takes samples at several sizes, fits a line and projects it to the
//! target size.

mod changer;
mod fit;
mod light_routers;
mod markdown;
mod plot;
mod projection;
mod sample;
mod sampler;
mod site;

pub use changer::{ChangeFault, Changer};
pub use fit::{FitFault, LineFit, Point, fit};
pub use light_routers::{LightRouterSettings, LightRouters, TimedRevision};
pub use markdown::markdown;
pub use plot::{line_file_name, line_svg};
pub use projection::{CapacityReport, LineReport, RoleTotal, Verdict};
pub use sample::{Driver, HeldSize, HeldSizeFault, Measure, Reading, Sample, apply_time_readings};
pub use sampler::{
    MetricsWireBytes, NoWireBytes, SampleLabel, SamplerFault, SamplerSettings, WireBytes,
    sample_process,
};
pub use site::{SiteSize, serve_backends, tables_text, workspaces_text};
