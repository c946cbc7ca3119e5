"""The daemons' entry point: ``ragwortkeeld router|sidecar|check-settings``."""

import sys

import fire

from ragwortkeel.exceptions import SettingsError
from ragwortkeel.process import Process, run_process
from ragwortkeel.router.worker import RouterWorker
from ragwortkeel.settings import RouterSettings, SidecarSettings, load
from ragwortkeel.sidecar.worker import SidecarWorker

EXIT_BAD_SETTINGS = 2

_SETTINGS_BY_ROLE = {"router": RouterSettings, "sidecar": SidecarSettings}


def router(settings: str) -> None:
    """Run a router until TERM.

    Parameters
    ----------
    settings
        Path of a JSON file; see docs/CONFIGURATION.md.
    """
    read = load(settings, RouterSettings)
    sys.exit(run_process(lambda: _process(RouterWorker, read), level=read.log_level))


def sidecar(settings: str) -> None:
    """Run a sidecar until TERM.

    Parameters
    ----------
    settings
        Path of a JSON file; see docs/CONFIGURATION.md.
    """
    read = load(settings, SidecarSettings)
    sys.exit(run_process(lambda: _process(SidecarWorker, read), level=read.log_level))


def check_settings(role: str, settings: str) -> None:
    """Check a settings file without running anything.

    Parameters
    ----------
    role
        ``router`` or ``sidecar``.
    settings
        Path of the JSON file.
    """
    cls = _SETTINGS_BY_ROLE.get(role)
    if cls is None:
        known = ", ".join(_SETTINGS_BY_ROLE)
        raise SettingsError(path="role", found=role, allowed=f"one of {known}")
    load(settings, cls)
    print(f"{settings}: fit for a {role}")


def _process(worker_class: type, read: RouterSettings | SidecarSettings) -> Process:
    return Process(
        worker=worker_class(settings=read),
        name=read.name,
        metrics_address=read.metrics,
    )


def main() -> None:
    """Run the daemon that the command line names."""
    commands = {"router": router, "sidecar": sidecar, "check-settings": check_settings}
    try:
        fire.Fire(commands, name="ragwortkeeld")
    except SettingsError as exc:
        print(f"ragwortkeeld: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()
