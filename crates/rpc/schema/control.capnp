@0xb3f1c5d2a7e94860;
# Calls between the system's own processes. `cargo xtask codegen` writes the Rust code.

interface Control {
  # What a control VM offers to routers and to the operators' tool.

  ping @0 () -> ();
  # Answers at once; a link without an answer in time is replaced.

  fetchTables @1 (held :UInt64, digest :UInt64, waitMs :UInt32) -> (update :TablesUpdate);
  # Waits until a revision above `held` is in force here, or until the time is over.

  submit @2 (token :Text, command :Data) -> (result :SubmitResult);
  # Puts a command into the replicated log; a VM that does not lead passes it to the leader.

  status @3 () -> (json :Text);
  # The state of this VM and what it knows of the others, for operators.

  exchange @4 (summary :Data) -> (digest :Data);
  # A router's summary of its backend servers, for the failure domain's digest.

  peer @5 (token :Text) -> (peer :Peer);
  # The interface for control VMs, for those that know the token.

  fetchDocument @6 (held :UInt64, waitMs :UInt32) -> (update :DocumentUpdate);
  # Waits until a document of a version above `held` is in force here, or until the time is over.
  # With `held` zero it does not wait for a newer one, but for the leader's confirmation.

  fetchServers @7 (held :UInt64, waitMs :UInt32) -> (list :ServerList);
  # Waits until another list than the one stamped `held` was read here, or until the time is over.
}

struct DocumentUpdate {
  controls @0 :List(Text);
  # Where the control VMs listen now, for the links of routers.

  union {
    unchanged @1 :Void;
    document @2 :Document;
  }

  hasLeader @3 :Bool;
  # Whether this VM follows a leader; without one it may lag behind the others.
}

struct Document {
  version @0 :UInt64;
  # The operator's version; zero if there is no document yet.
  text @1 :Data;
  confirmed @2 :Bool;
  # Whether the leader said, after the question came in, that nothing newer is committed.
}

struct TablesUpdate {
  union {
    unchanged @0 :Void;
    delta @1 :Data;
    snapshot @2 :TablesSnapshot;
  }
}

struct TablesSnapshot {
  revision @0 :UInt64;
  routes @1 :Text;
  pools @2 :Text;

  confirmed @3 :Bool;
  # Whether the leader said, after the question came in, that nothing newer is committed.
}

struct SubmitResult {
  union {
    response @0 :Data;
    # Committed; the response of the state machine.
    refused @1 :Text;
    # Not put into the log, for the reason given.
    inDoubt @2 :Text;
    # It may or may not be committed; the same command may be sent again.
  }
}

interface Peer {
  # What control VMs offer to one another.

  deliver @0 (from :UInt64, message :Data) -> ();
  # One message of the replicated log.

  forward @1 (command :Data) -> (result :SubmitResult);
  # A command for the leader.

  readIndex @2 () -> (index :UInt64);
  # The index up to which a member must have applied the log to know all that is committed.
  # Zero if the VM asked does not lead under a lease.
}

struct ServerList {
  stamp @0 :UInt64;
  # Another one for each list and for each life of the control VM; zero while none was read.
  ageMs @1 :UInt32;
  # How long ago the platform gave this list.
  servers @2 :Data;
  # Empty if the stamp is the one held.
}
