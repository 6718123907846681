"""Tests of ``MembershipActor``: read intervals, changes and outages."""

import unittest
from unittest import mock

from twisted.internet.task import Clock

from redwingrudder.actors import ActorSystem
from redwingrudder.exceptions import MailboxFullError
from redwingrudder.membership import MembershipActor
from redwingrudder.model import Epoch
from redwingrudder.requests import (
    MEMBERSHIP,
    ListVms,
    MembersChanged,
    OwnershipEnded,
    OwnershipGained,
    VmInfo,
)
from redwingrudder.timers import TimerService
from tests.fakes import FakeStore, Recorder, advance, settle


def vm(vm_id, domain="north", state="live"):
    return VmInfo(vm_id, "worker", state, "a:1", domain, "r", 0, 8, 8, 128, 1)


class MembershipTests(unittest.TestCase):
    """The actor against a fake store, on a virtual clock."""

    def setUp(self):
        self.system = ActorSystem(Clock())
        TimerService(self.system)
        self.store = FakeStore(self.system)
        self.store.vms = (vm("w1"), vm("w2", "south"))
        MembershipActor(self.system, ("subscriber",), "north")
        self.subscriber_messages = Recorder(
            self.system, "subscriber", MembersChanged
        ).messages

    def start(self, owning=False):
        self.system.start()
        settle(self.system)
        if owning:
            self.system.tell(MEMBERSHIP, OwnershipGained(Epoch(1, 0, 0)))
            settle(self.system)

    def vm_states_by_id(self):
        return {vm.vm_id: vm.state for vm in self.subscriber_messages[-1].vms}

    def test_calls_a_second_stay_within_the_budget_of_the_design(self):
        """Guards against VM list reads that exceed the rate of the design."""
        self.start(owning=True)
        advance(self.system, 60.0)
        calls = self.store.calls
        self.assertIn(calls.count(ListVms("north")), range(55, 62))
        self.assertIn(calls.count(ListVms("")), range(5, 8))
        self.system.tell(MEMBERSHIP, OwnershipEnded("x"))
        settle(self.system)
        self.store.calls.clear()
        advance(self.system, 60.0)
        self.assertIn(len(self.store.calls), range(5, 8))
        self.assertEqual(len(self.subscriber_messages), 1)

    def test_an_owner_learns_of_a_leaving_worker_within_about_a_second(self):
        """Guards against an owner that places work on a leaving worker."""
        self.start(owning=True)
        advance(self.system, 2.0)
        self.store.vms = (vm("w1", state="leaving"), vm("w2", "south", "leaving"))
        advance(self.system, 1.2)
        self.assertEqual(self.vm_states_by_id(), {"w1": "leaving", "w2": "live"})
        advance(self.system, 11.0)
        self.assertEqual(self.vm_states_by_id(), {"w1": "leaving", "w2": "leaving"})
        self.store.vms = (vm("w2", "south", "leaving"),)
        advance(self.system, 1.2)
        self.assertEqual(self.vm_states_by_id(), {"w2": "leaving"})

    def test_a_late_reply_does_not_bring_a_leaving_worker_back(self):
        """Guards against an older whole list that replaces newer entries."""
        self.start(owning=True)
        membership = self.system._actors_by_name[MEMBERSHIP]
        earlier = self.store.vms
        self.store.vms = (vm("w1", state="leaving"), vm("w2", "south"))
        advance(self.system, 1.2)
        membership._merge_vms("", (*earlier, vm("w3", "south")))
        settle(self.system)
        self.assertEqual(
            self.vm_states_by_id(), {"w1": "leaving", "w2": "live", "w3": "live"}
        )

    def test_an_outage_keeps_the_list_and_costs_no_calls(self):
        """Guards against a VM list that is emptied by a store outage."""
        self.start(owning=True)
        self.store.set_available(False)
        advance(self.system, 30.0)
        self.store.calls.clear()
        self.assertEqual(self.vm_states_by_id(), {"w1": "live", "w2": "live"})
        self.store.vms = (vm("w1"), vm("w2", "south"), vm("w3"))
        self.store.set_available(True)
        advance(self.system, 1.5)
        self.assertEqual(len(self.subscriber_messages[-1].vms), 3)
        self.assertLess(len(self.store.calls), 5)

    def test_a_change_survives_a_full_mailbox(self):
        """Guards against a change that a full mailbox loses."""
        self.start()
        membership = self.system._actors_by_name[MEMBERSHIP]
        with mock.patch.object(membership, "tell") as tell:
            tell.side_effect = [MailboxFullError("full"), None]
            membership._merge_vms("", ())
        self.assertEqual(len(self.subscriber_messages), 1)
        membership._announcer.retry()
        settle(self.system)
        self.assertEqual(self.subscriber_messages[-1], MembersChanged(()))
