//! Keeps the replicated log on disk under one data folder.
