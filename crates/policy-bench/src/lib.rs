//! Seeded workloads that measure the decisions of the policy crate against baselines.
