"""A request that kills each upstream that runs it."""

from deployments.deployment import chat_deployment


class TestEngineCrash:
    def test_request_that_kills_upstreams_is_given_up_on(self, fleet):
        """One request kills each engine that runs it, and its caller insists.

        It must not take down all engines: after two crashes it runs alone at
        most once more and is then refused for good, whatever its key, while
        others are served.
        """
        deployment = chat_deployment(fleet, engines=4, routers=1)
        for engine in deployment.upstreams.values():
            fleet.set_switches(engine, crash_on="poison")
        for attempt in range(6):
            answer = deployment.chat("router-1", "poison pill", key=f"try-{attempt}")
            assert answer.status != 200
        alive = [e for e in deployment.upstreams.values() if e.popen.poll() is None]
        assert alive
        assert deployment.chat("router-1", "a healthy question").status == 200
