"""Logs and metrics of a sidecar's decisions; none per token."""

from ragwortkeel.logs import log_debug, log_info, log_warning
from ragwortkeel.messages import (
    OutcomeDurable,
    ReceiptsDurable,
    RefusalReason,
    Refused,
    Sealed,
)
from ragwortkeel.metrics import Metrics
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.effects import (
    AnswerCompleted,
    Effect,
    RunBroken,
    RunDeclined,
    Send,
    StartRun,
    StopRun,
)
from ragwortkeel.sidecar.recorder import WriteFailed
from ragwortkeel.sidecar.registration import Registration, RegistrationLost

REFUSED = "sidecar_refused"
RUN_ENDED = "run_ended"

_COMMON_REFUSALS = {
    RefusalReason.OVERLOADED,
    RefusalReason.DRAINING,
    RefusalReason.STOPPING,
}
"""Refusals that are frequent under load, so they are logged at debug level."""


class Reporting:
    """Logs and counts each decision once.

    Parameters
    ----------
    sidecar
        Incarnation of this sidecar, a field of each log line.
    metrics
        Counts the decisions.
    """

    def __init__(self, *, sidecar: str, metrics: Metrics) -> None:
        self._sidecar = sidecar
        self._metrics = metrics

    def report_item(self, item: object) -> None:
        """Report an inbox item of the upstream, the registrar or the recorder."""
        match item:
            case AnswerCompleted():
                self._metrics.record_decision(decision=RUN_ENDED, reason="finished")
                self._metrics.record_receipts(state="made")
            case RunBroken(nonce=nonce, reason=reason, tokens=tokens):
                self._metrics.record_decision(decision=RUN_ENDED, reason=reason)
                self._warn("run_broken", nonce=nonce, reason=reason, tokens=tokens)
            case RunDeclined(nonce=nonce, reason=reason):
                self._metrics.record_decision(decision=RUN_ENDED, reason=reason)
                self._warn("run_declined", nonce=nonce, reason=reason)
            case ReceiptsDurable(nonces=nonces):
                self._metrics.record_receipts(state="durable", count=len(nonces))
                self._info("receipts_written", count=len(nonces))
            case OutcomeDurable(nonces=nonces):
                self._info("outcome_written", nonce=",".join(nonces))
            case WriteFailed():
                self._metrics.record_platform_failure(error="write_failed")
            case Registration(fencing_number=number, sealed=sealed):
                self._info("registered", fencing_number=number, seals=len(sealed))
            case RegistrationLost():
                self._warn("struck_off")

    def report_effect(self, effect: Effect) -> None:
        """Report an effect of the core."""
        match effect:
            case Send(message=Refused(nonce=nonce, reason=reason)):
                self._metrics.record_decision(decision=REFUSED, reason=reason)
                log = log_debug if reason in _COMMON_REFUSALS else log_info
                log("run_refused", sidecar=self._sidecar, nonce=nonce, reason=reason)
            case Send(message=Sealed(router=router, ran=ran)):
                tokens = sum(ran.values())
                self._info("router_sealed", router=router, tokens=tokens)
            case StartRun(dispatch=dispatch):
                log_debug(
                    "run_started",
                    sidecar=self._sidecar,
                    nonce=dispatch.nonce,
                    request=dispatch.request_id,
                )
            case StopRun(nonce=nonce):
                log_debug("run_stopped", sidecar=self._sidecar, nonce=nonce)

    def report_load(self, core: SidecarCore) -> None:
        """Report the number of running and queued requests."""
        self._metrics.set_load(running=core.journal.running, queued=core.load.waiting)

    def _info(self, event: str, **fields) -> None:
        log_info(event, sidecar=self._sidecar, **fields)

    def _warn(self, event: str, **fields) -> None:
        log_warning(event, sidecar=self._sidecar, **fields)
