"""Defer the action of a command until its command line is fully parsed.

`fire` calls a command before it checks for unused arguments.  A command that acted
immediately would change the platform before a misspelt flag is reported.
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
    """The platform that a command uses, and its output format."""

    settings: str
    platform: str
    as_json: bool

    def connect(self) -> HttpPlatform:
        """Return a client for the platform in the settings, flags or environment."""
        if self.settings:
            read = load(self.settings, CommandSettings)
            return HttpPlatform(address=read.platform, timeout=read.timeout_seconds)
        address = self.platform or os.environ.get(PLATFORM_VARIABLE, "")
        if not address:
            raise CommandError(
                "no platform given; add --platform ip:port or --settings file.json, "
                f"or set {PLATFORM_VARIABLE}"
            )
        try:
            return HttpPlatform(address=str(address), timeout=5.0)
        except ValueError as exc:
            raise CommandError(f"--platform: {exc}") from exc


class Plan:
    """The deferred action of a command.

    Parameters
    ----------
    session : Session
        Platform and output format.
    action : callable
        Performs the command on a platform and returns its result.
    needs_platform : bool
        Whether the action uses a platform; otherwise it gets None.
    """

    __slots__ = ("_needs_platform", "_action", "_session")

    def __init__(
        self, *, session: Session, action: Action, needs_platform: bool = True
    ) -> None:
        self._session = session
        self._action = action
        self._needs_platform = needs_platform


def run_plan(plan: Plan) -> str:
    """Run a plan and return the text to print."""
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
