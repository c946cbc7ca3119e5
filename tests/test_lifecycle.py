"""Tests of the state charts: complete files, and errors for unknown events."""

import pytest

from ragwortkeel.exceptions import LifecycleError
from ragwortkeel.lifecycle import ChartName, Lifecycle, load_chart


def reachable_states(chart):
    """Return every state that events lead to, found with `Lifecycle` itself."""
    events = {t.event for t in chart.transitions}
    reached, paths = {chart.initial}, [()]
    while paths:
        path = paths.pop()
        for event in events:
            lifecycle = Lifecycle(chart=ChartName(chart.name))
            for earlier_event in path:
                lifecycle.fire(earlier_event)
            if lifecycle.can(event) and lifecycle.fire(event) not in reached:
                reached.add(lifecycle.state)
                paths.append((*path, event))
    return reached


@pytest.mark.parametrize("name", ChartName)
class TestCharts:
    def test_every_state_is_reachable(self, name):
        chart = load_chart(name)
        assert chart.name == name
        assert reachable_states(chart) == {state.name for state in chart.states}

    def test_only_final_states_have_no_transition(self, name):
        chart = load_chart(name)
        sources = {t.source for t in chart.transitions}
        assert {s.name for s in chart.states if s.final} == {
            s.name for s in chart.states if s.name not in sources
        }

    def test_an_event_has_one_transition_from_a_state(self, name):
        keys = [(t.event, t.source) for t in load_chart(name).transitions]
        assert len(keys) == len(set(keys))


class TestLifecycle:
    @pytest.mark.parametrize("event", ["drained", "no_such_event", "state"])
    def test_event_outside_the_chart_changes_nothing(self, event):
        lifecycle = Lifecycle(chart=ChartName.DAEMON)
        with pytest.raises(LifecycleError) as caught:
            lifecycle.fire(event)
        assert (caught.value.state, caught.value.event) == ("starting", event)
        assert lifecycle.state == "starting"

    def test_lifecycles_of_one_chart_are_independent_and_observed(self):
        seen = []
        first = Lifecycle(
            chart=ChartName.LINK, observer=lambda *args: seen.append(args)
        )
        second = Lifecycle(chart=ChartName.LINK)
        first.fire("heard")
        first.fire("close")
        assert first.is_final
        assert second.state == "connecting"
        assert seen == [("connecting", "heard", "up"), ("up", "close", "closed")]
