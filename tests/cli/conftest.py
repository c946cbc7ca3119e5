"""A fixture that runs command lines against an in-memory platform."""

import pytest

from ragwortkeel.cli.command import main
from ragwortkeel.standins.local_platform import LocalPlatform


class Terminal:
    def __init__(self, platform, capsys):
        self.platform = platform
        self._capsys = capsys

    def __call__(self, line):
        """Run a command; return exit code, output and the lines of standard error."""
        code = 0
        try:
            main(line.split())
        except SystemExit as exc:
            code = exc.code
        shown = self._capsys.readouterr()
        return code, shown.out, shown.err.splitlines()


@pytest.fixture
def terminal(monkeypatch, capsys):
    platform = LocalPlatform()
    platform.close = _close
    monkeypatch.setattr("ragwortkeel.cli.plan.Session.connect", lambda _: platform)
    return Terminal(platform, capsys)


async def _close():
    pass
