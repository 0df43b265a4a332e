@0xc4f1a6d27be35910;

# The frames on the links between the processes of the system; see contracts.py.

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Column {
  name @0 :Text;
  typeCode @1 :UInt8;
  charset @2 :UInt16;
}

# A caller's statement, sent by an entry to the pool that owns the group.
struct Execute {
  group @0 :Text;
  session @1 :Text;          # the session's id, unique to one caller's connection
  statement @2 :Text;
  kind @3 :UInt8;            # messages.Kind
  requestClass @4 :Text;     # empty if the caller named none
  requestId @5 :Text;        # empty if the caller gave none
  deadlineMs @6 :UInt32;     # time left in ms, counted from arrival at the pool
  hasFloor @7 :Bool;
  floor @8 :Position;        # lowest log position that reads must see; see hasFloor
  inTransaction @9 :Bool;    # the session is in one according to the entry
  inDoubt @10 :Bool;         # an earlier attempt under this id may have run
}

# The first frame of a reply; `rows` frames follow while `more` is set in the envelope.
struct Result {
  columns @0 :List(Column);
  rows @1 :Data;             # msgpack: a list of rows, each a list of bytes or nil
  affectedRows @2 :UInt64;
  lastInsertId @3 :UInt64;
  inTransaction @4 :Bool;
  position @5 :Position;     # the session's new floor for the group
  target @6 :Text;           # the name of the instance that ran the statement
  repeated @7 :Bool;         # the recorded outcome of an earlier attempt with this id
}

struct Failure {
  verdict @0 :UInt8;
  code @1 :UInt16;
  sqlstate @2 :Text;
  message @3 :Text;
  inTransaction @4 :Bool;
}

# Any other message: its class name in messages.py, and its fields in msgpack.
struct Control {
  type @0 :Text;
  body @1 :Data;
}

struct Envelope {
  number @0 :UInt64;         # the request's number, which replies repeat
  clock @1 :UInt64;          # the time of the sender's hybrid logical clock
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
