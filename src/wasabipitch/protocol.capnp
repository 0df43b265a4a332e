@0xc4f1a6d27be35910;

# The messages on the links between the processes of the system.

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Column {
  name @0 :Text;
  typeCode @1 :UInt8;
  charset @2 :UInt16;
}

# A caller's statement, from an entry to the pool that owns the group.
struct Execute {
  group @0 :Text;
  session @1 :Text;          # unique to one caller connection
  statement @2 :Text;
  kind @3 :UInt8;            # messages.Kind
  requestClass @4 :Text;     # empty: none was named
  requestId @5 :Text;        # empty: the caller gave none
  deadlineMs @6 :UInt32;     # time left, from arrival at the pool
  hasFloor @7 :Bool;
  floor @8 :Position;
  inTransaction @9 :Bool;    # the entry holds that the session is in one
  inDoubt @10 :Bool;         # an earlier attempt under this id may have run
}

# The first frame of a reply; `rows` frames follow while the envelope says more.
struct Result {
  columns @0 :List(Column);
  rows @1 :Data;             # msgpack: a list of rows, each a list of bytes or nil
  affectedRows @2 :UInt64;
  lastInsertId @3 :UInt64;
  inTransaction @4 :Bool;
  position @5 :Position;     # the session's new floor for the group
  target @6 :Text;           # the instance that served the request
  repeated @7 :Bool;         # the first outcome of a request id, sent again
}

struct Failure {
  verdict @0 :UInt8;
  code @1 :UInt16;
  sqlstate @2 :Text;
  message @3 :Text;
  inTransaction @4 :Bool;
}

# Everything off the request path: a typed message, named and packed by msgspec.
struct Control {
  type @0 :Text;
  body @1 :Data;
}

struct Envelope {
  number @0 :UInt64;         # the request's number; replies repeat it
  clock @1 :UInt64;          # the sender's hybrid logical clock
  more @2 :Bool;             # further frames of the same reply follow
  union {
    execute @3 :Execute;
    result @4 :Result;
    rows @5 :Data;
    failure @6 :Failure;
    control @7 :Control;
    cancel @8 :Void;         # the requester no longer waits for the reply
  }
}
