"""The examples that need no processes run and show what their pages say."""

from examples.embed import main


class TestEmbed:
    def test_it_shows_what_the_api_page_says(self, capsys):
        main()
        lines = capsys.readouterr().out.splitlines()
        assert lines == ["spent=180 rest=820", "charged=180", "upstream=m1"]
