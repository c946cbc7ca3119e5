"""Tests that the operators' pages describe every refusal reason and error answer."""

from pathlib import Path

import pytest

from ragwortkeel.ingress import error_responses
from ragwortkeel.ingress.error_responses import ErrorResponse
from ragwortkeel.router.refusals import Reason

OPERATORS = Path(__file__).parents[1] / "docs" / "operators"


class TestOperatorPages:
    @pytest.mark.parametrize("reason", list(Reason))
    def test_every_reason_of_a_refusal_is_explained(self, reason):
        pages = [page.read_text() for page in OPERATORS.glob("*.md")]
        assert any(f"`{reason}`" in page for page in pages)

    @pytest.mark.parametrize(
        "answer",
        [
            response
            for response in vars(error_responses).values()
            if isinstance(response, ErrorResponse)
        ],
        ids=lambda answer: answer.reason,
    )
    def test_every_answer_of_the_ingress_is_explained(self, answer):
        page = (OPERATORS / "ingress.md").read_text()
        assert f"| `{answer.reason}` | {answer.status} |" in page
