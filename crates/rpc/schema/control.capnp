@0xb3f1c5d2a7e94860;
# Calls between the processes of the system. `cargo xtask codegen` generates the Rust code.

interface Control {
  # The interface of a control VM for routers and for the operators' tool.

  ping @0 () -> ();
  # A heartbeat, answered immediately. A client whose heartbeat times out replaces its connection.

  fetchTables @1 (held :UInt64, digest :UInt64, waitMs :UInt32) -> (update :TablesUpdate);
  # Waits until a revision above `held`, the client's revision, is in force on this VM, or until
  # the wait time has passed.

  submit @2 (token :Text, command :Data) -> (result :SubmitResult);
  # Appends a command to the replicated log. A VM that is not the leader forwards it to the leader.

  status @3 () -> (json :Text);
  # The state of this VM and its view of the other control VMs, for operators.

  exchange @4 (summary :Data) -> (digest :Data);
  # Sends a router's summary of its backend servers and returns the digest of its failure domain.

  peer @5 (token :Text) -> (peer :Peer);
  # Returns the interface for other control VMs, if the token is correct.

  fetchDocument @6 (held :UInt64, waitMs :UInt32) -> (update :DocumentUpdate);
  # Waits until a document of a version above `held` is in force on this VM, or until the wait time
  # has passed. If `held` is zero, it waits for the leader's confirmation rather than for a newer
  # document.

  fetchServers @7 (held :UInt64, waitMs :UInt32) -> (list :ServerList);
  # Waits until this VM has read a list whose stamp differs from `held`, or until the wait time has
  # passed.
}

struct DocumentUpdate {
  controls @0 :List(Text);
  # The current addresses of the control VMs, for the links of routers.

  union {
    unchanged @1 :Void;
    document @2 :Document;
  }

  hasLeader @3 :Bool;
  # Whether this VM has a leader. Without one it may lag behind the others.
}

struct Document {
  version @0 :UInt64;
  # The version that the operator has set; zero if there is no document yet.
  text @1 :Data;
  confirmed @2 :Bool;
  # Whether the leader confirmed, after receipt of the request, that nothing newer is committed.
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
  # Whether the leader confirmed, after receipt of the request, that nothing newer is committed.
}

struct SubmitResult {
  union {
    response @0 :Data;
    # The command is committed; the response of the state machine.
    refused @1 :Text;
    # The command was not appended to the log, for the reason given.
    inDoubt @2 :Text;
    # The command may or may not be committed, for the reason given. The same command may be
    # submitted again.
  }
}

interface Peer {
  # The interface of a control VM for other control VMs.

  deliver @0 (from :UInt64, message :Data) -> ();
  # Delivers one consensus message of the replicated log.

  forward @1 (command :Data) -> (result :SubmitResult);
  # Forwards a command to the leader.

  readIndex @2 () -> (index :UInt64);
  # The index up to which a member must have applied the log before a linearizable read. Zero if
  # this VM does not hold the leader's lease.
}

struct ServerList {
  stamp @0 :UInt64;
  # Differs for each list and for each run of the control VM; zero until a list has been read.
  ageMs @1 :UInt32;
  # The time since the list was read from the platform.
  servers @2 :Data;
  # The encoded list; empty if the stamp equals `held`.
}
