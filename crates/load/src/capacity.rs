//! The capacity experiment: samples at several sizes, a line through them, and the projection to
//! the target size.

mod fit;
mod markdown;
mod plot;
mod projection;
mod sample;
mod sampler;

pub use fit::{FitFault, LineFit, Point, fit};
pub use markdown::markdown;
pub use plot::{line_file_name, line_svg};
pub use projection::{CapacityReport, LineReport, RoleTotal, Verdict};
pub use sample::{Driver, Measure, Reading, Sample};
pub use sampler::{SamplerFault, SamplerSettings, watch};
