"""Demonstrates a complete deployment on loopback: ``make demo``.

Starts the stand-ins, two routers and the sidecars as separate processes, creates
profiles with the operators' command line, serves a streamed answer, a complete
answer and a claim filing, prints budget, bill and trace, and stops all processes
gracefully.
"""

import json
import sys
import tempfile
from pathlib import Path

from deployments.deployment import (
    CHAT_PROFILE,
    FILING_PROFILE,
    Deployment,
    add_routers,
    add_upstream,
    create_profile,
)
from deployments.fleet import Fleet, answer_text, send_request, wait_until

TRACE_ID = "5ee0" * 8
TRACEPARENT = f"00-{TRACE_ID}-{'ab' * 8}-01"
PROMPT = "How much diesel duty does a season of 900 litres bring back?"


def print_step(text: str) -> None:
    """Print the heading of the next step."""
    print(f"\n== {text}", flush=True)


def start(fleet: Fleet) -> Deployment:
    """Start all processes and create the profiles."""
    print_step("starting platform, engine, service, sidecars and two routers")
    rv = Deployment(fleet=fleet, platform=fleet.platform())
    add_upstream(rv, "assistant-1", "assistant", "model", token_seconds=0.01)
    add_upstream(rv, "filings-1", "filings", "service")
    add_routers(rv, 2)
    print_step("ragwortkeel profile create")
    create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", 50_000)
    create_profile(fleet, FILING_PROFILE, "must_not_repeat", "filings", 1_000)
    for name in rv.routers:
        rv.wait_serving(name)
    for program in fleet.by_name.values():
        print(f"{program.name}: pid {program.popen.pid}, ports {program.ports}")
    return rv


def serve(deployment: Deployment) -> None:
    """Serve a streamed answer, a complete answer and a claim filing."""
    print_step(f"a streamed answer through router-1 ({CHAT_PROFILE})")
    stream = deployment.stream(
        "router-1", PROMPT, key="demo-stream", traceparent=TRACEPARENT, max_tokens=20
    )
    events = list(stream.events())
    print(f"status {stream.status}, {len(events)} events: {answer_text(events)}")
    print_step("a complete answer through router-2")
    answer = deployment.chat("router-2", PROMPT, key="demo-whole", max_tokens=20)
    print(f"status {answer.status}: {answer.body.decode()}")
    print_step("a claim filing through router-1, repeated through router-2")
    claim = {"claim": "2026-0042", "litres": 900}
    for router in ("router-1", "router-2"):
        filed = deployment.file(router, claim, key="claim-2026-0042")
        print(f"{router}: status {filed.status}: {filed.body.decode()}")
    print(f"the service ran it {deployment.run_counts()['claim-2026-0042']} time(s)")


def print_accounts(deployment: Deployment) -> None:
    """Print budget, bill and trace."""
    fleet = deployment.fleet
    print_step("ragwortkeel profile show")
    print(json.dumps(fleet.command("profile", "show", CHAT_PROFILE), indent=2))
    print_step("ragwortkeel bill")
    wait_until(lambda: fleet.command("bill", CHAT_PROFILE), "the bill is written")
    print(json.dumps(fleet.command("bill", CHAT_PROFILE), indent=2))
    print_step(f"the trace {TRACE_ID}, hop by hop")
    for span in spans_of(deployment):
        milliseconds = (span["end_ns"] - span["start_ns"]) / 1e6
        print(f"{span['node']:<24} {span['name']:<12} {milliseconds:8.2f} ms")


def spans_of(deployment: Deployment) -> list[dict]:
    """Return the spans of the demo's trace from all processes, by start."""
    ports = [p.ports["metrics"] for p in deployment.routers.values()]
    ports += [p.ports["metrics"] for p in deployment.sidecars.values()]
    ports += [deployment.upstreams["assistant-1"].ports["http"]]
    answers = [send_request(port, "GET", f"/traces/{TRACE_ID}") for port in ports]
    spans = [span for a in answers if a.status == 200 for span in a.json["spans"]]
    return sorted(spans, key=lambda span: span["start_ns"])


def stop(deployment: Deployment) -> bool:
    """Stop all processes gracefully; return whether each exited with code 0."""
    print_step("SIGTERM to the routers, then to the sidecars and the stand-ins")
    groups = (deployment.routers, deployment.sidecars, deployment.upstreams)
    programs = [program for group in groups for program in group.values()]
    clean = True
    for program in [*programs, deployment.platform]:
        code = program.terminate()
        print(f"{program.name}: exit code {code}")
        clean = clean and code == 0
    return clean


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory))
        try:
            deployment = start(fleet)
            serve(deployment)
            print_accounts(deployment)
            clean = stop(deployment)
        except BaseException:
            print(fleet.log_tails(), file=sys.stderr)
            raise
        finally:
            fleet.close()
    print_step("done" if clean else "some processes exited with an error")
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
