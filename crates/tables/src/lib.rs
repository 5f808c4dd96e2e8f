//! The operators' tables of routes and pools: types, checks, differences.
