"""Which registered nodes are there: decisions from two kinds of evidence.

The platform's list of instances lags and may stand still; heartbeats stop where
a link is cut or a process is paused.  Either alone is wrong in an ordinary
fault, so a node is dead only once both say so, and heartbeats heard outweigh
any list.  Being dead is no verdict on its budget: that is what seals are for.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ragwortkeel.configuration import NODES, Node, Role
from ragwortkeel.configuration_schedule import rendezvous
from ragwortkeel.messages import VersionedObject
from ragwortkeel.platform import Instance

SILENCE_SECONDS = 3.5
"""As long as links wait: three heartbeats and some slack."""

LISTS_MISSED = 2
"""One list may be read in the moment a platform comes back with half of it."""

LIST_SPACING_SECONDS = 2.0
"""Lists closer together may show the same lagging state twice."""

IDLE_LIST_SECONDS = 30.0
"""With nobody silent; 1,000 nodes then read some 33 lists a second."""

RESPONSIBLE = 2
"""Routers that act on one death; one of them may be dead itself."""


class Liveness(StrEnum):
    """What a node is taken for."""

    STARTING = "starting"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(kw_only=True)
class _Member:
    node: Node
    serial: int
    probed_at: float | None = None
    heard_at: float | None = None
    leaving: bool = False
    listed: bool | None = None
    missed: int = 0
    missed_at: float = 0.0

    def silent_since(self) -> float | None:
        """Return from when its silence counts; None where nobody listens."""
        heard = [at for at in (self.probed_at, self.heard_at) if at is not None]
        return max(heard, default=None)


class Membership:
    """The members as one node sees them.  All times are monotonic seconds.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._member_by_incarnation: dict[str, _Member] = {}
        self._serial = 0
        self._asked_at: float | None = None

    def registered(self, node: Node) -> None:
        """Note a node that is registered in the platform."""
        if node.incarnation in self._member_by_incarnation:
            return
        self._serial += 1
        member = _Member(node=node, serial=self._serial)
        self._member_by_incarnation[node.incarnation] = member

    def deregistered(self, incarnation: str) -> None:
        """Forget a node that took itself off."""
        self._member_by_incarnation.pop(incarnation, None)

    def apply(self, objects: Iterable[VersionedObject]) -> None:
        """Note what the configuration brought of nodes; other kinds are ignored."""
        for one in objects:
            if one.kind != NODES:
                continue
            if one.gone:
                self.deregistered(one.name)
                continue
            try:
                self.registered(msgspec.json.decode(one.value, type=Node))
            except msgspec.DecodeError:
                # Nothing can be sent to a node that nobody can read.
                continue

    def probing(self, incarnation: str, now: float) -> None:
        """Note that a link to the node was opened: from now on silence counts."""
        member = self._member_by_incarnation.get(incarnation)
        if member is not None and member.probed_at is None:
            member.probed_at = now

    def heard(self, incarnation: str, now: float, *, leaving: bool = False) -> None:
        """Note a heartbeat or any other message of the node."""
        member = self._member_by_incarnation.get(incarnation)
        if member is None:
            return
        member.heard_at = now
        member.leaving = leaving
        member.missed = 0

    def listed(self, instances: Iterable[Instance], *, asked_at: float) -> None:
        """Note the platform's list, as asked for at `asked_at`."""
        self._asked_at = asked_at
        leaving_by_address = {one.address: one.leaving for one in instances}
        latest_by_address = {
            member.node.address: member.serial
            for member in sorted(self._members(), key=lambda member: member.serial)
        }
        for member in self._members():
            address = member.node.address
            # Two incarnations at one address: the list speaks of the later one.
            latest = latest_by_address[address] == member.serial
            if latest and address in leaving_by_address:
                member.listed = True
                member.missed = 0
                member.leaving = member.leaving or leaving_by_address[address]
            else:
                member.listed = False
                _count_miss(member, asked_at)

    def node(self, incarnation: str) -> Node | None:
        """Return a registered node."""
        member = self._member_by_incarnation.get(incarnation)
        return None if member is None else member.node

    def liveness(self, incarnation: str, now: float) -> Liveness | None:
        """Return what a node is taken for; None where it is not registered."""
        member = self._member_by_incarnation.get(incarnation)
        return None if member is None else _liveness(member, now)

    def nodes(self, now: float, *liveness: Liveness) -> list[Node]:
        """Return the nodes that are taken for one of these."""
        return [
            member.node
            for member in self._members()
            if _liveness(member, now) in liveness
        ]

    def to_probe(self) -> list[Node]:
        """Return nodes that the list lacks and that nobody listens to here.

        Without a link their silence says nothing, and a list that stands still
        since before they came would remove them.
        """
        return [
            member.node
            for member in self._members()
            if member.listed is False and member.silent_since() is None
        ]

    def wants_list(self, now: float) -> bool:
        """Return whether the platform's list should be read now."""
        if self._asked_at is None:
            return True
        since = now - self._asked_at
        suspects = self.nodes(now, Liveness.SUSPECT)
        return since >= (LIST_SPACING_SECONDS if suspects else IDLE_LIST_SECONDS)

    def responsible(self, incarnation: str, now: float, own: str) -> bool:
        """Return whether this router acts on the death of a node.

        Parameters
        ----------
        own : str
            This router's incarnation.
        """
        alive = self.nodes(now, Liveness.ALIVE, Liveness.STARTING)
        routers = {node.incarnation for node in alive if node.role == Role.ROUTER}
        chosen = rendezvous(incarnation, routers | {own}, RESPONSIBLE)
        return own in chosen

    def _members(self) -> Iterable[_Member]:
        return self._member_by_incarnation.values()


def _count_miss(member: _Member, asked_at: float) -> None:
    silent_since = member.silent_since()
    if silent_since is None or asked_at <= silent_since:
        return
    if not member.missed or asked_at - member.missed_at >= LIST_SPACING_SECONDS:
        member.missed += 1
        member.missed_at = asked_at


def _liveness(member: _Member, now: float) -> Liveness:
    silent_since = member.silent_since()
    if silent_since is None:
        return _by_list_alone(member)
    if now - silent_since < SILENCE_SECONDS:
        if member.heard_at is None:
            return Liveness.STARTING
        return Liveness.LEAVING if member.leaving else Liveness.ALIVE
    # Both kinds of evidence, or neither counts: silence alone is also a cut or
    # a pause, absence alone is also a list that stands still or lags.
    return Liveness.DEAD if member.missed >= LISTS_MISSED else Liveness.SUSPECT


def _by_list_alone(member: _Member) -> Liveness:
    if member.leaving:
        return Liveness.LEAVING
    return Liveness.ALIVE if member.listed else Liveness.STARTING
