"""A router's budgets, receipts and seals, tied to its links and configuration."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from time import monotonic

import curio

from ragwortkeel.configuration import Node, Profile, Role
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.membership import Liveness, Membership
from ragwortkeel.messages import (
    AnyMessage,
    ReceiptsDurable,
    Seal,
    Sealed,
    SliceRequest,
    SliceTransfer,
)
from ragwortkeel.platform import Platform
from ragwortkeel.router.budget_account import BudgetTerms
from ragwortkeel.router.budget_keeper import BudgetKeeper
from ragwortkeel.router.directory import Directory
from ragwortkeel.router.node_cleanup import NodeCleanup
from ragwortkeel.router.observer import Observer
from ragwortkeel.router.peers import PeerLinks
from ragwortkeel.router.reaper import Reaper
from ragwortkeel.router.receipt_writer import ReceiptWriter
from ragwortkeel.router.sidecars import SidecarPool
from ragwortkeel.tasks import run_together

PROMPT_ALLOWANCE = 4096
"""Bytes of an ordinary prompt; a larger one raises the cap when it comes."""


class Budgeting:
    """Keeps the slices, writes the receipts and takes back what the dead held.

    Parameters
    ----------
    incarnation
        Returns the router's incarnation.
    reincarnate
        Replaces it once it is sealed, and returns the new one.
    observer
        Told how renewals end.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        platform: Platform,
        directory: Directory,
        membership: Membership,
        pool: SidecarPool,
        peers: PeerLinks,
        incarnation: Callable[[], str],
        reincarnate: Callable[[], Awaitable[str]],
        observer: Observer,
    ) -> None:
        self._directory = directory
        self._membership = membership
        self._pool = pool
        self._peers = peers
        self._incarnation = incarnation
        self.keeper = BudgetKeeper(
            platform=platform,
            incarnation=incarnation(),
            terms=self._terms,
            sidecars=self._sidecars,
            reincarnate=reincarnate,
            tell=self._tell,
            clock=monotonic,
            observe=observer.record_slice_renewal,
        )
        self.receipts = ReceiptWriter(
            platform=platform, writer=incarnation, clock=monotonic
        )
        self._reaper = Reaper(
            platform=platform,
            incarnation=incarnation,
            failed_routers=self._dead_routers,
            is_responsible=self._responsible,
            is_removed=self._gone_for_good,
            request_seal=self._ask,
            clock=monotonic,
        )
        self._node_cleanup = NodeCleanup(
            platform=platform,
            membership=membership,
            incarnation=incarnation,
            clock=monotonic,
        )
        self._keeping: curio.Task | None = None

    async def run(self) -> None:
        """Work until cancelled."""
        self._keeping = await curio.spawn(self.keeper.run, daemon=True)
        await run_together(
            self._watch_keeper,
            self.receipts.run,
            self._reaper.run,
            self._node_cleanup.run,
            self._tell_durable,
        )

    async def close(self) -> int:
        """Make receipts durable and give slices back; return what stays undone."""
        await self.receipts.flush()
        undone = self.receipts.pending_count
        if self._keeping is not None:
            await self._keeping.cancel()
        return undone + (not await self.keeper.returned_on_stop())

    async def take(self, peer: str, sender: str, message: AnyMessage) -> bool:
        """Take a router's message about slices; return whether it was one."""
        match message:
            case SliceRequest():
                await self.keeper.asked(sender, message)
            case SliceTransfer():
                answer = await self.keeper.lent(message)
                with suppress(LinkLost):
                    await self._peers.send(peer, answer)
            case _:
                return False
        return True

    async def _watch_keeper(self) -> None:
        await self._keeping.wait()
        if self._keeping.exception is not None and not self._keeping.cancelled:
            raise self._keeping.exception
        # Cancelled by `close`: a planned stop goes on without it.
        await curio.Event().wait()

    def _terms(self, name: str) -> BudgetTerms | None:
        found = self._directory.profile(name)
        return None if found is None else _terms_of(found[0])

    def _sidecars(self, name: str) -> tuple[str, ...]:
        found = self._directory.profile(name)
        if found is None:
            return ()
        names = self._directory.upstreams_of(found[0].back_ends)
        return tuple(
            self._pool.views_by_upstream[one].incarnation
            for one in names
            if self._pool.is_up(one)
        )

    async def _tell(self, router: str, message: SliceRequest | SliceTransfer) -> None:
        node = self._membership.node(router)
        if node is None:
            raise LinkLost(f"{router} is not known")
        await self._peers.send(node.address, message)

    async def _ask(self, node: Node, seal: Seal) -> Sealed:
        upstream = self._pool.upstream_of(node.incarnation)
        if upstream is None:
            raise LinkLost(f"{node.incarnation} is not connected")
        return await self._pool.seal(upstream, seal)

    def _dead_routers(self) -> list[str]:
        dead = self._membership.nodes(monotonic(), Liveness.DEAD)
        return [
            node.incarnation
            for node in dead
            if node.role == Role.ROUTER and self._responsible(node.incarnation)
        ]

    def _responsible(self, router: str) -> bool:
        return self._membership.responsible(router, monotonic(), self._incarnation())

    def _gone_for_good(self, sidecar: str) -> bool:
        """Whether a sidecar died and its upstream is retired or has another."""
        now = monotonic()
        if self._membership.liveness(sidecar, now) is not Liveness.DEAD:
            return False
        upstream = self._membership.node(sidecar).upstream
        found = self._directory.upstream(upstream)
        if found is None or found[0].retired:
            return True
        successor = self._pool.views_by_upstream.get(upstream)
        return successor is not None and successor.incarnation not in ("", sidecar)

    async def _tell_durable(self) -> None:
        """Tell sidecars which receipts they may drop."""
        while True:
            durable = await self.receipts.durable.get()
            upstream = self._pool.upstream_of(durable.sidecar)
            if upstream is None:
                continue
            with suppress(LinkLost):
                message = ReceiptsDurable(nonces=durable.nonces)
                await self._pool.send(upstream, message)


def _terms_of(profile: Profile) -> BudgetTerms:
    return BudgetTerms(
        spread=profile.spread,
        ride_out_seconds=profile.ride_out_seconds,
        largest_request=max(
            profile.call_tokens, profile.max_output_tokens + PROMPT_ALLOWANCE
        ),
    )
