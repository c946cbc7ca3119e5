"""A command as parsed, run only once its run_and_close command line made sense.

`fire` calls a command before it looks at the arguments left over; were the
command to act at once, a misspelt flag would change the platform and only then
be reported.
"""

import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from ragwortkeel.cli.output import Result
from ragwortkeel.exceptions import CommandError
from ragwortkeel.platform import Platform
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.settings import CommandSettings, load

PLATFORM_VARIABLE = "RAGWORTKEEL_PLATFORM"

Action = Callable[[Platform], Awaitable[Result]]


@dataclass(frozen=True, kw_only=True)
class Session:
    """Which platform a command works on, and how its result is shown."""

    settings: str
    platform: str
    as_json: bool

    def connect(self) -> HttpPlatform:
        """Return the platform that flags, settings or environment name."""
        if self.settings:
            read = load(self.settings, CommandSettings)
            return HttpPlatform(address=read.platform, timeout=read.timeout_seconds)
        address = self.platform or os.environ.get(PLATFORM_VARIABLE, "")
        if not address:
            raise CommandError(
                "which platform? give --platform ip:port or --settings file.json, "
                f"or set {PLATFORM_VARIABLE}"
            )
        try:
            return HttpPlatform(address=str(address), timeout=5.0)
        except ValueError as exc:
            raise CommandError(f"--platform: {exc}") from exc


class Plan:
    """What a command will do.

    Parameters
    ----------
    session : Session
        Which platform it works on, and how its result is shown.
    action : callable
        Does it.
    needs_platform : bool
        Whether it works on a platform at all; the action gets None where not.
    """

    __slots__ = ("_needs_platform", "_action", "_session")

    def __init__(
        self, *, session: Session, action: Action, needs_platform: bool = True
    ) -> None:
        self._session = session
        self._action = action
        self._needs_platform = needs_platform


def run_plan(plan: Plan) -> str:
    """Run a plan and return what to print."""
    if not plan._needs_platform:
        result = curio.run(plan._action, None)
        return result.render(as_json=plan._session.as_json)
    platform = plan._session.connect()

    async def run_and_close() -> Result:
        try:
            return await plan._action(platform)
        finally:
            await platform.close()

    return curio.run(run_and_close).render(as_json=plan._session.as_json)
