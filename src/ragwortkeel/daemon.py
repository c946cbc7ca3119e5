"""Entry point of the daemons: ``ragwortkeeld ROLE SETTINGS`` and ``check-settings``."""

import sys

import fire

from ragwortkeel.exceptions import SettingsError
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.relay_worker import RelayWorker
from ragwortkeel.ingress.worker import IngressWorker
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.process import Process, run_process
from ragwortkeel.router.worker import RouterWorker
from ragwortkeel.settings import (
    IngressSettings,
    RelaySettings,
    RouterSettings,
    SidecarSettings,
    load,
)
from ragwortkeel.sidecar.worker import SidecarWorker

EXIT_BAD_SETTINGS = 2

_SETTINGS_BY_ROLE = {
    "router": RouterSettings,
    "sidecar": SidecarSettings,
    "ingress": IngressSettings,
    "relay": RelaySettings,
}


def router(settings: str) -> None:
    """Run a router until TERM.

    Parameters
    ----------
    settings
        Path of a JSON file; see docs/CONFIGURATION.md.
    """
    loaded = load(settings, RouterSettings)
    sys.exit(
        run_process(lambda: _process(RouterWorker, loaded), level=loaded.log_level)
    )


def sidecar(settings: str) -> None:
    """Run a sidecar until TERM.

    Parameters
    ----------
    settings
        Path of a JSON file; see docs/CONFIGURATION.md.
    """
    loaded = load(settings, SidecarSettings)
    sys.exit(
        run_process(lambda: _process(SidecarWorker, loaded), level=loaded.log_level)
    )


def ingress(settings: str) -> None:
    """Run an ingress until TERM; a HUP reloads its settings.

    Parameters
    ----------
    settings
        Path of a JSON file; see docs/CONFIGURATION.md.
    """
    loaded = load(settings, IngressSettings)
    platform = HttpPlatform(address=loaded.platform)
    worker = IngressWorker(settings=loaded, platform=platform, names=HeaderNames())

    def new_process() -> Process:
        return Process(
            worker=worker,
            name=loaded.name,
            metrics_address=loaded.metrics,
            ready_path=loaded.ready_path,
            reload=lambda: worker.reload(load(settings, IngressSettings)),
        )

    sys.exit(run_process(new_process, level=loaded.log_level))


def relay(settings: str) -> None:
    """Run a relay of platform calls until TERM; a HUP reloads its settings.

    Parameters
    ----------
    settings
        Path of a JSON file; see docs/CONFIGURATION.md.
    """
    loaded = load(settings, RelaySettings)
    platform = HttpPlatform(address=loaded.platform)
    worker = RelayWorker(settings=loaded, platform=platform)

    def new_process() -> Process:
        return Process(
            worker=worker,
            name=loaded.name,
            metrics_address=loaded.metrics,
            reload=lambda: worker.reload(load(settings, RelaySettings)),
        )

    sys.exit(run_process(new_process, level=loaded.log_level))


def check_settings(role: str, settings: str) -> None:
    """Check a settings file without starting a daemon.

    Parameters
    ----------
    role
        ``router``, ``sidecar``, ``ingress`` or ``relay``.
    settings
        Path of the JSON file.
    """
    cls = _SETTINGS_BY_ROLE.get(role)
    if cls is None:
        known = ", ".join(_SETTINGS_BY_ROLE)
        raise SettingsError(path="role", found=role, allowed=f"one of {known}")
    load(settings, cls)
    print(f"{settings}: fit for a {role}")


def _process(worker_class: type, loaded: RouterSettings | SidecarSettings) -> Process:
    return Process(
        worker=worker_class(settings=loaded),
        name=loaded.name,
        metrics_address=loaded.metrics,
    )


def main() -> None:
    """Run the daemon that the command line names."""
    commands = {
        "router": router,
        "sidecar": sidecar,
        "ingress": ingress,
        "relay": relay,
        "check-settings": check_settings,
    }
    try:
        fire.Fire(commands, name="ragwortkeeld")
    except SettingsError as exc:
        print(f"ragwortkeeld: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()
