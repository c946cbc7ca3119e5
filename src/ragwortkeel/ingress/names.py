"""Names of the headers that callers, the ingress and upstreams exchange.

A deployment may use names of its own.  All names are lower case, as in h11.
"""

from dataclasses import dataclass
from functools import cached_property

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
"""Headers that are not forwarded, because each connection or sender sets its own."""


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Names of the headers that the ingress reads or sets.

    Attributes
    ----------
    request_id : str
        Id of one request of a caller; upstreams echo it.
    deadline : str
        Milliseconds for which the sender still waits.
    usage : str
        Tokens of the prompt and of the largest answer, ``PROMPT,ANSWER``.
    parts : str
        Blocks of the prompt in order, ``ID:TOKENS,...``.
    expect_instance : str
        Upstream instance that is to run the request; other instances reject it.
    customer : str
        Name of the customer, sent to the upstream.
    urgency : str
        Rank among the requests of an engine, 0 first.
    not_run : str
        In a response of an upstream: it did not run the request.
    proof : str
        In a response of an upstream: its signature, required for a success.
    last_event : str
        Id of the last event that the caller received.
    resumes : str
        With `last_event`: id of the request that brought the first event of the
        stream.
    rate_limit : str
        In a response of an upstream: requests a second that it accepts from the
        whole fleet; a response without the header ends the limit.
    leaving : str
        In a response of an upstream: 1 if it leaves, so that it must get no new
        request.
    reserved : frozenset of str
        Headers that only the ingress may set; those of a caller are dropped.
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
    resumes: str = "x-resumes"
    rate_limit: str = "x-rate-limit"
    leaving: str = "x-leaving"
    reserved: frozenset[str] = frozenset()

    @cached_property
    def dropped(self) -> frozenset[str]:
        """Headers of a caller that are dropped or replaced before forwarding."""
        own = {self.deadline, self.expect_instance, self.customer, self.urgency}
        return HOP_BY_HOP | self.reserved | own | {"authorization"}
