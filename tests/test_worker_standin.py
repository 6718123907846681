"""Tests that the worker stand-in behaves as ``worker_api`` specifies."""

import json
import unittest

import treq
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.trial import unittest as trial
from twisted.web.client import ResponseNeverReceived

from redwingrudder._worker_codec import spec_to_body
from redwingrudder.actors import ActorSystem
from redwingrudder.model import JobSpec, WorkerInfo
from redwingrudder.standins.worker import (
    RejectedEpochError,
    WorkerCore,
    WorkerStandIn,
)
from redwingrudder.timers import TimerService

INFO = WorkerInfo("w1", "", "north", "r1", 8, 8, 128, 262_144)
LEASE_S = 30.0


def make_spec(payload="{}", **changes):
    spec = JobSpec(
        "saengthong", "urgent", "c", "k", 2, 1, 1, 10, True, True, 5.0, 2.0, payload
    )
    return spec._replace(**changes)


def claim(term=1):
    return {"epoch": [term, 0, 0], "node_id": "n1", "lease_s": LEASE_S}


def reserve(gang_id, accelerators=(0, 1), spec=None, term=1):
    return {
        "epoch": [term, 0, 0],
        "gang_id": gang_id,
        "job_id": f"job-{gang_id}",
        "spec": spec_to_body(spec or make_spec()),
        "submitted_at": 0.0,
        "accelerators": list(accelerators),
        "tasks": [0, 1],
        "gang_members": 1,
    }


def member(gang_id, term=1, **more):
    return {"epoch": [term, 0, 0], "gang_id": gang_id, **more}


def poll(after=0, term=1, wait_s=0.0):
    return {"epoch": [term, 0, 0], "after": after, "wait_s": wait_s}


class WorkerCoreTests(unittest.TestCase):
    """Epochs, lease, gang members and events, with simulated time."""

    def setUp(self):
        self.core = WorkerCore(INFO, 0.0, "boot-1")
        self.core.claim(claim(), 0.0)

    def run_gang(self, gang_id="g", spec=None):
        self.core.reserve(reserve(gang_id, spec=spec), 0.0)
        self.core.start(member(gang_id), 0.0)

    def outcomes(self, now, after=0):
        events = self.core.poll(poll(after), now)["events"]
        return [event["outcome"] for event in events]

    def test_only_a_claim_raises_the_epoch_and_lower_ones_are_rejected(self):
        """Guards against commands under an epoch that was not claimed."""
        with self.assertRaises(RejectedEpochError) as raised:
            self.core.reserve(reserve("g", term=2), 1.0)
        self.assertEqual(raised.exception.code, "not_claimed")
        self.core.claim(claim(2), 1.0)
        for command in (self.core.start, self.core.release):
            with self.assertRaises(RejectedEpochError) as raised:
                command(member("g"), 1.0)
            self.assertEqual(raised.exception.code, "stale_epoch")
        self.assertEqual(self.core.state(1.0)["members"], [])

    def test_a_repeated_start_runs_the_gang_once_even_after_its_release(self):
        """Guards against a delayed duplicate that runs a gang again."""
        spec = make_spec('{"run_s": 1}')
        self.run_gang(spec=spec)
        self.assertTrue(self.core.start(member("g"), 0.5)["accepted"])
        self.assertEqual(self.outcomes(2.0), ["succeeded", "succeeded"])
        self.assertTrue(self.core.release(member("g"), 2.0)["accepted"])
        for request in (reserve("g"), member("g")):
            command = self.core.reserve if "spec" in request else self.core.start
            self.assertEqual(command(request, 3.0)["code"], "already_started")
        started = [entry for entry in self.core.history if entry.what == "started"]
        self.assertEqual(len(started), 1)

    def test_a_delayed_duplicate_of_a_released_reservation_is_rejected(self):
        """Guards against a released reservation that is made again."""
        self.core.reserve(reserve("g"), 0.0)
        self.core.release(member("g"), 0.0)
        self.assertEqual(self.core.reserve(reserve("g"), 0.0)["code"], "already_ended")
        self.assertTrue(self.core.reserve(reserve("h"), 0.0)["accepted"])

    def test_a_reservation_lasts_until_the_lease_expires(self):
        """Guards against a reservation that ends before or after its lease."""
        self.core.reserve(reserve("g"), 0.0)
        for now in range(10, 300, 10):
            self.core.poll(poll(), float(now))
        self.assertEqual(self.core.reserve(reserve("h"), 300.0)["code"], "busy")
        self.assertEqual(self.core.start(member("g"), 331.0)["code"], "unknown_gang")

    def test_a_late_command_renews_the_lease_up_to_its_limit_only(self):
        """Guards against a lease that a command executed late puts off.

        A limit in the past must not end a lease that was renewed meanwhile.
        """
        self.run_gang(spec=make_spec('{"run_s": 300}'))
        limited = {**poll(), "lease_until_s": LEASE_S + 2.0}
        self.core.poll(limited, LEASE_S - 0.1)
        self.assertEqual(self.core.lease_until, LEASE_S + 2.0)
        self.core.poll(poll(), LEASE_S)
        self.core.poll(limited, LEASE_S + 3.0)
        self.assertEqual(self.core.lease_until, 2 * LEASE_S)
        late_claim = {**claim(2), "lease_until_s": LEASE_S}
        self.core.claim(late_claim, 2 * LEASE_S - 1.0)
        (state,) = self.core.state(2 * LEASE_S)["members"]
        self.assertEqual(state["state"], "ended")

    def test_tasks_stop_when_the_lease_expires_without_requests(self):
        """Guards against tasks that run on after the lease has expired."""
        self.run_gang(spec=make_spec('{"run_s": 100}'))
        self.core.advance(1_000.0)
        ended = [entry for entry in self.core.history if entry.what == "ended"]
        self.assertEqual([entry.at for entry in ended], [LEASE_S, LEASE_S])
        self.assertEqual({entry.outcome for entry in ended}, {"stopped"})

    def test_events_are_kept_until_a_poll_acknowledges_them(self):
        """Guards against events that are dropped before an acknowledgement."""
        self.run_gang(spec=make_spec('{"run_s": 1, "fail_tasks": [1]}'))
        self.assertEqual(self.outcomes(2.0), ["succeeded", "failed"])
        self.assertEqual(self.outcomes(2.0), ["succeeded", "failed"])
        self.assertEqual(self.outcomes(2.0, after=1), ["failed"])
        self.assertEqual(self.outcomes(2.0, after=2), [])
        results = self.core.state(3.0)["members"][0]["results"]
        self.assertEqual(len(results), 2)

    def test_running_members_are_not_released_and_results_expire(self):
        """Guards against a release of running tasks and unlimited results."""
        self.run_gang(spec=make_spec('{"run_s": 1}'))
        self.assertEqual(self.core.release(member("g"), 0.5)["code"], "member_running")
        self.core.claim(claim(), 601.1)
        self.assertEqual(len(self.core.state(600.5)["members"]), 0)

    def test_rejections_have_a_code(self):
        """Guards against rejections whose reason the owner cannot see."""
        absent_accelerators = reserve("g", accelerators=(7, 8))
        self.assertEqual(
            self.core.reserve(absent_accelerators, 0.0)["code"], "no_such_accelerator"
        )
        too_many_cores = reserve("g", spec=make_spec(cores_per_task=65))
        self.assertEqual(self.core.reserve(too_many_cores, 0.0)["code"], "busy")
        self.core.draining = True
        self.assertEqual(self.core.reserve(reserve("g"), 0.0)["code"], "draining")

    def test_checkpoint_throttle_and_usage_lag(self):
        """Guards against a stand-in that ignores throttles or checkpoints."""
        self.run_gang(spec=make_spec('{"run_s": 8}'))
        self.core.throttle(member("g", share=0.5), 4.0)
        usage = self.core.poll(poll(), 4.0)["usage"]
        self.assertEqual(usage["busy_accelerators"], 0)
        self.assertEqual(self.outcomes(10.0), [])
        self.core.stop(member("g", checkpoint=True), 10.5)
        self.assertEqual(self.outcomes(12.0), ["checkpointed"] * 2)


class WorkerStandInTests(trial.TestCase):
    """Waiting polls, fault switches and errors over HTTP."""

    timeout = 10

    def setUp(self):
        self.system = ActorSystem(reactor)
        TimerService(self.system)
        self.worker = WorkerStandIn(self.system, INFO, reactor)
        self.system.start()

    async def tearDown(self):
        await self.system.stop()

    async def post(self, path, body):
        url = f"http://{self.worker.address}{path}"
        response = await treq.post(url, json.dumps(body).encode(), persistent=False)
        return response.code, await response.json()

    async def test_a_waiting_poll_returns_when_a_task_ends(self):
        """Guards against a poll that waits although there is an event."""
        await self.post("/v1/claim", claim())
        spec = make_spec('{"run_s": 0.05}')
        await self.post("/v1/reserve", reserve("g", spec=spec))
        pending_poll = treq.post(
            f"http://{self.worker.address}/v1/poll",
            json.dumps(poll(wait_s=8.0)).encode(),
            persistent=False,
        )
        await self.post("/v1/start", member("g"))
        events = (await (await pending_poll).json())["events"]
        self.assertEqual(events[0]["outcome"], "succeeded")

    async def test_a_waiting_poll_of_a_fenced_owner_is_rejected(self):
        """Guards against a fenced owner that notices this only later."""
        await self.post("/v1/claim", claim(1))
        pending_poll = self.post("/v1/poll", poll(wait_s=8.0))
        poll_answer = ensureDeferred(pending_poll)
        await self.post("/v1/claim", claim(2))
        status, body = await poll_answer
        self.assertEqual((status, body["highest"]), (409, [2, 0, 0]))

    async def test_a_dropped_reply_has_taken_effect(self):
        """Guards against a dropped reply that also drops the command."""
        await self.post("/v1/claim", claim())
        await self.post("/admin/faults", {"drop_replies": 1})
        with self.assertRaises((ResponseNeverReceived, ConnectionLost, ConnectionDone)):
            await self.post("/v1/reserve", reserve("g"))
        self.assertEqual(len(self.worker.core.state(0.0)["members"]), 1)
        status, body = await self.post("/v1/reserve", reserve("g"))
        self.assertTrue(body["accepted"])

    async def test_malformed_bodies_are_rejected_with_a_code(self):
        """Guards against status 500 for an invalid request."""
        status, body = await self.post("/v1/reserve", {"epoch": "x"})
        self.assertEqual((status, body["code"]), (400, "bad_request"))
        status, body = await self.post("/v1/nothing", {})
        self.assertEqual(status, 404)
