"""Tests of the metrics and of the label values that operators search for."""

import pytest

from ragwortkeel.metrics import Metrics


class TestMetrics:
    @pytest.mark.parametrize(
        ("call", "line"),
        [
            (
                lambda m: m.record_request(
                    service="batch", outcome="not_run", reason="deadline"
                ),
                "ragwortkeel_requests_total"
                '{outcome="not_run",reason="deadline",service="batch"} 1.0',
            ),
            (
                lambda m: m.record_decision(decision="refuse", reason="burst"),
                'ragwortkeel_decisions_total{decision="refuse",reason="burst"} 1.0',
            ),
            (
                lambda m: m.record_tokens(service="batch", tokens=17),
                'ragwortkeel_tokens_spent_total{service="batch"} 17.0',
            ),
            (
                lambda m: m.record_slice_operation(operation="take", outcome="granted"),
                "ragwortkeel_slice_operations_total"
                '{operation="take",outcome="granted"} 1.0',
            ),
            (
                lambda m: m.record_receipts(state="durable", count=3),
                'ragwortkeel_receipts_total{state="durable"} 3.0',
            ),
            (
                lambda m: m.record_link_lost(peer="sidecar"),
                'ragwortkeel_links_lost_total{peer="sidecar"} 1.0',
            ),
            (
                lambda m: m.record_message_failure(message="TokenLoan"),
                'ragwortkeel_messages_failed_total{message="TokenLoan"} 1.0',
            ),
            (
                lambda m: m.record_platform_failure(error="unavailable"),
                'ragwortkeel_platform_errors_total{error="unavailable"} 1.0',
            ),
            (
                lambda m: m.set_configuration_revision(revision=9),
                "ragwortkeel_configuration_revision 9.0",
            ),
            (
                lambda m: m.set_load(running=4, queued=2),
                "ragwortkeel_queued_requests 2.0",
            ),
            (
                lambda m: m.set_slice_tokens(tokens=500),
                "ragwortkeel_slice_tokens 500.0",
            ),
            (
                lambda m: m.record_queue_wait(service="batch", seconds=0.03),
                'ragwortkeel_queue_wait_seconds_bucket{le="0.05",service="batch"} 1.0',
            ),
            (
                lambda m: m.record_first_token(service="batch", seconds=1.4),
                'ragwortkeel_first_token_seconds_bucket{le="1.5",service="batch"} 1.0',
            ),
        ],
    )
    def test_recorded_values_are_rendered(self, call, line):
        metrics = Metrics()
        call(metrics)
        assert line in metrics.render().decode().splitlines()

    def test_daemons_of_one_process_have_separate_metrics(self):
        first, second = Metrics(), Metrics()
        first.record_link_lost(peer="router")
        assert b'peer="router"' not in second.render()
