"""Header names of callers and upstreams; a deployment may have its own.

All names are lower case, as h11 shows them.
"""

from dataclasses import dataclass

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection, or that the sending side sets itself."""


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """What the headers that the ingress reads or sets are called.

    Attributes
    ----------
    request_id : str
        Names one try of a caller; upstreams echo it.
    deadline : str
        Milliseconds that the sender still waits.
    usage : str
        Prompt tokens and largest answer, ``PROMPT,ANSWER``.
    parts : str
        Parts of the prompt in order, ``ID:TOKENS,...``.
    expect_instance : str
        Upstream instance that is to run the request; others turn it away.
    customer : str
        Name of the customer, for the upstream.
    urgency : str
        Rank among an engine's requests, 0 first.
    not_run : str
        In an upstream's answer: it did not run the request.
    proof : str
        In an upstream's answer: its signature, without which no success counts.
    last_event : str
        Id of the last event that the caller has.
    rate_limit : str
        In an upstream's answer: requests a second that it takes from the whole fleet;
        an answer without it ends the limit.
    reserved : frozenset of str
        Headers that only the ingress may set; a caller's are dropped.
    """

    request_id: str = "x-request-id"
    deadline: str = "x-deadline-ms"
    usage: str = "x-token-bound"
    parts: str = "x-prompt-parts"
    expect_instance: str = "x-for-instance"
    customer: str = "x-customer"
    urgency: str = "x-urgency"
    not_run: str = "x-not-run"
    proof: str = "x-upstream-proof"
    last_event: str = "last-event-id"
    rate_limit: str = "x-rate-limit"
    reserved: frozenset[str] = frozenset()

    @property
    def dropped(self) -> frozenset[str]:
        """Headers of a caller that no upstream gets as they came."""
        own = {self.deadline, self.expect_instance, self.customer, self.urgency}
        return HOP_BY_HOP | self.reserved | own | {"authorization"}
