"""Public errors: a shallow tree under one base.

Each layer raises its own branch and turns the errors of the layer below into
it, so a caller never has to know a lower layer.  Every error carries what its
receiver needs to act.
"""

from ragwortkeel.platform import Stored


class RagwortkeelError(Exception):
    """Base of every error this package raises on purpose."""


class TaskEnded(RagwortkeelError):
    """A task that should run for ever returned."""


class SettingsError(RagwortkeelError):
    """A settings file cannot be used.

    Attributes
    ----------
    path : str
        JSON path of the field, such as ``$.platform.port``.
    found : str
        What the file holds there.
    allowed : str
        What may stand there.
    """

    def __init__(self, *, path: str, found: str, allowed: str) -> None:
        super().__init__(f"{path}: found {found}; allowed: {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


class HttpError(RagwortkeelError):
    """Base of the errors of the HTTP layer."""


class BadRequest(HttpError):
    """A peer sent something that is no acceptable HTTP request.

    Attributes
    ----------
    status : int
        The 4xx status to answer with.
    reason : str
        A short machine-readable reason, such as ``body_too_large``.
    """

    def __init__(self, *, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class ConnectFailed(HttpError):
    """No connection came about, so the request was certainly not sent."""


class ConnectRefused(ConnectFailed):
    """The peer's machine answered that nothing listens there: the peer is down."""


class ExchangeBroken(HttpError):
    """The connection failed after the request may have reached the peer."""


class CallerLeft(ExchangeBroken):
    """The caller closed its connection; nobody waits for the answer."""


class PlatformError(RagwortkeelError):
    """Base of the errors of the platform client."""


class PlatformUnavailable(PlatformError):
    """The platform did not take the call; nothing was changed by it."""


class OutcomeUnknown(PlatformError):
    """A write was sent and its answer lost; it may have taken effect."""


class AlreadyExists(PlatformError):
    """A create found an object of that name."""


class VersionConflict(PlatformError):
    """A conditional write found another version than the one it named.

    Parameters
    ----------
    current : platform.Stored or None
        The object as it is, where the platform says so; it saves a read.
    """

    def __init__(self, message: str, *, current: Stored | None = None) -> None:
        super().__init__(message)
        self.current = current


class ObjectNotFound(PlatformError):
    """A conditional write named an object that is not there."""


class ValueRefused(PlatformError):
    """The platform takes no such value, such as one that is too large."""


class LinkError(RagwortkeelError):
    """Base of the errors of links between the system's own processes."""


class LinkLost(LinkError):
    """The peer went silent or away; sent messages may or may not have arrived."""


class BudgetError(RagwortkeelError):
    """Base of the errors of budgets, slices and bills."""


class RunError(RagwortkeelError):
    """Base of the errors of intents, journals and answers."""


class IngressError(RagwortkeelError):
    """Base of the errors of the ingress."""


class ConfigurationUnreadable(IngressError):
    """The platform holds something that is no such configuration or entry."""


class LimitUnreadable(IngressError):
    """An upstream's answer names a rate limit that is no decimal number."""


class LifecycleError(RagwortkeelError):
    """An event came that the state chart has no transition for.

    Attributes
    ----------
    chart, state, event : str
        Which chart, in which state, and the event.
    """

    def __init__(self, *, chart: str, state: str, event: str) -> None:
        super().__init__(f"{chart}: no event {event!r} in state {state!r}")
        self.chart = chart
        self.state = state
        self.event = event


class CommandError(RagwortkeelError):
    """A command did not do what it was told; the text says what to do.

    Attributes
    ----------
    exit_code : int
        What the process ends with.
    """

    exit_code = 1


class CommandConflict(CommandError):
    """Somebody else changed the object meanwhile; nothing of theirs is lost."""

    exit_code = 3


class CommandUnavailable(CommandError):
    """The platform did not answer; nothing was changed."""

    exit_code = 4


class CommandUncertain(CommandError):
    """The platform's answer was lost and nothing could be read since."""

    exit_code = 5


class CommandLagging(CommandError):
    """The change is accepted, but not yet in force on the nodes named."""

    exit_code = 6


class BudgetRefused(BudgetError):
    """Tokens can't be reserved now; nothing ran and nothing is charged.

    Attributes
    ----------
    profile : str
        Whose budget it is.
    tokens_left : int
        Tokens the refuser still sees unreserved, too few for the request.
    retry_after_seconds : float
        When coming back may help.
    """

    reason = "budget_refused"

    def __init__(
        self, *, profile: str, tokens_left: int, retry_after_seconds: float
    ) -> None:
        super().__init__(f"{profile}: {self.reason}, {tokens_left} tokens left")
        self.profile = profile
        self.tokens_left = tokens_left
        self.retry_after_seconds = retry_after_seconds


class BudgetExhausted(BudgetRefused):
    """The prepaid tokens are spent or committed elsewhere."""

    reason = "budget_exhausted"


class BudgetUnreachable(BudgetRefused):
    """The router's slice is used up and the platform can't be asked for more."""

    reason = "budget_unreachable"


class ExposureFull(BudgetRefused):
    """Too much spend through this sidecar is not yet in the ledger."""

    reason = "exposure_full"


class SidecarNotNamed(BudgetRefused):
    """The router's grant in the ledger does not name this sidecar yet."""

    reason = "sidecar_not_named"


class RouterSealed(BudgetError):
    """The router incarnation is sealed; it has to go on under a new one."""

    def __init__(self, *, router: str) -> None:
        super().__init__(f"{router} is sealed")
        self.router = router


class LedgerError(BudgetError):
    """Base of the errors of a ledger's transitions; the ledger is unchanged."""


class LedgerFull(LedgerError):
    """The ledger would outgrow what the platform takes as one value."""


class LedgerUnreadable(LedgerError):
    """The platform holds something that is no ledger."""


class RenewalVoid(LedgerError):
    """Renewals that were handed over are out of date and will never be written."""

    def __init__(self, *, holder: str) -> None:
        super().__init__(f"renewals of {holder} are out of date")
        self.holder = holder


class SettledBeyondGrant(LedgerError):
    """A router settles more than it was granted; the caller has a defect."""


class BudgetCommitted(LedgerError):
    """A lowering goes below what is spent or committed.

    Attributes
    ----------
    lowerable_tokens : int
        By how much the budget can be lowered at once.
    spent : int
        What is spent for good; no recall can go below it.
    """

    def __init__(self, *, lowerable_tokens: int, spent: int) -> None:
        super().__init__(f"at most {lowerable_tokens} tokens can be taken off now")
        self.lowerable_tokens = lowerable_tokens
        self.spent = spent


class StaleOperation(LedgerError):
    """The operation is too old to tell whether it was applied; nothing changed."""


class InvalidOperation(LedgerError):
    """The operation id was not made by `ledger.operation_id`."""


class BudgetRetired(LedgerError):
    """The budget is retired and takes no more changes."""
