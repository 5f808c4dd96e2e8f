//! Stand-ins of the systems served: model engine, order service, lookup service, the platform's list.
