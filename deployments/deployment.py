"""Starts complete deployments on loopback and sends requests to them."""

from dataclasses import dataclass, field

from deployments.fleet import (
    HOST,
    Fleet,
    Program,
    Stream,
    send_request,
    send_without_waiting,
    wait_until,
)

CHAT_PATH = "/v1/chat/completions"
CHAT_PROFILE = "advisor-chat"
FILING_PROFILE = "claim-filing"
PREPAID_TOKENS = 1_000_000


@dataclass(kw_only=True)
class Deployment:
    """The processes of one deployment, by name."""

    fleet: Fleet
    platform: Program
    upstreams: dict[str, Program] = field(default_factory=dict)
    sidecars: dict[str, Program] = field(default_factory=dict)
    routers: dict[str, Program] = field(default_factory=dict)

    def chat(self, router, prompt, *, key="", traceparent="", **fields):
        """Send a chat request and return its complete answer."""
        headers = request_headers(key, traceparent)
        body = chat_body(prompt, **fields)
        return send_request(self.port(router), "POST", CHAT_PATH, body, headers)

    def stream(self, router, prompt, *, key="", traceparent="", **fields):
        """Send a chat request and return its answer as a `Stream`."""
        headers = request_headers(key, traceparent)
        body = chat_body(prompt, stream=True, **fields)
        return Stream(self.port(router), CHAT_PATH, body, headers)

    def file(self, router, body, *, key="", profile=FILING_PROFILE):
        """File a claim and return the answer."""
        headers = request_headers(key)
        path = f"/v1/profiles/{profile}/calls"
        return send_request(self.port(router), "POST", path, body, headers)

    def file_without_waiting(self, router, body, *, key, profile=FILING_PROFILE):
        """Send a claim filing and return its open connection."""
        path = f"/v1/profiles/{profile}/calls"
        return send_without_waiting(self.port(router), path, body, request_headers(key))

    def port(self, router):
        """Return the port on which a router serves callers."""
        return self.routers[router].ports["http"]

    def run_counts(self):
        """Return how many runs each request id started, over all upstreams."""
        counts = {}
        for upstream in self.upstreams.values():
            executions = self.fleet.executions(upstream)
            executions = executions.get("count_by_request_id", executions)
            for request_id, count in executions.items():
                counts[request_id] = counts.get(request_id, 0) + count
        return counts

    def upstream_running(self, request_id):
        """Return the name of the upstream that started a run of the request."""
        for name, upstream in self.upstreams.items():
            if request_id in self.fleet.executions(upstream):
                return name
        raise AssertionError(f"{request_id} runs nowhere")

    def wait_serving(self, router, profile=CHAT_PROFILE):
        """Wait until the router answers a chat request with status 200."""
        wait_until(
            lambda: (
                self.chat(router, "ready?", model=profile, max_tokens=1).status == 200
            ),
            f"{router} serves {profile}",
        )


def request_headers(key, traceparent=""):
    """Return the headers for an idempotency key and a trace, if given."""
    fields = {"idempotency-key": key, "traceparent": traceparent}
    return {name: value for name, value in fields.items() if value}


def chat_body(prompt, *, model=CHAT_PROFILE, **fields):
    """Return the body of a chat request with one user message."""
    message = {"role": "user", "content": prompt}
    return {"model": model, "messages": [message]} | fields


def chat_deployment(fleet, *, engines=1, routers=2, prepaid=PREPAID_TOKENS, **options):
    """Start engines with their sidecars and routers, and create a chat profile."""
    rv = Deployment(fleet=fleet, platform=fleet.platform())
    for number in range(1, engines + 1):
        add_upstream(rv, f"engine-{number}", "assistant", "model", **options)
    add_routers(rv, routers)
    create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", prepaid)
    for name in rv.routers:
        rv.wait_serving(name)
    return rv


def filing_deployment(fleet, *, routers=2, prepaid=PREPAID_TOKENS):
    """Start a service with its sidecar and routers, and create a filing profile."""
    rv = Deployment(fleet=fleet, platform=fleet.platform())
    add_upstream(rv, "filings-1", "filings", "service")
    add_routers(rv, routers)
    create_profile(fleet, FILING_PROFILE, "must_not_repeat", "filings", prepaid)
    for name in rv.routers:
        wait_until(
            lambda name=name: rv.file(name, {"ready": name}).status == 200,
            f"{name} files",
        )
    return rv


def add_upstream(
    deployment, name, back_end, kind, *, forwarded=False, resumes=False, **options
):
    """Start an upstream and its sidecar, and add the upstream to the configuration."""
    fleet = deployment.fleet
    start = fleet.service if kind == "service" else fleet.engine
    upstream = start(f"{name}-program", **options)
    sidecar = fleet.sidecar(name, upstream, kind)
    port = sidecar.ports["address"]
    if forwarded:
        port = fleet.forwarder(f"{name}-forwarder", port).ports["tcp"]
    deployment.upstreams[name] = upstream
    deployment.sidecars[name] = sidecar
    flags = {
        "back_end": back_end,
        "kind": kind,
        "zone": "zone-a",
        "sidecar_address": f"{HOST}:{port}",
        "resumes": resumes,
    }
    fleet.command("upstream", "add", name, *command_flags(flags))


def add_routers(deployment, count):
    """Start routers and wait until they are ready."""
    fleet = deployment.fleet
    for number in range(1, count + 1):
        name = f"router-{number}"
        deployment.routers[name] = fleet.router(name)
    fleet.wait_ready(*deployment.routers.values())


def create_profile(fleet, name, service, back_end, prepaid, **fields):
    """Create a profile with a prepaid budget."""
    flags = {
        "customer": "surco",
        "service": service,
        "deadline_seconds": 60,
        "first_token_seconds": 30,
        "back_ends": back_end,
        "prepaid_tokens": prepaid,
    } | fields
    fleet.command("profile", "create", name, *command_flags(flags))


def command_flags(values):
    """Return a command line flag for each value."""
    return [f"--{key}={value}" for key, value in values.items()]
