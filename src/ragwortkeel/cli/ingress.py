"""``ragwortkeel ingress``: routes, services, customers and their budgets."""

from pathlib import Path

import msgspec
from fire.decorators import SetParseFns

from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.cli.objects import Held, Objects, unavailable
from ragwortkeel.cli.output import Result, table
from ragwortkeel.cli.plan import Plan, Session
from ragwortkeel.exceptions import CommandError, LedgerUnreadable, PlatformUnavailable
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    IngressConfiguration,
)
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.platform import Platform
from ragwortkeel.settings import decode


class Definition(msgspec.Struct, frozen=True, kw_only=True):
    """What a command did to the configuration."""

    revision: int
    routes: int
    services: int
    customers: int


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True):
    """One customer's budget as its ledger shows it, in tokens."""

    customer: str
    prepaid: int
    spent: int
    held: int
    free: int


class IngressCommands:
    """Operate the ingress: what it routes, and what customers have left."""

    def __init__(self, *, session: Session) -> None:
        self._session = session

    @SetParseFns(file=str)
    def apply(self, file):
        """Put a whole configuration in force, in place of the one before.

        Parameters
        ----------
        file
            JSON with routes, services, customers and limits; see
            docs/CONFIGURATION.md.  Its revision is set here.
        """
        wanted = decode(_read(file), IngressConfiguration)

        async def scenario(platform):
            return _described(await _apply(platform, wanted))

        return Plan(session=self._session, scenario=scenario)

    def show(self):
        """Show the configuration in force."""

        async def scenario(platform):
            held = await _objects(platform).read(CONFIGURATION_NAME)
            text = msgspec.json.format(msgspec.json.encode(held.value)).decode()
            return Result(data=held.value, text=text)

        return Plan(session=self._session, scenario=scenario)

    def budgets(self):
        """Show what each customer has paid for, spent, and has left."""
        return Plan(session=self._session, scenario=_budgets)


async def _apply(
    platform: Platform, wanted: IngressConfiguration
) -> IngressConfiguration:
    objects = _objects(platform)
    held: Held[IngressConfiguration] | None = await objects.find(CONFIGURATION_NAME)
    if held is None:
        first = msgspec.structs.replace(wanted, revision=1)
        await objects.create(CONFIGURATION_NAME, first)
        return first
    changed = await objects.change(
        CONFIGURATION_NAME,
        lambda old: msgspec.structs.replace(wanted, revision=old.revision + 1),
        version=held.version,
    )
    return changed.value


async def _budgets(platform: Platform) -> Result:
    try:
        stored = await platform.get(SHARDS_KIND, SHARD_NAME)
    except PlatformUnavailable as exc:
        raise unavailable(exc) from exc
    if stored is None:
        return Result(data=[], text="no budgets yet")
    try:
        ledgers = decode_shard(stored.value).ledger_by_customer
    except LedgerUnreadable as exc:
        raise CommandError(f"the ledgers can't be read: {exc}") from exc
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
    return Result(data=rows, text=table(headings, cells))


def _described(configuration: IngressConfiguration) -> Result:
    done = Definition(
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
