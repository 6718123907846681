"""Tests of parsing and stepping state charts."""

import unittest

from redwingrudder.exceptions import ChartError, UnexpectedEventError
from redwingrudder.statecharts import parse_chart

CHART = """<scxml name="light" initial="off">
  <state id="off">
    <transition event="press" target="on"><send event="glow"/></transition>
  </state>
  <state id="on">
    <transition event="press" target="off"/>
    <transition event="hold"/>
  </state>
</scxml>"""
EVENTS = frozenset({"press", "hold"})
ACTIONS = frozenset({"glow"})


class StatechartTests(unittest.TestCase):
    def parse(self, text=CHART, events=EVENTS, actions=ACTIONS):
        return parse_chart(text, "light.scxml", events, actions)

    def test_step_returns_target_and_actions(self):
        """Guards against a transition without target that leaves its state."""
        chart = self.parse()
        self.assertEqual(chart.step("off", "press"), ("on", ("glow",)))
        self.assertEqual(chart.step("on", "hold"), ("on", ()))

    def test_unlisted_event_is_an_error(self):
        """Guards against events that are ignored silently."""
        with self.assertRaises(UnexpectedEventError):
            self.parse().step("off", "hold")

    def test_errors_name_file_and_line(self):
        """Guards against misspelt names, which would disable a transition."""
        cases = {
            'event="hold"': ('event="hodl"', "light.scxml:7: unknown event 'hodl'"),
            'target="off"': ('target="of"', "light.scxml:6: unknown state 'of'"),
            'event="glow"': ('event="glo"', "light.scxml:3: unknown action 'glo'"),
            'initial="off"': ('initial="no"', "light.scxml:1: unknown initial"),
            "</scxml>": ("", "light.scxml:9"),
        }
        for old, (new, expected) in cases.items():
            with self.subTest(new), self.assertRaises(ChartError) as caught:
                self.parse(CHART.replace(old, new))
            self.assertIn(expected, str(caught.exception))

    def test_event_of_the_code_that_the_file_lacks(self):
        """Guards against an event of the code that no state handles."""
        with self.assertRaisesRegex(
            ChartError, "'blink' is expected by the code but does not occur"
        ):
            self.parse(events=EVENTS | {"blink"})
