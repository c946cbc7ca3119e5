"""Tells peers where streams began, and asks them when a caller takes a stream up.

Pattern of load: a process ends, and the callers of all its streams come to its peers in
the same second.  Each origin was sent to `HOLDER_COUNT` peers when the stream began, in
batches; a process that lacks it asks up to `MAX_PEERS_ASKED` peers, beginning with
those.  No guarantee depends on these messages: a stream whose origin stays unknown is
refused unless its service has had only one version.

Pattern of load: all ingress processes end at once and start again.  Relays are told the
origins too, and a process that has just started asks them for what they keep.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count
from math import inf
from time import monotonic

import curio
import msgspec

from ragwortkeel.ingress.directory import ENTRY_LAG_SECONDS
from ragwortkeel.links import Link
from ragwortkeel.logs import log_info
from ragwortkeel.messages import (
    OriginAnswer,
    OriginNote,
    OriginNotes,
    OriginQuestion,
    OriginsCall,
    OriginsKept,
)
from ragwortkeel.policy.stream_origins import (
    HOLDER_COUNT,
    RELAY_HOLDER_COUNT,
    KnownOrigin,
    Origin,
    OriginTable,
    SeenVersions,
    VersionHistory,
    nearest_peers,
    sole_version,
)

NOTE_DELAY_SECONDS = 0.02
"""Time in which origins are collected for one message to each peer.

Streams that began in this time before the process is killed can't be taken up.
"""

MAX_SHARED_ORIGINS = 2_000
"""Origins, the newest first, of which a relay that comes up is told its share."""

MAX_PEERS_ASKED = 16
"""Peers that are asked for an origin: all in a fleet of that size."""

ANSWER_SECONDS = 0.25
"""Time limit of an answer: over a hundred round trips inside a region."""


@dataclass(frozen=True, kw_only=True)
class Found:
    """The version that began a stream.

    Attributes
    ----------
    source : str
        ``own``, the address of the peer that knew it, or ``sole_version``.
    age_seconds : float
        Time since it was recorded there.
    """

    origin: Origin
    source: str
    age_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class NotFound:
    """The version that began a stream is unknown.

    Attributes
    ----------
    answers, asked : int
        Peers that answered, of those that were asked.
    versions : frozenset of str
        Versions of the service that this process and those peers have seen lately.
    followed_seconds : float
        Longest time for which one of them has followed the upstreams.
    """

    answers: int
    asked: int
    versions: frozenset[str]
    followed_seconds: float


@dataclass(kw_only=True)
class _Lookup:
    """A question that peers have not all answered."""

    waiting: set[str]
    answers: dict[str, OriginAnswer] = field(default_factory=dict)
    done: curio.Event = field(default_factory=curio.Event)


class OriginExchange:
    """Knows the origins of streams, with the help of peers.

    Parameters
    ----------
    table : OriginTable
        The origins that this process knows.
    history : VersionHistory
        The versions that this process has seen.
    links : callable
        Returns the links to ingress processes that are up, by address.
    peer_count : callable
        Returns how many other ingress processes are known, reachable or not.
    is_current : callable
        Returns whether this process follows the upstreams now.
    relay_links : callable
        Returns the links to relays that are up and don't stop, by address.
    version_of : callable
        Returns the software version of an upstream by its entry, None without one.
    """

    def __init__(
        self,
        *,
        table: OriginTable,
        history: VersionHistory,
        links: Callable[[], Mapping[str, Link]],
        peer_count: Callable[[], int],
        is_current: Callable[[], bool],
        relay_links: Callable[[], Mapping[str, Link]] = dict,
        version_of: Callable[[str], str | None] = lambda name: None,
    ) -> None:
        self._table = table
        self._history = history
        self._links = links
        self._peer_count = peer_count
        self._is_current = is_current
        self._relay_links = relay_links
        self._version_of = version_of
        self._relays: frozenset[str] = frozenset()
        self._started_at = monotonic()
        self._unsent: list[OriginNote] = []
        self._has_unsent = curio.Event()
        self._lookup_by_id: dict[int, _Lookup] = {}
        self._question_ids = count(1)

    async def run(self) -> None:
        """Send new origins to peers until cancelled."""
        while True:
            await self._has_unsent.wait()
            await curio.sleep(NOTE_DELAY_SECONDS)
            self._has_unsent.clear()
            await self._send_notes()

    async def record(self, key: int, origin: Origin | None, *, upstream: str) -> None:
        """Record where a stream begins, None if that is not certain, and tell peers."""
        await self._record(_note(key, origin, upstream=upstream), monotonic())

    async def _record(self, note: OriginNote, now: float) -> None:
        record_note(self._table, note, now)
        self._unsent.append(note)
        await self._has_unsent.set()

    async def record_new_version(self, upstream: str, *, in_outage: bool) -> int:
        """Record that an upstream started again at another version.

        The origins of streams that began there while its entry may have been late are
        not certain from now on, here and at the peers, whichever process began them.
        Return how many.

        Parameters
        ----------
        in_outage : bool
            Whether the entry may be late by more than `ENTRY_LAG_SECONDS`.
        """
        now = monotonic()
        since = -inf if in_outage else now - ENTRY_LAG_SECONDS
        certain = {
            key: known
            for key, known in self._table.at_upstream(upstream, since=since).items()
            if known.origin is not None
        }
        for key in certain:
            await self._record(_note(key, None, upstream=upstream), now)
        return len(certain)

    async def record_version(self, upstream: str, version: str) -> None:
        """Record the version in the first entry of an upstream that is read here.

        Streams that began there, by what relays kept, at another version are not
        certain: it has started again meanwhile.
        """
        now = monotonic()
        for key, known in self._table.at_upstream(upstream, since=-inf).items():
            if known.origin is not None and known.origin.version != version:
                await self._record(_note(key, None, upstream=upstream), now)

    async def update_relays(self, *, started: str = "") -> None:
        """Tell relays the origins of recent streams that they keep from now on.

        Parameters
        ----------
        started : str
            Address of a relay that came up, or started again and keeps nothing.  A
            process that has just started asks it for what it keeps.
        """
        links = self._relay_links()
        before = self._relays - {started}
        self._relays = frozenset(links)
        notes_by_relay: dict[str, list[OriginNote]] = {}
        now = monotonic()
        for key, known in self._table.newest(MAX_SHARED_ORIGINS):
            note = kept_note(key, known, now)
            holders = nearest_peers(note.key, links, count=RELAY_HOLDER_COUNT)
            former = nearest_peers(note.key, before, count=RELAY_HOLDER_COUNT)
            for relay in set(holders) - set(former):
                notes_by_relay.setdefault(relay, []).append(note)
        for relay, notes in notes_by_relay.items():
            await links[relay].try_send(OriginNotes(notes=tuple(notes)))
        if notes_by_relay:
            counts = [len(notes) for notes in notes_by_relay.values()]
            log_info("origins_shared", relays=len(counts), origins=sum(counts))
        is_young = monotonic() - self._started_at < self._table.keep_seconds
        if started in links and is_young:
            await links[started].try_send(OriginsCall())

    async def receive_kept(self, message: OriginsKept) -> None:
        """Receive the origins that a relay keeps, and tell other processes."""
        now = monotonic()
        new_count = 0
        for note in message.notes:
            origin = origin_of(note)
            if origin is not None and note.upstream:
                current = self._version_of(note.upstream)
                # The upstream has started again, and it is unknown when.
                origin = origin if current in (None, origin.version) else None
            known = self._table.get(note.key)
            if known is not None and known.origin in (None, origin):
                continue
            new_count += 1
            if origin is None:
                note = _note(note.key, None, upstream=note.upstream)
            await self._record(note, now)
        log_info("origins_received", kept=len(message.notes), new=new_count)

    def is_ambiguous(self, key: int) -> bool:
        """Return whether a stream has two origins, so that nothing may continue it."""
        known = self._table.get(key)
        return known is not None and known.origin is None

    async def find(self, key: int, *, service: str) -> Found | NotFound:
        """Return the origin of a stream that a caller takes up.

        Peers are asked unless this process knows it.
        """
        known = self._table.get(key)
        if known is not None and known.origin is not None:
            age_seconds = monotonic() - known.recorded_at
            return Found(origin=known.origin, source="own", age_seconds=age_seconds)
        answer_by_peer, asked = await self._ask(key, service)
        is_ambiguous = known is not None or any(
            answer.is_ambiguous for answer in answer_by_peer.values()
        )
        for peer, answer in answer_by_peer.items():
            if answer.note is not None and not is_ambiguous:
                origin = origin_of(answer.note)
                record_note(self._table, answer.note, monotonic())
                age_seconds = answer.age_seconds
                return Found(origin=origin, source=peer, age_seconds=age_seconds)
        return self._infer(service, answer_by_peer, asked, is_ambiguous=is_ambiguous)

    def receive_notes(self, message: OriginNotes) -> None:
        """Record the origins of streams that a peer has begun."""
        now = monotonic()
        for note in message.notes:
            record_note(self._table, note, now)

    def answer(self, question: OriginQuestion) -> OriginAnswer:
        """Return what this process knows of a stream."""
        now = monotonic()
        known = self._table.get(question.key)
        seen = self._seen(question.service, now)
        return OriginAnswer(
            question_id=question.question_id,
            note=_known_note(question.key, known),
            is_ambiguous=known is not None and known.origin is None,
            age_seconds=0.0 if known is None else now - known.recorded_at,
            versions=tuple(sorted(seen.versions)),
            followed_seconds=seen.seconds,
            is_current=seen.is_current,
        )

    async def receive_answer(self, peer: str, answer: OriginAnswer) -> None:
        """Receive a peer's answer to a question of this process."""
        lookup = self._lookup_by_id.get(answer.question_id)
        if lookup is None:
            return
        lookup.answers[peer] = answer
        lookup.waiting.discard(peer)
        if answer.note is not None or not lookup.waiting:
            await lookup.done.set()

    def _seen(self, service: str, now: float) -> SeenVersions:
        return self._history.seen(
            service,
            seconds=self._table.keep_seconds,
            now=now,
            is_current=self._is_current(),
        )

    def _infer(
        self,
        service: str,
        answer_by_peer: dict[str, OriginAnswer],
        asked: int,
        *,
        is_ambiguous: bool,
    ) -> Found | NotFound:
        """Return the only version that the service has had lately, if it is certain.

        A process that reaches none of its peers may have missed a version.
        """
        seen_by_process = [self._seen(service, monotonic())]
        seen_by_process += [
            SeenVersions(
                versions=frozenset(answer.versions),
                seconds=answer.followed_seconds,
                is_current=answer.is_current,
            )
            for answer in answer_by_peer.values()
        ]
        is_whole_fleet = len(answer_by_peer) >= self._peer_count()
        if not is_ambiguous and (answer_by_peer or is_whole_fleet):
            version = sole_version(
                seen_by_process,
                seconds=self._table.keep_seconds,
                is_whole_fleet=is_whole_fleet,
            )
            if version is not None:
                origin = Origin(service=service, version=version)
                return Found(origin=origin, source="sole_version")
        return NotFound(
            answers=len(answer_by_peer),
            asked=asked,
            versions=frozenset().union(*(each.versions for each in seen_by_process)),
            followed_seconds=max(each.seconds for each in seen_by_process),
        )

    async def _ask(self, key: int, service: str) -> tuple[dict[str, OriginAnswer], int]:
        """Return the peers' answers, and how many were asked."""
        links = self._links()
        peers = nearest_peers(key, links, count=MAX_PEERS_ASKED)
        if not peers:
            return {}, 0
        question = OriginQuestion(
            question_id=next(self._question_ids), key=key, service=service
        )
        lookup = _Lookup(waiting=set(peers))
        self._lookup_by_id[question.question_id] = lookup
        try:
            for peer in peers:
                await links[peer].try_send(question)
            async with curio.ignore_after(ANSWER_SECONDS):
                await lookup.done.wait()
        finally:
            del self._lookup_by_id[question.question_id]
        return lookup.answers, len(peers)

    async def _send_notes(self) -> None:
        unsent, self._unsent = self._unsent, []
        ingress, relays = self._links(), self._relay_links()
        notes_by_peer: dict[str, list[OriginNote]] = {}
        for note in unsent:
            holders = nearest_peers(note.key, ingress, count=HOLDER_COUNT)
            holders += nearest_peers(note.key, relays, count=RELAY_HOLDER_COUNT)
            for peer in holders:
                notes_by_peer.setdefault(peer, []).append(note)
        links = {**ingress, **relays}
        for peer, notes in notes_by_peer.items():
            await links[peer].try_send(OriginNotes(notes=tuple(notes)))


def origin_of(note: OriginNote) -> Origin | None:
    """Return the origin that a note states, None if it is not certain."""
    if note.version is None:
        return None
    return Origin(service=note.service, version=note.version)


def _note(key: int, origin: Origin | None, *, upstream: str = "") -> OriginNote:
    if origin is None:
        return OriginNote(key=key, service="", version=None, upstream=upstream)
    return OriginNote(
        key=key, service=origin.service, version=origin.version, upstream=upstream
    )


def record_note(table: OriginTable, note: OriginNote, now: float) -> None:
    """Record in a table what a note says of a stream."""
    table.record(
        note.key,
        origin_of(note),
        now=now,
        upstream=note.upstream,
        age_seconds=note.age_seconds,
    )


def kept_note(key: int, known: KnownOrigin, now: float) -> OriginNote:
    """Return what is known of a stream, with its age at the monotonic time `now`."""
    note = _note(key, known.origin, upstream=known.upstream)
    return msgspec.structs.replace(note, age_seconds=now - known.recorded_at)


def _known_note(key: int, known: KnownOrigin | None) -> OriginNote | None:
    """Return the origin of a stream if it is certain."""
    if known is None or known.origin is None:
        return None
    return _note(key, known.origin, upstream=known.upstream)
