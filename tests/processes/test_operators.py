"""Operators at their command line, against a running fleet."""

from deployments.deployment import CHAT_PROFILE, chat_deployment
from deployments.fleet import TIMEOUT_SECONDS


class TestRaces:
    def test_changes_at_the_same_moment_lose_nothing(self, fleet):
        """Two operators change a profile and two top it up, all at once.

        Each is told the truth: a change took effect or was refused as a
        conflict; every top-up that was accepted counts once.
        """
        deployment = chat_deployment(fleet, routers=1)
        before = fleet.command("profile", "show", CHAT_PROFILE)
        pinned = f"--version={before['version']}"
        commands = [
            ("profile", "change", CHAT_PROFILE, pinned, "--deadline_seconds=41"),
            ("profile", "change", CHAT_PROFILE, pinned, "--deadline_seconds=42"),
            ("profile", "top-up", CHAT_PROFILE, 1_000),
            ("profile", "top-up", CHAT_PROFILE, 2_000),
        ]
        started = [fleet.start_command(*one) for one in commands]
        codes = [popen.wait(TIMEOUT_SECONDS) for popen in started]
        assert sorted(codes[:2]) == [0, 3]
        assert codes[2:] == [0, 0]
        after = fleet.command("profile", "show", CHAT_PROFILE)
        winner = 41 if codes[0] == 0 else 42
        assert after["profile"]["deadline_seconds"] == winner
        added = after["budget"]["prepaid"] - before["budget"]["prepaid"]
        assert added == 3_000
        assert deployment.chat("router-1", "still served").status == 200


class TestRetired:
    def test_retired_profile_is_refused_everywhere_and_stays_so(self, fleet):
        """An operator retires a profile; a router that starts later agrees."""
        deployment = chat_deployment(fleet)
        fleet.command("profile", "retire", CHAT_PROFILE, "--wait=30")
        fresh = fleet.router("router-9")
        deployment.routers["router-9"] = fresh
        fleet.wait_ready(fresh)
        for router in deployment.routers:
            answer = deployment.chat(router, "hello")
            assert (answer.status, answer.json["outcome"]) == (410, "not_run")
