"""Entries of another writer with the address of an upstream that answers for itself."""

import curio
import msgspec
from tests.ingress.builders import upstream
from tests.ingress.in_process import answer_whole, plain, run_ingress, stream_whole

from ragwortkeel.ingress.configuration import UPSTREAMS_KIND


async def answer_for_itself(seen, sock):
    """Refuse what is meant for another instance, as an upstream does."""
    if seen.headers["x-for-instance"] == "claim":
        await sock.sendall(plain(seen, b"", status="421 Other", proof=False))
        return True
    return await answer_whole(seen, sock)


def test_requests_are_served_beside_a_complete_entry_at_the_address():
    """Guards against a service whose only upstream another writer displaces."""

    async def scenario(fleet):
        server = fleet.upstreams["u1"]
        await fleet.register(server, started_ms=1000)
        entry = upstream(
            "claim", service="app", port=server.port, slots=6, started_ms=9000
        )
        await fleet.write(UPSTREAMS_KIND, "claim", msgspec.json.encode(entry))
        while fleet.workers[0]._directory.get("claim") is None:
            await curio.sleep(0.01)
        answers = [await fleet.ask("/lookup/1") for _ in range(5)]
        return [answer.status for answer in answers]

    scripts = {"u1": answer_for_itself, "e1": stream_whole}
    statuses = run_ingress(scenario, scripts=scripts)
    assert statuses[-4:] == [200] * 4
    assert statuses[0] in (200, 503)
