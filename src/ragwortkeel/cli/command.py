"""Parse the command line with fire and print errors on one line."""

import sys

import fire
from fire.decorators import SetParseFns

from ragwortkeel.cli.bills import bill
from ragwortkeel.cli.ingress import IngressCommands
from ragwortkeel.cli.plan import Plan, Session, run_plan
from ragwortkeel.cli.profiles import ProfileCommands
from ragwortkeel.cli.report import report
from ragwortkeel.cli.reports import status, trace
from ragwortkeel.cli.runs import resolve, unresolved
from ragwortkeel.cli.upstreams import UpstreamCommands
from ragwortkeel.exceptions import CommandError, SettingsError

EXIT_BAD_INPUT = 2


class Commands:
    """Operate a ragwortkeel fleet.

    Every command takes --platform ip:port or --settings file.json (or the
    environment's RAGWORTKEEL_PLATFORM), and --json for output to programs.

    Exit codes: 0 done, 1 refused, 2 bad input, 3 conflict with another write, 4 the
    platform does not answer, 5 outcome unknown, 6 accepted but not yet in force
    everywhere.

    Parameters
    ----------
    platform
        Address of the platform, as ip:port.
    settings
        A JSON file with platform and timeout_seconds.
    json
        Print JSON.
    """

    def __init__(self, *, platform="", settings="", json=False) -> None:
        self._session = Session(
            platform=str(platform), settings=str(settings), as_json=bool(json)
        )
        self.profile = ProfileCommands(session=self._session)
        self.upstream = UpstreamCommands(session=self._session)
        self.ingress = IngressCommands(session=self._session)

    def status(self):
        """Show processes, their configuration revision, and counts of objects."""
        return Plan(session=self._session, action=status)

    @SetParseFns(profile=str)
    def bill(self, profile=""):
        """Show the billed tokens of each profile, or each billed request of one.

        Parameters
        ----------
        profile
            Name of the profile; all profiles if omitted.
        """

        async def action(platform):
            return await bill(platform, profile)

        return Plan(session=self._session, action=action)

    def unresolved(self):
        """List runs that must not repeat and whose outcome is unknown."""
        return Plan(session=self._session, action=unresolved)

    @SetParseFns(profile=str, request_id=str, word=str)
    def resolve(self, profile, request_id, word):
        """Record whether an unresolved run took effect.

        Check first in the system that the run changes.

        Parameters
        ----------
        profile
            The profile, as `unresolved` lists it.
        request_id
            The request, as `unresolved` lists it.
        word
            ran, or not-run, which lets the caller send the request again.
        """

        async def action(platform):
            return await resolve(platform, profile, request_id, word)

        return Plan(session=self._session, action=action)

    @SetParseFns(trace_id=str)
    def trace(self, trace_id):
        """Show the spans of one request, from all processes.

        Parameters
        ----------
        trace_id
            The 32 hexadecimal digits of the request's traceparent.
        """

        async def action(platform):
            return await trace(platform, str(trace_id))

        return Plan(session=self._session, action=action)

    @SetParseFns(str, request=str)
    def report(self, *files, request=""):
        """Summarize failed requests and process costs from log files.

        Parameters
        ----------
        files
            Log files of any processes, plain or .gz; - for standard input.
        request
            Show only the lines of this request, in order of time.
        """

        async def action(platform):
            return report(tuple(str(file) for file in files), request)

        return Plan(session=self._session, action=action, needs_platform=False)


def main(arguments: list[str] | None = None) -> None:
    """Run the command that the command line names."""
    try:
        fire.Fire(
            Commands,
            command=sys.argv[1:] if arguments is None else arguments,
            name="ragwortkeel",
            serialize=_run_if_plan,
        )
    except SettingsError as exc:
        _exit_with_error(str(exc), EXIT_BAD_INPUT)
    except CommandError as exc:
        _exit_with_error(str(exc), exc.exit_code)


def _run_if_plan(found: object) -> object:
    return run_plan(found) if isinstance(found, Plan) else found


def _exit_with_error(text: str, code: int) -> None:
    print(f"ragwortkeel: {' '.join(text.split())}", file=sys.stderr)
    sys.exit(code)
