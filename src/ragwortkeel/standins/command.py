"""Run ``ragwortkeel-standin engine|service|platform``.

SIGTERM ends a stand-in immediately, without storing state or finishing requests.
"""

import os
import signal
from collections.abc import Coroutine

import curio
import fire
from curio.task import ContextTask

from ragwortkeel.standins.engine import LOAD_LAG_SECONDS
from ragwortkeel.standins.engine import serve as serve_engine
from ragwortkeel.standins.engine_batch import BatchSpeed
from ragwortkeel.standins.platform import serve as serve_platform
from ragwortkeel.standins.service import serve as serve_service


def engine(
    host: str = "127.0.0.1",
    port: int = 9100,
    token_seconds: float = 0.002,
    growth: float = 0.05,
    max_running: int = 32,
    load_lag: float = LOAD_LAG_SECONDS,
) -> None:
    """Run a model engine."""
    speed = BatchSpeed(
        token_seconds=token_seconds, growth=growth, max_running=max_running
    )
    _run(serve_engine(host, port, speed=speed, load_lag=load_lag))


def service(host: str = "127.0.0.1", port: int = 9200) -> None:
    """Run a plain service."""
    _run(serve_service(host, port))


def platform(host: str = "127.0.0.1", port: int = 9300) -> None:
    """Run the platform's object service and list of instances."""
    _run(serve_platform(host, port))


def _run(coroutine: Coroutine) -> None:
    signal.signal(signal.SIGTERM, _exit)
    with curio.Kernel(taskcls=ContextTask) as kernel:
        kernel.run(coroutine)


def _exit(signum: int, frame) -> None:
    os._exit(0)


def main() -> None:
    """Run the stand-in that the command line names."""
    fire.Fire({"engine": engine, "service": service, "platform": platform})


if __name__ == "__main__":
    main()
