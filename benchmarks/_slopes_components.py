"""What single parts cost in one process: codec, choice of upstream, HTTP."""

from collections.abc import Callable
from random import Random

import curio
from curio.task import ContextTask

from benchmarks._slopes_fit import own_cpu_seconds, report_slope
from ragwortkeel.configuration import ServiceClass
from ragwortkeel.httpio import HttpClient, HttpServer, Request, Responder
from ragwortkeel.messages import Chunk, Envelope, decode, encode
from ragwortkeel.policy.facts import Assignment, RequestFacts, UpstreamFacts
from ragwortkeel.policy.scheduler import Scheduler

BODY_BYTES = (1_000, 10_000, 100_000)
UPSTREAMS = (10, 100, 1_000, 10_000)
CHUNKS = (10, 100, 1_000)
HTTP_ROUNDS = 200


def measure_components() -> None:
    """Report the slopes of all parts."""
    measure_codec()
    measure_choice()
    measure_streaming()


def measure_codec() -> None:
    """One message encoded and decoded, by its size."""
    points = []
    for size in BODY_BYTES:
        message = Chunk(nonce="n" * 32, offset=0, data=b"x" * size)
        envelope = Envelope(sender="router-1-0011", revision=7, message=message)
        points.append((size, _mean_us(lambda e=envelope: decode(encode(e)), 2_000)))
    report_slope("codec_round", "us", "byte", points)


def measure_choice() -> None:
    """One request offered and ended at the scheduler, by upstreams in service."""
    points = []
    for count in UPSTREAMS:
        scheduler = Scheduler(zone="a", random=Random(1))
        facts = [
            UpstreamFacts(name=f"u{i}", back_end="model", zone="abc"[i % 3])
            for i in range(count)
        ]
        scheduler.set_upstreams(facts, now=0.0)
        rounds = max(20, 20_000 // count)
        points.append(
            (count, _mean_us(lambda s=scheduler: _schedule_request(s), rounds))
        )
    report_slope("choice", "us", "upstream", points)


def _schedule_request(scheduler: Scheduler) -> None:
    request = RequestFacts(
        request_id="r1",
        profile="chat",
        customer="coop",
        service_class=ServiceClass.INTERACTIVE,
        back_ends=("model",),
        deadline=1e6,
        first_token_deadline=1e6,
        cost=400,
    )
    decision = scheduler.offer(request, now=1.0)
    if not isinstance(decision, Assignment):
        raise RuntimeError(f"an idle fleet did not take a request: {decision}")
    scheduler.record_finish("r1", now=1.0)


def measure_streaming() -> None:
    """Stream answers by their chunks, server and client in one process."""
    with curio.Kernel(taskcls=ContextTask) as kernel:
        points = [(n, kernel.run(_stream_us, n)) for n in CHUNKS]
    report_slope("http_stream_both_ends", "us", "piece", points)


async def _stream_us(chunks: int) -> float:
    async def handler(request: Request, responder: Responder) -> None:
        await responder.start(200, {})
        for _ in range(chunks):
            await responder.send(b"data: 0123456789\n\n")
        await responder.finish()

    server = HttpServer(host="127.0.0.1", port=0, handler=handler)
    server.open()
    client = HttpClient(host="127.0.0.1", port=server.port)
    rounds = max(5, HTTP_ROUNDS * 10 // chunks)
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(server.serve)
        before = own_cpu_seconds()
        for _ in range(rounds):
            await client.request("GET", "/", timeout=30)
        used = own_cpu_seconds() - before
        await client.close()
    return used / rounds * 1e6


def _mean_us(call: Callable[[], object], rounds: int) -> float:
    call()
    before = own_cpu_seconds()
    for _ in range(rounds):
        call()
    return (own_cpu_seconds() - before) / rounds * 1e6
