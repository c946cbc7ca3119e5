"""Tasks that run a router's budgets, receipts and seals, over its links."""

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

PROMPT_ALLOWANCE_BYTES = 4096
"""Bytes of an ordinary prompt, each counted as a token.

A request with a larger prompt raises the exposure cap while it waits for tokens.
"""


class Budgeting:
    """Runs budgets, receipts, and the settlement of failed routers' tokens.

    Parameters
    ----------
    incarnation : callable
        Returns the router's incarnation.
    reincarnate : async callable
        Replaces a sealed incarnation and returns the new one.
    observer : Observer
        Receives the outcomes of renewals.

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
            send=self._send_to_router,
            clock=monotonic,
            observe=observer.record_slice_renewal,
        )
        self.receipts = ReceiptWriter(
            platform=platform, writer=incarnation, clock=monotonic
        )
        self._reaper = Reaper(
            platform=platform,
            incarnation=incarnation,
            failed_routers=self._failed_routers,
            is_responsible=self._responsible,
            is_removed=self._is_superseded,
            request_seal=self._request_seal,
            clock=monotonic,
        )
        self._node_cleanup = NodeCleanup(
            platform=platform,
            membership=membership,
            incarnation=incarnation,
            clock=monotonic,
        )
        self._keeper_task: curio.Task | None = None

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        self._keeper_task = await curio.spawn(self.keeper.run, daemon=True)
        await run_together(
            self._watch_keeper,
            self.receipts.run,
            self._reaper.run,
            self._node_cleanup.run,
            self._send_durable_receipts,
        )

    async def close(self) -> int:
        """Make receipts durable and return all slices; return the unfinished work.

        Returns
        -------
        int
            Receipts that are not durable, plus 1 if a slice could not be returned.
        """
        await self.receipts.flush()
        undone = self.receipts.pending_count
        if self._keeper_task is not None:
            await self._keeper_task.cancel()
        return undone + (not await self.keeper.return_slices())

    async def receive(self, peer: str, sender: str, message: AnyMessage) -> bool:
        """Handle a router's message about slices; return whether it was one."""
        match message:
            case SliceRequest():
                await self.keeper.receive_slice_request(sender, message)
            case SliceTransfer():
                answer = await self.keeper.receive_slice_transfer(message)
                with suppress(LinkLost):
                    await self._peers.send(peer, answer)
            case _:
                return False
        return True

    async def _watch_keeper(self) -> None:
        await self._keeper_task.wait()
        if self._keeper_task.exception is not None and not self._keeper_task.cancelled:
            raise self._keeper_task.exception
        # `close` cancelled it; the other tasks continue during a planned stop.
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
            self._pool.views_by_upstream[upstream].incarnation
            for upstream in names
            if self._pool.is_up(upstream)
        )

    async def _send_to_router(
        self, router: str, message: SliceRequest | SliceTransfer
    ) -> None:
        node = self._membership.node(router)
        if node is None:
            raise LinkLost(
                f"cannot send to router {router}: not in the membership list"
            )
        await self._peers.send(node.address, message)

    async def _request_seal(self, node: Node, seal: Seal) -> Sealed:
        upstream = self._pool.upstream_of(node.incarnation)
        if upstream is None:
            raise LinkLost(f"cannot seal at sidecar {node.incarnation}: not connected")
        return await self._pool.seal(upstream, seal)

    def _failed_routers(self) -> list[str]:
        failed = self._membership.nodes(monotonic(), Liveness.FAILED)
        return [
            node.incarnation
            for node in failed
            if node.role == Role.ROUTER and self._responsible(node.incarnation)
        ]

    def _responsible(self, router: str) -> bool:
        return self._membership.is_responsible(router, monotonic(), self._incarnation())

    def _is_superseded(self, sidecar: str) -> bool:
        """Return whether a sidecar failed and its upstream does not need it again.

        The upstream was removed or retired, or has another sidecar.
        """
        now = monotonic()
        if self._membership.liveness(sidecar, now) is not Liveness.FAILED:
            return False
        upstream = self._membership.node(sidecar).upstream
        found = self._directory.upstream(upstream)
        if found is None or found[0].retired:
            return True
        successor = self._pool.views_by_upstream.get(upstream)
        return successor is not None and successor.incarnation not in ("", sidecar)

    async def _send_durable_receipts(self) -> None:
        """Report durable receipts to the sidecars, which may then discard them."""
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
            profile.call_tokens, profile.max_output_tokens + PROMPT_ALLOWANCE_BYTES
        ),
    )
