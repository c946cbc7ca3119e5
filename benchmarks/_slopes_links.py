"""What a link costs: DEALER to ROUTER with heartbeats both ways, nothing else.

Run as a process of its own: ``endpoint ADDRESS`` answers heartbeats as a
sidecar does; ``links ADDRESS COUNT SECONDS`` holds links as a router does and
prints its usage as JSON.
"""

import json
import socket
import subprocess
import sys
import time

import curio
from curio.task import ContextTask

from benchmarks._slopes_fit import own_cpu_seconds, report_slope, usage_of
from ragwortkeel.links import Endpoint, Link
from ragwortkeel.messages import Heartbeat

LINKS = (50, 100, 200, 400)
SECONDS = 5.0
SETTLING_SECONDS = 1.5


def measure_links() -> None:
    """Report the slopes of both sides, by the number of links."""
    router_cpu, router_memory, endpoint_cpu = [], [], []
    for count in LINKS:
        port = _free_port()
        address = f"127.0.0.1:{port}"
        endpoint = subprocess.Popen(_command("endpoint", address))
        try:
            _wait_listening(port)
            before = usage_of(endpoint.pid)
            command = _command("links", address, count, SECONDS)
            done = subprocess.run(command, capture_output=True, check=True)
            used = json.loads(done.stdout)
            answered = usage_of(endpoint.pid) - before
        finally:
            endpoint.kill()
            endpoint.wait()
        router_cpu.append((count, used["cpu_us_per_second"]))
        router_memory.append((count, used["memory_bytes"]))
        seconds = SECONDS + SETTLING_SECONDS
        endpoint_cpu.append((count, answered.cpu_seconds / seconds * 1e6))
    report_slope("link_holder_cpu", "us_per_second", "link", router_cpu)
    report_slope("link_holder_memory", "bytes", "link", router_memory)
    report_slope("link_endpoint_cpu", "us_per_second", "link", endpoint_cpu)


def _command(*arguments: object) -> list[str]:
    return [sys.executable, "-m", "benchmarks._slopes_links", *map(str, arguments)]


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _wait_listening(port: int) -> None:
    for _ in range(500):
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise RuntimeError(f"nothing listens on port {port}")


async def answer_heartbeats(address: str) -> None:
    """Answer each heartbeat with one."""
    endpoint = Endpoint(address=address, incarnation="endpoint", revision=int)
    endpoint.open()
    while True:
        received = await endpoint.receive()
        await endpoint.send(received.peer, Heartbeat())


async def hold_links(address: str, count: int, seconds: float) -> dict[str, float]:
    """Hold links for a while and return what that cost."""
    inbox: curio.Queue = curio.Queue()
    before = usage_of()
    async with curio.TaskGroup(wait=None) as group:
        for number in range(count):
            link = Link(
                name=f"peer-{number}",
                address=address,
                incarnation="links",
                revision=int,
                inbox=inbox,
            )
            await group.spawn(link.run)
        await group.spawn(_discard, inbox)
        await curio.sleep(SETTLING_SECONDS)
        cpu = own_cpu_seconds()
        await curio.sleep(seconds)
        used = own_cpu_seconds() - cpu
        memory = usage_of().memory_bytes - before.memory_bytes
    return {"cpu_us_per_second": used / seconds * 1e6, "memory_bytes": memory}


async def _discard(inbox: curio.Queue) -> None:
    while True:
        await inbox.get()


def main() -> None:
    """Run the side that the command line names."""
    with curio.Kernel(taskcls=ContextTask) as kernel:
        match sys.argv[1:]:
            case ["endpoint", address]:
                kernel.run(answer_heartbeats, address)
            case ["links", address, count, seconds]:
                used = kernel.run(hold_links, address, int(count), float(seconds))
                print(json.dumps(used), flush=True)


if __name__ == "__main__":
    main()
