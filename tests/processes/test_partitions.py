"""Tests of routers disconnected from the platform, also at their start."""

import signal

from deployments.deployment import (
    CHAT_PROFILE,
    FILING_PROFILE,
    Deployment,
    add_routers,
    add_upstream,
    chat_deployment,
    create_profile,
)
from deployments.fleet import HOST, accepts_connections, send_request, wait_until

LONG_PROMPT = "a whole season's dossier " * 80
FORWARDER = "way-to-the-platform"


class TestDisconnectedFromThePlatform:
    def test_serves_from_its_slice_and_sees_the_top_up_once_reconnected(self, fleet):
        """Guards against overspending while one router is disconnected.

        The disconnected router serves from its slice and then refuses with reason
        budget_unreachable, while the connected router uses the remaining budget.
        After a top-up, the connected router serves immediately and the other one
        when it is reconnected.
        """
        prepaid = 14_000
        deployment = forwarded_deployment(fleet, prepaid=prepaid)
        paid = settled(deployment)
        disconnect(fleet)
        served, refused = use_up(deployment, "router-1", "budget_unreachable")
        assert served
        assert (refused.status, refused.json["outcome"]) == (503, "not_run")
        assert int(refused.headers["retry-after"]) > 0
        more, refused = use_up(deployment, "router-2", "budget_exhausted")
        served += more
        assert paid + tokens_of(served) <= prepaid
        assert budget(fleet)["held"] <= prepaid

        fleet.command("profile", "top-up", CHAT_PROFILE, prepaid)
        served.append(wait_until(lambda: accepted(deployment, "router-2"), "topped up"))
        still, _ = use_up(deployment, "router-1", "budget_unreachable")
        served += still
        reconnect(fleet)
        served.append(wait_until(lambda: accepted(deployment, "router-1"), "healed"))
        known = paid + tokens_of(served)
        assert wait_until(lambda: settled(deployment), "all is settled") == known
        assert known <= budget(fleet)["held"] <= 2 * prepaid
        assert set(deployment.run_counts().values()) == {1}


class TestConfigurationWhileDisconnected:
    def test_change_reaches_a_disconnected_router_through_its_peer(self, fleet):
        """Guards against routers that use an older version of a profile.

        A peer forwards changes to the disconnected router.  The output limit and
        then the retirement come into force at both, and reconnecting restores no
        older version.
        """
        deployment = forwarded_deployment(fleet)
        disconnect(fleet)
        command = ("profile", "change", CHAT_PROFILE, "--max_output_tokens=8")
        changed = fleet.command(*command)["version"]
        wait_in_force(deployment, changed)
        for router in deployment.routers:
            usage = deployment.chat(router, LONG_PROMPT).json["usage"]
            assert usage["completion_tokens"] == 8
        fleet.command("profile", "retire", CHAT_PROFILE)
        retired = fleet.command("profile", "show", CHAT_PROFILE)["version"]
        wait_in_force(deployment, retired)
        assert refusals(deployment) == {(410, "not_run")}
        reconnect(fleet)
        create_profile(fleet, "later", "interactive", "assistant", 50_000)
        deployment.wait_serving("router-1", "later")
        assert in_force(deployment.routers["router-1"]) == retired
        assert refusals(deployment) == {(410, "not_run")}


class TestStartedDuringAnOutage:
    def test_gets_the_configuration_from_its_peer_and_refuses_without_tokens(
        self, fleet
    ):
        """Guards against a router that cannot start during an outage.

        The router receives profiles and upstreams from its configured peer.  It
        has no tokens and cannot record a filing, so it refuses with a retry-after
        header, and serves once the platform is back.
        """
        deployment = Deployment(fleet=fleet, platform=fleet.platform())
        add_upstream(deployment, "engine-1", "assistant", "model")
        add_upstream(deployment, "filings-1", "filings", "service")
        add_routers(deployment, 1)
        create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", 50_000)
        create_profile(fleet, FILING_PROFILE, "must_not_repeat", "filings", 50_000)
        deployment.wait_serving("router-1")
        before = deployment.run_counts()
        fleet.set_switches(deployment.platform, down=True)
        peer = f"{HOST}:{deployment.routers['router-1'].ports['address']}"
        deployment.routers["late"] = fleet.router("late", peers=[peer])
        fleet.wait_ready(deployment.routers["late"])
        refused = wait_until(
            lambda: refused_for(deployment, "late", "budget_unreachable"),
            "the late router refuses with budget_unreachable",
        )
        assert (refused.status, refused.json["outcome"]) == (503, "not_run")
        assert int(refused.headers["retry-after"]) > 0
        unnamed = deployment.file("late", {"claim": 0})
        assert unnamed.json["outcome"] == "not_run"
        named = deployment.file("late", {"claim": 1}, key="claim-1")
        assert named.json["outcome"] in ("not_run", "unknown")
        assert deployment.run_counts() == before
        fleet.set_switches(deployment.platform, down=False)
        deployment.wait_serving("late")
        wait_until(
            lambda: deployment.file("late", {"claim": 1}, key="claim-1").status == 200,
            "the filing runs once the platform is back",
        )
        assert deployment.run_counts()["claim-1"] == 1


def forwarded_deployment(fleet, **options):
    """Return two routers; the first reaches the platform through a forwarder."""
    rv = chat_deployment(fleet, routers=0, **options)
    forwarder_port = fleet.forwarder(FORWARDER, fleet.platform_port).ports["tcp"]
    rv.routers["router-1"] = fleet.router(
        "router-1", platform=f"{HOST}:{forwarder_port}"
    )
    rv.routers["router-2"] = fleet.router("router-2")
    fleet.wait_ready(*rv.routers.values())
    for router in rv.routers:
        rv.wait_serving(router)
    wait_until(lambda: settled(rv), "both have a slice and all runs are settled")
    return rv


def disconnect(fleet):
    forwarder = fleet.by_name[FORWARDER]
    forwarder.send(signal.SIGUSR2)
    wait_until(lambda: not passes(forwarder), "the forwarder is disconnected")


def reconnect(fleet):
    forwarder = fleet.by_name[FORWARDER]
    forwarder.send(signal.SIGUSR2)
    wait_until(lambda: passes(forwarder), "the forwarder is connected")


def passes(forwarder):
    port = forwarder.ports["tcp"]
    assert accepts_connections(port)
    try:
        return send_request(port, "GET", "/counts").status == 200
    except OSError:
        return False


def accepted(deployment, router):
    answer = deployment.chat(router, LONG_PROMPT, max_tokens=100)
    return answer if answer.status == 200 else None


def use_up(deployment, router, reason):
    """Send requests until one is refused for `reason`; return answers and refusal."""
    served = []

    def refused():
        answer = deployment.chat(router, LONG_PROMPT, max_tokens=100)
        if answer.status == 200:
            served.append(answer)
            return None
        assert answer.json["outcome"] == "not_run"
        return answer if answer.json["reason"] == reason else None

    return served, wait_until(refused, f"{router} refuses: {reason}")


def refused_for(deployment, router, reason):
    answer = deployment.chat(router, "hello")
    assert answer.status != 200
    return answer if answer.json.get("reason") == reason else None


def refusals(deployment):
    """Return status and outcome of a request at every router."""
    answers = [deployment.chat(router, "hello") for router in deployment.routers]
    return {(answer.status, answer.json["outcome"]) for answer in answers}


def tokens_of(answers):
    return sum(answer.json["usage"]["total_tokens"] for answer in answers)


def budget(fleet):
    return fleet.command("profile", "show", CHAT_PROFILE)["budget"]


def billed(fleet):
    return {r["request_id"]: r["tokens"] for r in fleet.command("bill", CHAT_PROFILE)}


def settled(deployment):
    """Return the spend if all runs are billed and the ledger agrees, else None."""
    found = billed(deployment.fleet)
    total = sum(found.values())
    is_complete = found.keys() == deployment.run_counts().keys()
    return total if is_complete and total == budget(deployment.fleet)["spent"] else None


def in_force(program, name=CHAT_PROFILE):
    target = f"/in-force?kind=profiles&name={name}"
    return send_request(program.ports["metrics"], "GET", target).json["version"]


def wait_in_force(deployment, version):
    for name, program in deployment.routers.items():
        wait_until(
            lambda program=program: in_force(program) == version,
            f"version {version} in force at {name}",
        )
