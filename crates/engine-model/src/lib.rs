//! A model of an inference engine that batches continuously, as plain data and steps.
