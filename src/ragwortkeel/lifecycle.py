"""State charts read from files: the lifecycles of daemons, links, runs and so on.

A chart in ``charts/*.json`` names its states, which of them are final, and which
event leads where; `Lifecycle` keeps the state of one thing that follows it.  An
event costs some ten microseconds: fit for lifecycles, not for tokens.
"""

from collections.abc import Callable
from enum import StrEnum
from functools import cache
from importlib.resources import files

import msgspec
from transitions import Machine, MachineError, State

from ragwortkeel.exceptions import LifecycleError


class ChartName(StrEnum):
    """The charts that ship with the package."""

    DAEMON = "daemon"
    LINK = "link"
    UPSTREAM = "upstream"
    SLICE = "slice"
    RUN = "run"


class ChartState(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One state; `doc` says what it means."""

    name: str
    doc: str
    final: bool = False


class ChartTransition(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The event that leads from one state to another."""

    event: str
    source: str
    target: str


class Chart(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A whole chart as its file holds it."""

    name: str
    doc: str
    initial: str
    states: tuple[ChartState, ...]
    transitions: tuple[ChartTransition, ...]


@cache
def load_chart(name: ChartName) -> Chart:
    """Return the chart of that name from its file."""
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
    """The state of one thing that follows a chart.

    Parameters
    ----------
    chart
        The chart to follow, from its initial state on.
    observer
        Called after each change with the former state, event and new state.

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
        """Whether nothing can follow."""
        return self._machine.get_state(self.state).final

    def can(self, event: str) -> bool:
        """Return whether the event leads anywhere from here."""
        known = self._machine.events.get(event)
        return known is not None and self.state in known.transitions

    def fire(self, event: str) -> str:
        """Follow the event and return the new state.

        Raises
        ------
        LifecycleError
            The chart has no such event in this state; the state is unchanged.
        """
        source = self.state
        try:
            self._machine.events[event].trigger(self)
        except (KeyError, MachineError):
            raise LifecycleError(chart=self.chart, state=source, event=event) from None
        if self._observer is not None:
            self._observer(source, event, self.state)
        return self.state
