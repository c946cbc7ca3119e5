"""Show prompt blocks that the ingress refuses, and release them."""

from time import time

import msgspec

from ragwortkeel.cli.objects import Objects, list_kind
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.exceptions import CommandError
from ragwortkeel.ingress.block_store import BLOCKS_KIND, StoredDecision, object_name
from ragwortkeel.platform import Platform

OPERATOR = "operator"


class BlockRow(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt block that is refused, or that has been released.

    `since` is in seconds of Unix time; `crashes` names the upstreams that crashed.
    """

    block: str
    refused: bool
    since: float
    crashes: tuple[str, ...]
    requests: int
    decided_by: str


async def block_rows(platform: Platform) -> Result:
    """Return the decisions on blocks, the latest first."""
    listing = await list_kind(platform, BLOCKS_KIND)
    values = []
    for name, stored in listing.by_name.items():
        try:
            values.append(msgspec.json.decode(stored.value, type=StoredDecision))
        except msgspec.DecodeError as exc:
            raise CommandError(f"cannot decode block {name}: {exc}") from exc
    rows = [
        BlockRow(
            block=value.block,
            refused=value.refused,
            since=value.stamp / 1000,
            crashes=value.crashes,
            requests=len(value.requests),
            decided_by=value.decided_by,
        )
        for value in sorted(values, key=lambda value: -value.stamp)
    ]
    if not rows:
        return Result(data=[], text="no block is refused")
    headings = ("block", "refused", "since", "crashes", "requests", "decided by")
    cells = [
        (r.block, r.refused, r.since, ",".join(r.crashes), r.requests, r.decided_by)
        for r in rows
    ]
    return Result(data=rows, text=format_table(headings, cells))


async def release_block(platform: Platform, block: str) -> Result:
    """Let requests with a block run again, at all processes."""

    def released(old: StoredDecision) -> StoredDecision:
        return StoredDecision(
            block=block,
            stamp=max(int(time() * 1000), old.stamp + 1),
            refused=False,
            decided_by=OPERATOR,
        )

    blocks = Objects(
        platform=platform, kind=BLOCKS_KIND, cls=StoredDecision, noun="refused block"
    )
    name = object_name(block)
    if await blocks.find(name) is None:
        raise CommandError(f"block {block} is not refused; see `ingress blocks`")
    await blocks.change(name, released)
    return Result(data={"block": block}, text=f"{block} is released")
