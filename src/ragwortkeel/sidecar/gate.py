"""Whether a dispatch is let in, from all that the sidecar knows."""

from ragwortkeel.messages import Dispatch, RefusalReason
from ragwortkeel.runs.answer import AnswerStore
from ragwortkeel.runs.journal import Journal
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.isolation import Isolation


class Gate:
    """Finds the reason to refuse a dispatch whose nonce is new.

    Parameters
    ----------
    incarnation
        Of this sidecar.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        admission: Admission,
        journal: Journal,
        answers: AnswerStore,
        isolation: Isolation,
    ) -> None:
        self._incarnation = incarnation
        self._admission = admission
        self._journal = journal
        self._answers = answers
        self._isolation = isolation

    def reason_to_refuse(self, sender: str, dispatch: Dispatch) -> RefusalReason | None:
        """Return why the dispatch of a router is not let in, or None."""
        if dispatch.sidecar != self._incarnation:
            # Failure: a router's order to this sidecar's predecessor, whose
            # journal is gone, would run here what may have run there.
            return RefusalReason.WRONG_INCARNATION
        if self._journal.is_sealed(sender):
            # Failure: a paused router wakes and spends a slice that has been
            # given back meanwhile.
            return RefusalReason.SEALED
        if not self._is_fresh(dispatch):
            return RefusalReason.STALE_EPOCH
        if not dispatch.idempotent and self._runs_already(dispatch):
            return RefusalReason.DUPLICATE
        if (
            self._journal.is_full
            or self._answers.is_nearly_full
            or self._isolation.taken
        ):
            return RefusalReason.OVERLOADED
        return self._admission.reason_to_refuse(dispatch, self._journal.running)

    def _is_fresh(self, dispatch: Dispatch) -> bool:
        if dispatch.idempotent and dispatch.epoch == 0:
            # A router that sends each dispatch only once needs no epoch here.
            return True
        return self._journal.accepts_epoch(dispatch.epoch)

    def _runs_already(self, dispatch: Dispatch) -> bool:
        # The intent keeps two attempts apart; this holds even if it is lost.
        found = self._journal.nonce_of_request(dispatch.profile, dispatch.request_id)
        return found is not None
