//! The daemon on VMs with a disk: replicates the tables and order claims and serves them to routers.
