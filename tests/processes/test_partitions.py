"""Routers cut off from the platform, and routers that start without it."""

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
WAY = "way-to-the-platform"


class TestCutFromThePlatform:
    def test_goes_on_within_its_slice_and_sees_the_top_up_once_healed(self, fleet):
        """A router alone loses its way to the platform, in office hours.

        It serves from its slice until that is used up, and then says that it
        can't ask for more.  The other router uses up the rest.  An operator tops
        the budget up meanwhile: the router that is not cut off serves at once,
        the other one as soon as its way is back.  Never is more spent than paid.
        """
        prepaid = 14_000
        deployment = cut_deployment(fleet, prepaid=prepaid)
        paid = settled(deployment)
        cut(fleet)
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
        heal(fleet)
        served.append(wait_until(lambda: accepted(deployment, "router-1"), "healed"))
        known = paid + tokens_of(served)
        assert wait_until(lambda: settled(deployment), "all is settled") == known
        assert known <= budget(fleet)["held"] <= 2 * prepaid
        assert set(deployment.run_counts().values()) == {1}


class TestConfigurationDuringACut:
    def test_change_reaches_a_cut_off_router_through_the_other_one(self, fleet):
        """An operator changes a profile while a router can't hear the platform.

        The router next to it passes the change on.  The limit is in force at
        both, then the retirement; nothing older comes back with the platform.
        """
        deployment = cut_deployment(fleet)
        cut(fleet)
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
        heal(fleet)
        create_profile(fleet, "later", "interactive", "assistant", 50_000)
        deployment.wait_serving("router-1", "later")
        assert in_force(deployment.routers["router-1"]) == retired
        assert refusals(deployment) == {(410, "not_run")}


class TestStartedDuringAnOutage:
    def test_learns_from_its_peer_and_refuses_what_it_cannot_do(self, fleet):
        """A router is started while the platform is down.

        It learns the profiles and upstreams from the router it is told of, and
        callers are sent to it.  It has no tokens and can't record a filing, and
        says so at once, with when to come back; then it serves.
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
            "the late router says that it can't ask for tokens",
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


def cut_deployment(fleet, **options):
    """Two routers, of which the first reaches the platform over a forwarder."""
    rv = chat_deployment(fleet, routers=0, **options)
    way = fleet.forwarder(WAY, fleet.platform_port).ports["tcp"]
    rv.routers["router-1"] = fleet.router("router-1", platform=f"{HOST}:{way}")
    rv.routers["router-2"] = fleet.router("router-2")
    fleet.wait_ready(*rv.routers.values())
    for router in rv.routers:
        rv.wait_serving(router)
    wait_until(lambda: settled(rv), "both hold a slice and owe nothing")
    return rv


def cut(fleet):
    way = fleet.by_name[WAY]
    way.send(signal.SIGUSR2)
    wait_until(lambda: not passes(way), "the way to the platform is cut")


def heal(fleet):
    way = fleet.by_name[WAY]
    way.send(signal.SIGUSR2)
    wait_until(lambda: passes(way), "the way to the platform is back")


def passes(way):
    port = way.ports["tcp"]
    assert accepts_connections(port)
    try:
        return send_request(port, "GET", "/counts").status == 200
    except OSError:
        return False


def accepted(deployment, router):
    answer = deployment.chat(router, LONG_PROMPT, max_tokens=100)
    return answer if answer.status == 200 else None


def use_up(deployment, router, reason):
    """Ask until the router refuses for this reason; return the answers, and that."""
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
    """Return what is spent once all runs are billed and the ledger says the same."""
    found = billed(deployment.fleet)
    total = sum(found.values())
    is_whole = found.keys() == deployment.run_counts().keys()
    return total if is_whole and total == budget(deployment.fleet)["spent"] else None


def in_force(program, name=CHAT_PROFILE):
    target = f"/in-force?kind=profiles&name={name}"
    return send_request(program.ports["metrics"], "GET", target).json["version"]


def wait_in_force(deployment, version):
    for name, program in deployment.routers.items():
        wait_until(
            lambda program=program: in_force(program) == version,
            f"version {version} in force at {name}",
        )
