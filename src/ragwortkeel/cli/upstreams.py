"""Implement ``ragwortkeel upstream``: add, drain and retire upstreams."""

import msgspec
from fire.decorators import SetParseFns

from ragwortkeel.cli.fleet import in_force_note
from ragwortkeel.cli.objects import Objects, VersionedObject
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.cli.plan import Plan, Session
from ragwortkeel.configuration import UPSTREAMS, Upstream, UpstreamState
from ragwortkeel.exceptions import CommandError
from ragwortkeel.platform import Platform
from ragwortkeel.settings import decode


class UpstreamRow(msgspec.Struct, frozen=True, kw_only=True):
    """A listed upstream."""

    upstream: Upstream
    version: int


class UpstreamCommands:
    """Add, drain and retire upstreams."""

    def __init__(self, *, session: Session) -> None:
        self._session = session

    @SetParseFns(
        name=str, back_end=str, sidecar_address=str, zone=str, software_version=str
    )
    def add(
        self,
        name,
        *,
        back_end,
        kind,
        sidecar_address,
        zone,
        resumes=False,
        software_version="",
        wait=0.0,
    ):
        """Put a new upstream into service.

        Parameters
        ----------
        name
            Name of the upstream, as in the settings of its sidecar.
        back_end
            The back end that the upstream is an instance of.
        kind
            model or service.
        sidecar_address
            Address of its sidecar, as ip:port.
        zone
            Availability zone of the upstream.
        resumes
            The engine can continue an answer after given tokens.
        software_version
            Version of the engine's software; only the same one continues an answer.
        wait
            Seconds to wait until the change is in force everywhere.
        """
        raw = {
            "name": str(name),
            "back_end": str(back_end),
            "kind": kind,
            "sidecar_address": sidecar_address,
            "zone": str(zone),
            "resumes": resumes,
            "software_version": str(software_version),
        }

        async def action(platform: Platform) -> Result:
            upstream = decode(msgspec.json.encode(raw), Upstream)
            version = await _objects(platform).create(upstream.name, upstream)
            current = VersionedObject(value=upstream, version=version)
            return await _change_result(platform, current, "in service", wait)

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str)
    def drain(self, name, *, wait=0.0):
        """Stop sending new requests to an upstream; running requests finish.

        Parameters
        ----------
        name
            Name of the upstream.
        wait
            Seconds to wait until the change is in force everywhere.
        """
        return self._set_state(str(name), UpstreamState.DRAINING, "draining", wait)

    @SetParseFns(name=str)
    def put_back(self, name, *, wait=0.0):
        """Send requests to a drained upstream again.

        Parameters
        ----------
        name
            Name of the upstream.
        wait
            Seconds to wait until the change is in force everywhere.
        """
        return self._set_state(str(name), UpstreamState.SERVING, "in service", wait)

    @SetParseFns(name=str)
    def retire(self, name, *, wait=0.0):
        """Retire an upstream permanently; its name is not used again.

        Parameters
        ----------
        name
            Name of the upstream.
        wait
            Seconds to wait until the change is in force everywhere.
        """

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).change(
                str(name),
                lambda upstream: msgspec.structs.replace(upstream, retired=True),
            )
            return await _change_result(platform, current, "retired", wait)

        return Plan(session=self._session, action=action)

    def list(self):
        """List the upstreams with state and zone."""

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).all()
            rows = [
                UpstreamRow(upstream=versioned.value, version=versioned.version)
                for versioned in current.values()
            ]
            return Result(data=rows, text=_table(rows))

        return Plan(session=self._session, action=action)

    @SetParseFns(name=str)
    def show(self, name):
        """Show one upstream.

        Parameters
        ----------
        name
            Name of the upstream.
        """

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).read(str(name))
            row = UpstreamRow(upstream=current.value, version=current.version)
            return Result(data=row, text=_table([row]))

        return Plan(session=self._session, action=action)

    def _set_state(
        self, name: str, state: UpstreamState, done: str, wait: float
    ) -> Plan:
        def with_state(upstream: Upstream) -> Upstream:
            if upstream.retired:
                raise CommandError(f"upstream {name} is retired for good; add another")
            return msgspec.structs.replace(upstream, state=state)

        async def action(platform: Platform) -> Result:
            current = await _objects(platform).change(name, with_state)
            return await _change_result(platform, current, done, wait)

        return Plan(session=self._session, action=action)


# The command is named "return", which is a reserved word in Python.
setattr(UpstreamCommands, "return", UpstreamCommands.put_back)
del UpstreamCommands.put_back


async def _change_result(
    platform: Platform, current: VersionedObject[Upstream], done: str, wait: float
) -> Result:
    name = current.value.name
    text = f"upstream {name}: {done}, version {current.version}"
    text += await in_force_note(
        platform, kind=UPSTREAMS, name=name, version=current.version, wait=wait
    )
    return Result(
        data=UpstreamRow(upstream=current.value, version=current.version), text=text
    )


def _objects(platform: Platform) -> Objects[Upstream]:
    return Objects(platform=platform, kind=UPSTREAMS, cls=Upstream, noun="upstream")


def _table(rows: list[UpstreamRow]) -> str:
    cells = [
        [
            row.upstream.name,
            row.upstream.back_end,
            row.upstream.kind,
            row.upstream.zone,
            "retired" if row.upstream.retired else row.upstream.state,
            row.upstream.sidecar_address,
            row.version,
        ]
        for row in rows
    ]
    headings = ("name", "back end", "kind", "zone", "state", "sidecar", "version")
    return format_table(headings, cells)
