"""Tests of the model check and of its coverage of the state charts."""

import importlib.resources
import unittest
from xml.etree import ElementTree

from statemachine.io.scxml.processor import SCXMLProcessor

from redwingrudder.specification import (
    UNREACHED,
    Coverage,
    check_models,
    check_rejections,
    report,
)
from redwingrudder.statecharts import parse_chart


class SpecificationTests(unittest.TestCase):
    """Guards against protocol flaws and models that differ from the charts."""

    @classmethod
    def setUpClass(cls):
        cls.coverage = Coverage()
        cls.results = check_models(cls.coverage)

    def test_every_property_holds_in_all_states(self):
        for result in self.results:
            with self.subTest(result.model, name=result.finding.property_name):
                self.assertIs(result.finding.holds, True, result.finding.trace)

    def test_every_property_has_a_broken_variant_that_is_rejected(self):
        # A property that no broken variant can violate would prove nothing.
        rejections = check_rejections()
        for rejection in rejections:
            with self.subTest(rejection.model, flaw=rejection.flaw):
                self.assertIs(rejection.finding.holds, False)
                self.assertGreater(rejection.steps, 0)
        rejected = {rejection.finding.property_name for rejection in rejections}
        checked = {result.finding.property_name for result in self.results}
        self.assertEqual(rejected, checked)

    def test_every_transition_is_taken_or_listed_with_a_reason(self):
        # Fails when a chart was changed without its model.
        self.assertEqual(self.coverage.list_untaken(), set(UNREACHED))
        self.assertTrue(all(UNREACHED.values()))
        for name, chart in self.coverage.charts_by_name.items():
            entered = {chart.initial}
            for chart_name, state, event in self.coverage.taken | set(UNREACHED):
                if chart_name == name:
                    entered.add(chart.step(state, event).target)
            self.assertEqual(entered, chart.states, name)

    def test_report_fails_when_a_property_is_not_decided(self):
        undecided = self.results[0]._replace(
            finding=self.results[0].finding._replace(holds=None)
        )
        lines = []
        self.assertFalse(report((undecided,), (), lines.append))
        self.assertIn("not decided", "".join(lines))


class ChartFileTests(unittest.TestCase):
    """Guards against a chart parser that deviates from SCXML."""

    def test_another_scxml_implementation_reads_the_same_charts(self):
        charts = importlib.resources.files("redwingrudder").joinpath("charts")
        for file in charts.iterdir():
            text = file.read_text("utf-8")
            with self.subTest(file.name):
                processor = SCXMLProcessor()
                processor.parse_scxml("chart", text)
                (machine,) = processor.scs.values()
                found = {
                    (state.id, transition.event): (transition.target or state).id
                    for state in machine.states
                    for transition in state.transitions
                    if transition.event
                }
                chart = load_complete_chart(file.name, text)
                targets = {
                    key: step.target for key, step in chart.transitions_by_key.items()
                }
                self.assertEqual(found, targets)
                final = {state.id for state in machine.states if state.final}
                self.assertEqual(final, chart.final_states)


def load_complete_chart(file_name, text):
    """Load a chart with exactly the events and actions that it lists."""
    elements = list(ElementTree.fromstring(text).iter())
    names = {
        kind: frozenset(
            element.get("event") for element in elements if element.tag.endswith(kind)
        )
        for kind in ("}transition", "}send")
    }
    return parse_chart(text, file_name, names["}transition"], names["}send"])
