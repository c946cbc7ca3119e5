"""Query the processes of the fleet over their metrics ports.

Only a process knows which configuration it has in force.  Querying all processes
costs the platform one list call, whatever the size of the fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from time import monotonic
from typing import TypeVar

import curio
import msgspec

from ragwortkeel.cli.objects import list_kind
from ragwortkeel.configuration import NODES, PROFILES, UPSTREAMS, Node, Role
from ragwortkeel.configuration_store import InForce
from ragwortkeel.exceptions import CommandLagging, HttpError, PlatformError
from ragwortkeel.httpio import HttpClient
from ragwortkeel.platform import Platform
from ragwortkeel.settings import Address
from ragwortkeel.traces import SpanRecord, TraceReport

PROCESS_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_REQUESTS = 50
POLL_INTERVAL_SECONDS = 0.2

Body = TypeVar("Body")


@dataclass(frozen=True, kw_only=True)
class ProcessState:
    """A registered process and its answer.

    `in_force` is None if the process did not answer, `listed` is None if the
    platform's list of instances could not be read.
    """

    node: Node
    in_force: InForce | None
    listed: bool | None


async def list_registered(platform: Platform) -> list[Node]:
    """Return the registered processes in order of role, zone and name."""
    listing = await list_kind(platform, NODES)
    nodes = []
    for stored in listing.by_name.values():
        try:
            nodes.append(msgspec.json.decode(stored.value, type=Node))
        except msgspec.DecodeError:
            # An unreadable registration must not hide the others.
            continue
    return sorted(nodes, key=lambda node: (node.role, node.zone, node.incarnation))


async def fetch_states(
    platform: Platform, nodes: Iterable[Node], *, kind: str = "", name: str = ""
) -> list[ProcessState]:
    """Return what each process has in force, of one object if `kind` is given."""
    live = await _live_addresses(platform)
    target = f"/in-force?kind={kind}&name={name}"
    asked = await _ask_all(nodes, target, InForce)
    return [
        ProcessState(
            node=node,
            in_force=answer,
            listed=None if live is None else node.address in live,
        )
        for node, answer in asked
    ]


async def wait_in_force(
    platform: Platform, *, kind: str, name: str, version: int, seconds: float
) -> int:
    """Wait until all processes have the version in force; return their number.

    Raises
    ------
    CommandLagging
        If a process does not have it in force within `seconds`.
    """
    deadline = monotonic() + seconds
    while True:
        nodes = processes_to_update(
            await list_registered(platform), kind=kind, name=name
        )
        found = await fetch_states(platform, nodes, kind=kind, name=name)
        lagging = lagging_processes(found, version)
        if not lagging:
            return len(found)
        if monotonic() >= deadline:
            raise CommandLagging(
                f"{kind}/{name} version {version} is accepted, but after {seconds:g} s "
                f"not in force on {', '.join(lagging)}; see `ragwortkeel status`"
            )
        await curio.sleep(POLL_INTERVAL_SECONDS)


def processes_to_update(nodes: Iterable[Node], *, kind: str, name: str) -> list[Node]:
    """Return the processes that have to apply a change.

    Routers use every profile and upstream.  A sidecar only uses the object of its
    own upstream; it receives profile versions with the requests.
    """
    return [
        node
        for node in nodes
        if (node.role == Role.ROUTER and kind in (PROFILES, UPSTREAMS))
        or (kind == UPSTREAMS and node.upstream == name)
    ]


def lagging_processes(found: Iterable[ProcessState], version: int) -> list[str]:
    """Return descriptions of the processes where a version is not in force.

    A process that does not answer counts as lagging, unless the platform's list of
    instances lacks it too: then it stopped without deregistering.
    """
    lagging = []
    for state in found:
        name = state.node.incarnation
        if state.in_force is None:
            if state.listed is not False:
                lagging.append(f"{name} (no answer from {state.node.http_address})")
        elif (state.in_force.version or 0) < version:
            version_in_force = state.in_force.version
            lagging.append(
                f"{name} ({'none' if version_in_force is None else version_in_force})"
            )
    return lagging


async def fetch_spans(platform: Platform, trace_id: str) -> list[SpanRecord]:
    """Return the spans of a trace from all processes that answer, by start."""
    nodes = await list_registered(platform)
    asked = await _ask_all(nodes, f"/traces/{trace_id}", TraceReport)
    found = {
        span.span_id: span for _, report in asked if report for span in report.spans
    }
    return sorted(found.values(), key=lambda span: span.start_ns)


async def _live_addresses(platform: Platform) -> set[str] | None:
    try:
        return {instance.address for instance in (await platform.live()).values()}
    except PlatformError:
        return None


async def _ask_all(
    nodes: Iterable[Node], target: str, cls: type[Body]
) -> list[tuple[Node, Body | None]]:
    slots = curio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def ask(node: Node) -> tuple[Node, Body | None]:
        async with slots:
            return node, await _ask(node, target, cls)

    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(ask, node) for node in nodes]
    return [task.result for task in tasks]


async def _ask(node: Node, target: str, cls: type[Body]) -> Body | None:
    try:
        address = Address.parse(node.http_address)
    except ValueError:
        return None
    client = HttpClient(host=address.host, port=address.port)
    try:
        response = await client.request("GET", target, timeout=PROCESS_TIMEOUT_SECONDS)
        return msgspec.json.decode(response.body, type=cls)
    except (HttpError, msgspec.DecodeError):
        return None
    finally:
        await client.close()


async def in_force_note(
    platform: Platform, *, kind: str, name: str, version: int, wait: float
) -> str:
    """Wait if `wait` is given; return the addition to the command's output."""
    if not wait:
        return ""
    count = await wait_in_force(
        platform, kind=kind, name=name, version=version, seconds=float(wait)
    )
    return f", in force on {count} nodes"
