"""Tests of the configuration document, its encoding and its actor.

They cover validation, concurrent changes, lost replies and store outages.
"""

import json
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from redwingrudder import _configuration_codec as codec
from redwingrudder import actors, guarantees
from redwingrudder.actors import ActorSystem
from redwingrudder.configuration import ConfigurationActor, parse_document
from redwingrudder.exceptions import (
    BadRequestError,
    ConflictError,
    InvalidConfigurationError,
    OutcomeUnknownError,
    PayloadTooLargeError,
    StoreUnavailableError,
    UnavailableError,
    UnprocessableError,
)
from redwingrudder.messages import ConfigurationChanged
from redwingrudder.model import (
    CellAssignment,
    Configuration,
    JobClass,
    Organisation,
    Shape,
)
from redwingrudder.requests import (
    CONFIGURATION,
    ApplyConfiguration,
    GetConfiguration,
    OfferConfiguration,
)
from redwingrudder.standins._key_value import KeyValueCore
from redwingrudder.timers import TimerService
from tests.fakes import FakeStore, Recorder, advance, ask, settle

SUBSCRIBER = "seen"  # actor that records the ConfigurationChanged messages


def document(copies=1, target_s=2.6, organisations=("huon",)):
    """Return a valid configuration document as JSON text."""
    return json.dumps(
        {
            "format_version": 1,
            "organisations": {
                name: {"guarantees": [{"accelerators": 8, "copies": copies}]}
                for name in organisations
            },
            "classes": {"urgent": {"target_s": target_s}},
        }
    )


def plan_all_in_north(configuration, workers):
    """Replace ``plan_cells``: one failure domain holds all cells."""
    return tuple(
        CellAssignment(name, index, copy, "north")
        for name, organisation in configuration.organisations_by_name.items()
        for index, shape in enumerate(organisation.guarantees)
        for copy in range(shape.copies)
    )


class ConfigurationNode:
    """A node with only its configuration actor and the fake store.

    Nodes that get the same ``core`` share the data of the store.
    """

    def __init__(self, clock, core, available=True):
        self.system = ActorSystem(clock)
        TimerService(self.system)
        self.store = FakeStore(self.system, core, available)
        self.actor = ConfigurationActor(self.system, (SUBSCRIBER,))
        self.received = Recorder(self.system, SUBSCRIBER, ConfigurationChanged).messages
        self.system.start()
        settle(self.system)

    def apply(self, base_version, text=None):
        request = ApplyConfiguration(text or document(), base_version)
        return ask(self.system, CONFIGURATION, request)

    def versions(self):
        """Return the versions that the subscriber received, in order."""
        return [message.configuration.version for message in self.received]

    def in_force(self):
        return ask(self.system, CONFIGURATION, GetConfiguration())


class DocumentTests(unittest.TestCase):
    def test_all_problems_are_named_with_path_found_and_allowed(self):
        """Guards against reporting only the first of several problems."""
        text = document(copies=0).replace('"urgent"', '"Urgent"')
        text = text.replace("{", '{"weight": 3,', 1)
        with self.assertRaises(InvalidConfigurationError) as raised:
            parse_document(text)
        problems = "\n".join(raised.exception.problems)
        for part in (
            "weight: found 3, allowed",
            "organisations.huon.guarantees.0.copies: found 0, allowed",
            "classes.Urgent",
        ):
            self.assertIn(part, problems)

    def test_invalid_documents_are_refused(self):
        """Guards against an invalid document that is accepted."""
        for text, error in (
            ("{", BadRequestError),
            ("[" * 100_000, BadRequestError),
            ("[]", InvalidConfigurationError),
            (document().replace("2.6", "NaN"), InvalidConfigurationError),
            (document().replace("2.6", '2, "finish_by": "05:30"'), UnprocessableError),
            (document().replace('"target_s": 2.6', ""), UnprocessableError),
            (
                document().replace("1,", '1, "format_version": 1,', 1),
                UnprocessableError,
            ),
            (document().replace("1,", "2,", 1), UnprocessableError),
            (" " * 300_000, PayloadTooLargeError),
        ):
            with self.subTest(text=text[:60]), self.assertRaises(error):
                parse_document(text)

    def test_comments_are_allowed(self):
        """Guards against refusing a document with comments."""
        parse_document("// agreed in May\n" + document())


NAMES = st.sampled_from(["a", "b", "c", "d"])
SHAPES = st.lists(
    st.builds(Shape, st.integers(1, 64), st.integers(1, 3)), max_size=3
).map(tuple)
CELLS = st.builds(
    CellAssignment, NAMES, st.integers(0, 2), st.integers(0, 2), st.just("north")
)


@st.composite
def configurations(draw):
    names = draw(st.sets(NAMES))
    cells = draw(st.sets(CELLS))
    return Configuration(
        1,
        {name: Organisation(name, draw(SHAPES)) for name in sorted(names)},
        {
            name: JobClass(name, draw(st.floats(1, 9)), None)
            for name in draw(st.sets(NAMES))
        },
        tuple(sorted(cell for cell in cells if cell.organisation in names)),
    )


class CodecTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(configurations(), configurations())
    def test_a_change_applied_to_the_old_gives_the_new(self, old, new):
        new = new._replace(version=2)
        change = codec.decode_change(
            codec.encode_change(codec.build_change(old, new, "x"))
        )
        self.assertEqual(codec.apply_change(old, change), new)
        stored = codec.encode_configuration(new)
        self.assertEqual(codec.decode_configuration(stored), new)


class ConfigurationActorTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.core = KeyValueCore()
        plan_patch = mock.patch.object(guarantees, "plan_cells", plan_all_in_north)
        plan_patch.start()
        self.addCleanup(plan_patch.stop)

    def node(self, available=True):
        return ConfigurationNode(self.clock, self.core, available)

    def test_a_change_is_in_force_on_all_nodes_in_order(self):
        """Guards against nodes that miss or reorder changes."""
        first, second = self.node(), self.node()
        for version in range(3):
            first.apply(version, document(copies=version + 1))
        settle(second.system)
        self.assertEqual(second.versions(), [1, 2, 3])
        self.assertEqual(second.in_force(), first.in_force())
        self.assertEqual(self.node().in_force(), first.in_force())

    def test_one_of_two_racing_operators_gets_a_conflict(self):
        """Guards against a change that overwrites a concurrent one."""
        nodes = self.node(), self.node()
        outcomes = []
        for node in nodes:
            request = ApplyConfiguration(document(), 0)
            node.system.ask(CONFIGURATION, request).addBoth(outcomes.append)
        settle(nodes[0].system)
        errors = [
            outcome.value
            for outcome in outcomes
            if not isinstance(outcome, Configuration)
        ]
        self.assertEqual([error.code for error in errors], ["configuration_conflict"])
        self.assertIn(
            "based on version 0, but the current version is 1", errors[0].detail
        )

    def test_a_lost_reply_is_resolved_by_the_nonce(self):
        """Guards against reporting the write of this node as a conflict.

        A write whose reply is lost has taken effect when it is sent again.
        """
        node = self.node()
        node.store.lost_replies = 1
        self.assertEqual(node.apply(0).version, 1)
        node.store.requests_to_lose = 1
        self.assertEqual(node.apply(1).version, 2)
        with self.assertRaises(ConflictError):
            node.apply(1)
        self.assertEqual(node.versions(), [1, 2])

    def test_a_write_that_is_never_confirmed_is_reported_as_unknown(self):
        """Guards against reporting an unconfirmed write as done or refused."""
        node = self.node()
        node.store.requests_to_lose = 9
        with self.assertRaises(OutcomeUnknownError):
            node.apply(0)
        self.assertEqual(node.versions(), [])

    def test_guarantees_that_do_not_fit_change_nothing(self):
        """Guards against storing guarantees that do not fit the workers."""
        node = self.node()
        error = UnprocessableError("x", code="guarantees_do_not_fit")
        with (
            mock.patch.object(guarantees, "plan_cells", side_effect=error),
            self.assertRaises(UnprocessableError),
        ):
            node.apply(0)
        self.assertIsNone(node.store.value(codec.HEAD_KEY))

    def test_a_target_changes_while_lost_hardware_breaks_guarantees(self):
        """Guards against planning the cells again when no guarantee changed.

        The plan fails while lost hardware leaves too few accelerators
        for the guarantees, and operators could then change nothing.
        """
        node = self.node()
        before = node.apply(0)
        error = UnprocessableError("x", code="guarantees_do_not_fit")
        with mock.patch.object(guarantees, "plan_cells", side_effect=error):
            after = node.apply(1, document(target_s=5.0))
        self.assertEqual(after.classes_by_name["urgent"].target_s, 5.0)
        self.assertEqual(after.cells, before.cells)

    def test_a_start_in_an_outage_copies_from_a_peer_and_never_goes_back(self):
        """Guards against a node that needs the store to start.

        It copies the configuration of a peer and then ignores older versions.
        """
        other = self.node()
        accepted = other.apply(0)
        node = self.node(available=False)
        with self.assertRaises(UnavailableError) as raised:
            node.in_force()
        self.assertEqual(raised.exception.code, "no_configuration")
        with self.assertRaises(StoreUnavailableError):
            node.apply(0)
        node.system.tell(CONFIGURATION, OfferConfiguration(accepted))
        settle(node.system)
        self.assertEqual(node.in_force(), accepted)
        older = accepted._replace(version=0)
        node.system.tell(CONFIGURATION, OfferConfiguration(older))
        other.apply(1)
        node.store.set_available(True)
        settle(node.system)
        self.assertEqual(node.versions(), [1, 2])

    def test_versions_rise_after_the_store_lost_its_data(self):
        """Guards against a reused version, which nodes would ignore."""
        node = self.node()
        node.apply(0)
        node.store.core = KeyValueCore()
        self.assertEqual(node.apply(1).version, 2)

    def test_a_watch_that_cannot_resume_is_followed_by_a_read(self):
        """Guards against changes missed because the store was compacted."""
        first, second = self.node(), self.node()
        first.apply(0)
        settle(second.system)
        second.store.set_available(False)
        for version in range(1, 4):
            first.apply(version)
        self.core.compact(self.core.revision)
        second.store.set_available(True)
        settle(second.system)
        self.assertEqual(second.versions(), [1, 4])
        first.apply(4)
        settle(second.system)
        self.assertEqual(second.versions(), [1, 4, 5])

    def test_a_missing_change_is_replaced_by_the_document(self):
        """Guards against applying a change to a version it does not follow."""
        node = self.node()
        later_configuration = node.apply(0)._replace(version=5, classes_by_name={})
        change = codec.build_change(later_configuration, later_configuration, "x")
        node.store.put(
            codec.DOCUMENT_KEY, codec.encode_configuration(later_configuration)
        )
        node.store.put(codec.change_key(5), codec.encode_change(change))
        settle(node.system)
        self.assertEqual(node.in_force(), later_configuration)

    def test_old_changes_are_pruned(self):
        """Guards against change records that accumulate in the store."""
        node = self.node()
        with mock.patch.object(codec, "CHANGES_KEPT", 2):
            for version in range(4):
                node.apply(version)
        keys = [record.key.decode() for record in self.core.range(b"/config/c", b"0")]
        changes = [key for key in keys if key.startswith(codec.CHANGE_PREFIX)]
        self.assertEqual(changes, [codec.change_key(3), codec.change_key(4)])

    def test_a_subscriber_with_a_full_mailbox_is_notified_later(self):
        """Guards against a subscriber that stays on an old version."""
        node = self.node()
        with mock.patch.object(actors, "MAILBOX_LIMIT", 1):
            accepted = node.apply(0)
            node.system.tell(SUBSCRIBER, ConfigurationChanged(accepted))
            node.system.tell(
                CONFIGURATION, OfferConfiguration(accepted._replace(version=2))
            )
            # Let the actor handle the offer while the mailbox is full.
            node.actor._take_turn()
        advance(node.system, 0.3)
        self.assertEqual(node.versions(), [1, 1, 2])


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["apply", "apply", "store", "lose", "unsent", "compact"]),
        st.integers(0, 2),
    ),
    max_size=30,
)


class ConfigurationScheduleTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(ACTIONS)
    def test_accepted_versions_are_unique_and_reach_all_nodes(self, actions):
        """Guards against versions that differ or get lost under faults.

        It runs random sequences of changes, store outages, lost requests and
        replies, and compactions.
        """
        clock, core = Clock(), KeyValueCore()
        nodes = [ConfigurationNode(clock, core) for _ in range(3)]
        accepted = []
        with mock.patch.object(guarantees, "plan_cells", plan_all_in_north):
            for copies, (kind, index) in enumerate(actions, start=1):
                store = nodes[index].store
                if kind == "apply":
                    accepted += self.apply(nodes[index], copies)
                elif kind == "store":
                    store.set_available(not store.available)
                elif kind == "lose":
                    store.lost_replies += 1
                elif kind == "unsent":
                    store.requests_to_lose += 1
                else:
                    core.compact(core.revision)
        for node in nodes:
            node.store.set_available(True)
            advance(node.system, 3.0)
        versions = [configuration.version for configuration in accepted]
        self.assertEqual(len(versions), len(set(versions)))
        last_versions = [node.versions()[-1:] for node in nodes]
        self.assertEqual(last_versions, last_versions[:1] * 3)
        for node in nodes:
            self.assertEqual(node.versions(), sorted(set(node.versions())))
            for message in node.received:
                for configuration in accepted:
                    if configuration.version == message.configuration.version:
                        self.assertEqual(configuration, message.configuration)

    def apply(self, node, copies):
        """Return the accepted configuration in a list, empty if refused."""
        base_version = node.versions()[-1] if node.versions() else 0
        try:
            return [node.apply(base_version, document(copies=copies))]
        except (ConflictError, UnavailableError):
            return []
