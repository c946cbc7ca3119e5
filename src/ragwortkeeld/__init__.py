"""Entry point of the daemons; see `ragwortkeel.daemon`.

The package is apart from `ragwortkeel` so that it runs before that one is imported,
which takes some 0.4 seconds.
"""

import signal


def main() -> None:
    """Run the daemon that the command line names.

    A SIGHUP that comes before the daemon handles it would end the process, so it stays
    pending until then; see `ragwortkeel.signals.SignalQueue`.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from ragwortkeel.daemon import main as run_daemon  # noqa: PLC0415

    run_daemon()
