"""The largest cost of a request and its actual cost, in tokens."""

from dataclasses import dataclass

from ragwortkeel.http_events import whole_number
from ragwortkeel.ingress.prefixes import PromptBlock

MAX_UNRECEIVED_EVENTS = 3
"""Events charged in addition to those received from a stream that broke off.

An upstream may have produced them before it noticed the close; it produces one event
per decoding step of its batch.
"""


@dataclass(frozen=True, kw_only=True)
class Usage:
    """The bound that a caller states for the tokens of one request.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt.
    answer_tokens : int
        Largest length of the answer.
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def total_tokens(self) -> int:
        """Tokens to reserve for the request."""
        return self.prompt_tokens + self.answer_tokens

    def cost(self, *, events: int, event_tokens: int, complete: bool) -> int:
        """Return the tokens to charge for the request.

        Parameters
        ----------
        events : int
            Events of the answer that were received.
        event_tokens : int
            Tokens of one event.
        complete : bool
            Whether the answer was received up to its end.
        """
        charged_events = events if complete else events + MAX_UNRECEIVED_EVENTS
        return self.prompt_tokens + min(
            self.answer_tokens, charged_events * event_tokens
        )


def parse_usage(text: str) -> Usage | None:
    """Return the usage in a ``PROMPT,ANSWER`` header; None if it is invalid."""
    prompt, _, answer = text.partition(",")
    try:
        usage = Usage(prompt_tokens=int(prompt), answer_tokens=int(answer))
    except ValueError:
        return None
    return usage if min(usage.prompt_tokens, usage.answer_tokens) >= 0 else None


def parse_prompt_blocks(text: str) -> tuple[PromptBlock, ...]:
    """Return the prompt blocks in an ``ID:TOKENS,...`` header.

    The first invalid block and all blocks after it are ignored.
    """
    blocks = []
    for item in text.split(","):
        block_id, _, tokens = item.strip().partition(":")
        if not block_id or (count := whole_number(tokens)) is None:
            break
        blocks.append(PromptBlock(block_id=block_id, tokens=count))
    return tuple(blocks)
