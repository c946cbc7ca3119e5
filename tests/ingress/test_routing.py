from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from tests.ingress.builders import configuration, route

from ragwortkeel.ingress.configuration import Customer, Split
from ragwortkeel.ingress.routing import (
    NoRoute,
    Routed,
    RoutingTable,
    UnknownKey,
    split_service,
)


def table(**fields):
    return RoutingTable(configuration=configuration(**fields))


class TestRoute:
    def test_the_longest_prefix_wins(self):
        short, long = route("short", "/a/"), route("long", "/a/b/")
        found = table(routes=(short, long)).route(
            host="app.example", path="/a/b/c", key="key-1"
        )
        assert found.route == long

    @given(
        prefixes=st.lists(st.from_regex(r"/([ab]{1,2}/){0,3}", fullmatch=True)),
        path=st.from_regex(r"/([abc/]{0,8})", fullmatch=True),
    )
    def test_the_route_is_that_of_a_search_through_all(self, prefixes, path):
        """Guards against a route that the index of prefixes does not find."""
        routes = [route(f"r{i}", prefix) for i, prefix in enumerate(prefixes)]
        by_length = sorted(routes, key=lambda one: len(one.prefix), reverse=True)
        expected = next((r for r in by_length if path.startswith(r.prefix)), None)
        found = table(routes=tuple(routes)).route(
            host="app.example", path=path, key="key-1"
        )
        assert (found.route if isinstance(found, Routed) else None) == expected

    def test_a_host_is_matched_without_port_and_case(self):
        found = table().route(host="App.Example:80", path="/lookup/1", key="key-1")
        assert isinstance(found, Routed)

    def test_another_host_or_path_has_no_route(self):
        assert table().route(host="b.example", path="/lookup/", key="") == NoRoute()
        assert table().route(host="app.example", path="/look", key="") == NoRoute()

    def test_a_key_identifies_the_customer_and_an_unknown_one_is_refused(self):
        found = table().route(host="app.example", path="/lookup/", key="key-1")
        assert found.customer.name == "surco"
        refused = table().route(host="app.example", path="/lookup/", key="key-2")
        assert refused == UnknownKey()

    def test_a_public_route_has_no_customer(self):
        found = table(routes=(route(public=True),)).route(
            host="app.example", path="/lookup/", key="key-1"
        )
        assert found.customer is None

    def test_without_customers_no_key_is_required(self):
        found = table(customers=()).route(host="app.example", path="/lookup/", key="")
        assert found.customer is None

    def test_a_removed_key_is_unknown_in_the_next_table(self):
        without = table(customers=(Customer(name="surco", keys=()),))
        found = without.route(host="app.example", path="/lookup/", key="key-1")
        assert found == UnknownKey()


class TestSplits:
    def test_requests_are_split_by_weight(self):
        splits = (Split(service="new", weight=10), Split(service="old", weight=90))
        split = route(splits=splits)
        counts = Counter(split_service(split, f"r{i}") for i in range(4000))
        assert 300 < counts["new"] < 500

    def test_the_same_request_goes_to_the_same_service(self):
        splits = (Split(service="new"), Split(service="old"))
        split = route(splits=splits)
        assert len({split_service(split, "r1") for _ in range(20)}) == 1
