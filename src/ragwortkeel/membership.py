"""Liveness of the registered processes, from heartbeats and the platform's list.

The platform's list of instances lags and may stop changing; heartbeats stop while a
link is disconnected or a process is suspended.  Each of them alone is wrong in an
ordinary fault.  So a process counts as failed only if it is both silent and missing
from the list, and a received heartbeat overrides any list.  A failed process may still
spend its budget until its incarnation is sealed.
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
"""Silence after which a process is suspect.  It covers three heartbeats and some delay,
and equals the time after which links count as silent."""

MIN_MISSED_LISTS = 2
"""Number of lists that must lack a silent process before it counts as failed.  A single
list may be incomplete while the platform recovers from an outage."""

LIST_SPACING_SECONDS = 2.0
"""Interval between lists that count separately.  Lists at a shorter interval may both
show the same outdated state."""

IDLE_LIST_SECONDS = 30.0
"""Interval between lists while no process is suspect.  With 1,000 processes the
platform then serves about 33 lists/s."""

RESPONSIBLE_ROUTERS = 2
"""Number of routers that act on a failed process; one of them may have failed too."""


class Liveness(StrEnum):
    """Liveness of a process, as judged by another one."""

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
        """Return the time of the last message or probe; None before the first."""
        moments = [
            at for at in (self.probed_at, self.last_received_at) if at is not None
        ]
        return max(moments, default=None)


class Membership:
    """Registered processes and their liveness, as judged by one process.

    All times are monotonic seconds.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._member_by_incarnation: dict[str, _Member] = {}
        self._last_registration_number = 0
        self._list_asked_at: float | None = None

    def add(self, node: Node) -> None:
        """Add a node that is registered in the platform."""
        if node.incarnation in self._member_by_incarnation:
            return
        self._last_registration_number += 1
        member = _Member(node=node, registration_number=self._last_registration_number)
        self._member_by_incarnation[node.incarnation] = member

    def remove(self, incarnation: str) -> None:
        """Remove a node whose registration was deleted."""
        self._member_by_incarnation.pop(incarnation, None)

    def apply(self, objects: Iterable[VersionedObject]) -> None:
        """Apply changed node objects of the configuration; ignore other kinds."""
        for changed in objects:
            if changed.kind != NODES:
                continue
            if changed.gone:
                self.remove(changed.name)
                continue
            try:
                self.add(msgspec.json.decode(changed.value, type=Node))
            except msgspec.DecodeError:
                # An unreadable object has no address to connect to.
                continue

    def record_probe(self, incarnation: str, now: float) -> None:
        """Record that a link to the node was opened, from which its silence counts."""
        member = self._member_by_incarnation.get(incarnation)
        if member is not None and member.probed_at is None:
            member.probed_at = now

    def record_message(
        self, incarnation: str, now: float, *, leaving: bool = False
    ) -> None:
        """Record a heartbeat or any other message of the node."""
        member = self._member_by_incarnation.get(incarnation)
        if member is None:
            return
        member.last_received_at = now
        member.leaving = leaving
        member.missed_lists = 0

    def merge_list(self, instances: Iterable[Instance], *, asked_at: float) -> None:
        """Merge the platform's list of instances that was requested at `asked_at`."""
        self._list_asked_at = asked_at
        leaving_by_address = {
            instance.address: instance.leaving for instance in instances
        }
        latest_by_address = {
            member.node.address: member.registration_number
            for member in sorted(
                self._members(), key=lambda member: member.registration_number
            )
        }
        for member in self._members():
            address = member.node.address
            # An entry belongs to the latest incarnation that registered its address.
            latest = latest_by_address[address] == member.registration_number
            if latest and address in leaving_by_address:
                member.listed = True
                member.missed_lists = 0
                member.leaving = member.leaving or leaving_by_address[address]
            else:
                member.listed = False
                _count_miss(member, asked_at)

    def node(self, incarnation: str) -> Node | None:
        """Return a registered node, or None."""
        member = self._member_by_incarnation.get(incarnation)
        return None if member is None else member.node

    def liveness(self, incarnation: str, now: float) -> Liveness | None:
        """Return the liveness of a node, or None where it is not registered."""
        member = self._member_by_incarnation.get(incarnation)
        return None if member is None else _liveness(member, now)

    def nodes(self, now: float, *liveness: Liveness) -> list[Node]:
        """Return the nodes with one of these values of liveness."""
        return [
            member.node
            for member in self._members()
            if _liveness(member, now) in liveness
        ]

    def nodes_to_probe(self) -> list[Node]:
        """Return the nodes that the list lacks and that have no link to this process.

        Silence counts only for a node that a link was opened to.  Without it, a list
        that stopped changing before the node registered could not be refuted.
        """
        return [
            member.node
            for member in self._members()
            if member.listed is False and member.silent_since() is None
        ]

    def is_list_due(self, now: float) -> bool:
        """Return whether the platform's list is to be read now."""
        if self._list_asked_at is None:
            return True
        elapsed = now - self._list_asked_at
        suspects = self.nodes(now, Liveness.SUSPECT)
        return elapsed >= (LIST_SPACING_SECONDS if suspects else IDLE_LIST_SECONDS)

    def is_responsible(
        self, incarnation: str, now: float, own_incarnation: str
    ) -> bool:
        """Return whether this router acts on the failure of a node.

        Parameters
        ----------
        own_incarnation : str
            Incarnation of this router.
        """
        live = self.nodes(now, Liveness.LIVE, Liveness.STARTING)
        routers = {node.incarnation for node in live if node.role == Role.ROUTER}
        responsible = rendezvous(
            incarnation, routers | {own_incarnation}, RESPONSIBLE_ROUTERS
        )
        return own_incarnation in responsible

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
        return _liveness_by_list(member)
    if now - silent_since < SILENCE_SECONDS:
        if member.last_received_at is None:
            return Liveness.STARTING
        return Liveness.LEAVING if member.leaving else Liveness.LIVE
    # Silence alone may be a disconnected link or a suspended process; absence alone
    # may be a list that lags or stopped changing.
    return (
        Liveness.FAILED if member.missed_lists >= MIN_MISSED_LISTS else Liveness.SUSPECT
    )


def _liveness_by_list(member: _Member) -> Liveness:
    if member.leaving:
        return Liveness.LEAVING
    return Liveness.LIVE if member.listed else Liveness.STARTING
