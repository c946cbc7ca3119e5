"""Tests of a request that crashes each upstream that runs it."""

from deployments.deployment import chat_deployment


class TestEngineCrash:
    def test_request_that_crashes_upstreams_is_refused(self, fleet):
        """Guards against one repeated request that crashes all engines.

        After two crashes the request runs alone at most once more.  Then it is
        refused under any key, while other requests are served.
        """
        deployment = chat_deployment(fleet, engines=4, routers=1)
        for engine in deployment.upstreams.values():
            fleet.set_switches(engine, crash_on="poison")
        for attempt in range(6):
            answer = deployment.chat("router-1", "poison pill", key=f"try-{attempt}")
            assert answer.status != 200
        live = [e for e in deployment.upstreams.values() if e.popen.poll() is None]
        assert live
        assert deployment.chat("router-1", "a healthy question").status == 200
