"""Tests of the HTTP front end of the platform."""

import io
import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from redwingrudder._problems import Response
from redwingrudder.actors import ActorSystem
from redwingrudder.coordination.gateways import (
    INTAKE,
    OperatorConfiguration,
    Queue,
)
from redwingrudder.coordination.messages import (
    CancelWorkflow,
    ConfigurationInForce,
    GetState,
    SubmitWorkflow,
)
from redwingrudder.coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
)
from redwingrudder.platform.front_end import FRONT_END, EndOpenRequests, FrontEnd
from redwingrudder.workflows import records
from redwingrudder.workflows.model import QueuePolicy

from .coordination_fakes import Recording, run_for

QUEUE = Queue("queue", "", "/queue/", True, 3.0, QueuePolicy("pool"))


class FakeRequest(DummyRequest):
    """A request as the front end reads it; stores the response."""

    path = b"/queue/0123456789abcdef"

    def __init__(self):
        super().__init__([b"queue", b"0123456789abcdef"])
        self.response = None

    def header(self, name):
        return None

    def write_response(self, response: Response):
        self.response = response


class ConnectionTests(unittest.TestCase):
    def test_unavailable_node_closes_the_connection(self):
        """Guards against a client that keeps using an unavailable node.

        The client would retry on its persistent connection if the response
        with status 503 did not close it.
        """
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, ObserveDuration: None})
        front_end = FrontEnd(system, clock, ("127.0.0.1", 0))
        request = FakeRequest()
        front_end._respond(request)
        run_for(clock, 0.05)
        self.assertEqual(request.response.status, 503)
        header = request.responseHeaders.getRawHeaders(b"connection")
        self.assertEqual(header, [b"close"])


class InvalidIdTests(unittest.TestCase):
    def test_cancellation_of_an_invalid_id_is_not_passed_on(self):
        """Guards against keys in the store that no submission can have.

        A cancellation is stored for ids without a job too. The second id
        would also be a key below that of a valid one.
        """
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, ObserveDuration: None})
        intake = Recording(system, INTAKE, {CancelWorkflow: False})
        front_end = FrontEnd(system, clock, ("127.0.0.1", 0))
        configuration = OperatorConfiguration(1, (QUEUE,), {}, {}, frozenset())
        system.tell(FRONT_END, ConfigurationInForce(configuration))
        run_for(clock, 0.05)
        for name in (b"job", b"0123456789abcdef/cancel", b"0" * 17):
            with self.subTest(name):
                request = FakeRequest()
                request.method = b"DELETE"
                request.path = b"/queue/" + name
                front_end._respond(request)
                run_for(clock, 0.05)
                self.assertEqual(request.response.status, 410)
                self.assertEqual(intake.received, [])


class SubmissionTests(unittest.TestCase):
    def test_submission_has_the_version_of_its_policy(self):
        """Guards against a policy whose age a coordinator cannot tell."""
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, ObserveDuration: None})
        intake = Recording(system, INTAKE, {SubmitWorkflow: True})
        front_end = FrontEnd(system, clock, ("127.0.0.1", 0))
        configuration = OperatorConfiguration(7, (QUEUE,), {}, {}, frozenset())
        system.tell(FRONT_END, ConfigurationInForce(configuration))
        run_for(clock, 0.05)
        request = FakeRequest()
        request.method = b"POST"
        request.content = io.BytesIO(b'{"spec": "s", "steps": [{"count": 1}]}')
        front_end._respond(request)
        run_for(clock, 0.05)
        (submission,) = intake.received
        stored = records.encode_workflow(submission.workflow)
        workflow = records.decode_workflow(stored)
        self.assertEqual(workflow.policy_version, 7)
        self.assertEqual(workflow.policy, QUEUE.policy)


class DrainTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.system = ActorSystem(self.clock)
        metrics = {IncrementCounter: None, ObserveDuration: None}
        Recording(self.system, METRICS, metrics)
        self.intake_reply = Deferred()
        replies = dict.fromkeys((CancelWorkflow, GetState), self.intake_reply)
        Recording(self.system, INTAKE, replies)
        self.front_end = FrontEnd(self.system, self.clock, ("127.0.0.1", 0))
        configuration = OperatorConfiguration(1, (QUEUE,), {}, {}, frozenset())
        self.system.tell(FRONT_END, ConfigurationInForce(configuration))
        run_for(self.clock, 0.05)

    def end_while_open(self, method):
        """Return a request that is open when the node exits."""
        request = FakeRequest()
        request.method = method
        self.front_end._respond(request)
        run_for(self.clock, 0.05)
        self.assertEqual(self.front_end.open_requests, 1)
        self.system.tell(FRONT_END, EndOpenRequests())
        run_for(self.clock, 0.05)
        self.assertEqual(self.front_end.open_requests, 0)
        return request

    def test_open_write_is_answered_as_unknown_before_the_exit(self):
        """Guards against a call that gets no answer when a node shuts down.

        Load pattern: a node drains while its store does not answer.
        """
        request = self.end_while_open(b"DELETE")
        self.assertEqual(request.response.status, 504)

    def test_open_read_is_refused_before_the_exit(self):
        """Guards against an unanswered query at a node that shuts down."""
        request = self.end_while_open(b"GET")
        self.assertEqual(request.response.status, 503)

    def test_request_is_answered_once(self):
        """Guards against a second answer when the handler ends later."""
        request = self.end_while_open(b"DELETE")
        answer, request.response = request.response, None
        self.intake_reply.callback(True)
        run_for(self.clock, 0.05)
        self.assertEqual((answer.status, request.response), (504, None))


if __name__ == "__main__":
    unittest.main()
