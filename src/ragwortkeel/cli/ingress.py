"""Implement ``ragwortkeel ingress``: configuration, budgets and evacuations."""

from pathlib import Path
from time import time

import msgspec
from fire.decorators import SetParseFns

from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.cli.blocks import block_rows, release_block
from ragwortkeel.cli.objects import (
    Objects,
    VersionedObject,
    list_kind,
    unavailable_error,
)
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.cli.plan import Plan, Session
from ragwortkeel.exceptions import CommandError, LedgerUnreadable, PlatformUnavailable
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
    IngressConfiguration,
)
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.platform import Platform
from ragwortkeel.settings import decode


class ApplySummary(msgspec.Struct, frozen=True, kw_only=True):
    """The revision of the applied configuration and the numbers of its entries."""

    revision: int
    routes: int
    services: int
    customers: int


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True):
    """The budget in one customer's ledger, in tokens.

    `held` tokens are committed but not spent; `free` tokens can still be granted.
    """

    customer: str
    prepaid: int
    spent: int
    held: int
    free: int


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """The stored entry of an evacuated zone; `since` is in seconds of Unix time."""

    since: float = 0.0


class EvacuationRow(msgspec.Struct, frozen=True, kw_only=True):
    """One evacuated zone; `since` is None if its entry has no readable time."""

    zone: str
    since: float | None


class IngressCommands:
    """Operate the ingress: configuration, customer budgets and evacuations."""

    def __init__(self, *, session: Session) -> None:
        self._session = session

    @SetParseFns(file=str)
    def apply(self, file):
        """Replace the ingress configuration.

        Parameters
        ----------
        file
            JSON with routes, services, customers and limits; see
            docs/CONFIGURATION.md.  The command sets the revision.
        """
        wanted = decode(_read(file), IngressConfiguration)

        async def action(platform):
            return _summary_result(await _apply(platform, wanted))

        return Plan(session=self._session, action=action)

    def show(self):
        """Show the configuration in force."""

        async def action(platform):
            current = await _objects(platform).read(CONFIGURATION_NAME)
            text = msgspec.json.format(msgspec.json.encode(current.value)).decode()
            return Result(data=current.value, text=text)

        return Plan(session=self._session, action=action)

    @SetParseFns(zone=str)
    def evacuate(self, zone):
        """Stop sending new requests to the upstreams of an availability zone.

        Parameters
        ----------
        zone
            Name of the zone, as in the entries of the upstreams.
        """

        async def action(platform):
            await _evacuations(platform).create(zone, Evacuation(since=time()))
            return Result(data={"zone": zone}, text=f"{zone} is evacuated")

        return Plan(session=self._session, action=action)

    @SetParseFns(zone=str)
    def take_back(self, zone):
        """End the evacuation of an availability zone."""

        async def action(platform):
            await _evacuations(platform).remove(zone)
            return Result(data={"zone": zone}, text=f"{zone} serves again")

        return Plan(session=self._session, action=action)

    def evacuations(self):
        """Show which availability zones are evacuated, and since when."""
        return Plan(session=self._session, action=_evacuated_rows)

    def blocks(self):
        """Show which prompt blocks are refused, since when and by which crashes."""
        return Plan(session=self._session, action=block_rows)

    @SetParseFns(block=str)
    def release_block(self, block):
        """Let requests with a prompt block run again.

        Parameters
        ----------
        block
            Id of the block, as `ingress blocks` shows it.
        """

        async def action(platform):
            return await release_block(platform, block)

        return Plan(session=self._session, action=action)

    def budgets(self):
        """Show each customer's prepaid, spent and remaining tokens."""
        return Plan(session=self._session, action=_budgets)


async def _apply(
    platform: Platform, wanted: IngressConfiguration
) -> IngressConfiguration:
    objects = _objects(platform)
    current: VersionedObject[IngressConfiguration] | None = await objects.find(
        CONFIGURATION_NAME
    )
    if current is None:
        first = msgspec.structs.replace(wanted, revision=1)
        await objects.create(CONFIGURATION_NAME, first)
        return first
    changed = await objects.change(
        CONFIGURATION_NAME,
        lambda old: msgspec.structs.replace(wanted, revision=old.revision + 1),
        version=current.version,
    )
    return changed.value


async def _budgets(platform: Platform) -> Result:
    try:
        stored = await platform.get(SHARDS_KIND, SHARD_NAME)
    except PlatformUnavailable as exc:
        raise unavailable_error(exc) from exc
    if stored is None:
        return Result(data=[], text="no budgets yet")
    try:
        ledgers = decode_shard(stored.value).ledger_by_customer
    except LedgerUnreadable as exc:
        raise CommandError(
            f"cannot decode the ledgers of the customers: {exc}"
        ) from exc
    rows = [
        BudgetRow(
            customer=name,
            prepaid=ledger.prepaid,
            spent=ledger.total_spent,
            held=ledger.held - ledger.total_spent,
            free=ledger.rest,
        )
        for name, ledger in sorted(ledgers.items())
    ]
    headings = ("customer", "prepaid", "spent", "held", "free")
    cells = [(r.customer, r.prepaid, r.spent, r.held, r.free) for r in rows]
    return Result(data=rows, text=format_table(headings, cells))


async def _evacuated_rows(platform: Platform) -> Result:
    listing = await list_kind(platform, EVACUATIONS_KIND)
    rows = [
        EvacuationRow(zone=name, since=_since(listing.by_name[name].value))
        for name in sorted(listing.by_name)
    ]
    if not rows:
        return Result(data=[], text="no zone is evacuated")
    cells = [(row.zone, row.since or "unknown") for row in rows]
    return Result(data=rows, text=format_table(("zone", "since"), cells))


def _since(value: bytes) -> float | None:
    try:
        return msgspec.json.decode(value, type=Evacuation).since or None
    except msgspec.DecodeError:
        # The entry evacuates the zone by its name, whatever its value.
        return None


def _evacuations(platform: Platform) -> Objects[Evacuation]:
    return Objects(
        platform=platform, kind=EVACUATIONS_KIND, cls=Evacuation, noun="evacuation"
    )


def _summary_result(configuration: IngressConfiguration) -> Result:
    done = ApplySummary(
        revision=configuration.revision,
        routes=len(configuration.routes),
        services=len(configuration.services),
        customers=len(configuration.customers),
    )
    text = (
        f"revision {done.revision}: {done.routes} routes, {done.services} services, "
        f"{done.customers} customers"
    )
    return Result(data=done, text=text)


def _objects(platform: Platform) -> Objects[IngressConfiguration]:
    return Objects(
        platform=platform,
        kind=CONFIGURATION_KIND,
        cls=IngressConfiguration,
        noun="ingress configuration",
    )


def _read(file: str) -> bytes:
    try:
        raw = msgspec.json.decode(Path(file).read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        raise CommandError(f"cannot read {file}: {exc}") from exc
    if not isinstance(raw, dict):
        raise CommandError(f"{file} holds no configuration but {type(raw).__name__}")
    return msgspec.json.encode(raw | {"revision": 0})
