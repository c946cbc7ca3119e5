"""The links from a router to the sidecars of the configured upstreams.

One task reads the inbox of all links and delivers each message to the
subscriptions with its nonce.  Events without a nonce go to `other_events`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import monotonic

import curio

from ragwortkeel.configuration import Upstream
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.links import Link, LinkDown, LinkEvent, LinkUp, Received
from ragwortkeel.messages import (
    AnyMessage,
    Chunk,
    CrashSeen,
    Failed,
    Finished,
    Heartbeat,
    Locate,
    Located,
    Refused,
    Seal,
    Sealed,
    Started,
    TombstoneResult,
)

ANSWER_TIMEOUT_SECONDS = 1.0
"""Time to wait for the answer to a `Locate` or a `Seal`.

A reachable sidecar answers in well under a millisecond.
"""

RunEvent = (
    Started | Chunk | Finished | Failed | Refused | TombstoneResult | LinkUp | LinkDown
)


@dataclass(kw_only=True)
class SidecarView:
    """Link to one sidecar, and what the router last received from it."""

    upstream: str
    link: Link
    task: curio.Task
    incarnation: str = ""
    load: Heartbeat = field(default_factory=Heartbeat)
    last_received_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Subscription:
    """Subscription of one reader to a run.

    Several exchanges may read the same run, for example when the caller retries.
    """

    nonce: str
    upstream: str
    queue: curio.Queue


class SidecarPool:
    """Links to the sidecars of all configured upstreams.

    Parameters
    ----------
    incarnation : callable
        Returns the router's incarnation.
    revision : callable
        Returns the configuration revision in force.
    on_crash : async callable
        Awaited with each crash before later messages of that sidecar are
        delivered, so that a run that the crash broke isn't retried before the
        crash is recorded.

    Attributes
    ----------
    views_by_upstream : dict of str to SidecarView
        Links that are open or being opened.
    removed_with_runs : set of str
        Upstreams that are removed, or have a new address, and still have runs in flight
        at the sidecar that they had.
    other_events : curio.Queue
        `Received` events that belong to no run, and the `LinkUp` and `LinkDown`
        events of all links.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        incarnation: Callable[[], str],
        revision: Callable[[], int],
        on_crash: Callable[[CrashSeen], Awaitable[None]],
    ) -> None:
        self.views_by_upstream: dict[str, SidecarView] = {}
        self.removed_with_runs: set[str] = set()
        self.other_events: curio.Queue = curio.Queue()
        self._incarnation = incarnation
        self._revision = revision
        self._on_crash = on_crash
        self._inbox: curio.Queue = curio.Queue()
        self._subscriptions_by_nonce: dict[str, list[Subscription]] = {}
        self._replaced_view_by_nonce: dict[str, SidecarView] = {}
        self._replaced_views: list[SidecarView] = []
        self._locate_queues_by_key: dict[tuple[str, str, str], curio.Queue] = {}
        self._seal_queues_by_key: dict[tuple[str, str], curio.Queue] = {}

    async def set_upstreams(self, upstreams_by_name: dict[str, Upstream]) -> None:
        """Open links to new upstreams and close links to removed upstreams.

        A link to a removed upstream with runs in flight, or to the former address of
        one, stays open and is checked again by the next call, because closing it would
        interrupt the answers.
        """
        self.removed_with_runs.clear()
        for name, view in list(self.views_by_upstream.items()):
            wanted = upstreams_by_name.get(name)
            if wanted is not None and wanted.sidecar_address == view.link.address:
                continue
            if wanted is None and self._has_runs(name):
                self.removed_with_runs.add(name)
                continue
            if wanted is not None and self._has_runs(name):
                self._keep_replaced(name)
                continue
            await self._remove(name)
        await self._close_replaced()
        for name, upstream in upstreams_by_name.items():
            if name not in self.views_by_upstream:
                await self._add(name, upstream.sidecar_address)

    def _has_runs(self, upstream: str) -> bool:
        return bool(self._runs_of(upstream))

    def _runs_of(self, link_name: str) -> list[str]:
        """Return the nonces of the runs that are followed over a link."""
        return [
            nonce
            for nonce, readers in self._subscriptions_by_nonce.items()
            for reader in readers[:1]
            if self._link_name(reader) == link_name
        ]

    def _link_name(self, reader: Subscription) -> str:
        view = self._replaced_view_by_nonce.get(reader.nonce)
        return reader.upstream if view is None else view.link.name

    def _keep_replaced(self, name: str) -> None:
        """Keep a link for its runs, beside the link to the upstream's new address."""
        view = self.views_by_upstream.pop(name)
        self._replaced_view_by_nonce |= dict.fromkeys(self._runs_of(name), view)
        view.link.name = f"{name} at {view.link.address}"
        self._replaced_views.append(view)

    async def _close_replaced(self) -> None:
        """Close the links to former addresses that have no runs any more."""
        for view in list(self._replaced_views):
            if self._runs_of(view.link.name):
                self.removed_with_runs.add(view.upstream)
                continue
            self._replaced_views.remove(view)
            await view.task.cancel()

    def view_of_run(self, nonce: str, upstream: str) -> SidecarView | None:
        """Return the view of the sidecar that received a run of an upstream."""
        replaced = self._replaced_view_by_nonce.get(nonce)
        return replaced or self.views_by_upstream.get(upstream)

    def is_up(self, upstream: str) -> bool:
        """Return whether the sidecar is connected and its incarnation is known."""
        view = self.views_by_upstream.get(upstream)
        return view is not None and view.link.up and bool(view.incarnation)

    async def send(self, upstream: str, message: AnyMessage) -> None:
        """Send a message to an upstream's sidecar, or to that of the run it names.

        Raises
        ------
        LinkLost
            There is no connection to the sidecar.
        """
        view = self.view_of_run(getattr(message, "nonce", ""), upstream)
        if view is None:
            raise LinkLost(f"no link to the sidecar of {upstream}")
        await view.link.send(message)

    def subscribe(self, nonce: str, upstream: str) -> Subscription:
        """Return a subscription whose queue receives all messages of a run."""
        rv = Subscription(nonce=nonce, upstream=upstream, queue=curio.Queue())
        self._subscriptions_by_nonce.setdefault(nonce, []).append(rv)
        return rv

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a subscription; its queue receives no further messages."""
        readers = self._subscriptions_by_nonce.get(subscription.nonce, [])
        if subscription in readers:
            readers.remove(subscription)
        if not readers:
            self._subscriptions_by_nonce.pop(subscription.nonce, None)
            self._replaced_view_by_nonce.pop(subscription.nonce, None)

    def upstream_of(self, incarnation: str) -> str | None:
        """Return the upstream whose connected sidecar has this incarnation."""
        for name, view in self.views_by_upstream.items():
            if view.incarnation == incarnation and view.link.up:
                return name
        return None

    async def locate(
        self, upstream: str, profile: str, request_id: str
    ) -> Located | None:
        """Ask a sidecar for its run of a request; return None without an answer."""
        key = (upstream, profile, request_id)
        queue = self._locate_queues_by_key.setdefault(key, curio.Queue())
        try:
            await self.send(upstream, Locate(profile=profile, request_id=request_id))
            async with curio.timeout_after(ANSWER_TIMEOUT_SECONDS):
                return await queue.get()
        except (LinkLost, curio.TaskTimeout):
            return None
        finally:
            self._locate_queues_by_key.pop(key, None)

    def update_incarnation(self) -> None:
        """Send all later messages with the router's new incarnation."""
        for view in self.views_by_upstream.values():
            view.link.incarnation = self._incarnation()

    async def seal(self, upstream: str, seal: Seal) -> Sealed:
        """Send a seal to a sidecar and return its answer.

        Raises
        ------
        LinkLost
            The sidecar does not answer.
        """
        key = (upstream, seal.router)
        queue = self._seal_queues_by_key.setdefault(key, curio.Queue())
        try:
            await self.send(upstream, seal)
            async with curio.timeout_after(ANSWER_TIMEOUT_SECONDS):
                return await queue.get()
        except curio.TaskTimeout as exc:
            raise LinkLost(f"sidecar of {upstream} did not answer a seal") from exc
        finally:
            self._seal_queues_by_key.pop(key, None)

    async def run(self) -> None:
        """Deliver received events until cancelled."""
        while True:
            await self._deliver_event(await self._inbox.get())

    async def close(self) -> None:
        """Close all links."""
        for name in list(self.views_by_upstream):
            await self._remove(name)
        for view in self._replaced_views:
            await view.task.cancel()

    async def _add(self, name: str, address: str) -> None:
        link = Link(
            name=name,
            address=address,
            incarnation=self._incarnation(),
            revision=self._revision,
            inbox=self._inbox,
        )
        task = await curio.spawn(link.run, daemon=True)
        self.views_by_upstream[name] = SidecarView(upstream=name, link=link, task=task)

    async def _remove(self, name: str) -> None:
        view = self.views_by_upstream.pop(name)
        await view.task.cancel()
        await self._deliver_to_runs(name, LinkDown(peer=name))

    async def _deliver_event(self, event: LinkEvent) -> None:
        match event:
            case Received(peer=peer, envelope=envelope):
                self._record_sender(peer, envelope.sender)
                await self._deliver_message(event, envelope.message)
            case LinkUp() | LinkDown():
                await self._deliver_to_runs(event.peer, event)
                await self._put_other(event)

    async def _deliver_message(self, event: Received, message: AnyMessage) -> None:
        match message:
            case Heartbeat():
                self._record_load(event.peer, message)
                await self._put_other(event)
            case Sealed(router=router):
                queue = self._seal_queues_by_key.get((event.peer, router))
                if queue is not None:
                    await queue.put(message)
            case CrashSeen():
                await self._on_crash(message)
            case Located(profile=profile, request_id=request_id):
                queue = self._locate_queues_by_key.get(
                    (event.peer, profile, request_id)
                )
                if queue is not None:
                    await queue.put(message)
            case (
                Started() | Chunk() | Finished() | Failed()
                | Refused() | TombstoneResult()
            ):  # fmt: skip
                for reader in self._subscriptions_by_nonce.get(message.nonce, ()):
                    await reader.queue.put(message)
                if isinstance(message, Refused) and message.newer:
                    await self._put_other(event)
            case _:
                await self._put_other(event)

    async def _put_other(self, event: LinkEvent) -> None:
        """Put an event on `other_events`, unless its link has been replaced."""
        if event.peer not in (view.link.name for view in self._replaced_views):
            await self.other_events.put(event)

    async def _deliver_to_runs(self, link_name: str, event: LinkUp | LinkDown) -> None:
        for readers in list(self._subscriptions_by_nonce.values()):
            for reader in readers:
                if self._link_name(reader) == link_name:
                    await reader.queue.put(event)

    def _record_sender(self, peer: str, incarnation: str) -> None:
        view = self.views_by_upstream.get(peer)
        if view is not None:
            view.incarnation = incarnation
            view.last_received_at = monotonic()

    def _record_load(self, peer: str, load: Heartbeat) -> None:
        view = self.views_by_upstream.get(peer)
        if view is not None:
            view.load = load
