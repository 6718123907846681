"""Fault tests with processes: daemons are killed, paused and restarted."""

import signal
import time
import unittest

from tests.processes import (
    ACCELERATORS,
    DOMAIN,
    POLL_INTERVAL_S,
    STATUS_CONNECTION_BROKEN,
    STATUS_UNREACHABLE,
    Cluster,
    long_poll,
    pause,
    resume,
    send_request,
)

# After an owner has died, jobs have to be placed within this time of the
# expiry of its store lease.
PLACING_BOUND_S = 5.0
OWNER_LEASE_S = 3.0  # TTL of the store lease, docs/design.md section 4.1
WHOLE_WORKER = {"accelerators_per_task": ACCELERATORS}


class ProcessesTest(unittest.TestCase):
    def test_same_result_through_every_node(self):
        """Guards against partial results and double runs of a repeated key."""
        cluster = Cluster(self, remote=True)
        nodes = list(cluster.nodes)
        for index, node in enumerate(nodes):
            fields = {"tasks": 5, "accelerators_per_task": 1, "idempotent": False}
            fields["payload"] = {"result": f"by {node}"}
            accepted = cluster.submit_until_accepted(node, node, **fields)
            reply = cluster.wait_until_finished(node, accepted["job_id"])
            self.assertEqual("succeeded", reply["state"])
            self.assertEqual([f"by {node}"] * 5, reply["results"])
            repeated = cluster.submit_until_accepted(nodes[index - 1], node, **fields)
            self.assertEqual(reply, repeated)
            gangs = _gangs(cluster.history(reply["job_id"], "started"))
            self.assertEqual(1, len(gangs))

    def test_kill_of_owner(self):
        """Guards against lost or doubly started gangs when the owner dies."""
        cluster = Cluster(self)
        owner, epoch = cluster.owner("hobart-1")
        other, *_ = cluster.other_nodes(owner)
        gang = cluster.submit_until_accepted(
            other, "gang", tasks=2, payload={"run_s": 6.0}, **WHOLE_WORKER
        )
        filler = cluster.submit_until_accepted(
            other, "filler", payload={"run_s": 1.0}, **WHOLE_WORKER
        )
        cluster.wait_until_running(other, gang["job_id"], filler["job_id"])
        queued = [
            cluster.submit_until_accepted(other, f"q{n}", **WHOLE_WORKER)
            for n in range(3)
        ]
        self.assertEqual({"queued"}, {view["state"] for view in queued})

        owner_killed_at = time.time()
        cluster.nodes[owner].kill()
        for view in queued:
            reply = cluster.wait_until_finished(other, view["job_id"])
            self.assertEqual("succeeded", reply["state"])
        reply = cluster.wait_until_finished(other, gang["job_id"])
        self.assertEqual("succeeded", reply["state"])
        self.assertEqual(2, len(reply["results"]))

        starts = cluster.history(gang["job_id"], "started")
        self.assertEqual(2, len(starts))
        self.assertEqual(1, len(_gangs(starts)))
        ends = cluster.history(gang["job_id"], "ended")
        self.assertEqual(["succeeded"] * 2, [entry["outcome"] for entry in ends])
        placed = [
            entry
            for entry in cluster.history(event="started")
            if entry["job_id"] in {view["job_id"] for view in queued}
        ]
        self.assertEqual(3, len(placed))
        self.assertTrue(all(entry["epoch"] > epoch for entry in placed))
        self.assertLess(placed[0]["at"], ends[0]["at"])
        placed_s = placed[0]["at"] - owner_killed_at
        print(f"jobs placed {placed_s:.2f} s after the owner was killed")
        self.assertLess(placed_s, OWNER_LEASE_S + PLACING_BOUND_S)

    def test_paused_owner_is_fenced(self):
        """Guards against a second start by an owner resumed after takeover."""
        cluster = Cluster(self, workers=1)
        owner, epoch = cluster.owner("hobart-1")
        other, *_ = cluster.other_nodes(owner)
        filler = cluster.submit_until_accepted(
            other, "filler", payload={"run_s": 1.5}, **WHOLE_WORKER
        )
        cluster.wait_until_running(other, filler["job_id"])
        fields = {"idempotent": False, **WHOLE_WORKER}
        view = cluster.submit_until_accepted(other, "once", **fields)
        self.assertEqual("queued", view["state"])

        pause(cluster.nodes[owner])
        reply = cluster.wait_until_finished(other, view["job_id"])
        self.assertEqual("succeeded", reply["state"])
        successor, successor_epoch = cluster.owner(other)
        self.assertNotEqual(owner, successor)
        self.assertGreater(successor_epoch, epoch)
        resume(cluster.nodes[owner])
        late = cluster.submit_until_accepted(owner, "late", **fields)
        self.assertEqual(
            "succeeded", cluster.wait_until_finished(owner, late["job_id"])["state"]
        )
        self.assertEqual((successor, successor_epoch), cluster.owner(owner))
        for job_id in (view["job_id"], late["job_id"]):
            starts = cluster.history(job_id, "started")
            self.assertEqual([successor_epoch], [entry["epoch"] for entry in starts])

    def test_store_outage(self):
        """Guards against two faults during a store outage.

        Idempotent jobs are rejected, or other jobs are accepted without a
        record.
        """
        cluster = Cluster(self)
        running = cluster.submit_until_accepted(
            "hobart-1", "running", payload={"run_s": 3.0}, idempotent=False
        )
        cluster.wait_until_running("hobart-1", running["job_id"])
        pause(cluster.platform)
        for node in cluster.nodes:
            body = cluster.submit_until_accepted(node, f"again {node}")
            self.assertFalse(body["durable"])
            reply = cluster.wait_until_finished(node, body["job_id"])
            self.assertEqual("succeeded", reply["state"])
            status, problem = cluster.submit(node, f"once {node}", idempotent=False)
            self.assertEqual((503, "store_unavailable"), (status, problem["code"]))
        reply = cluster.wait_until_finished("hobart-2", running["job_id"])
        self.assertEqual("succeeded", reply["state"])
        resume(cluster.platform)
        for node in cluster.nodes:
            body = cluster.submit_until_accepted(node, f"once {node}", idempotent=False)
            self.assertTrue(body["durable"])
            reply = cluster.wait_until_finished(node, body["job_id"])
            self.assertEqual("succeeded", reply["state"])
            starts = cluster.history(body["job_id"], "started")
            self.assertEqual(1, len(starts))

    def test_rolling_restart(self):
        """Guards against failed or repeated requests in a planned restart."""
        cluster = Cluster(self)
        submitter = _ContinuousSubmitter(self, cluster)
        for name in list(cluster.nodes):
            running = cluster.submit_until_accepted(
                name, f"long {name}", payload={"run_s": 1.0}
            )
            path = f"/v1/jobs/{running['job_id']}?wait=20"
            with long_poll(cluster.urls[name], path) as read_reply:
                cluster.nodes[name].send(signal.SIGTERM)
                submitter.run_until(cluster.nodes[name].has_ended)
                status, body = read_reply()
            self.assertEqual((200, "succeeded"), (status, body.get("state")), body)
            self.assertEqual(0, cluster.nodes[name].exit_code())
            cluster.start_node(name)
            ready = f"{cluster.urls[name]}/readyz"
            submitter.run_until(
                lambda ready=ready: send_request("GET", ready)[0] == 200
            )
        self.assertGreater(len(submitter.job_ids_by_key), 10)
        for key, job_id in submitter.job_ids_by_key.items():
            reply = cluster.wait_until_finished("hobart-1", job_id)
            found = (reply["state"], reply["results"])
            seen = cluster.history(job_id) if found[0] != "succeeded" else ()
            self.assertEqual(("succeeded", [key]), found, (reply, seen))
        started = [entry["job_id"] for entry in cluster.history(event="started")]
        for job_id in submitter.job_ids_by_key.values():
            self.assertEqual(1, started.count(job_id))

    def test_worker_restarts_empty(self):
        """Guards against gangs that keep running in part without a worker."""
        cluster = Cluster(self)
        # Each gang takes one worker and half of a third one, which they share.
        fields = {"tasks": ACCELERATORS * 3 // 2, "accelerators_per_task": 1}
        fields["payload"] = {"run_s": 3.0}
        idempotent_id = cluster.submit_until_accepted("hobart-1", "again", **fields)[
            "job_id"
        ]
        other_id = cluster.submit_until_accepted(
            "hobart-2", "once", idempotent=False, **fields
        )["job_id"]
        cluster.wait_until_running("hobart-1", idempotent_id, other_id)
        starts_before = cluster.history(event="started")
        hosts = [
            {entry["worker"] for entry in starts_before if entry["job_id"] == job_id}
            for job_id in (idempotent_id, other_id)
        ]
        shared_worker = min(hosts[0] & hosts[1])
        cluster.workers[shared_worker].kill()
        cluster.start_worker(shared_worker, DOMAIN)

        self.assertEqual(
            "interrupted", cluster.wait_until_finished("hobart-3", other_id)["state"]
        )
        reply = cluster.wait_until_finished("hobart-3", idempotent_id)
        self.assertEqual("succeeded", reply["state"])
        self.assertEqual(fields["tasks"], len(reply["results"]))
        entries_after = cluster.history()
        first_gang_id, *_ = _gangs(
            e for e in starts_before if e["job_id"] == idempotent_id
        )
        self.assertEqual(
            1, len(_gangs(e for e in entries_after if e["job_id"] == other_id))
        )
        second_start_times = [
            entry["at"]
            for entry in cluster.history(idempotent_id, "started")
            if entry["gang_id"] != first_gang_id
        ]
        first_end_times = [
            e["at"]
            for e in entries_after
            if e["gang_id"] == first_gang_id and e["outcome"]
        ]
        self.assertTrue(first_end_times)
        self.assertLess(max(first_end_times), min(second_start_times))


class _ContinuousSubmitter:
    """Client that submits one job after another, with failover of nodes."""

    def __init__(self, test_case, cluster):
        self._test_case = test_case
        self._cluster = cluster
        self.job_ids_by_key = {}

    def run_until(self, condition):
        done = False
        while not done:
            done = condition()
            key = f"trickle {len(self.job_ids_by_key)}"
            body = self._cluster.wait_for(lambda key=key: self._submit(key), key)
            self.job_ids_by_key[key] = body["job_id"]
            time.sleep(POLL_INTERVAL_S)

    def _submit(self, key):
        fields = {"idempotent": False, "payload": {"run_s": 0.02, "result": key}}
        for node in self._cluster.nodes:
            status, body = self._cluster.submit(node, key, **fields)
            # A stopping node rejects requests but breaks no connection.
            self._test_case.assertNotEqual(
                STATUS_CONNECTION_BROKEN, status, (node, body)
            )
            if status in (200, 202):
                return body
            self._test_case.assertIn(status, (STATUS_UNREACHABLE, 503), body)
        return None


def _gangs(entries):
    return {entry["gang_id"] for entry in entries}


if __name__ == "__main__":
    unittest.main()
