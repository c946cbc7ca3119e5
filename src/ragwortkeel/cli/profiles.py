"""Implement ``ragwortkeel profile``: create, change and retire profiles."""

from collections.abc import Awaitable

import msgspec
from fire.decorators import SetParseFns

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.cli.budgets import Budgets
from ragwortkeel.cli.definition import apply_flags, read_definition
from ragwortkeel.cli.fleet import in_force_note
from ragwortkeel.cli.objects import Objects, VersionedObject
from ragwortkeel.cli.output import Result, format_fields
from ragwortkeel.cli.plan import Plan, Session
from ragwortkeel.cli.profile_rows import (
    ProfileRow,
    budget_result,
    profile_row,
    profile_table,
)
from ragwortkeel.configuration import PROFILES, Profile
from ragwortkeel.exceptions import CommandError, CommandUncertain
from ragwortkeel.platform import Platform

CREATE_OPERATION = "create"
"""Operation id of the initial top-up.  It is the same for all attempts to create a
profile, so that a repeated attempt does not add tokens twice."""

MAX_TOKENS = 10**15


class ProfileCommands:
    """Create, change, top up and retire profiles."""

    def __init__(self, *, session: Session) -> None:
        self._session = session

    @SetParseFns(name=str, file=str, customer=str, service=str, back_ends=str)
    def create(
        self,
        name=None,
        *,
        file="",
        customer=None,
        service=None,
        deadline_seconds=None,
        first_token_seconds=None,
        back_ends=None,
        max_output_tokens=None,
        call_tokens=None,
        spread=None,
        ride_out_seconds=None,
        prepaid_tokens=None,
        wait=0.0,
    ):
        """Create a profile, from a file, from flags, or from both.

        Parameters
        ----------
        name
            Name by which callers select the profile.
        file
            A JSON file with any of the fields below; flags take precedence.
        customer
            Customer that owns the profile.
        service
            interactive, batch or must_not_repeat.
        deadline_seconds
            Seconds until the complete answer is due.
        first_token_seconds
            Seconds until the first token is due.
        back_ends
            The back ends that may run its requests, separated by commas.
        max_output_tokens
            Maximum number of tokens in one answer.
        call_tokens
            Tokens charged for one call of a plain service.
        spread
            wide (fewer false refusals) or narrow (less outstanding).
        ride_out_seconds
            Seconds of platform outage that the routers' slices should cover.
        prepaid_tokens
            Tokens of the initial budget.
        wait
            Seconds to wait until the profile is in force everywhere.
        """
        flags = {
            "name": None if name is None else str(name),
            "customer": customer,
            "service": service,
            "deadline_seconds": deadline_seconds,
            "first_token_seconds": first_token_seconds,
            "back_ends": back_ends,
            "max_output_tokens": max_output_tokens,
            "call_tokens": call_tokens,
            "spread": spread,
            "ride_out_seconds": ride_out_seconds,
            "prepaid_tokens": prepaid_tokens,
        }

        async def action(platform: Platform) -> Result:
            definition = read_definition(str(file), flags)
            profile = definition.profile()
            version = await _objects(platform).create(profile.name, profile)
            await _create_budget(platform, profile.name, definition.prepaid_tokens)
            current = VersionedObject(value=profile, version=version)
            return await _change_result(platform, current, "created", wait)

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str, customer=str, service=str, back_ends=str)
    def change(
        self,
        name,
        *,
        version=None,
        customer=None,
        service=None,
        deadline_seconds=None,
        first_token_seconds=None,
        back_ends=None,
        max_output_tokens=None,
        call_tokens=None,
        spread=None,
        ride_out_seconds=None,
        wait=0.0,
    ):
        """Change the given fields of a profile.

        Parameters
        ----------
        name
            The profile.
        version
            Version that the change is based on; any other version is refused.
        customer, service, deadline_seconds, first_token_seconds, back_ends
            As for create.
        max_output_tokens, call_tokens, spread, ride_out_seconds
            As for create.
        wait
            Seconds to wait until the change is in force everywhere.
        """
        flags = {
            "customer": customer,
            "service": service,
            "deadline_seconds": deadline_seconds,
            "first_token_seconds": first_token_seconds,
            "back_ends": back_ends,
            "max_output_tokens": max_output_tokens,
            "call_tokens": call_tokens,
            "spread": spread,
            "ride_out_seconds": ride_out_seconds,
        }

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).change(
                str(name), lambda profile: apply_flags(profile, flags), version=version
            )
            return await _change_result(platform, current, "changed", wait)

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str, operation_id=str)
    def top_up(self, name, tokens, *, operation_id=""):
        """Add tokens to a profile's prepaid budget.

        Parameters
        ----------
        name
            The profile.
        tokens
            Number of tokens to add.
        operation_id
            Id of an earlier attempt whose answer was lost; the tokens are added
            only once.
        """

        async def action(platform: Platform) -> Result:
            await _check_active(platform, name)
            changed = await Budgets(platform=platform).top_up(
                name, _checked_tokens(tokens), operation_id
            )
            return budget_result(name, changed.ledger, changed.operation_id)

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str, operation_id=str)
    def lower(self, name, tokens, *, recall=False, operation_id=""):
        """Subtract tokens from a profile's prepaid budget.

        Parameters
        ----------
        name
            The profile.
        tokens
            Number of tokens to subtract.
        recall
            Subtract committed tokens too, as routers return them.
        operation_id
            Id of an earlier attempt whose answer was lost; the tokens are
            subtracted only once.
        """

        async def action(platform: Platform) -> Result:
            budgets = Budgets(platform=platform)
            ledger = await budgets.find(name)
            if ledger is None:
                raise CommandError(f"no budget of {name}; see `profile list`")
            if recall:
                to = ledger.prepaid - _checked_tokens(tokens)
                return budget_result(name, await budgets.recall(name, to), "")
            changed = await budgets.lower(name, _checked_tokens(tokens), operation_id)
            return budget_result(name, changed.ledger, changed.operation_id)

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str)
    def retire(self, name, *, wait=0.0):
        """Retire a profile for good: its callers are refused from then on.

        Parameters
        ----------
        name
            The profile; its name is not used again.
        wait
            Seconds to wait until the change is in force everywhere.
        """

        async def action(platform: Platform) -> Result:
            objects = _objects(platform)
            current = await objects.read(name)
            if not current.value.retired:
                current = await objects.change(
                    name, lambda profile: msgspec.structs.replace(profile, retired=True)
                )
            budgets = Budgets(platform=platform)
            await _await_second_write(
                budgets.retire(name),
                f"profile {name} is retired, but its budget is still open: run "
                "this again",
            )
            return await _change_result(platform, current, "retired", wait)

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str)
    def show(self, name):
        """Show all fields of a profile, and its budget.

        Parameters
        ----------
        name
            The profile.
        """

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).read(name)
            row = profile_row(current, await Budgets(platform=platform).find(name))
            blocks = [format_fields(current.value), f"version {current.version}"]
            blocks.append(format_fields(row.budget) if row.budget else "no budget")
            return Result(data=row, text="\n".join(blocks))

        return Plan(session=self._session, action=action)

    def list(self):
        """List the profiles with their budgets."""

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).all()
            ledgers = await Budgets(platform=platform).all()
            rows = [
                profile_row(one, ledgers.get(name)) for name, one in current.items()
            ]
            return Result(data=rows, text=profile_table(rows))

        return Plan(session=self._session, action=action)


async def _create_budget(platform: Platform, name: str, tokens: int) -> None:
    operation_id = Ledger().operation_id(CREATE_OPERATION)
    await _await_second_write(
        Budgets(platform=platform).top_up(name, tokens, operation_id),
        f"profile {name} is created, but perhaps without its budget: run "
        f"`ragwortkeel profile top-up {name} {tokens} --operation-id {operation_id}`",
    )


async def _await_second_write(second_write: Awaitable, text: str) -> None:
    """Await the second of two writes; the error has to report the first."""
    try:
        await second_write
    except CommandError as exc:
        raise CommandUncertain(f"{text} ({exc})") from exc


async def _check_active(platform: Platform, name: str) -> None:
    current = await _objects(platform).read(name)
    if current.value.retired:
        raise CommandError(f"profile {name} is retired for good; no tokens were added")


def _checked_tokens(tokens: object) -> int:
    if type(tokens) is not int or not 0 < tokens <= MAX_TOKENS:
        raise CommandError(f"tokens: found {tokens}; allowed: 1 to {MAX_TOKENS}")
    return tokens


async def _change_result(
    platform: Platform, current: VersionedObject[Profile], done: str, wait: float
) -> Result:
    name = current.value.name
    text = f"profile {name}: {done}, version {current.version}"
    text += await in_force_note(
        platform, kind=PROFILES, name=name, version=current.version, wait=wait
    )
    return Result(
        data=ProfileRow(profile=current.value, version=current.version), text=text
    )


def _objects(platform: Platform) -> Objects[Profile]:
    return Objects(platform=platform, kind=PROFILES, cls=Profile, noun="profile")
