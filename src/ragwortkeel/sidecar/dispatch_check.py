"""Check of a dispatch against journal, admission, answers and isolation."""

from ragwortkeel.messages import Dispatch, RefusalReason
from ragwortkeel.runs.answer import AnswerStore
from ragwortkeel.runs.journal import Journal
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.isolation import Isolation


class DispatchCheck:
    """Finds the reason to refuse a dispatch whose nonce is new.

    Parameters
    ----------
    incarnation
        Incarnation of this sidecar.
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
        """Return the reason to refuse the dispatch of a router, or None."""
        if dispatch.sidecar != self._incarnation:
            # Failure prevented: a dispatch to the predecessor, whose journal is
            # lost, runs here although it may have run there.
            return RefusalReason.WRONG_INCARNATION
        if self._journal.is_sealed(sender):
            # Failure prevented: a router resumes after a pause and spends a
            # slice that has been given back meanwhile.
            return RefusalReason.SEALED
        if not self._accepts_epoch(dispatch):
            return RefusalReason.STALE_EPOCH
        if not dispatch.idempotent and self._is_duplicate(dispatch):
            return RefusalReason.DUPLICATE
        if (
            self._journal.is_full
            or self._answers.is_nearly_full
            or self._isolation.is_occupied
        ):
            return RefusalReason.OVERLOADED
        return self._admission.reason_to_refuse(dispatch, self._journal.running)

    def _accepts_epoch(self, dispatch: Dispatch) -> bool:
        if dispatch.idempotent and dispatch.epoch == 0:
            # A router that sends each dispatch only once needs no epoch here.
            return True
        return self._journal.accepts_epoch(dispatch.epoch)

    def _is_duplicate(self, dispatch: Dispatch) -> bool:
        # Intents exclude two attempts already; this check needs no intent.
        found = self._journal.nonce_of_request(dispatch.profile, dispatch.request_id)
        return found is not None
