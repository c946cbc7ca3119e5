"""Measures what a stream of small events costs an ingress process.

Callers, upstream and ingress are separate processes on loopback.  Each event is one
HTTP chunk of the upstream.  The figures are per stream and without what the idle
process uses: processor time, calls of `send` and `recv`, and the bytes and blocks that
callers receive.  To compare an earlier version, run this file in a checkout of it.
"""

import argparse
import cProfile
import multiprocessing
import os
import pstats
import resource
import socket
import time
from collections import Counter

import curio
import msgspec
from curio.task import ContextTask
from deployments.ports import free_address

from benchmarks._slopes_fit import report
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
    Customer,
    Engine,
    IngressConfiguration,
    Repeats,
    Route,
    Service,
    Split,
    Upstream,
    UpstreamState,
)
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.worker import IngressWorker
from ragwortkeel.logs import configure_logs
from ragwortkeel.settings import IngressSettings
from ragwortkeel.standins.local_platform import LocalPlatform

EVENTS = 48
EVENT_BYTES = 70
REQUEST_BODY = b"q" * 400
START_SECONDS = 1.0
IDLE_SECONDS = 2.0
PAYLOAD = [b"id: %d\ndata: " % i for i in range(1, EVENTS + 1)]
PAYLOAD = [head + b"t" * (EVENT_BYTES - len(head) - 2) + b"\n\n" for head in PAYLOAD]
READ_BYTES = 64 * 1024


def main() -> None:
    """Run the benchmark and print one line of figures."""
    options = _options()
    http, upstream_address = free_address(), free_address()
    calls = multiprocessing.Queue()
    upstream = _start(_run_upstream, upstream_address, options)
    ingress_end, own_end = multiprocessing.Pipe()
    ingress = _start(_run_ingress, http, upstream_address, options, ingress_end)
    time.sleep(START_SECONDS)
    idle = _usage(own_end)
    time.sleep(IDLE_SECONDS)
    before = _usage(own_end)
    callers = _start(_run_callers, http, options, calls)
    received = calls.get()
    after = _usage(own_end)
    idle_share = (before["cpu"] - idle["cpu"]) / IDLE_SECONDS
    seconds = after["at"] - before["at"]
    cpu = after["cpu"] - before["cpu"] - idle_share * seconds
    count = options.streams
    report(
        what="data_path",
        streams=count,
        delivery=options.delivery,
        cpu_ms=round(cpu * 1000 / count, 3),
        system_ms=round((after["system"] - before["system"]) * 1000 / count, 3),
        sends=round((after["send"] - before["send"]) / count, 1),
        receives=round((after["recv"] - before["recv"]) / count, 1),
        caller_bytes=round(received["bytes"] / count),
        caller_blocks=round(received["blocks"] / count, 1),
        incomplete=received["incomplete"],
        latest_ms=round(received["latest"] * 1000),
    )
    own_end.send("end")
    for process in (callers, ingress, upstream):
        process.join(5)
        process.kill()


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=40.0, help="streams a second")
    parser.add_argument("--events", type=int, default=EVENTS, help="at most 48")
    parser.add_argument("--gap", type=float, default=0.05, help="seconds per event")
    parser.add_argument("--delivery", type=float, default=0.0)
    parser.add_argument("--profile", default="", help="file for a profile")
    return parser.parse_args()


def _start(target, *args) -> multiprocessing.Process:
    process = multiprocessing.Process(target=target, args=args, daemon=True)
    process.start()
    return process


def _usage(pipe) -> dict[str, float]:
    pipe.send("usage")
    return pipe.recv()


def _parse(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


def _run_upstream(address: str, options: argparse.Namespace) -> None:
    with curio.Kernel() as kernel:
        kernel.run(curio.tcp_server, *_parse(address), lambda s, _: _serve(s, options))


async def _serve(sock, options: argparse.Namespace) -> None:
    payload = PAYLOAD[: options.events]
    buffer = b""
    while True:
        while b"\r\n\r\n" not in buffer or not buffer.endswith(REQUEST_BODY):
            block = await sock.recv(READ_BYTES)
            if not block:
                return
            buffer += block
        request_id = buffer.split(b"x-request-id: ")[1].split(b"\r\n")[0]
        buffer = b""
        await sock.sendall(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"x-request-id: %b\r\nx-upstream-proof: p1\r\n"
            b"transfer-encoding: chunked\r\n\r\n" % request_id
        )
        for event in payload[:-1]:
            await sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            await curio.sleep(options.gap)
        last = payload[-1]
        await sock.sendall(b"%x\r\n%b\r\n0\r\n\r\n" % (len(last), last))


def _run_callers(address: str, options: argparse.Namespace, results) -> None:
    received = Counter(latest=0.0)

    async def call(number: int) -> None:
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await sock.connect(_parse(address))
        head = (
            "POST /chat/a HTTP/1.1\r\nhost: app.example\r\nx-deadline-ms: 60000\r\n"
            f"x-request-id: r{number}\r\nauthorization: Bearer key\r\n"
            f"content-length: {len(REQUEST_BODY)}\r\n\r\n"
        )
        await sock.sendall(head.encode() + REQUEST_BODY)
        answer = b""
        while not answer.endswith(b"0\r\n\r\n"):
            block_at = time.monotonic()
            block = await sock.recv(READ_BYTES)
            if not block:
                break
            if answer:
                pause = time.monotonic() - block_at
                received["latest"] = max(received["latest"], pause)
            answer += block
            received["blocks"] += 1
        received["bytes"] += len(answer)
        whole = all(event[:-2] in answer for event in PAYLOAD[: options.events])
        received["incomplete"] += not (whole and answer.endswith(b"0\r\n\r\n"))
        await sock.close()

    async def call_all() -> None:
        started_at = time.monotonic()
        async with curio.TaskGroup() as group:
            for number in range(options.streams):
                due_at = started_at + number / options.rate
                await curio.sleep(max(0.0, due_at - time.monotonic()))
                await group.spawn(call, number)

    with curio.Kernel() as kernel:
        kernel.run(call_all)
    results.put(dict(received))


def _run_ingress(http, upstream_address, options, pipe) -> None:
    counts = _count_calls()
    configure_logs(fd=os.open(os.devnull, os.O_WRONLY))
    profile = cProfile.Profile() if options.profile else None

    async def run() -> None:
        platform = LocalPlatform()
        await _write_objects(platform, upstream_address)
        fields = {"event_delivery_seconds": options.delivery}
        worker = IngressWorker(
            settings=IngressSettings(
                name="ingress-1",
                zone="a",
                address=free_address(),
                http=http,
                metrics=free_address(),
                platform="127.0.0.1:9",
                **(fields if options.delivery else {}),
            ),
            platform=platform,
            names=HeaderNames(),
        )
        worker.open()
        task = await curio.spawn(worker.run, daemon=True)
        await _answer_usage(pipe, counts, profile)
        await task.cancel()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        kernel.run(run)
    if profile:
        pstats.Stats(profile).dump_stats(options.profile)


def _count_calls() -> Counter:
    """Count the calls of sockets from here on."""
    counts = Counter()

    def count(name: str) -> None:
        original = getattr(socket.socket, name)

        def counted(self, *args):
            counts[name] += 1
            return original(self, *args)

        setattr(socket.socket, name, counted)

    count("send")
    count("recv")
    return counts


async def _answer_usage(pipe, counts: Counter, profile) -> None:
    asked = 0
    while True:
        while not pipe.poll():
            await curio.sleep(0.05)
        if pipe.recv() == "end":
            break
        asked += 1
        used = resource.getrusage(resource.RUSAGE_SELF)
        usage = {
            "cpu": used.ru_utime + used.ru_stime,
            "system": used.ru_stime,
            "at": time.monotonic(),
        } | {name: counts[name] for name in ("send", "recv")}
        if profile and asked > 1:
            profile.enable() if asked == 2 else profile.disable()
        pipe.send(usage)


async def _write_objects(platform: LocalPlatform, upstream_address: str) -> None:
    host, port = _parse(upstream_address)
    configuration = IngressConfiguration(
        revision=1,
        routes=(
            Route(
                name="chat",
                host="app.example",
                prefix="/chat/",
                repeats=Repeats.STREAM,
                resumable=True,
                max_attempts=2,
                splits=(Split(service="pool"),),
                timeout_seconds=30.0,
                objective_seconds=1.0,
            ),
        ),
        services=(
            Service(
                name="pool",
                max_connections=4000,
                engine=Engine(slots=4000, memory_tokens=10**8, event_tokens=6),
            ),
        ),
        customers=(Customer(name="surco", keys=("key",)),),
    )
    upstream = Upstream(
        name="e1",
        service="pool",
        host=host,
        port=port,
        zone="a",
        slots=4000,
        state=UpstreamState.READY,
    )
    objects = (
        (CONFIGURATION_KIND, CONFIGURATION_NAME, configuration),
        (UPSTREAMS_KIND, upstream.name, upstream),
    )
    for kind, name, value in objects:
        await platform.create(kind, name, msgspec.json.encode(value))


if __name__ == "__main__":
    main()
