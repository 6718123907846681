// Messages between the nodes of redwingrudder. Generate with
// thrift --gen py:twisted (version 0.17); the output is committed.
namespace py redwingrudder._wire.generated.node

exception Fault {
  1: string code
  2: string detail
  3: double retry_after_s
}

struct WireJobSpec {
  1: string organisation
  2: string job_class
  3: string caller
  4: string idempotency_key
  5: i32 tasks
  6: i32 accelerators_per_task
  7: i32 cores_per_task
  8: i32 memory_mb_per_task
  9: bool idempotent
  10: bool preemptible
  11: double declared_run_s
  12: double stop_bound_s
  13: string payload
  14: double expire_s
}

struct WireJobView {
  1: string job_id
  2: string organisation
  3: string job_class
  4: string state
  5: string reason
  6: bool durable
  7: bool target_missed
  8: double submitted_at
  9: optional double finished_at
  10: list<string> results
}

struct WireEpoch {
  1: i64 store_term
  2: i32 local_term
  3: i32 node_rank
}

struct WirePeerReport {
  1: string node_id
  2: i32 node_rank
  3: string failure_domain
  4: string address
  5: bool owner
  6: WireEpoch epoch
  7: i64 configuration_version
  8: i32 free_accelerators
  9: i32 largest_free_gang
  10: i32 queued_jobs
  11: bool draining
}

struct WireExplanation {
  1: string job_id
  2: string state
  3: list<string> reasons
}

service NodeService {
  WireJobView submit(1: WireJobSpec spec, 2: string correlation_id) throws (1: Fault fault)
  WireJobView poll(1: string job_id, 2: i32 wait_ms) throws (1: Fault fault)
  WireJobView cancel(1: string job_id) throws (1: Fault fault)
  WireExplanation explain(1: string job_id) throws (1: Fault fault)
  string status() throws (1: Fault fault)
  WirePeerReport exchange(1: WirePeerReport report) throws (1: Fault fault)
  string configuration(1: i64 above_version) throws (1: Fault fault)
}
