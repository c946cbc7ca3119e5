"""The pages keep up with the code."""

from pathlib import Path

import pytest

from ragwortkeel.router.refusals import Reason

OPERATORS = Path(__file__).parents[1] / "docs" / "operators"


class TestOperatorsPages:
    @pytest.mark.parametrize("reason", list(Reason))
    def test_every_reason_of_a_refusal_is_explained(self, reason):
        pages = [page.read_text() for page in OPERATORS.glob("*.md")]
        assert any(f"`{reason}`" in page for page in pages)
