"""``ragwortkeel profile``: creating, changing and retiring profiles."""

import msgspec
from fire.decorators import SetParseFns

from ragwortkeel.cli.definition import changed, defined
from ragwortkeel.cli.fleet import wait_in_force
from ragwortkeel.cli.objects import Held, Objects
from ragwortkeel.cli.output import Result, fields, table
from ragwortkeel.cli.plan import Plan, Session
from ragwortkeel.configuration import PROFILES, Profile
from ragwortkeel.platform import Platform


class ProfileRow(msgspec.Struct, frozen=True, kw_only=True):
    """A profile as listed."""

    profile: Profile
    version: int


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
            What callers will pick it by.
        file
            A JSON file with any of the fields below; flags go before it.
        customer
            Whose it is.
        service
            interactive, batch or must_not_repeat.
        deadline_seconds
            Within how many seconds the whole answer is due.
        first_token_seconds
            Within how many seconds the first token is due.
        back_ends
            The back ends that it may run on, separated by commas.
        max_output_tokens
            The most tokens that one answer may have.
        call_tokens
            What one call of a plain service costs.
        spread
            wide (fewer false refusals) or narrow (less outstanding).
        ride_out_seconds
            How long an outage the routers' slices should last.
        prepaid_tokens
            The budget it starts with.
        wait
            Seconds to wait until it is in force everywhere.
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

        async def scenario(platform: Platform) -> Result:
            definition = defined(str(file), flags)
            profile = definition.profile()
            version = await _objects(platform).create(profile.name, profile)
            held = Held(value=profile, version=version)
            return await _done(platform, held, "created", wait)

        return Plan(session=self._session, scenario=scenario)

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
        """Change fields of a profile; those not given stay as they are.

        Parameters
        ----------
        name
            The profile.
        version
            The version you looked at: refuse if it was changed since.
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

        async def scenario(platform: Platform) -> Result:
            held = await _objects(platform).change(
                str(name), lambda profile: changed(profile, flags), version=version
            )
            return await _done(platform, held, "changed", wait)

        return Plan(session=self._session, scenario=scenario)

    @SetParseFns(name=str)
    def retire(self, name, *, wait=0.0):
        """Retire a profile for good: its callers are refused from then on.

        Parameters
        ----------
        name
            The profile; its name is not used again.
        wait
            Seconds to wait until that is in force everywhere.
        """

        async def scenario(platform: Platform) -> Result:
            held = await _objects(platform).change(
                str(name), lambda one: msgspec.structs.replace(one, retired=True)
            )
            return await _done(platform, held, "retired", wait)

        return Plan(session=self._session, scenario=scenario)

    @SetParseFns(name=str)
    def show(self, name):
        """Show all fields of a profile.

        Parameters
        ----------
        name
            The profile.
        """

        async def scenario(platform: Platform) -> Result:
            held = await _objects(platform).read(str(name))
            row = ProfileRow(profile=held.value, version=held.version)
            text = f"{fields(held.value)}\nversion {held.version}"
            return Result(data=row, text=text)

        return Plan(session=self._session, scenario=scenario)

    def list(self):
        """List the profiles."""

        async def scenario(platform: Platform) -> Result:
            held = await _objects(platform).all()
            rows = [
                ProfileRow(profile=one.value, version=one.version)
                for one in held.values()
            ]
            return Result(data=rows, text=_table(rows))

        return Plan(session=self._session, scenario=scenario)


async def _done(
    platform: Platform, held: Held[Profile], done: str, wait: float
) -> Result:
    name = held.value.name
    text = f"profile {name}: {done}, version {held.version}"
    if wait:
        count = await wait_in_force(
            platform,
            kind=PROFILES,
            name=name,
            version=held.version,
            seconds=float(wait),
        )
        text += f", in force on {count} nodes"
    return Result(data=ProfileRow(profile=held.value, version=held.version), text=text)


def _objects(platform: Platform) -> Objects[Profile]:
    return Objects(platform=platform, kind=PROFILES, cls=Profile, noun="profile")


def _table(rows: list[ProfileRow]) -> str:
    cells = [
        [
            row.profile.name,
            row.profile.customer,
            row.profile.service,
            f"{row.profile.deadline_seconds:g}",
            ",".join(row.profile.back_ends),
            "retired" if row.profile.retired else "active",
            row.version,
        ]
        for row in rows
    ]
    headings = (
        "name",
        "customer",
        "service",
        "deadline s",
        "back ends",
        "state",
        "version",
    )
    return table(headings, cells)
