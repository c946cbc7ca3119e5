"""Tests of results, errors and exit codes against an in-memory platform."""

import msgspec
import pytest

from ragwortkeel.configuration import INTENTS, NODES, Node, Profile
from ragwortkeel.exceptions import CommandLagging, PlatformUnavailable
from ragwortkeel.runs.intent import Intent, Outcome, Verdict, encode, object_name

CREATE = (
    "profile create chat --customer coop-1 --service interactive "
    "--deadline-seconds 20 --first-token-seconds 1.5 --back-ends large,small"
)
ADD = (
    "upstream add u1 --back-end large --kind model --zone a "
    "--sidecar-address 127.0.0.1:7"
)


def stored(terminal, kind, name, cls):
    return msgspec.json.decode(terminal.platform.peek(kind, name).value, type=cls)


class TestProfiles:
    def test_create_change_show_and_retire(self, terminal):
        assert terminal(CREATE)[0] == 0
        assert terminal("profile change chat --deadline-seconds 9")[0] == 0
        profile = stored(terminal, "profiles", "chat", Profile)
        assert profile.deadline_seconds == 9 and profile.back_ends == ("large", "small")
        assert "interactive" in terminal("profile list")[1]
        shown = msgspec.json.decode(terminal("profile show chat --json")[1])
        assert shown["profile"]["name"] == "chat" and shown["version"] == 3
        assert terminal("profile retire chat")[0] == 0
        assert stored(terminal, "profiles", "chat", Profile).retired

    def test_flags_override_file(self, terminal, tmp_path):
        path = tmp_path / "chat.json"
        path.write_text(
            '{"name":"chat","customer":"007","service":"batch","deadline_seconds":9,'
            '"first_token_seconds":2,"back_ends":["large"],"prepaid_tokens":5}'
        )
        assert terminal(f"profile create 1e5 --file {path} --customer 008")[0] == 0
        profile = stored(terminal, "profiles", "1e5", Profile)
        assert (profile.customer, profile.service) == ("008", "batch")

    @pytest.mark.parametrize(
        ("line", "code", "message"),
        [
            ("profile create chat --customer c", 2, "$.service: found nothing"),
            (CREATE.replace("interactive", "fast"), 2, "one of interactive, batch"),
            (CREATE.replace("20", "-1"), 2, "$.deadline_seconds: found -1"),
            (CREATE.replace("chat", "Chat"), 2, "$.name"),
            (CREATE + " --prepaid-tokens=-5", 2, "$.prepaid_tokens"),
            (CREATE + " --file /no/such.json", 1, "cannot read /no/such.json"),
            ("profile show none", 1, "profile list"),
            ("profile change none --spread wide", 1, "no profile none"),
            ("profile create chat --colour red", 2, "--colour"),
            ("nonsense", 2, "nonsense"),
        ],
    )
    def test_bad_input_changes_nothing(self, terminal, line, code, message):
        found, out, err = terminal(line)
        assert found == code
        assert any(message in line for line in err)
        assert terminal.platform.revision == 0

    def test_misspelt_flag_changes_nothing(self, terminal):
        """Guards against a rejected command that changed the platform.

        fire calls the command before it checks for unused arguments, so a command
        must not act when it is called.
        """
        terminal(CREATE)
        revision = terminal.platform.revision
        assert terminal("profile change chat --spread narrow --dedline 3")[0] == 2
        assert terminal.platform.revision == revision

    def test_retired_profile_cannot_change(self, terminal):
        terminal(CREATE)
        terminal("profile retire chat")
        code, _, err = terminal("profile change chat --spread narrow")
        assert code == 1 and "retired for good" in err[0]
        assert terminal(CREATE)[0] == 3


class TestRaces:
    def test_concurrent_change_is_a_conflict(self, terminal):
        """Guards against a change that overwrites a concurrent one.

        Two operators read one profile and the first writes.  The second, who
        changes another field, must get a conflict.
        """
        terminal(CREATE)
        get = terminal.platform.get

        async def read_before_another_write(kind, name):
            stored = await get(kind, name)
            terminal.platform.get = get
            value = stored.value.replace(b'"wide"', b'"narrow"')
            await terminal.platform.update(kind, name, value, stored.version)
            return stored

        terminal.platform.get = read_before_another_write
        code, _, err = terminal("profile change chat --deadline-seconds 9")
        assert code == 3 and "somebody else" in err[0] and len(err) == 1
        profile = stored(terminal, "profiles", "chat", Profile)
        assert profile.spread == "narrow" and profile.deadline_seconds == 20

    def test_change_of_another_version_is_refused(self, terminal):
        terminal(CREATE)
        change = "profile change chat --spread narrow --version {}"
        assert terminal(change.format(7))[0] == 3
        assert terminal(change.format(1))[0] == 0


class TestPlatformFaults:
    @pytest.mark.parametrize(
        "line", ["profile list", CREATE, "upstream drain u1", "status", "unresolved"]
    )
    def test_platform_down(self, terminal, line):
        terminal.platform.switches.down = True
        code, out, err = terminal(line)
        assert (code, out, len(err)) == (4, "", 1)
        assert "nothing was changed" in err[0]

    @pytest.mark.parametrize(
        ("line", "writes"),
        [
            (CREATE, 2),
            ("profile change chat --spread narrow", 1),
            ("profile top-up chat 100", 1),
            ("profile retire chat", 2),
        ],
    )
    @pytest.mark.parametrize("lost", [0, 1, 2])
    def test_lost_answer_is_resolved_by_reading(self, terminal, line, writes, lost):
        if line != CREATE:
            terminal(CREATE)
        terminal.platform.switches.lost_answers = lost
        before = terminal.platform.revision
        assert terminal(line)[0] == 0
        assert terminal.platform.revision == before + writes

    def test_lost_answer_and_platform_down(self, terminal):
        terminal(CREATE)
        update = terminal.platform.update

        async def lose_and_go_down(*arguments):
            terminal.platform.switches.lost_answers = 1
            try:
                await update(*arguments)
            finally:
                terminal.platform.switches.down = True

        terminal.platform.update = lose_and_go_down
        code, _, err = terminal("profile change chat --spread narrow")
        assert code == 5 and "may or may not" in err[0]


class TestUpstreams:
    def test_drain_return_and_retire(self, terminal):
        terminal(ADD)
        terminal("upstream drain u1")
        assert "draining" in terminal("upstream list")[1]
        assert terminal("upstream return u1")[0] == 0
        assert "serving" in terminal("upstream show u1")[1]
        assert terminal("upstream retire u1")[0] == 0
        code, _, err = terminal("upstream return u1")
        assert code == 1 and "retired" in err[0]


class TestUnresolved:
    @pytest.fixture
    def three_runs(self, terminal):
        for request_id, verdict in (
            ("open", None),
            ("done", Verdict.RAN),
            ("who-knows", Verdict.UNRESOLVED),
        ):
            intent = Intent(
                profile="filing",
                request_id=request_id,
                fingerprint="f",
                nonce="n",
                sidecar="s-1",
                upstream="u1",
                router="r",
                outcome=verdict and Outcome(verdict=verdict, reason="sidecar_gone"),
            )
            name = object_name("filing", request_id)
            terminal.platform.put(INTENTS, name, encode(intent))
        return terminal

    def test_only_unresolved_runs_are_listed(self, three_runs):
        rows = msgspec.json.decode(three_runs("unresolved --json")[1])
        assert [row["request_id"] for row in rows] == ["who-knows"]

    @pytest.mark.parametrize(
        ("word", "verdict"), [("ran", Verdict.RAN), ("not-run", Verdict.NOT_RUN)]
    )
    def test_verdict_is_stored(self, three_runs, word, verdict):
        assert three_runs(f"resolve filing who-knows {word}")[0] == 0
        intent = stored(three_runs, INTENTS, object_name("filing", "who-knows"), Intent)
        assert intent.outcome.verdict is verdict
        assert "nothing unresolved" in three_runs("unresolved")[1]

    @pytest.mark.parametrize(
        ("line", "message"),
        [
            ("open ran", "not unresolved"),
            ("done not-run", "not unresolved"),
            ("none ran", "not unresolved"),
            ("who-knows maybe", "ran or not-run"),
        ],
    )
    def test_bad_input_changes_nothing(self, three_runs, line, message):
        revision = three_runs.platform.revision
        code, _, err = three_runs(f"resolve filing {line}")
        assert code == 1 and message in err[0]
        assert three_runs.platform.revision == revision

    def test_not_run_requires_a_deregistered_sidecar(self, three_runs):
        """Guards against a claim that is filed twice.

        A sidecar is partitioned while it runs a filing.  If an operator resolves
        the filing as not run, the caller's retry runs at another sidecar.
        """
        three_runs.platform.put(NODES, "s-1", b"{}")
        code, _, err = three_runs("resolve filing who-knows not-run")
        assert code == 1 and "still registered" in err[0]
        assert three_runs("resolve filing who-knows ran")[0] == 0


class TestReports:
    def test_wait_names_lagging_processes(self, terminal):
        node = Node(
            incarnation="r1-x",
            role="router",
            zone="a",
            address="127.0.0.1:1",
            http_address="127.0.0.1:1",
        )
        terminal.platform.put(NODES, "r1-x", msgspec.json.encode(node))
        terminal.platform.put(NODES, "odd", b"\xff")
        terminal.platform.live = _unreadable_live
        code, _, err = terminal(CREATE + " --wait 0.1")
        assert code == CommandLagging.exit_code
        assert "r1-x" in err[0] and "accepted" in err[0]
        assert "silent" in terminal("status")[1]


async def _unreadable_live():
    raise PlatformUnavailable("down")
