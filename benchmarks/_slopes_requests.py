"""What a request costs each process on its way, by the tokens of its answer.

Router, sidecar, engine and platform run as processes of their own; requests come
one after the other, so that no waiting is mixed in.  The processor time is read
from the system for each process, in steps of 10 ms over hundreds of requests.
"""

import tempfile
import time
from pathlib import Path

from deployments.deployment import Deployment, chat_deployment
from deployments.fleet import Fleet, send_request

from benchmarks._slopes_fit import Usage, report, report_slope, usage_of

TOKENS = (8, 32, 128)
REQUESTS = 200
STREAMS = 100
WARM_UP = 50
IDLE_SECONDS = 10.0


def measure_requests() -> None:
    """Report the slopes of router and sidecar, whole and streamed."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory))
        try:
            deployment = chat_deployment(
                fleet, routers=1, prepaid=10**9, token_seconds=0.0
            )
            _complete(deployment, WARM_UP, TOKENS[0])
            _report_idle(deployment)
            _measure(deployment, "whole", _complete, REQUESTS)
            _measure(deployment, "streamed", _streamed, STREAMS)
            _report_platform(deployment)
        finally:
            fleet.close()


def _measure(deployment: Deployment, what: str, serve, count: int) -> None:
    points = {"router": [], "sidecar": []}
    for tokens in TOKENS:
        before = _usages(deployment)
        serve(deployment, count, tokens)
        after = _usages(deployment)
        for role, found in points.items():
            used = after[role] - before[role]
            found.append((tokens, used.cpu_seconds / count * 1e6))
    for role, found in points.items():
        report_slope(f"{what}_request_{role}_cpu", "us", "token", found)


def _usages(deployment: Deployment) -> dict[str, Usage]:
    router = deployment.routers["router-1"].popen.pid
    sidecar = deployment.sidecars["engine-1"].popen.pid
    return {"router": usage_of(router), "sidecar": usage_of(sidecar)}


def _complete(deployment: Deployment, count: int, tokens: int) -> None:
    for _ in range(count):
        prompt = f"answer_tokens={tokens}"
        answer = deployment.chat("router-1", prompt, max_tokens=tokens)
        if answer.status != 200:
            raise RuntimeError(f"refused: {answer.body}")


def _streamed(deployment: Deployment, count: int, tokens: int) -> None:
    for _ in range(count):
        prompt = f"answer_tokens={tokens}"
        stream = deployment.stream("router-1", prompt, max_tokens=tokens)
        if list(stream.events())[-1] != "[DONE]":
            raise RuntimeError("a stream did not end whole")
        stream.close()


def _report_idle(deployment: Deployment) -> None:
    """Report what one router and one sidecar use while nothing is asked."""
    before = _usages(deployment)
    time.sleep(IDLE_SECONDS)
    after = _usages(deployment)
    for role, usage in after.items():
        used = (usage - before[role]).cpu_seconds / IDLE_SECONDS * 1e6
        report(what=f"{role}_idle_cpu", unit="us_per_second", cost=used)


def _report_platform(deployment: Deployment) -> None:
    port = deployment.platform.ports["http"]
    counts = send_request(port, "GET", "/counts").json
    requests = WARM_UP + len(TOKENS) * (REQUESTS + STREAMS)
    report(what="platform_calls", requests=requests, **counts)
    for role, usage in _usages(deployment).items():
        report(what=f"{role}_memory", unit="bytes", cost=usage.memory_bytes)
