"""Public errors in a shallow hierarchy under one base class.

Each layer raises the errors of its own branch and converts those of the layer below,
so that a caller handles only the errors of the layer that it calls.  Every error has
the attributes that a handler needs to act on it.
"""

from ragwortkeel.platform import Stored


class RagwortkeelError(Exception):
    """Base of every error that this package raises deliberately."""


class TaskEnded(RagwortkeelError):
    """A task that should run forever returned."""


class SettingsError(RagwortkeelError):
    """A settings file cannot be used.

    Attributes
    ----------
    path : str
        JSON path of the field, such as ``$.platform.port``.
    found : str
        Value that the file has in that field.
    allowed : str
        Values that the field allows.
    """

    def __init__(self, *, path: str, found: str, allowed: str) -> None:
        super().__init__(f"{path}: found {found}; allowed: {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


class HttpError(RagwortkeelError):
    """Base of the errors of the HTTP layer."""


class BadRequest(HttpError):
    """A peer sent data that is no acceptable HTTP request.

    Attributes
    ----------
    status : int
        HTTP status of the answer, a 4xx.
    reason : str
        Short machine-readable reason, such as ``body_too_large``.
    """

    def __init__(self, *, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class NoRoom(BadRequest):
    """There is no memory for a request, which was not read to its end."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(status=503, reason="no_room", detail=detail)


class ConnectFailed(HttpError):
    """No connection was established, so the request was certainly not sent."""


class ConnectDelayed(ConnectFailed):
    """A connect took too long while the own instance was overloaded."""


class ConnectRefused(ConnectFailed):
    """The peer's instance refused the connection: no process listens there."""


class ExchangeBroken(HttpError):
    """The connection failed when the request may already have reached the peer."""


class CallerLeft(ExchangeBroken):
    """The caller closed its connection and no longer waits for the answer."""


class PlatformError(RagwortkeelError):
    """Base of the errors of the platform client."""


class PlatformUnavailable(PlatformError):
    """The platform did not accept the call, which changed nothing."""


class ReadUnanswered(PlatformUnavailable):
    """A read was sent, and its connection delivered no complete answer."""


class OutcomeUnknown(PlatformError):
    """A write was sent but its answer was lost; it may have taken effect."""


class AlreadyExists(PlatformError):
    """A create found an object of that name."""


class VersionConflict(PlatformError):
    """A conditional write found another version than the expected one.

    Parameters
    ----------
    current : platform.Stored or None
        Current object where the platform's answer contains it, which saves a read.
    """

    def __init__(self, message: str, *, current: Stored | None = None) -> None:
        super().__init__(message)
        self.current = current


class ObjectNotFound(PlatformError):
    """A conditional write named an object that does not exist."""


class ValueRefused(PlatformError):
    """The platform refused a value, for example because it is too large."""


class LinkError(RagwortkeelError):
    """Base of the errors of links between the processes of the fleet."""


class LinkLost(LinkError):
    """The peer is silent or disconnected; sent messages may have arrived or not."""


class BudgetError(RagwortkeelError):
    """Base of the errors of budgets, slices and bills."""


class RunError(RagwortkeelError):
    """Base of the errors of intents, journals and answers."""


class IngressError(RagwortkeelError):
    """Base of the errors of the ingress."""


class ConfigurationUnreadable(IngressError):
    """An object in the platform is no valid configuration or entry."""


class AnnouncementUnreadable(IngressError):
    """An upstream's answer announces something with a value that is not valid."""


class LifecycleError(RagwortkeelError):
    """A state chart has no transition for an event in the current state.

    Attributes
    ----------
    chart, state, event : str
        Names of the chart, its current state and the event.
    """

    def __init__(self, *, chart: str, state: str, event: str) -> None:
        super().__init__(
            f"{chart}: no transition for event {event!r} in state {state!r}"
        )
        self.chart = chart
        self.state = state
        self.event = event


class CommandError(RagwortkeelError):
    """A command did not succeed; the message says what the operator should do.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    """

    exit_code = 1


class CommandConflict(CommandError):
    """Another writer changed the object meanwhile; that change is preserved."""

    exit_code = 3


class CommandUnavailable(CommandError):
    """The platform did not answer; nothing was changed."""

    exit_code = 4


class CommandUncertain(CommandError):
    """The platform's answer to a write was lost, and no later read succeeded."""

    exit_code = 5


class CommandLagging(CommandError):
    """The change is accepted, but not yet in force at the processes in the message."""

    exit_code = 6


class BudgetRefused(BudgetError):
    """Tokens can't be reserved now; the request did not run and is not charged.

    Attributes
    ----------
    profile : str
        Profile that the budget belongs to.
    tokens_left : int
        Unreserved tokens known to the refusing process, too few for the request.
    retry_after_seconds : float
        Time after which a retry may succeed.
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
    """The prepaid tokens are spent, or committed by other processes."""

    reason = "budget_exhausted"


class BudgetUnreachable(BudgetRefused):
    """The router's slice is spent and the platform is unreachable for a renewal."""

    reason = "budget_unreachable"


class ExposureFull(BudgetRefused):
    """The spend at this sidecar that the ledger lacks has reached its limit."""

    reason = "exposure_full"


class SidecarNotNamed(BudgetRefused):
    """The router's grant in the ledger does not yet contain this sidecar."""

    reason = "sidecar_not_named"


class RouterSealed(BudgetError):
    """The router incarnation is sealed; the router must start a new incarnation."""

    def __init__(self, *, router: str) -> None:
        super().__init__(f"router incarnation {router} is sealed")
        self.router = router


class LedgerError(BudgetError):
    """Base of the errors of a ledger's transitions; the ledger is unchanged."""


class LedgerFull(LedgerError):
    """The ledger would exceed the largest value that the platform stores."""


class LedgerUnreadable(LedgerError):
    """An object in the platform is no valid ledger."""


class RenewalVoid(LedgerError):
    """Delegated renewals are out of date and will never be written."""

    def __init__(self, *, holder: str) -> None:
        super().__init__(f"delegated renewals of {holder} are out of date")
        self.holder = holder


class SettledBeyondGrant(LedgerError):
    """A router settles more than its grant, which is a defect of the caller."""


class BudgetCommitted(LedgerError):
    """A budget would be lowered below its spent and committed tokens.

    Attributes
    ----------
    lowerable_tokens : int
        Tokens by which the budget can be lowered now.
    spent : int
        Tokens that are spent; no recall can lower the budget below them.
    """

    def __init__(self, *, lowerable_tokens: int, spent: int) -> None:
        super().__init__(
            f"the budget can be lowered by at most {lowerable_tokens} tokens now"
        )
        self.lowerable_tokens = lowerable_tokens
        self.spent = spent


class StaleOperation(LedgerError):
    """The operation is too old to know whether it was applied; nothing changed."""


class InvalidOperation(LedgerError):
    """The operation id was not created by `ledger.operation_id`."""


class BudgetRetired(LedgerError):
    """The budget is retired and accepts no more changes."""
