"""State charts read from files: the lifecycles of daemons, links, runs and so on.

A chart in ``charts/*.json`` lists its states, its final states and the transition of
each event.  `Lifecycle` stores the state of one object of a chart.  An event takes
about 10 us, which is fast enough for lifecycles but not for an event per token.
"""

from collections.abc import Callable
from enum import StrEnum
from functools import cache
from importlib.resources import files

import msgspec
from transitions import Machine, MachineError, State

from ragwortkeel.exceptions import LifecycleError


class ChartName(StrEnum):
    """Names of the charts in the package."""

    DAEMON = "daemon"
    LINK = "link"
    UPSTREAM = "upstream"
    SLICE = "slice"
    RUN = "run"


class ChartState(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """State of a chart; `doc` describes it."""

    name: str
    doc: str
    final: bool = False


class ChartTransition(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Transition of a chart from one state to another at an event."""

    event: str
    source: str
    target: str


class Chart(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """State chart, in the form of its file."""

    name: str
    doc: str
    initial: str
    states: tuple[ChartState, ...]
    transitions: tuple[ChartTransition, ...]


@cache
def load_chart(name: ChartName) -> Chart:
    """Return the chart of a name from its file."""
    data = files("ragwortkeel").joinpath("charts", f"{name}.json").read_bytes()
    return msgspec.json.decode(data, type=Chart)


@cache
def _machine(name: ChartName) -> Machine:
    chart = load_chart(name)
    rv = Machine(
        model=None,
        states=[State(state.name, final=state.final) for state in chart.states],
        initial=chart.initial,
        auto_transitions=False,
        name=chart.name,
    )
    for transition in chart.transitions:
        rv.add_transition(transition.event, transition.source, transition.target)
    return rv


Observer = Callable[[str, str, str], None]


class Lifecycle:
    """State of one object of a chart, such as one link.

    Parameters
    ----------
    chart
        Name of the chart; the object starts in its initial state.
    observer
        Called after each transition with the former state, event and new state.

    Examples
    --------
    >>> lifecycle = Lifecycle(chart=ChartName.LINK)
    >>> lifecycle.fire("heard")
    'up'

    .. versionadded:: 0.1
    """

    __slots__ = ("_machine", "_observer", "chart", "state")

    def __init__(self, *, chart: ChartName, observer: Observer | None = None) -> None:
        self.chart = chart
        self.state = load_chart(chart).initial
        self._machine = _machine(chart)
        self._observer = observer

    @property
    def is_final(self) -> bool:
        """Whether the state is final."""
        return self._machine.get_state(self.state).final

    def can(self, event: str) -> bool:
        """Return whether the chart has a transition for the event in this state."""
        known = self._machine.events.get(event)
        return known is not None and self.state in known.transitions

    def fire(self, event: str) -> str:
        """Make the transition of the event and return the new state.

        Raises
        ------
        LifecycleError
            The chart has no transition for the event; the state is unchanged.
        """
        source = self.state
        try:
            self._machine.events[event].trigger(self)
        except (KeyError, MachineError):
            raise LifecycleError(chart=self.chart, state=source, event=event) from None
        if self._observer is not None:
            self._observer(source, event, self.state)
        return self.state
