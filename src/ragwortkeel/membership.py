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

MIN_MISSED_LISTS = 2
"""One list may be read in the moment a platform comes back with half of it."""

LIST_SPACING_SECONDS = 2.0
"""Lists closer together may show the same lagging state twice."""

IDLE_LIST_SECONDS = 30.0
"""With nobody silent; 1,000 nodes then read some 33 lists a second."""

RESPONSIBLE_ROUTERS = 2
"""Routers that act on one death; one of them may be dead itself."""


class Liveness(StrEnum):
    """What a node is taken for."""

    STARTING = "starting"
    LIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    FAILED = "dead"


@dataclass(kw_only=True)
class _Member:
    node: Node
    registration_number: int
    probed_at: float | None = None
    last_received_at: float | None = None
    leaving: bool = False
    listed: bool | None = None
    missed_lists: int = 0
    last_missed_at: float = 0.0

    def silent_since(self) -> float | None:
        """Return from when its silence counts; None where nobody listens."""
        heard = [at for at in (self.probed_at, self.last_received_at) if at is not None]
        return max(heard, default=None)


class Membership:
    """The members as one node sees them.  All times are monotonic seconds.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._member_by_incarnation: dict[str, _Member] = {}
        self._last_registration_number = 0
        self._list_asked_at: float | None = None

    def add(self, node: Node) -> None:
        """Note a node that is registered in the platform."""
        if node.incarnation in self._member_by_incarnation:
            return
        self._last_registration_number += 1
        member = _Member(node=node, registration_number=self._last_registration_number)
        self._member_by_incarnation[node.incarnation] = member

    def remove(self, incarnation: str) -> None:
        """Forget a node that took itself off."""
        self._member_by_incarnation.pop(incarnation, None)

    def apply(self, objects: Iterable[VersionedObject]) -> None:
        """Note what the configuration brought of nodes; other kinds are ignored."""
        for one in objects:
            if one.kind != NODES:
                continue
            if one.gone:
                self.remove(one.name)
                continue
            try:
                self.add(msgspec.json.decode(one.value, type=Node))
            except msgspec.DecodeError:
                # Nothing can be sent to a node that nobody can read.
                continue

    def record_probe(self, incarnation: str, now: float) -> None:
        """Note that a link to the node was opened: from now on silence counts."""
        member = self._member_by_incarnation.get(incarnation)
        if member is not None and member.probed_at is None:
            member.probed_at = now

    def record_message(
        self, incarnation: str, now: float, *, leaving: bool = False
    ) -> None:
        """Note a heartbeat or any other message of the node."""
        member = self._member_by_incarnation.get(incarnation)
        if member is None:
            return
        member.last_received_at = now
        member.leaving = leaving
        member.missed_lists = 0

    def merge_list(self, instances: Iterable[Instance], *, asked_at: float) -> None:
        """Note the platform's list, as asked for at `asked_at`."""
        self._list_asked_at = asked_at
        leaving_by_address = {one.address: one.leaving for one in instances}
        latest_by_address = {
            member.node.address: member.registration_number
            for member in sorted(
                self._members(), key=lambda member: member.registration_number
            )
        }
        for member in self._members():
            address = member.node.address
            # Two incarnations at one address: the list speaks of the later one.
            latest = latest_by_address[address] == member.registration_number
            if latest and address in leaving_by_address:
                member.listed = True
                member.missed_lists = 0
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

    def nodes_to_probe(self) -> list[Node]:
        """Return nodes that the list lacks and that nobody listens to here.

        Without a link their silence says nothing, and a list that stands still
        since before they came would remove them.
        """
        return [
            member.node
            for member in self._members()
            if member.listed is False and member.silent_since() is None
        ]

    def is_list_due(self, now: float) -> bool:
        """Return whether the platform's list should be read now."""
        if self._list_asked_at is None:
            return True
        since = now - self._list_asked_at
        suspects = self.nodes(now, Liveness.SUSPECT)
        return since >= (LIST_SPACING_SECONDS if suspects else IDLE_LIST_SECONDS)

    def is_responsible(self, incarnation: str, now: float, own: str) -> bool:
        """Return whether this router acts on the death of a node.

        Parameters
        ----------
        own : str
            This router's incarnation.
        """
        alive = self.nodes(now, Liveness.LIVE, Liveness.STARTING)
        routers = {node.incarnation for node in alive if node.role == Role.ROUTER}
        chosen = rendezvous(incarnation, routers | {own}, RESPONSIBLE_ROUTERS)
        return own in chosen

    def _members(self) -> Iterable[_Member]:
        return self._member_by_incarnation.values()


def _count_miss(member: _Member, asked_at: float) -> None:
    silent_since = member.silent_since()
    if silent_since is None or asked_at <= silent_since:
        return
    if (
        not member.missed_lists
        or asked_at - member.last_missed_at >= LIST_SPACING_SECONDS
    ):
        member.missed_lists += 1
        member.last_missed_at = asked_at


def _liveness(member: _Member, now: float) -> Liveness:
    silent_since = member.silent_since()
    if silent_since is None:
        return _by_list_alone(member)
    if now - silent_since < SILENCE_SECONDS:
        if member.last_received_at is None:
            return Liveness.STARTING
        return Liveness.LEAVING if member.leaving else Liveness.LIVE
    # Both kinds of evidence, or neither counts: silence alone is also a cut or
    # a pause, absence alone is also a list that stands still or lags.
    return (
        Liveness.FAILED if member.missed_lists >= MIN_MISSED_LISTS else Liveness.SUSPECT
    )


def _by_list_alone(member: _Member) -> Liveness:
    if member.leaving:
        return Liveness.LEAVING
    return Liveness.LIVE if member.listed else Liveness.STARTING
