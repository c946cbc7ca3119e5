"""Tests of the examples that need no processes: their output is as documented."""

from examples.embed import main


class TestEmbed:
    def test_output_is_as_on_the_api_page(self, capsys):
        main()
        lines = capsys.readouterr().out.splitlines()
        assert lines == ["spent=180 rest=820", "charged=180", "upstream=m1"]
