//! Open-loop load, the experiments and their reports.
