"""Tests of the router: choice of the domain, retries, unknown outcomes."""

import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from redwingrudder import exceptions, model, requests
from redwingrudder._domain_choice import DomainLoad, FreeGangChoice
from redwingrudder.actors import ActorSystem
from redwingrudder.messages import ConfigurationChanged
from redwingrudder.model import Epoch, JobSpec, JobState, JobView
from redwingrudder.router import Router, RouterSettings
from redwingrudder.timers import TimerService

from .scripted import Scripted

SPEC = JobSpec("shop", "proof", "c", "key-1", 2, 4, 1, 64, False, False, 5.0, 1.0, "")
VIEW = JobView("d1-a", "shop", "proof", JobState.QUEUED, "", True, False, 1.5, None, ())
SUBMISSION = requests.SubmitJob(SPEC, "corr")
IDEMPOTENT = requests.SubmitJob(SPEC._replace(idempotent=True), "corr")
NOT_SENT = exceptions.UnavailableError("connection refused")
UNKNOWN = exceptions.OutcomeUnknownError("connection broke")


class RouterTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.system = ActorSystem(self.clock)
        TimerService(self.system)
        jobs = (requests.SubmitJob, requests.GetStatus)
        self.dispatcher = Scripted(self.system, requests.DISPATCHER, jobs, VIEW)
        asks = (requests.AskPeer,)
        self.peers = Scripted(self.system, requests.PEERS, asks, VIEW)
        Router(self.system, RouterSettings("n1", "d1", seed=5))
        members = tuple(
            requests.VmInfo(f"{d}-n", "node", "live", "", d, "", 0, 0, 0, 0, 0)
            for d in ("d1", "d2")
        )
        self.tell(requests.MembersChanged(members))

    def tell(self, message):
        self.system.tell(requests.ROUTER, message)
        self.clock.advance(0)

    def gain_ownership(self):
        self.tell(requests.OwnershipGained(Epoch(1, 0, 1)))

    def announce_owner(self, domain, node_id, term=1):
        epoch = Epoch(term, 0, 0)
        self.tell(requests.OwnerChanged(domain, node_id, f"{node_id}:1", epoch))

    def report_load(self, domain, node_id, free_accelerators, term=1):
        self.tell(
            requests.PeerReport(
                node_id, 0, domain, f"{node_id}:1", True, Epoch(term, 0, 0), 1,
                free_accelerators, free_accelerators, 0, False,
            )
        )  # fmt: skip

    def ask(self, request, seconds=0.0):
        outcomes = []
        reply = self.system.ask(requests.ROUTER, request)
        reply.addErrback(lambda failure: failure.value)
        reply.addCallback(outcomes.append)
        self.clock.pump([0.0] * 4 + [0.05] * int(seconds / 0.05))
        return outcomes

    def called_addresses(self):
        return [message.address for message in self.peers.received]

    def test_owner_answers_itself(self):
        """Guards against forwarding a request that the owner can serve."""
        self.gain_ownership()
        self.assertEqual(self.ask(SUBMISSION), [VIEW])
        self.assertEqual(self.dispatcher.received, [SUBMISSION])

    def test_job_goes_to_the_domain_of_its_id(self):
        """Guards against asking a domain that does not have the job."""
        self.gain_ownership()
        self.announce_owner("d2", "n2")
        self.ask(requests.CancelJob("d2-abc"))
        self.assertEqual(self.called_addresses(), ["n2:1"])
        self.assertEqual(self.dispatcher.received, [])

    def test_id_of_an_unknown_domain_is_not_found_at_once(self):
        """Guards against a poll that waits for a job of an unknown domain."""
        (error,) = self.ask(requests.PollJob("d77-abc", 30.0))
        self.assertIsInstance(error, exceptions.NotFoundError)

    def test_submission_goes_where_it_fits_and_spreads(self):
        """Guards against sending a whole burst to one domain.

        Between two load reports, only the router knows what it has sent.
        """
        self.gain_ownership()
        self.report_load("d1", "n1", 4)
        self.report_load("d2", "n2", 16)
        self.report_load("d3", "n3", 12)
        for _ in range(3):
            self.ask(SUBMISSION)
        self.assertEqual(self.called_addresses(), ["n2:1", "n3:1", "n2:1"])

    def test_poll_follows_a_change_of_owner_within_its_wait(self):
        """Guards against a poll that a takeover fails or prolongs."""
        self.announce_owner("d2", "n2")
        self.peers.script = [UNKNOWN, NOT_SENT]
        outcomes = self.ask(requests.PollJob("d2-a", 6.0), seconds=0.3)
        self.announce_owner("d2", "n3", term=2)
        self.clock.pump([0.05] * 40)
        self.assertEqual(outcomes, [VIEW])
        self.assertEqual(self.called_addresses()[-1], "n3:1")
        waits = [message.request.wait_s for message in self.peers.received]
        self.assertEqual(waits[0], 6.0)
        self.assertLess(waits[-1], 6.0)

    def test_submission_with_unknown_outcome_stays_in_its_domain(self):
        """Guards against a second copy of a job, started by another domain."""
        self.report_load("d1", "n1a", 4)
        self.report_load("d2", "n2", 16)
        self.report_load("d3", "n3", 12)
        self.peers.script = [UNKNOWN, UNKNOWN]
        outcomes = self.ask(SUBMISSION, seconds=0.3)
        self.announce_owner("d2", "n4", term=2)
        self.clock.pump([0.05] * 40)
        self.assertEqual(outcomes, [VIEW])
        self.assertEqual(set(self.called_addresses()), {"n2:1", "n4:1"})

    def test_idempotent_submission_may_go_elsewhere(self):
        """Guards against waiting although a second copy is allowed."""
        self.report_load("d2", "n2", 160)
        self.report_load("d3", "n3", 12)
        self.peers.script = [UNKNOWN]
        outcomes = self.ask(IDEMPOTENT, seconds=2.0)
        self.assertEqual(outcomes, [VIEW])
        self.assertEqual(self.called_addresses(), ["n2:1", "n3:1"])

    def test_refusal_after_an_unknown_outcome_does_not_say_not_run(self):
        """Guards against reporting "not run" for a job that may be running.

        The first attempt has an unknown outcome: it may have been accepted.
        """
        for refusal in (
            exceptions.OverloadedError("full"),
            exceptions.StoreUnavailableError("down"),
        ):
            self.report_load("d2", "n2", 16)
            self.peers.script = [UNKNOWN, refusal]
            (error,) = self.ask(SUBMISSION, seconds=2.0)
            self.assertIsInstance(error, exceptions.OutcomeUnknownError)
            self.assertEqual(error.code, "domain_unreachable")

    def test_refusals_of_a_first_try_are_passed_on_at_once(self):
        """Guards against retrying a request that was definitely not run."""
        self.gain_ownership()
        for refusal in (
            exceptions.OverloadedError("full", retry_after_s=2.0),
            exceptions.StoreUnavailableError("down"),
            exceptions.UnprocessableError("too wide", code="shape_never_fits"),
        ):
            self.dispatcher.script = [refusal]
            self.assertEqual(self.ask(SUBMISSION), [refusal])

    def test_submission_without_any_owner_was_not_sent(self):
        """Guards against an unknown outcome for an unsent submission."""
        (error,) = self.ask(SUBMISSION, seconds=10.0)
        self.assertNotIsInstance(error, exceptions.OutcomeUnknownError)
        self.assertEqual(error.code, "no_owner")
        self.assertIsNotNone(error.retry_after_s)

    def test_poll_of_an_unreachable_domain_is_an_unknown_outcome(self):
        """Guards against unlimited attempts, and against "no such job"."""
        self.announce_owner("d2", "n2")
        self.peers.script = [NOT_SENT] * 50
        (error,) = self.ask(requests.PollJob("d2-a", 0.0), seconds=10.0)
        self.assertIsInstance(error, exceptions.OutcomeUnknownError)
        self.assertEqual(error.code, "domain_unreachable")
        self.assertLessEqual(len(self.peers.received), 16)

    def test_unsent_submission_goes_to_another_domain(self):
        """Guards against waiting for a domain that is unreachable."""
        self.report_load("d2", "n2", 160)
        self.report_load("d3", "n3", 12)
        self.peers.script = [NOT_SENT]
        self.assertEqual(self.ask(SUBMISSION, seconds=1.0), [VIEW])
        self.assertEqual(self.called_addresses(), ["n2:1", "n3:1"])

    def test_key_recorded_elsewhere_is_followed(self):
        """Guards against a second job after a retry through another node."""
        self.gain_ownership()
        self.announce_owner("d2", "n2")
        self.dispatcher.script = [
            exceptions.ConflictError("d2 has it", code="other_domain")
        ]
        self.peers.script = [NOT_SENT]
        self.assertEqual(self.ask(SUBMISSION, seconds=1.0), [VIEW])
        self.assertEqual(self.called_addresses(), ["n2:1", "n2:1"])
        self.assertEqual(len(self.dispatcher.received), 1)

    def test_domains_that_point_at_each_other_end(self):
        """Guards against endless redirects between two domains."""
        self.gain_ownership()
        self.announce_owner("d2", "n2")
        self.dispatcher.script = [
            exceptions.ConflictError("d2", code="other_domain")
        ] * 99
        self.peers.script = [exceptions.ConflictError("d1", code="other_domain")] * 99
        (error,) = self.ask(SUBMISSION, seconds=10.0)
        self.assertEqual(error.code, "domain_unreachable")
        self.assertLessEqual(len(self.peers.received), 8)

    def test_lost_ownership_sends_the_request_to_the_successor(self):
        """Guards against a request that fails during a takeover."""
        self.gain_ownership()
        self.report_load("d1", "n1", 64)
        pending = Deferred()
        self.dispatcher.script = [pending]
        outcomes = self.ask(SUBMISSION)
        self.tell(requests.OwnershipEnded("fenced"))
        self.announce_owner("d1", "n5", term=2)
        pending.errback(
            exceptions.UnavailableError("no owner any more", code="not_owner")
        )
        self.clock.pump([0.05] * 20)
        self.assertEqual(outcomes, [VIEW])
        self.assertEqual(self.called_addresses(), ["n5:1"])

    def test_status_names_the_domains_that_cannot_be_reached(self):
        """Guards against a status that fails or hides unreachable domains."""
        self.gain_ownership()
        self.announce_owner("d2", "n2")
        self.peers.script = [NOT_SENT] * 50
        (status,) = self.ask(requests.GetDeploymentStatus(), seconds=5.0)
        self.assertEqual(status, requests.DeploymentStatus((VIEW,), ("d2",)))

    def test_silent_owner_gets_no_submission(self):
        """Guards against submissions to an owner that does not respond."""
        self.report_load("d1", "n1a", 64)
        self.report_load("d2", "n2", 16)
        self.tell(requests.PeerSilent("n1a", "d1", 2.5))
        self.ask(SUBMISSION)
        self.assertEqual(self.called_addresses(), ["n2:1"])

    def test_guaranteed_job_queues_in_the_domain_of_its_cells(self):
        """Guards against queueing a guaranteed job away from its cells.

        Only the domain with the cells can reclaim accelerators for the job.
        """
        cells = (model.CellAssignment("shop", 0, 0, "d2"),)
        shop = model.Organisation("shop", (model.Shape(8, 1),))
        self.gain_ownership()
        self.report_load("d1", "n1", 0)
        self.report_load("d2", "n2", 0)
        self.tell(
            ConfigurationChanged(model.Configuration(1, {"shop": shop}, {}, cells))
        )
        self.ask(SUBMISSION)
        self.assertEqual(self.called_addresses(), ["n2:1"])


class FreeGangChoiceTests(unittest.TestCase):
    def test_unreachable_domains_are_never_chosen(self):
        """Guards against choosing an unreachable domain with free capacity."""
        loads = (DomainLoad("d1", False, 64, 0), DomainLoad("d2", True, 0, 900))
        choice = FreeGangChoice()
        self.assertEqual(choice.choose(SPEC, "d1", loads, None), "d2")
        self.assertIsNone(choice.choose(SPEC, "d1", loads[:1], None))
