// Messages between the nodes that serve workflows. Generate with
// thrift --gen py:twisted (version 0.17); the output is committed.
namespace py redwingrudder._wire.generated.coordination

exception Fault {
  1: string code
  2: string detail
  3: double retry_after_s
}

struct WireNodeSummary {
  1: string node_id
  2: string address
  3: string life
  4: i64 configuration_version
  5: string coordinator_id
  6: string coordinator_address
  7: i64 term
  8: bool store_available
  9: double unix_time
  10: optional double store_silent_s
}

service CoordinationService {
  WireNodeSummary exchange(1: WireNodeSummary summary)
  string configuration(1: i64 above_version) throws (1: Fault fault)
  void store_workflow(1: string workflow_id, 2: string document) throws (1: Fault fault)
  void announce_workflow(1: string workflow_id, 2: string document) throws (1: Fault fault)
  bool store_cancel(1: string workflow_id) throws (1: Fault fault)
  void announce_cancel(1: string workflow_id) throws (1: Fault fault)
  string state(1: string workflow_id) throws (1: Fault fault)
  string read_state(1: string workflow_id) throws (1: Fault fault)
  i32 queue_length(1: string queue) throws (1: Fault fault)
}
