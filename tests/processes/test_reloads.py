"""A daemon that is told to reload its settings while it starts."""

import signal
from pathlib import Path

from deployments.fleet import wait_until

START_SECONDS = 10.0


def blocks_hup(program):
    """Return whether the kernel holds a HUP to the process back."""
    status = Path(f"/proc/{program.popen.pid}/status").read_text()
    [mask] = [line for line in status.splitlines() if line.startswith("SigBlk:")]
    return int(mask.split()[1], 16) & 1 << (signal.SIGHUP - 1)


def test_a_hup_during_the_start_is_a_reload(fleet):
    """Guards against a daemon that ends, as its settings change while it starts."""
    fleet.platform()
    ingress = fleet.ingress("ingress-0")
    wait_until(lambda: blocks_hup(ingress), "a HUP is held back", START_SECONDS)
    ingress.send(signal.SIGHUP)
    wait_until(lambda: "settings_reloaded" in ingress.log_tail(), "reloaded")
    assert ingress.terminate() == 0
