"""What a request may cost at most, and what it cost, in tokens."""

from dataclasses import dataclass

from ragwortkeel.ingress.prefixes import PromptBlock

MAX_UNRECEIVED_EVENTS = 3
"""Events an upstream may have made between the last one that got here and the
close of a stream that was broken off; one step of its batch makes one."""


@dataclass(frozen=True, kw_only=True)
class Usage:
    """A caller's own bound of one request.

    Attributes
    ----------
    prompt_tokens, answer_tokens : int
        Length of the prompt, largest length of the answer.
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def total_tokens(self) -> int:
        """Tokens to set aside."""
        return self.prompt_tokens + self.answer_tokens

    def cost(self, *, events: int, event_tokens: int, complete: bool) -> int:
        """Return the tokens to charge once a run has ended.

        Parameters
        ----------
        events : int
            Events of the answer that were seen here.
        complete : bool
            Whether the answer came to its end.
        """
        charged_events = events if complete else events + MAX_UNRECEIVED_EVENTS
        return self.prompt_tokens + min(
            self.answer_tokens, charged_events * event_tokens
        )


def parse_usage(text: str) -> Usage | None:
    """Return the usage in ``PROMPT,ANSWER``; None where it is none."""
    prompt, _, answer = text.partition(",")
    try:
        usage = Usage(prompt_tokens=int(prompt), answer_tokens=int(answer))
    except ValueError:
        return None
    return usage if min(usage.prompt_tokens, usage.answer_tokens) >= 0 else None


def parse_prompt_blocks(text: str) -> tuple[PromptBlock, ...]:
    """Return the prompt's parts in ``ID:TOKENS,...``; what is unreadable ends them."""
    blocks = []
    for item in text.split(","):
        block_id, _, tokens = item.strip().partition(":")
        if not block_id or not tokens.isdecimal():
            break
        blocks.append(PromptBlock(block_id=block_id, tokens=int(tokens)))
    return tuple(blocks)
