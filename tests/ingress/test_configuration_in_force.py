"""The configuration in force: changes reach every process and are never reverted."""

import curio
import pytest
from deployments.ports import free_address
from tests.ingress.in_process import (
    KEY,
    configuration_object,
    configuration_value,
    run_ingress,
    wait_for_revision,
)

from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Limits,
)
from ragwortkeel.messages import VersionedObject


class TestChanges:
    def test_an_older_revision_is_never_applied(self):
        """Guards against a 404 on a new route that was already served.

        A lagging replica of the platform answers with the previous configuration.
        """

        async def scenario(fleet):
            await fleet.configure()
            await wait_for_revision(fleet.workers[0], 2)
            await fleet.write(
                CONFIGURATION_KIND, CONFIGURATION_NAME, configuration_value(fleet, 1)
            )
            await curio.sleep(0.2)
            return fleet.workers[0].revision()

        assert run_ingress(scenario) == 2

    def test_a_process_gets_a_newer_revision_from_a_peer(self):
        """Guards against a change that misses a process.

        The process does not reach the platform.
        """

        async def scenario(fleet):
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            return await wait_for_revision(fleet.workers[1], 9)

        assert run_ingress(scenario, processes=2) == 9

    def test_a_process_that_starts_in_an_outage_gets_the_configuration_from_a_peer(
        self,
    ):
        """Guards against a restarted process that answers 503 for a whole outage."""

        async def scenario(fleet):
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            fleet.platform.switches.down = True
            link, peer = free_address(), fleet.workers[0]._settings.address
            late = await fleet.start_worker("ingress-late", link, (peer, link))
            return await wait_for_revision(late, 9)

        assert run_ingress(scenario) == 9

    def test_a_change_in_dropped_history_is_found_by_a_new_listing(self):
        """Guards against a change that is never applied.

        The platform drops its history before the watch has returned the change.
        """

        async def scenario(fleet):
            platform = fleet.platform
            platform.switches.watch_skips = 1
            await fleet.configure()
            platform._last_dropped_revision = platform.revision
            await fleet.write("others", "one", b"{}")
            return await wait_for_revision(fleet.workers[0], 2)

        assert run_ingress(scenario) == 2


class TestProcessBehindItsPeers:
    @pytest.mark.parametrize(
        ("path", "key", "status"), [("/new/", KEY, 404), ("/lookup/", "new-key", 401)]
    )
    def test_an_unknown_route_or_key_is_a_final_refusal_only_when_up_to_date(
        self, path, key, status
    ):
        """Guards against a 404 on a confirmed route, after which callers don't retry.

        The process knows that a peer has a newer configuration.
        """

        async def scenario(fleet):
            [worker] = fleet.workers
            headers = {"authorization": f"Bearer {key}"}
            responses = [await fleet.ask(path, **headers)]
            worker.receive_revision("peer", 2)
            responses.append(await fleet.ask(path, **headers))
            await worker.receive_configuration(configuration_object(fleet, 2))
            responses.append(await fleet.ask(path, **headers))
            return responses

        before, behind, after = run_ingress(scenario)
        assert (before.status, after.status) == (status, status)
        assert behind.status == 503
        assert b"configuration_behind" in behind.body
        assert b"not_run" in behind.body
        assert 0 < float(behind.headers["retry-after"]) < 1

    def test_known_routes_are_served_by_a_process_that_is_behind(self):
        """Guards against an outage in each change while the copies spread."""

        async def scenario(fleet):
            fleet.workers[0].receive_revision("peer", 2)
            return (await fleet.ask("/lookup/")).status

        assert run_ingress(scenario) == 200


class TestCopies:
    @pytest.mark.parametrize("content", [b"", b"{}", b"no configuration"])
    def test_an_undecodable_value_changes_nothing(self, content):
        """A peer sends bytes that are no configuration."""

        async def scenario(fleet):
            fields = {"kind": CONFIGURATION_KIND, "name": CONFIGURATION_NAME}
            copy = VersionedObject(version=9, value=content, **fields)
            await fleet.workers[0].receive_configuration(copy)
            return fleet.workers[0].revision()

        assert run_ingress(scenario) == 1


class TestLimits:
    def test_an_idle_connection_stays_open_as_long_as_callers_may_use_it(self):
        """Guards against requests that are lost on idle connections.

        The process closes a connection that its caller may still use.
        """

        async def scenario(fleet):
            limits = Limits(idle_seconds=1.0)
            await fleet.configure(limits=limits)
            await wait_for_revision(fleet.workers[0], 2)
            host, port = fleet.addresses[0].split(":")
            sock = await curio.open_connection(host, int(port))
            answers = []
            for i in range(2):
                head = (
                    f"GET /lookup/{i} HTTP/1.1\r\nhost: app.example\r\n"
                    f"x-request-id: r{i}\r\nauthorization: Bearer {KEY}\r\n\r\n"
                )
                await sock.sendall(head.encode())
                answers.append((await sock.recv(1000))[:12])
                await curio.sleep(0.8)
            await sock.close()
            return answers

        assert run_ingress(scenario) == [b"HTTP/1.1 200"] * 2
