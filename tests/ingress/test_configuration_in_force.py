"""Changes of the configuration: in force everywhere, and never undone."""

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
    def test_an_older_one_is_never_taken_over(self):
        """Callers on a new route get a 404 again after they were served.

        A lagging copy of the platform showed the configuration before.
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

    def test_one_process_tells_the_others(self):
        """A change does not reach a process that is cut off from the platform."""

        async def scenario(fleet):
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            return await wait_for_revision(fleet.workers[1], 9)

        assert run_ingress(scenario, processes=2) == 9

    def test_a_process_that_starts_in_an_outage_hears_of_it_from_a_peer(self):
        """A restarted process answers 503 until the platform is back."""

        async def scenario(fleet):
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            fleet.platform.switches.down = True
            link, known = free_address(), fleet.workers[0]._settings.address
            late = await fleet.start_worker("ingress-late", link, (known, link))
            return await wait_for_revision(late, 9)

        assert run_ingress(scenario) == 9

    def test_a_change_in_lost_history_is_found_by_a_new_list(self):
        """A change never takes hold.

        The platform dropped its history before the watch had shown the change.
        """

        async def scenario(fleet):
            platform = fleet.platform
            platform.switches.watch_skips = 1
            await fleet.configure()
            platform._forgotten = platform.revision
            await fleet.write("others", "one", b"{}")
            return await wait_for_revision(fleet.workers[0], 2)

        assert run_ingress(scenario) == 2


class TestCopies:
    @pytest.mark.parametrize("garbage", [b"", b"{}", b"no configuration"])
    def test_garbage_changes_nothing(self, garbage):
        """A peer sends bytes that are no configuration."""

        async def scenario(fleet):
            fields = {"kind": CONFIGURATION_KIND, "name": CONFIGURATION_NAME}
            copy = VersionedObject(version=9, value=garbage, **fields)
            await fleet.workers[0].receive_configuration(copy)
            return fleet.workers[0].revision()

        assert run_ingress(scenario) == 1


class TestLimits:
    def test_a_callers_idle_connection_is_not_closed_under_it(self):
        """Requests on kept connections are lost, though nothing failed.

        The process closed them while callers were still allowed to use them.
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
