"""Tests of the configuration: checks, races, lost replies and outages."""

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


def document(copies=1, target_s=2.6, organisations=("huon",)):
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


def plan_north(configuration, workers):
    return tuple(
        CellAssignment(name, index, copy, "north")
        for name, organisation in configuration.organisations_by_name.items()
        for index, shape in enumerate(organisation.guarantees)
        for copy in range(shape.copies)
    )


class Node:
    """A node's configuration actor on a store that nodes share."""

    def __init__(self, clock, core, available=True):
        self.system = ActorSystem(clock)
        TimerService(self.system)
        self.store = FakeStore(self.system, core, available)
        self.actor = ConfigurationActor(self.system, ("seen",))
        self.seen = Recorder(self.system, "seen", ConfigurationChanged).messages
        self.system.start()
        settle(self.system)

    def apply(self, base_version, text=None):
        request = ApplyConfiguration(text or document(), base_version)
        return ask(self.system, CONFIGURATION, request)

    def versions(self):
        return [message.configuration.version for message in self.seen]

    def in_force(self):
        return ask(self.system, CONFIGURATION, GetConfiguration())


class DocumentTests(unittest.TestCase):
    def test_all_problems_are_named_with_path_found_and_allowed(self):
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

    def test_documents_that_are_refused(self):
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
        {n: JobClass(n, draw(st.floats(1, 9)), None) for n in draw(st.sets(NAMES))},
        tuple(sorted(cell for cell in cells if cell.organisation in names)),
    )


class CodecTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(configurations(), configurations())
    def test_a_change_applied_to_the_old_gives_the_new(self, old, new):
        new = new._replace(version=2)
        change = codec.decode_change(codec.encode_change(codec.compare(old, new, "x")))
        self.assertEqual(codec.apply(old, change), new)
        stored = codec.encode_configuration(new)
        self.assertEqual(codec.decode_configuration(stored), new)


class ConfigurationActorTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.core = KeyValueCore()
        patch = mock.patch.object(guarantees, "plan_cells", plan_north)
        patch.start()
        self.addCleanup(patch.stop)

    def node(self, available=True):
        return Node(self.clock, self.core, available)

    def test_a_change_is_in_force_on_all_nodes_in_order(self):
        first, second = self.node(), self.node()
        for version in range(3):
            first.apply(version, document(copies=version + 1))
        settle(second.system)
        self.assertEqual(second.versions(), [1, 2, 3])
        self.assertEqual(second.in_force(), first.in_force())
        self.assertEqual(self.node().in_force(), first.in_force())

    def test_one_of_two_racing_operators_gets_a_conflict(self):
        nodes = self.node(), self.node()
        outcomes = []
        for node in nodes:
            request = ApplyConfiguration(document(), 0)
            node.system.ask(CONFIGURATION, request).addBoth(outcomes.append)
        settle(nodes[0].system)
        lost = [o.value for o in outcomes if not isinstance(o, Configuration)]
        self.assertEqual([error.code for error in lost], ["configuration_conflict"])
        self.assertIn("edited version 0, current version 1", lost[0].detail)

    def test_a_lost_reply_is_resolved_by_the_nonce(self):
        node = self.node()
        node.store.lost_replies = 1
        self.assertEqual(node.apply(0).version, 1)
        node.store.requests_to_lose = 1
        self.assertEqual(node.apply(1).version, 2)
        with self.assertRaises(ConflictError):
            node.apply(1)
        self.assertEqual(node.versions(), [1, 2])

    def test_a_write_that_is_never_confirmed_is_reported_as_unknown(self):
        node = self.node()
        node.store.requests_to_lose = 9
        with self.assertRaises(OutcomeUnknownError):
            node.apply(0)
        self.assertEqual(node.versions(), [])

    def test_guarantees_that_do_not_fit_change_nothing(self):
        node = self.node()
        error = UnprocessableError("x", code="guarantees_do_not_fit")
        with (
            mock.patch.object(guarantees, "plan_cells", side_effect=error),
            self.assertRaises(UnprocessableError),
        ):
            node.apply(0)
        self.assertIsNone(node.store.value(codec.HEAD_KEY))

    def test_a_target_changes_while_lost_hardware_breaks_guarantees(self):
        """The loss of a rack must not keep operators from other changes."""
        node = self.node()
        before = node.apply(0)
        error = UnprocessableError("x", code="guarantees_do_not_fit")
        with mock.patch.object(guarantees, "plan_cells", side_effect=error):
            after = node.apply(1, document(target_s=5.0))
        self.assertEqual(after.classes_by_name["urgent"].target_s, 5.0)
        self.assertEqual(after.cells, before.cells)

    def test_a_start_in_an_outage_copies_from_a_peer_and_never_goes_back(self):
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
        node = self.node()
        node.apply(0)
        node.store.core = KeyValueCore()
        self.assertEqual(node.apply(1).version, 2)

    def test_a_watch_that_cannot_resume_is_followed_by_a_read(self):
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

    def test_a_missing_change_is_made_up_for_by_the_document(self):
        node = self.node()
        later = node.apply(0)._replace(version=5, classes_by_name={})
        change = codec.compare(later, later, "x")
        node.store.put(codec.DOCUMENT_KEY, codec.encode_configuration(later))
        node.store.put(codec.change_key(5), codec.encode_change(change))
        settle(node.system)
        self.assertEqual(node.in_force(), later)

    def test_old_changes_are_pruned(self):
        node = self.node()
        with mock.patch.object(codec, "CHANGES_KEPT", 2):
            for version in range(4):
                node.apply(version)
        kept = [record.key.decode() for record in self.core.range(b"/config/c", b"0")]
        changes = [key for key in kept if key.startswith(codec.CHANGE_PREFIX)]
        self.assertEqual(changes, [codec.change_key(3), codec.change_key(4)])

    def test_a_subscriber_with_a_full_mailbox_is_told_later(self):
        node = self.node()
        with mock.patch.object(actors, "MAILBOX_LIMIT", 1):
            accepted = node.apply(0)
            node.system.tell("seen", ConfigurationChanged(accepted))
            node.system.tell(
                CONFIGURATION, OfferConfiguration(accepted._replace(version=2))
            )
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
        clock, core = Clock(), KeyValueCore()
        nodes = [Node(clock, core) for _ in range(3)]
        accepted = []
        with mock.patch.object(guarantees, "plan_cells", plan_north):
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
        last = [node.versions()[-1:] for node in nodes]
        self.assertEqual(last, last[:1] * 3)
        for node in nodes:
            self.assertEqual(node.versions(), sorted(set(node.versions())))
            for message in node.seen:
                for configuration in accepted:
                    if configuration.version == message.configuration.version:
                        self.assertEqual(configuration, message.configuration)

    def apply(self, node, copies):
        base = node.versions()[-1] if node.versions() else 0
        try:
            return [node.apply(base, document(copies=copies))]
        except (ConflictError, UnavailableError):
            return []
